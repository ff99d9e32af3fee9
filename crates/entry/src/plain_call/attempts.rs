//! Attempts of a call to a plain service, counted against its retry budgets.

use std::time::Duration;

use base::outcome::RunState;
use base::units::Millisecond;
use engine::{SendError, Target};
use policy::retry::{Failure, FailureCause, RequestBudget, RetryDecision};
use policy::route::{Effect, RouteRequest};

use super::{Call, given_up};
use crate::flow::{Flow, ServerCounts};
use crate::front::{CallerError, ErrorCode, RetrySafety};

/// The step after a failed attempt.
pub enum NextStep {
    /// The backoff delay has passed; make another attempt.
    Retry,
    /// Answer the caller with this error.
    GiveUp(CallerError),
}

/// The attempts of one call.
pub struct Attempts {
    /// The routing request, which excludes servers that failed.
    pub route_request: RouteRequest,
    budget: RequestBudget,
    reason: String,
}

impl Attempts {
    /// Starts the budget of a call and counts its first attempt.
    pub fn open(flow: &Flow, call: &Call, effect: Effect) -> Self {
        let deadline_ms = flow.clock.now_ms() + call.timeout_ms;
        flow.retries.first_attempt(&call.service);
        Self {
            route_request: call.route_request(effect),
            budget: RequestBudget::new(effect, call.max_attempts, deadline_ms),
            reason: String::new(),
        }
    }

    /// Time until the deadline of the call.
    pub fn remaining_ms(&self, flow: &Flow) -> Millisecond {
        self.budget.deadline_ms.saturating_sub(flow.clock.now_ms())
    }

    /// The error for the caller when routing finds no server. It names the reason of an earlier
    /// failed attempt if there is one, as that tells more.
    pub fn no_server(&self, reason: &str) -> CallerError {
        let reason = match self.reason.is_empty() {
            true => reason,
            false => &self.reason,
        };
        self.error(ErrorCode::NoBackendServer, reason, None)
    }

    /// Handles an attempt that got no answer; waits for the backoff delay if it can be retried.
    pub async fn unanswered(&mut self, flow: &Flow, target: &Target, error: SendError) -> NextStep {
        let (cause, run_state, reason) = match error {
            SendError::NotSent { reason } => {
                (FailureCause::ConnectFailed, RunState::NotRun, reason)
            }
            SendError::Unanswered { reason } => (FailureCause::Broken, RunState::Unknown, reason),
        };
        self.reason = reason;
        flow.backends.set_suspect(&target.id);
        self.failed(flow, target, cause, run_state).await
    }

    /// Handles an attempt that failed for `cause`; waits for the backoff delay if it can be
    /// retried.
    pub async fn failed(
        &mut self,
        flow: &Flow,
        target: &Target,
        cause: FailureCause,
        run_state: RunState,
    ) -> NextStep {
        self.route_request.excluded.push(target.id.clone());
        let failure = Failure {
            cause,
            run_state,
            retry_after_ms: None,
        };
        let servers = ServerCounts { live: 0, total: 0 };
        let now_ms = flow.clock.now_ms();
        let service = &self.route_request.service;
        let decision = flow
            .retries
            .decide(service, &mut self.budget, failure, servers, now_ms);
        match decision {
            RetryDecision::RetryAfter { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                NextStep::Retry
            }
            RetryDecision::GiveUp { retry_after_ms, .. } => {
                let code = ErrorCode::BackendFailed;
                NextStep::GiveUp(self.error(code, &self.reason, retry_after_ms))
            }
        }
    }

    fn error(
        &self,
        code: ErrorCode,
        reason: &str,
        retry_after_ms: Option<Millisecond>,
    ) -> CallerError {
        let error = given_up(code, reason, self.budget.run_state, RetrySafety::Safe);
        CallerError {
            retry_after_ms: retry_after_ms.or(error.retry_after_ms),
            ..error
        }
    }
}
