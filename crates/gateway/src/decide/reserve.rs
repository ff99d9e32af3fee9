//! Reserve of a workspace's allowance for requests that cost little or are urgent.
//!
//! Load: a workspace asks for more than its allowance. By the level alone, each request that meets an
//! empty level is refused, whatever it costs and however urgent it is. Here, cheap and urgent
//! requests may exceed the level by a part of the refill, for which the next ones make up. Nothing
//! is set aside, so a reserve that nobody claims is not lost. Requests of kinds that are served more
//! than they should be leave units in the level for the others.
//!
//! Each node decides by the requests that it has received itself.

use base::Name;
use base::units::Millisecond;

use super::allowance::{Bucket, Fleet};
use super::competing_kinds::{CompetingKinds, KindIndex};

/// Share of the refill that cheap kinds get before others, and by which the level may be exceeded.
pub const RESERVE_SHARE: f64 = 0.25;

/// Time for which the reserve accumulates. Together the nodes exceed the level by half of one
/// second's rate at most, which is within the overage that the deployments tolerate. At 1 s, the part
/// of one of 67 nodes in an allowance of 40,000 units a second did not cover a checkout.
const RESERVE_LIMIT_S: f64 = 2.0;

/// Requests compete for this time after one was refused. A node of a large fleet refuses one a second
/// if the demand is a little above the allowance.
const COMPETING_MS: Millisecond = 3_000;

/// Rank of an idempotent request without a rank.
const LEAST_URGENT: u8 = 9;

/// A request that is to be charged to the allowance.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Cost in units of the allowance.
    pub cost: f64,
    pub service: Name,
    /// Rank 0 is the most urgent.
    pub rank: u8,
}

/// Whether a request has a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ranking {
    Ranked,
    Unranked { idempotent: bool },
}

/// Rank by which a request competes for the allowance. One without a rank that is not idempotent is
/// urgent, because it can't be repeated elsewhere.
pub fn claim_rank(ranking: Ranking, priority: u8) -> u8 {
    match ranking {
        Ranking::Ranked => priority,
        Ranking::Unranked { idempotent: false } => 0,
        Ranking::Unranked { idempotent: true } => LEAST_URGENT,
    }
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Charged(Source),
    Refused(Refusal),
}

/// What a request is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Level,
    /// The level is exceeded.
    Reserve,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub reason: RefusalReason,
    /// Units that are left; negative after late reports of other nodes.
    pub level: f64,
    /// Units that the request must leave for other kinds.
    pub held: f64,
    /// Units by which cheap requests may exceed the level at this node.
    pub reserve: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The level is below the cost, and the request may not use the reserve.
    LevelUsed,
    /// The level and the reserve are below the cost.
    ReserveUsed,
    /// The level covers the cost, but not the units that are held for kinds that are served less.
    Held,
}

impl RefusalReason {
    /// Value in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::LevelUsed => "level_used",
            Self::ReserveUsed => "reserve_used",
            Self::Held => "held",
        }
    }
}

/// What one node knows of the requests that compete for a workspace's allowance.
#[derive(Clone, Debug)]
pub struct Reserve {
    kinds: CompetingKinds,
    /// Units by which the level may be exceeded.
    units: f64,
    updated_ms: Millisecond,
    refused_ms: Option<Millisecond>,
}

impl Reserve {
    pub fn new(now_ms: Millisecond) -> Self {
        Self {
            kinds: CompetingKinds::default(),
            units: 0.0,
            updated_ms: now_ms,
            refused_ms: None,
        }
    }

    /// Charges a request to the allowance if there is room for it, or if it may use the reserve.
    pub fn charge(
        &mut self,
        bucket: &mut Bucket,
        claim: &Claim,
        fleet: Fleet,
        now_ms: Millisecond,
    ) -> Decision {
        bucket.update(fleet, now_ms);
        self.refill(bucket, fleet, now_ms);
        self.kinds.update(now_ms);
        let kind = self.kinds.find_or_add(claim, now_ms);
        let held = match self.is_competing(now_ms) {
            true => {
                let allowance = bucket.allowance();
                (self.kinds).units_held_from(kind, claim.cost, allowance, now_ms)
            }
            false => 0.0,
        };
        let source = self.source(bucket, kind, claim, held);
        self.kinds.count_offered(kind, claim.cost, now_ms);
        let source = match source {
            Ok(source) => source,
            Err(reason) => {
                self.refused_ms = Some(now_ms);
                return Decision::Refused(Refusal {
                    reason,
                    level: bucket.level(),
                    held,
                    reserve: self.units,
                });
            }
        };
        self.kinds.count_served(kind, claim.cost);
        bucket.take(claim.cost);
        if source == Source::Reserve {
            self.units -= claim.cost;
        }
        Decision::Charged(source)
    }

    fn source(
        &self,
        bucket: &Bucket,
        kind: KindIndex,
        claim: &Claim,
        held: f64,
    ) -> Result<Source, RefusalReason> {
        if bucket.covers(claim.cost, held) {
            return Ok(Source::Level);
        }
        if bucket.covers(claim.cost, 0.0) {
            return Err(RefusalReason::Held);
        }
        if held > 0.0 || self.kinds.yields_reserve(kind) {
            return Err(RefusalReason::LevelUsed);
        }
        // Half of the reserve is for cheap requests alone, as large urgent ones would use it up.
        let usable = match (self.kinds.is_cheap(kind), self.kinds.is_more_urgent(kind)) {
            (true, _) => self.units,
            (false, true) => self.units / 2.0,
            (false, false) => return Err(RefusalReason::LevelUsed),
        };
        match claim.cost <= usable {
            true => Ok(Source::Reserve),
            false => Err(RefusalReason::ReserveUsed),
        }
    }

    fn is_competing(&self, now_ms: Millisecond) -> bool {
        self.refused_ms
            .is_some_and(|at_ms| now_ms <= at_ms + COMPETING_MS)
    }

    /// Adds this node's part of the reserved refill.
    fn refill(&mut self, bucket: &Bucket, fleet: Fleet, now_ms: Millisecond) {
        let span_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = now_ms.max(self.updated_ms);
        let reserved_per_s = bucket.allowance().rate_per_s * RESERVE_SHARE;
        let own_per_s = reserved_per_s * bucket.reserve_share(fleet, now_ms);
        self.units = (self.units + own_per_s * span_s).min(own_per_s * RESERVE_LIMIT_S);
    }
}
