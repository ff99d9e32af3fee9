//! Whether a request leaves its node's failure domain.
//!
//! A request stays if a server of the node's own domain answers within its target with a margin. It
//! leaves if it would be late there, or finds no capacity, and another domain has capacity, or if
//! leaving saves a share of the target that callers notice. The share of requests that leave rises
//! only while the predicted waits differ, so that no more leave than equalise them.

use base::outcome::RunState;
use base::units::Millisecond;

use super::placement::{Choice, Locality};

/// Share of the target within which a domain must be predicted to answer. Half of the predictions
/// agree with the real times within 25%.
const IN_TIME_SHARE: f64 = 0.8;

/// Saving as a share of the target that callers notice.
const NOTICED_SHARE: f64 = 0.2;

/// Least saving as a share of the target for which a request leaves. It is above 0, so that two
/// domains with the same wait don't exchange requests because of the noise in their predictions.
const LEAST_SHARE: f64 = 0.1;

/// The thresholds for leaving stay lowered for this time after the last request that would leave.
const HOLD_MS: Millisecond = 500;

/// Shortest time between two steps of the share.
const STEP_MS: Millisecond = 100;

/// Step of the share for a saving of the whole target.
const STEP_GAIN: f64 = 0.5;

/// Factor of the share for each step without a request that would leave.
const STEP_DECAY: f64 = 0.5;

/// Below this the share is 0.
const LEAST_SENT_SHARE: f64 = 0.02;

/// Growth of the predicted wait with the age of the loads, in milliseconds per millisecond: the
/// queues of a domain grow at this rate if demand exceeds its capacity by a fifth.
const WAIT_GROWTH: f64 = 0.2;

/// Round trip to another domain in addition to that within the own one, until it has been measured.
const ROUND_TRIP_MS: f64 = 2.0;

/// Bytes of an answer for each token, and for each event around its tokens.
const TOKEN_BYTES: f64 = 5.0;
const EVENT_BYTES: f64 = 40.0;

/// What a request needs, and what its traffic costs.
#[derive(Clone, Copy, Debug)]
pub struct ExitTerms {
    /// Target for the time to first byte.
    pub target_ms: Millisecond,
    /// Body of the request and expected answer.
    pub traffic_kb: f64,
    /// Milliseconds of wait that a kilobyte between domains is worth.
    pub cost_ms_per_kb: f64,
    pub now_ms: Millisecond,
    /// Age of the other domains' loads.
    pub load_age_ms: Millisecond,
    pub refusal: Refusal,
}

/// Whether a request may be refused if no server has capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Possible,
    /// An earlier attempt may have run.
    Impossible,
}

impl Refusal {
    /// Whether a request may be refused after attempts that ended in `run_state`.
    pub fn after(run_state: RunState) -> Self {
        match run_state {
            RunState::NotRun => Self::Possible,
            RunState::Unknown | RunState::Ran => Self::Impossible,
        }
    }
}

/// The best server of the node's own domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Own {
    /// The domain has no server that takes requests.
    NoServers,
    /// Every server is full, or has too much work to accept the request.
    NoRoom,
    Best(Estimate),
}

/// Predicted times at one server, corrected by what was measured in its domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub choice: Choice,
    /// Time added to the prediction: round trip, delay measured beyond the predictions, and age of the
    /// loads.
    pub surcharge_ms: f64,
}

impl Estimate {
    /// Time to first byte.
    pub fn first_byte_ms(&self) -> f64 {
        self.choice.first_byte_ms as f64 + self.surcharge_ms
    }
}

/// The best server of the other domains that accepts the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Other {
    pub best: Estimate,
    /// Whether the server answered this node's last requests.
    pub health: OtherHealth,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherHealth {
    Healthy,
    RecentlyFailed,
}

/// What a request does, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitDecision {
    Stays(StayReason),
    Leaves(LeaveReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StayReason {
    /// The own domain answers in time, and leaving saves too little.
    InTime,
    /// No other domain accepts the request.
    NoOther,
    /// The other domains have too little capacity themselves.
    OthersShort,
    /// Leaving saves less than the traffic costs.
    TooDear,
    /// As many requests leave already as equalise the waits.
    Equalised,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LeaveReason {
    NoServers,
    NoRoom,
    /// The own domain would be late.
    Late,
    /// The own domain answers in time, but another one noticeably earlier.
    Earlier,
}

impl StayReason {
    pub fn label(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::NoOther => "no_other",
            Self::OthersShort => "others_short",
            Self::TooDear => "too_dear",
            Self::Equalised => "equalised",
        }
    }
}

impl LeaveReason {
    pub fn label(self) -> &'static str {
        match self {
            Self::NoServers => "no_servers",
            Self::NoRoom => "no_room",
            Self::Late => "late",
            Self::Earlier => "earlier",
        }
    }
}

impl ExitDecision {
    pub fn label(self) -> &'static str {
        match self {
            Self::Stays(reason) => reason.label(),
            Self::Leaves(reason) => reason.label(),
        }
    }
}

/// State of one service at one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainExit {
    /// Share of the requests that would leave which are allowed to, in addition to the saving.
    share: f64,
    /// When a request last would have left; `None` before the first one.
    wanted_ms: Option<Millisecond>,
    step: Step,
}

/// Requests since the last step of the share.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    from_ms: Millisecond,
    wanting: u32,
    saved_share: f64,
}

/// Whether requests of the service have left a short while ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Calm,
    Leaving,
}

impl DomainExit {
    /// Decides for one request. `drawn` is a random number, uniform from 0 to 1.
    pub fn decide(
        &mut self,
        own: Own,
        other: Option<Other>,
        terms: &ExitTerms,
        drawn: f64,
    ) -> ExitDecision {
        let Some(other) = other else {
            return ExitDecision::Stays(StayReason::NoOther);
        };
        let best = match own {
            // No hysteresis: there is nothing to stay at.
            Own::NoServers => return ExitDecision::Leaves(LeaveReason::NoServers),
            Own::NoRoom if terms.refusal == Refusal::Impossible => {
                return ExitDecision::Leaves(LeaveReason::NoRoom);
            }
            Own::NoRoom => None,
            Own::Best(best) => Some(best),
        };
        if other.health == OtherHealth::RecentlyFailed || !other.has_capacity(terms) {
            self.end_step(terms);
            return ExitDecision::Stays(StayReason::OthersShort);
        }
        let Some(best) = best else {
            return ExitDecision::Leaves(LeaveReason::NoRoom);
        };
        let target_ms = terms.target_ms as f64;
        let own_ms = best.first_byte_ms();
        let saved_ms = own_ms - other.best.first_byte_ms() - terms.price_ms();
        let saved_share = saved_ms / target_ms.max(1.0);
        let flow = self.flow(terms.now_ms);
        let reason = match own_ms > IN_TIME_SHARE * target_ms {
            _ if saved_share < LEAST_SHARE => None,
            true => Some(LeaveReason::Late),
            false if saved_share >= flow.noticed_share() => Some(LeaveReason::Earlier),
            false => None,
        };
        let Some(reason) = reason else {
            self.end_step(terms);
            return ExitDecision::Stays(match own_ms > IN_TIME_SHARE * target_ms {
                true => StayReason::TooDear,
                false => StayReason::InTime,
            });
        };
        self.wanted_ms = Some(terms.now_ms);
        self.step.wanting += 1;
        self.step.saved_share += saved_share;
        self.end_step(terms);
        match drawn < (self.share + saved_share).min(1.0) {
            true => ExitDecision::Leaves(reason),
            false => ExitDecision::Stays(StayReason::Equalised),
        }
    }

    /// Share of the requests that would leave which are allowed to whatever they save.
    pub fn share(&self) -> f64 {
        self.share
    }

    fn flow(&self, now_ms: Millisecond) -> Flow {
        match self.wanted_ms {
            Some(ms) if now_ms.saturating_sub(ms) <= HOLD_MS => Flow::Leaving,
            _ => Flow::Calm,
        }
    }

    /// Moves the share once for each time that the loads were renewed: a step that does not see the
    /// effect of the previous one would go too far.
    fn end_step(&mut self, terms: &ExitTerms) {
        let after_ms = terms.now_ms.saturating_sub(self.step.from_ms);
        if after_ms < STEP_MS.max(terms.load_age_ms) {
            return;
        }
        let step = self.step;
        self.step = Step {
            from_ms: terms.now_ms,
            ..Step::default()
        };
        if step.wanting > 0 {
            let saved_share = (step.saved_share / f64::from(step.wanting)).min(1.0);
            self.share = (self.share + STEP_GAIN * saved_share).min(1.0);
            return;
        }
        // Several steps without a request count each.
        let steps = (after_ms / STEP_MS.max(terms.load_age_ms)).min(64) as i32;
        self.share *= STEP_DECAY.powi(steps);
        if self.share < LEAST_SENT_SHARE {
            self.share = 0.0;
        }
    }
}

impl Flow {
    fn noticed_share(self) -> f64 {
        match self {
            Self::Calm => NOTICED_SHARE,
            Self::Leaving => LEAST_SHARE,
        }
    }
}

impl Other {
    /// Whether the domain answers in time, so that it does not send requests out itself. A request
    /// that is late anywhere by its own size may go to a domain without queues.
    fn has_capacity(&self, terms: &ExitTerms) -> bool {
        let target_ms = terms.target_ms as f64;
        let wait_ms = self.best.choice.wait_ms as f64 + self.best.surcharge_ms;
        self.best.first_byte_ms() <= IN_TIME_SHARE * target_ms || wait_ms <= LEAST_SHARE * target_ms
    }
}

impl ExitTerms {
    /// Price of the request's traffic between domains.
    pub fn price_ms(&self) -> f64 {
        self.traffic_kb * self.cost_ms_per_kb
    }
}

/// Expected bytes of an answer with so many tokens, in events of `event_tokens` each.
pub fn answer_bytes(output_tokens: u64, event_tokens: u32) -> f64 {
    let events = output_tokens as f64 / f64::from(event_tokens.max(1));
    output_tokens as f64 * TOKEN_BYTES + events * EVENT_BYTES
}

/// Time added to the prediction for a server of a domain whose loads are `load_age_ms` old.
/// What the predictions miss in the own domain, they are expected to miss in another one, too: few
/// requests measure the latter.
pub fn surcharge_ms(
    locality: Locality,
    own_delay_ms: f64,
    delay_ms: f64,
    load_age_ms: Millisecond,
) -> f64 {
    let growth_ms = WAIT_GROWTH * load_age_ms as f64;
    match locality {
        Locality::SameDomain => delay_ms + growth_ms,
        Locality::OtherDomain => ROUND_TRIP_MS + (delay_ms.max(own_delay_ms) + growth_ms),
    }
}

/// Delay of a domain's first bytes beyond the predictions: a slow link, or more work than is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredDelay {
    excess_ms: f64,
    updated_ms: Millisecond,
}

impl MeasuredDelay {
    /// Weight of a new sample in the average.
    const WEIGHT: f64 = 0.15;

    /// Time in which the delay halves without samples, so that the domain is tried again.
    const HALF_LIFE_MS: f64 = 3_000.0;

    /// Records by how much a first byte was later than predicted.
    pub fn record(&mut self, excess_ms: f64, now_ms: Millisecond) {
        let before_ms = self.ms(now_ms);
        self.excess_ms = before_ms + Self::WEIGHT * (excess_ms - before_ms);
        self.updated_ms = now_ms;
    }

    /// The delay at a time.
    pub fn ms(&self, now_ms: Millisecond) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (self.excess_ms * 0.5_f64.powf(idle_ms / Self::HALF_LIFE_MS)).max(0.0)
    }
}
