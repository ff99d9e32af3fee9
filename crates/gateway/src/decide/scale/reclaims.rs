//! Which reclaimable servers may be taken away before a replacement has started.

use base::units::Millisecond;
use base::{Map, Name};

use super::PresentServers;

/// Time after a reclaim within which the platform is expected to take the reclaimable servers of
/// other failure domains too. A shortage of capacity rarely ends with the first failure domain.
const SERIES_MS: Millisecond = 20_000;

/// How many failure domains may lose their reclaimable servers within the time that a new server
/// takes to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exposure {
    /// One failure domain, whichever has most of them.
    OneDomain,
    /// Every failure domain.
    AllDomains,
}

/// Reclaims that this node has seen.
#[derive(Clone, Debug, Default)]
pub struct ReclaimHistory {
    /// Reclaimable servers by failure domain in the last observation.
    last_seen: Map<Name, u32>,
    last_reclaim_ms: Option<Millisecond>,
}

impl ReclaimHistory {
    /// Compares the present servers with the last observation. A failure domain that has lost all
    /// of its reclaimable servers at once has been reclaimed: crashes leave some, and orders are
    /// reduced in steps.
    pub fn observe(&mut self, present: &Map<Name, PresentServers>, now_ms: Millisecond) {
        for (domain, before) in &self.last_seen {
            let now = present.get(domain).map_or(0, |p| p.reclaimable);
            if *before > 0 && now == 0 {
                self.last_reclaim_ms = Some(now_ms);
            }
        }
        let counts = present.iter().map(|(d, p)| (d.clone(), p.reclaimable));
        self.last_seen = counts.collect();
    }

    /// How many failure domains may be reclaimed before a replacement has started.
    pub fn exposure(&self, now_ms: Millisecond) -> Exposure {
        match self.last_reclaim_ms {
            Some(at_ms) if now_ms < at_ms + SERIES_MS => Exposure::AllDomains,
            Some(_) | None => Exposure::OneDomain,
        }
    }
}

/// The failure domains whose reclaimable servers are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    None,
    /// The failure domain that has most of them.
    OneDomain,
    AllDomains,
}

/// Reclaimable servers that are left after a loss, of those in each failure domain.
pub fn left(by_domain: &[u32], loss: Loss) -> u32 {
    let all: u32 = by_domain.iter().sum();
    match loss {
        Loss::None => all,
        Loss::OneDomain => all - by_domain.iter().max().copied().unwrap_or(0),
        Loss::AllDomains => 0,
    }
}
