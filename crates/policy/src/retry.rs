//! Decides whether a failed attempt is retried.
//!
//! Each request has one budget of attempts and one deadline that cover all layers. The budget moves
//! with the request when a peer takes it over. Each service has a retry budget, a token bucket that
//! is filled by first attempts, so retries stay a small share of the traffic however many attempts
//! fail.

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

/// Thousandths of a retry that a first attempt adds to its service's budget by default.
pub const DEFAULT_DEPOSIT_MILLI: u64 = 60;

/// Capacity of a service's retry budget, in thousandths of a retry.
pub const BUDGET_CAP_MILLI: u64 = 10_000;

/// Most that grants for lost servers can hold, in thousandths of a retry.
pub const GRANT_CAP_MILLI: u64 = 500_000;

/// Time after which a grant for a lost server expires.
pub const GRANT_TTL_MS: Millisecond = 2_000;

/// Range from which the caller's Retry-After time is drawn when a request is given up.
pub const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<Millisecond> = 1_000..=4_000;

const RETRY_MILLI: u64 = 1_000;

/// Why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The backend server is leaving after an announcement.
    Leaving,
    /// No backend server could take the request, so it was not sent.
    NoServer,
    /// The backend server failed, and with it every request that it was running.
    ServerLost,
    /// The connection could not be opened.
    ConnectFailed,
    /// The backend server refused because of overload, for example with status 429 or 503.
    Overloaded,
    /// The backend server answered with another server error.
    ServerError,
    /// The backend server rejected the request as invalid, as any other server would.
    BadRequest,
    /// The connection closed early or the answer was malformed.
    Broken,
    /// The answer did not arrive within the attempt's timeout.
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    pub cause: FailureCause,
    /// Whether a backend server ran this attempt.
    pub run_state: RunState,
    /// Retry-After time that the backend server sent.
    pub retry_after_ms: Option<Millisecond>,
}

/// Attempts and time left to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBudget {
    /// Whether the request may run more than once.
    pub effect: Effect,
    /// Failed attempts so far, over all layers and entry VMs.
    pub failed: u32,
    /// Failed attempts after which the request is given up.
    pub failed_limit: u32,
    /// Latest start of an attempt, on the same clock as `now_ms`.
    pub deadline_ms: Millisecond,
    /// Shortest time in which an attempt can succeed.
    pub useful_ms: Millisecond,
    /// Times that the request waited because no backend server was available.
    pub waits: u32,
    /// Whether a backend server ran any attempt so far.
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

/// Retry budget of one service at this entry VM.
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
            deposit_milli: DEFAULT_DEPOSIT_MILLI,
            earned_milli: BUDGET_CAP_MILLI,
            granted_milli: 0,
            grant_end_ms: 0,
        }
    }
}

impl ServiceBudget {
    /// Sets what each first attempt adds, in thousandths of a retry; 0 also empties the budget.
    pub fn set_deposit(&mut self, deposit_milli: u64) {
        self.deposit_milli = deposit_milli;
        if deposit_milli == 0 {
            self.earned_milli = 0;
        }
    }

    /// Adds the deposit for the first attempt of a request.
    pub fn first_attempt(&mut self) {
        self.earned_milli = BUDGET_CAP_MILLI.min(self.earned_milli + self.deposit_milli);
    }

    /// Grants one retry for each request that was on a lost backend server, if at least half of the
    /// service's servers are left to run them. The grant expires after [`GRANT_TTL_MS`].
    pub fn server_lost(&mut self, in_flight: u32, left: u32, before: u32, now_ms: Millisecond) {
        if u64::from(left) * 2 < u64::from(before) {
            return;
        }
        let rest_milli = self.unexpired_grant_milli(now_ms);
        let grant_milli = u64::from(in_flight) * RETRY_MILLI;
        self.granted_milli = GRANT_CAP_MILLI.min(rest_milli + grant_milli);
        self.grant_end_ms = now_ms + GRANT_TTL_MS;
    }

    fn unexpired_grant_milli(&self, now_ms: Millisecond) -> u64 {
        if now_ms < self.grant_end_ms {
            self.granted_milli
        } else {
            0
        }
    }

    fn withdraw(&mut self, cause: FailureCause, now_ms: Millisecond) -> Withdrawal {
        if matches!(cause, FailureCause::Leaving | FailureCause::NoServer) {
            return Withdrawal::Allowed;
        }
        let granted_milli = self.unexpired_grant_milli(now_ms);
        if cause == FailureCause::ServerLost && granted_milli >= RETRY_MILLI {
            self.granted_milli = granted_milli - RETRY_MILLI;
            return Withdrawal::Allowed;
        }
        if self.earned_milli < RETRY_MILLI {
            return Withdrawal::Refused;
        }
        self.earned_milli -= RETRY_MILLI;
        Withdrawal::Allowed
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Withdrawal {
    Allowed,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUpReason {
    /// The request may have run and is not idempotent.
    NotRepeatable,
    /// The request itself is invalid.
    BadRequest,
    /// The request has used all its attempts.
    Attempts,
    /// The deadline leaves no time for another attempt.
    Deadline,
    /// The retry budget of the service is empty.
    ServiceBudget,
}

/// Outcome of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again.
    RetryAfter { delay_ms: Millisecond },
    /// Answer the caller with an error now.
    GiveUp {
        reason: GiveUpReason,
        /// Whether a backend server ran any attempt.
        run_state: RunState,
        /// Retry-After time for the caller; `None` when another try cannot help or is unsafe.
        retry_after_ms: Option<Millisecond>,
    },
}

/// Decides whether to retry after `failure`, and charges the request's and the service's budget.
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
    match give_up_reason(
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

fn give_up_reason(
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
        Withdrawal::Allowed => None,
        Withdrawal::Refused => Some(GiveUpReason::ServiceBudget),
    }
}

fn delay_ms(request: &RequestBudget, failure: Failure, rng: &mut impl Rng) -> Millisecond {
    let earlier_failures = match failure.cause {
        FailureCause::Leaving => return 0,
        FailureCause::NoServer => request.waits - 1,
        _ => request.failed - 1,
    };
    let backoff_ms = BACKOFF.delay_ms(earlier_failures, rng);
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
            let requested_ms = failure.retry_after_ms.unwrap_or(0);
            Some(rng.random_range(RETRY_AFTER_RANGE_MS).max(requested_ms))
        }
    };
    RetryDecision::GiveUp {
        reason,
        run_state: request.run_state,
        retry_after_ms,
    }
}
