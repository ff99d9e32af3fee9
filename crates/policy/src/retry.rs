//! Decides whether a failed attempt is followed by another.
//!
//! A request has one budget of attempts and one deadline through all layers; it travels with the
//! request when a peer takes it over. A service has a budget of retries fed by its first attempts,
//! so that retries stay a small share of the traffic however much fails.

use base::backoff::Backoff;
use base::outcome::RunState;
use base::units::Millisecond;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::route::Effect;

/// Bounds of the delay before a retry.
pub const BACKOFF: Backoff = Backoff {
    base_ms: 25,
    cap_ms: 1_000,
};

/// Thousandths of a retry that a first attempt adds to its service's budget, where nothing else is
/// configured.
pub const DEPOSIT_MILLI: u64 = 60;

/// Thousandths of a retry that a service's budget holds at most.
pub const BUDGET_CAP_MILLI: u64 = 10_000;

/// Thousandths of a retry that lost servers add at most.
pub const GRANT_CAP_MILLI: u64 = 500_000;

/// Time in which a grant for a lost server must be used.
pub const GRANT_TTL_MS: Millisecond = 2_000;

/// Bounds of the advice when to come back.
pub const COME_BACK_MS: std::ops::RangeInclusive<Millisecond> = 1_000..=4_000;

const RETRY_MILLI: u64 = 1_000;

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The backend server is leaving, as announced.
    Leaving,
    /// No backend server could take the request, and none was asked.
    NoServer,
    /// The backend server was lost with everything on it.
    ServerLost,
    /// The connection could not be opened.
    ConnectFailed,
    /// The backend server refused for overload, such as with status 429 or 503.
    Overloaded,
    /// The backend server answered with another failure of its own.
    ServerError,
    /// The backend server found the request wrong; no other will think better of it.
    BadRequest,
    /// The connection broke or the answer was malformed.
    Broken,
    /// No answer in the attempt's time.
    TimedOut,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub cause: FailureCause,
    /// Whether this attempt may have run.
    pub run_state: RunState,
    /// When the backend server asks to be asked again.
    pub retry_after_ms: Option<Millisecond>,
}

/// What one request may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBudget {
    /// Whether it may be run twice.
    pub effect: Effect,
    /// Failed attempts so far, at all layers and entry VMs.
    pub failed: u32,
    /// Failed attempts after which it is given up.
    pub failed_limit: u32,
    /// Instant after which no attempt starts, on the same clock as `now_ms`.
    pub deadline_ms: Millisecond,
    /// Shortest time in which an attempt could end well.
    pub useful_ms: Millisecond,
    /// Times it has waited for a backend server to be there.
    pub waits: u32,
    /// Whether any attempt so far may have run.
    pub run_state: RunState,
}

impl RequestBudget {
    /// Budget of a request that has not been sent.
    pub fn new(effect: Effect, failed_limit: u32, deadline_ms: Millisecond) -> Self {
        Self {
            effect,
            failed: 0,
            failed_limit,
            deadline_ms,
            useful_ms: 0,
            waits: 0,
            run_state: RunState::NotRun,
        }
    }
}

/// Retries that a service may still cause at this entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceBudget {
    deposit_milli: u64,
    earned_milli: u64,
    granted_milli: u64,
    grant_end_ms: Millisecond,
}

impl Default for ServiceBudget {
    fn default() -> Self {
        Self {
            deposit_milli: DEPOSIT_MILLI,
            earned_milli: BUDGET_CAP_MILLI,
            granted_milli: 0,
            grant_end_ms: 0,
        }
    }
}

impl ServiceBudget {
    /// Sets the retries that a first attempt adds, in thousandths; with 0 none is ever earned.
    pub fn set_deposit(&mut self, deposit_milli: u64) {
        self.deposit_milli = deposit_milli;
        if deposit_milli == 0 {
            self.earned_milli = 0;
        }
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self) {
        self.earned_milli = BUDGET_CAP_MILLI.min(self.earned_milli + self.deposit_milli);
    }

    /// Grants one retry to each request that was on a lost backend server, to be used soon, if at
    /// least half of the service's servers are left to take them.
    pub fn server_lost(&mut self, in_flight: u32, left: u32, before: u32, now_ms: Millisecond) {
        if u64::from(left) * 2 < u64::from(before) {
            return;
        }
        let rest_milli = self.grant_at(now_ms);
        let grant_milli = u64::from(in_flight) * RETRY_MILLI;
        self.granted_milli = GRANT_CAP_MILLI.min(rest_milli + grant_milli);
        self.grant_end_ms = now_ms + GRANT_TTL_MS;
    }

    fn grant_at(&self, now_ms: Millisecond) -> u64 {
        if now_ms < self.grant_end_ms {
            self.granted_milli
        } else {
            0
        }
    }

    fn withdraw(&mut self, cause: FailureCause, now_ms: Millisecond) -> Withdrawal {
        if matches!(cause, FailureCause::Leaving | FailureCause::NoServer) {
            return Withdrawal::Paid;
        }
        let granted_milli = self.grant_at(now_ms);
        if cause == FailureCause::ServerLost && granted_milli >= RETRY_MILLI {
            self.granted_milli = granted_milli - RETRY_MILLI;
            return Withdrawal::Paid;
        }
        if self.earned_milli < RETRY_MILLI {
            return Withdrawal::Refused;
        }
        self.earned_milli -= RETRY_MILLI;
        Withdrawal::Paid
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Withdrawal {
    Paid,
    Refused,
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUpReason {
    /// A second run could do harm.
    NotRepeatable,
    /// The failure is the request's own.
    BadRequest,
    /// Its attempts are used up.
    Attempts,
    /// Its deadline leaves no time for another.
    Deadline,
    /// Its service has used up its retries.
    ServiceBudget,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt.
    RetryAfter {
        /// Delay before it.
        delay_ms: Millisecond,
    },
    /// The final answer, to be given at once.
    GiveUp {
        /// Why.
        reason: GiveUpReason,
        /// Whether any attempt may have run.
        run_state: RunState,
        /// When the caller may come back; `None` when coming back can't help or could do harm.
        retry_after_ms: Option<Millisecond>,
    },
}

/// Decides what follows `failure`, and books it in both budgets.
pub fn decide(
    request: &mut RequestBudget,
    service: &mut ServiceBudget,
    failure: Failure,
    now_ms: Millisecond,
    rng: &mut impl Rng,
) -> RetryDecision {
    request.run_state = request.run_state.after(failure.run_state);
    match failure.cause {
        FailureCause::Leaving => {}
        FailureCause::NoServer => request.waits += 1,
        _ => request.failed += 1,
    }
    let delay_ms = delay_ms(request, failure, rng);
    match obstacle(
        request,
        service,
        failure,
        now_ms.saturating_add(delay_ms),
        now_ms,
    ) {
        None => RetryDecision::RetryAfter { delay_ms },
        Some(reason) => give_up(reason, request, failure, rng),
    }
}

fn obstacle(
    request: &RequestBudget,
    service: &mut ServiceBudget,
    failure: Failure,
    start_ms: Millisecond,
    now_ms: Millisecond,
) -> Option<GiveUpReason> {
    if failure.cause == FailureCause::BadRequest {
        return Some(GiveUpReason::BadRequest);
    }
    let repeatable = request.effect == Effect::Idempotent || request.run_state == RunState::NotRun;
    if !repeatable {
        return Some(GiveUpReason::NotRepeatable);
    }
    if request.failed >= request.failed_limit {
        return Some(GiveUpReason::Attempts);
    }
    if start_ms.saturating_add(request.useful_ms) >= request.deadline_ms {
        return Some(GiveUpReason::Deadline);
    }
    match service.withdraw(failure.cause, now_ms) {
        Withdrawal::Paid => None,
        Withdrawal::Refused => Some(GiveUpReason::ServiceBudget),
    }
}

fn delay_ms(request: &RequestBudget, failure: Failure, rng: &mut impl Rng) -> Millisecond {
    let earlier = match failure.cause {
        FailureCause::Leaving => return 0,
        FailureCause::NoServer => request.waits - 1,
        _ => request.failed - 1,
    };
    let backoff_ms = BACKOFF.delay_ms(earlier, rng);
    backoff_ms.max(failure.retry_after_ms.unwrap_or(0))
}

fn give_up(
    reason: GiveUpReason,
    request: &RequestBudget,
    failure: Failure,
    rng: &mut impl Rng,
) -> RetryDecision {
    let retry_after_ms = match reason {
        GiveUpReason::NotRepeatable | GiveUpReason::BadRequest => None,
        GiveUpReason::Attempts | GiveUpReason::Deadline | GiveUpReason::ServiceBudget => {
            let asked_ms = failure.retry_after_ms.unwrap_or(0);
            Some(rng.random_range(COME_BACK_MS).max(asked_ms))
        }
    };
    RetryDecision::GiveUp {
        reason,
        run_state: request.run_state,
        retry_after_ms,
    }
}
