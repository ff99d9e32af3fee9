//! Calls of plain services: idempotent calls are retried, others run at most once.

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

/// Delay after which a caller may retry a call that no backend server could serve.
const RETRY_AFTER_MS: Millisecond = 1_000;

/// One call of a plain service, as it is forwarded.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request.
    pub id: RequestId,
    /// The service called.
    pub service: Name,
    /// Time limit of the whole call, all attempts included.
    pub timeout_ms: Millisecond,
    /// Attempts allowed, the first included.
    pub max_attempts: u32,
    /// The HTTP request sent to the backend server.
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

/// The error for the caller of a call that failed.
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
