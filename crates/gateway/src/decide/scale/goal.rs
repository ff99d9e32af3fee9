//! How many servers a service needs.

use base::units::Millisecond;
use base::{Map, Name};
use serde::Deserialize;

use super::{PresentServers, total};

/// Time for which the highest need is kept, because traffic comes in waves.
const PEAK_WINDOW_MS: Millisecond = 20_000;

/// Time over which a need must have been observed before servers are released.
const SETTLED_MS: Millisecond = 6_000;

/// Target utilization of the servers, as settings.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct UtilizationShares {
    /// Utilization while all servers of both kinds are there.
    pub comfort_share: f64,
    /// Utilization after the loss of the reclaimable servers of one failure domain, and while none
    /// can be bought.
    pub tight_share: f64,
    /// Utilization of the on-demand servers if all reclaimable ones are lost, until others have
    /// started.
    pub alone_share: f64,
}

impl Default for UtilizationShares {
    fn default() -> Self {
        Self {
            comfort_share: 0.28,
            tight_share: 0.5,
            alone_share: 0.7,
        }
    }
}

/// Share of the initial servers that must be left after a loss before any need is known.
const INITIAL_ALONE_SHARE: f64 = 1.0 / 3.0;

/// Largest factor by which one decision may grow the servers. The need is overestimated while
/// servers are overloaded.
const MAX_GROWTH: f64 = 2.0;

/// Load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// The service has not received a request yet.
    Unknown,
    /// The load would keep this many servers busy all the time.
    Busy(f64),
}

/// The need and the number of servers at one time.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at_ms: Millisecond,
    busy: f64,
    servers: u32,
}

/// Numbers of servers to hold.
#[derive(Clone, Copy, Debug)]
pub struct Goal {
    /// Servers that must be left after a loss of reclaimable ones.
    pub alone: f64,
    /// Servers of both kinds while reclaimable ones cannot be bought.
    pub tight: f64,
    /// Servers of both kinds with which requests hardly wait for each other.
    pub comfortable: f64,
    pub certainty: Certainty,
}

/// The highest recent need.
#[derive(Clone, Copy, Debug)]
struct Peak {
    /// Servers that the load keeps busy.
    busy: f64,
    /// Servers that were present.
    servers: u32,
    certainty: Certainty,
}

/// Whether a need has been observed for long enough to release servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    Settled,
    Recent,
}

/// Recent needs of a service.
#[derive(Clone, Debug, Default)]
pub struct NeedHistory {
    recent: Vec<Observation>,
    /// Highest number of servers before any need was known.
    first_total: Option<f64>,
}

impl NeedHistory {
    /// Records the need and the servers at one time.
    pub fn observe(
        &mut self,
        need: Need,
        present: &Map<Name, PresentServers>,
        now_ms: Millisecond,
    ) {
        let Need::Busy(busy) = need else {
            return;
        };
        self.recent
            .retain(|seen| seen.at_ms + PEAK_WINDOW_MS > now_ms);
        self.recent.push(Observation {
            at_ms: now_ms,
            busy,
            servers: total(present),
        });
    }

    /// Numbers of servers to hold; `None` if the present servers are to stay as they are.
    pub fn goal(
        &mut self,
        shares: &UtilizationShares,
        lost_servers: f64,
        present: &Map<Name, PresentServers>,
        now_ms: Millisecond,
    ) -> Option<Goal> {
        let Some(peak) = self.peak(now_ms) else {
            return self.goal_before_need(present);
        };
        let servers = f64::from(peak.servers.max(total(present)));
        let busy = peak.busy.min(servers * MAX_GROWTH * shares.alone_share);
        let tight = busy / shares.tight_share + lost_servers;
        Some(Goal {
            alone: busy / shares.alone_share,
            tight,
            // The comfortable number has spare capacity, so part of the lost servers needs no
            // replacement.
            comfortable: tight.max(busy / shares.comfort_share),
            certainty: peak.certainty,
        })
    }

    /// Numbers of servers to hold before any need is known: as many as there were at first.
    fn goal_before_need(&mut self, present: &Map<Name, PresentServers>) -> Option<Goal> {
        // Servers of both kinds were ordered for a need that was known then.
        let has_reclaimable = present.values().any(|p| p.reclaimable > 0);
        if self.first_total.is_none() && has_reclaimable {
            return None;
        }
        let on_demand: u32 = present.values().map(|p| p.on_demand).sum();
        let first = self.first_total.unwrap_or(0.0).max(f64::from(on_demand));
        self.first_total = Some(first);
        Some(Goal {
            alone: first * INITIAL_ALONE_SHARE,
            tight: first,
            comfortable: first,
            certainty: Certainty::Settled,
        })
    }

    /// The highest recent need; `None` if none is known.
    fn peak(&self, now_ms: Millisecond) -> Option<Peak> {
        let recent = self.recent.iter();
        let recent = recent.filter(|seen| seen.at_ms + PEAK_WINDOW_MS > now_ms);
        let first_ms = recent.clone().next()?.at_ms;
        let certainty = match now_ms - first_ms >= SETTLED_MS {
            true => Certainty::Settled,
            false => Certainty::Recent,
        };
        Some(Peak {
            busy: recent.clone().map(|seen| seen.busy).fold(0.0, f64::max),
            servers: recent.map(|seen| seen.servers).max().unwrap_or(0),
            certainty,
        })
    }
}
