//! What happens after a failed attempt, and what can be said about a request that is given up.

use base::outcome::RunState;
use base::units::Millisecond;

use super::backpressure::WithholdReason;
use crate::belief::RouteKind;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCause {
    Unreachable,
    /// A signal of the server, received since it was chosen, forbids the request.
    Withheld(WithholdReason),
    /// The server said that it did not run the request.
    Refused,
    /// The server refused the request without saying that it did not run it.
    BareRefusal,
    /// The address now belongs to another server.
    Misdirected,
    Broken,
    /// The bytes received are no valid answer to this request.
    Garbled,
    /// The memory for bodies has no room for the answer.
    Unheld,
    /// The server sent nothing for too long.
    Silent,
    /// The server ran the request and failed.
    Failed,
}

impl FailureCause {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Withheld(WithholdReason::Leaving) => "withheld_leaving",
            Self::Withheld(WithholdReason::HeldOff) => "withheld_held_off",
            Self::Withheld(WithholdReason::Limited) => "withheld_limited",
            Self::Refused => "refused",
            Self::BareRefusal => "bare_refusal",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Unheld => "unheld",
            Self::Silent => "silent",
            Self::Failed => "failed",
        }
    }

    /// Whether the server may have run the request.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Unreachable | Self::Withheld(_) | Self::Refused | Self::Misdirected => {
                RunState::NotRun
            }
            Self::BareRefusal | Self::Broken | Self::Garbled | Self::Unheld | Self::Silent => {
                RunState::Unknown
            }
            Self::Failed => RunState::Ran,
        }
    }

    /// Whether the request reached the server, so that the attempt counts as a send.
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld(_))
    }
}

/// Range from which the advised delay before a retry by the caller is drawn, so that returning
/// requests are spread out.
pub const RETRY_AFTER_MS: (Millisecond, Millisecond) = (250, 900);

/// Limit on the sends of one request if all of them are refused. Each further send also counts
/// against the retry budget of the service.
pub const MAX_SENDS: u32 = 4;

/// The attempts made so far for one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// Kind of the route, which says whether the request may be repeated.
    pub kind: RouteKind,
    /// Highest number of servers that may run the request.
    pub runs_limit: u32,
    /// Servers that may have run the request.
    pub runs: u32,
    /// Sends that reached a server.
    pub sends: u32,
    /// Attempts, including those that reached no server.
    pub attempts: u32,
    /// Whether a server has run the request, as far as known.
    pub run_state: RunState,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Make another attempt if the retry budget of the service allows it.
    Retry,
    GiveUp,
}

impl AttemptHistory {
    /// History of a request that has not been sent.
    pub fn new(kind: RouteKind, runs_limit: u32) -> Self {
        Self {
            kind,
            runs_limit: runs_limit.max(1),
            runs: 0,
            sends: 0,
            attempts: 0,
            run_state: RunState::NotRun,
        }
    }

    /// Records a failed attempt. `left_ms` is the time left until the deadline of the request.
    pub fn record_failure(&mut self, cause: FailureCause, left_ms: Millisecond) -> NextAction {
        /// Bounds all attempts, as those that reach no server are no sends. Each of them costs a
        /// connect timeout.
        const MAX_ATTEMPTS: u32 = 8;
        /// No server can answer in less time.
        const MIN_LEFT_MS: Millisecond = 20;
        self.attempts += 1;
        self.run_state = self.run_state.after(cause.run_state());
        if cause.reached_server() {
            self.sends += 1;
        }
        if cause.run_state() != RunState::NotRun {
            self.runs += 1;
        }
        let may_repeat = self.run_state == RunState::NotRun || self.kind.repeats();
        let below_limits =
            self.runs < self.runs_limit && self.sends < MAX_SENDS && self.attempts < MAX_ATTEMPTS;
        match may_repeat && below_limits && left_ms >= MIN_LEFT_MS {
            true => NextAction::Retry,
            false => NextAction::GiveUp,
        }
    }
}
