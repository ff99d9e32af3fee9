//! The stages of a rollout, as the holder of the duties decides them.

use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::evidence::{Finding, RouteEvidence};
use super::{ExposureBounds, Order};

/// Share of the old version's number of servers that the canary stage uses of the new one. Together
/// with the loads of equal size it stays below the usual exposure share.
const CANARY_SERVERS_SHARE: f64 = 0.07;

/// Canary share without slack. A service with few servers gets equal loads in a stage of its own.
const CANARY_SHARE: f64 = 0.06;

/// Part of the slack that the canary stage uses beyond its share, so that a service with few
/// requests shows enough evidence in time.
const CANARY_SLACK: f64 = 0.35;

/// Time from the first response during which the canary stage lasts: versions turn bad some 3 s
/// after their start.
const LATE_FAULT_MS: Millisecond = 5_000;

/// The same if the deadline is close.
const LATE_FAULT_LEAST_MS: Millisecond = 3_500;

/// Shortest time at the canary stage in a tenure of the holder, and the same if the deadline is close.
/// Responses from before the tenure don't show a version that has turned bad since; counts of new
/// ones take this long to the holder in a large fleet, and half of the shorter time in a small one.
const CANARY_LEAST_MS: (Millisecond, Millisecond) = (1_200, 300);

/// Shortest time under equal load.
const LOADED_MS: Millisecond = 1_500;

/// Shares after the judgement under load.
const GROWING_SHARES: [f64; 2] = [0.3, 0.6];

/// Longest and shortest time of a growing stage. The shorter is twice the delay of counts in a
/// small fleet.
const STEP_MS: (Millisecond, Millisecond) = (1_000, 300);

/// Shortest time with all requests at the new version: older decisions are valid for 1.5 s.
const SETTLE_MS: Millisecond = 2_000;

/// The same at the deadline: the time in which a decision reaches all nodes.
const SETTLE_LEAST_MS: Millisecond = 1_000;

/// Time before the deadline at which the rollout ends: the status row has to be written.
const END_MARGIN_MS: Millisecond = 1_000;

/// Time before the deadline at which all requests must go to the new version, for it to complete.
const ALL_MARGIN_MS: Millisecond = END_MARGIN_MS + SETTLE_MS;

/// Time before the last moment to move all requests from which less evidence will do.
const PRESSED_MS: Millisecond = 2_500;

/// Time from a response until the share that it calls for applies everywhere: counts take up to
/// 0.75 s to the holder in a fleet of 67 nodes, and decisions 0.36 s back.
const DELAY_S: f64 = 1.2;

/// Part of the slack that no planned request uses, for chance and retries.
const SLACK_RESERVE: f64 = 0.3;

/// Part of the counted requests that the share is taken of. Retries are counted and reach the
/// service once only.
const COUNTED_SHARE: f64 = 0.9;

/// A stage of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A few percent of the requests at few servers.
    #[default]
    Canary,
    /// Few servers under the load of the old ones, if the canary share is less.
    Loaded,
    Growing,
    /// All new requests. Streams of the old version end meanwhile.
    All,
}

/// What all nodes follow: the share of new requests that the new version gets, and the number of its
/// servers that get them, the earliest-started first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    pub stage: Stage,
    pub share: f64,
    pub servers: u32,
}

/// What the holder knows in a round.
#[derive(Clone, Debug, Serialize)]
pub struct Situation {
    /// Time since the order.
    pub age_ms: Millisecond,
    /// Time since the new version's first response; `None` before it.
    pub responding_ms: Option<Millisecond>,
    pub finding: Finding,
    /// Servers that take requests.
    pub new_servers: u32,
    pub old_servers: u32,
    /// Requests sent since the order, to the new version and to all.
    pub sent_new: u64,
    pub sent: u64,
    /// `None` if unknown after a pause.
    pub requests_per_s: Option<f64>,
    /// Requests that run at servers of the old version.
    pub old_running: u32,
}

/// Outcome of a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Continue(Decision),
    Complete,
    RollBack(&'static str),
}

/// The plan of one order in one tenure of the holder.
#[derive(Clone, Debug)]
pub struct Plan {
    duration_ms: Millisecond,
    bounds: ExposureBounds,
    stage: Stage,
    /// Growing stages passed.
    step: usize,
    /// Age of the order when the stage began.
    since_ms: Millisecond,
}

impl Plan {
    /// Starts at the canary stage, also for a later holder.
    pub fn new(order: &Order, bounds: ExposureBounds, age_ms: Millisecond) -> Self {
        Self {
            duration_ms: order.duration_ms,
            bounds,
            stage: Stage::Canary,
            step: 0,
            since_ms: age_ms,
        }
    }

    /// Starts with all requests at a version that served all of them before.
    pub fn back_to_established(order: &Order, bounds: ExposureBounds, age_ms: Millisecond) -> Self {
        Self {
            stage: Stage::All,
            ..Self::new(order, bounds, age_ms)
        }
    }

    /// Age of the order from which responses count for a good verdict.
    pub fn good_since_ms(&self) -> Millisecond {
        match self.stage {
            Stage::Canary => 0,
            Stage::Loaded | Stage::Growing | Stage::All => self.since_ms,
        }
    }

    /// Decides the next stage.
    pub fn round(&mut self, now: &Situation) -> Verdict {
        if let Finding::Bad { .. } = now.finding {
            return Verdict::RollBack("bad_responses");
        }
        let left_ms = self.duration_ms.saturating_sub(now.age_ms);
        if left_ms <= END_MARGIN_MS && self.stage != Stage::All {
            return Verdict::RollBack("not_proven_in_time");
        }
        let in_stage_ms = now.age_ms.saturating_sub(self.since_ms);
        let is_good = match now.finding {
            // The exposure stays bounded in the next stage.
            Finding::Good { routes } if self.stage != Stage::Canary => match routes {
                RouteEvidence::Enough => true,
                RouteEvidence::Little => left_ms < ALL_MARGIN_MS + PRESSED_MS,
                RouteEvidence::Missing => false,
            },
            Finding::Good { .. } => true,
            Finding::Undecided | Finding::Bad { .. } => false,
        };
        match self.stage {
            Stage::Canary
                if is_good
                    && self.is_past_late_faults(now)
                    && in_stage_ms >= self.canary_least_ms(now) =>
            {
                self.enter(Stage::Loaded, now);
            }
            Stage::Loaded if is_good && in_stage_ms >= LOADED_MS => self.enter(Stage::Growing, now),
            Stage::Growing if in_stage_ms >= self.step_ms(left_ms) => self.grow(now),
            Stage::All if in_stage_ms >= SETTLE_MS && now.old_running == 0 => {
                return Verdict::Complete;
            }
            Stage::All if in_stage_ms >= SETTLE_LEAST_MS && left_ms <= END_MARGIN_MS => {
                return Verdict::Complete;
            }
            Stage::Canary | Stage::Loaded | Stage::Growing | Stage::All => {}
        }
        Verdict::Continue(self.decision(now))
    }

    fn enter(&mut self, stage: Stage, now: &Situation) {
        self.stage = stage;
        self.since_ms = now.age_ms;
    }

    fn grow(&mut self, now: &Situation) {
        self.step += 1;
        let stage = match self.step < GROWING_SHARES.len() {
            true => Stage::Growing,
            false => Stage::All,
        };
        self.enter(stage, now);
    }

    fn is_past_late_faults(&self, now: &Situation) -> bool {
        let Some(responding_ms) = now.responding_ms else {
            return false;
        };
        match self.is_pressed(now) {
            true => responding_ms >= LATE_FAULT_LEAST_MS,
            false => responding_ms >= LATE_FAULT_MS,
        }
    }

    fn canary_least_ms(&self, now: &Situation) -> Millisecond {
        match self.is_pressed(now) {
            true => CANARY_LEAST_MS.1,
            false => CANARY_LEAST_MS.0,
        }
    }

    /// Whether the deadline is too close for stages of their usual length.
    fn is_pressed(&self, now: &Situation) -> bool {
        let steps_ms = LOADED_MS + STEP_MS.0 * GROWING_SHARES.len() as Millisecond;
        now.age_ms + steps_ms + ALL_MARGIN_MS >= self.duration_ms
    }

    /// Time of each growing stage that is left, so that all requests move in time.
    fn step_ms(&self, left_ms: Millisecond) -> Millisecond {
        let steps = GROWING_SHARES.len().saturating_sub(self.step).max(1) as Millisecond;
        let (longest_ms, shortest_ms) = STEP_MS;
        (left_ms.saturating_sub(ALL_MARGIN_MS) / steps).clamp(shortest_ms, longest_ms)
    }

    /// What nodes follow in the present stage.
    pub fn decision(&self, now: &Situation) -> Decision {
        let few = (now.old_servers as f64 * CANARY_SERVERS_SHARE) as u32;
        let few = few.clamp(1, now.new_servers.max(1));
        // The share at which the few servers have the load of the old ones.
        let equal = f64::from(few) / f64::from(now.old_servers + few);
        let bounded = |share: f64| share.min(self.share_limit(now));
        let (share, servers) = match self.stage {
            Stage::Canary => (bounded(equal.min(self.canary_share(now))), few),
            Stage::Loaded => (bounded(equal), few),
            Stage::Growing => (GROWING_SHARES[self.step.min(1)], now.new_servers),
            Stage::All => (1.0, now.new_servers),
        };
        Decision {
            stage: self.stage,
            share: match now.new_servers {
                0 => 0.0,
                _ => share,
            },
            servers,
        }
    }

    fn canary_share(&self, now: &Situation) -> f64 {
        let Some(requests_per_s) = now.requests_per_s else {
            return CANARY_SHARE;
        };
        let requests = requests_per_s.max(1.0) * LATE_FAULT_MS as f64 / 1_000.0;
        CANARY_SHARE + self.bounds.slack * CANARY_SLACK / requests
    }

    /// Greatest share that keeps the exposure within its bound, also if the version turns out to be
    /// bad now.
    fn share_limit(&self, now: &Situation) -> f64 {
        let bounds = &self.bounds;
        let allowed =
            bounds.share * COUNTED_SHARE * now.sent as f64 + bounds.slack * (1.0 - SLACK_RESERVE);
        let left = allowed - now.sent_new as f64;
        let planned = bounds.share * COUNTED_SHARE;
        match now.requests_per_s {
            Some(requests_per_s) => {
                let in_delay = (requests_per_s * DELAY_S).max(1.0);
                (planned + left / in_delay).clamp(0.0, 1.0)
            }
            None if left > 0.0 => planned,
            None => 0.0,
        }
    }
}
