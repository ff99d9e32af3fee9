//! Attempts at plain services: repeated where that is harmless, sent at most once where it is not.

mod attempts;
mod idempotent;
mod non_idempotent;

pub use idempotent::idempotent;
pub use non_idempotent::{NonIdempotent, non_idempotent};

use base::Name;
use base::ids::RequestId;
use base::outcome::RunState;
use base::units::Millisecond;
use engine::Attempt;
use policy::route::{Effect, RouteRequest};

use crate::front::{CallerError, ErrorCode, RetrySafety};

/// When a caller may come back that no backend server could serve.
const RETRY_AFTER_MS: Millisecond = 1_000;

/// One call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request's number.
    pub id: RequestId,
    /// The service called.
    pub service: Name,
    /// Longest time for the whole call.
    pub timeout_ms: Millisecond,
    /// Attempts allowed, the first included.
    pub max_attempts: u32,
    /// What is sent.
    pub attempt: Attempt,
}

impl Call {
    fn route_request(&self, effect: Effect) -> RouteRequest {
        RouteRequest {
            service: self.service.clone(),
            effect,
            ..RouteRequest::default()
        }
    }
}

/// The error of a call that was given up.
fn given_up(code: ErrorCode, reason: &str, run_state: RunState, retry: RetrySafety) -> CallerError {
    CallerError {
        run_state,
        retry,
        ..CallerError::retryable(
            code,
            format!("The call was given up: {reason}"),
            RETRY_AFTER_MS,
        )
    }
}
