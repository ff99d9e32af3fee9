//! What follows a failed attempt, and what may be said of a request that is given up.

use base::outcome::RunState;
use base::units::Millisecond;

use super::backpressure::WithholdReason;
use crate::belief::RouteKind;

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCause {
    /// No connection could be opened.
    Unreachable,
    /// The server said something of itself meanwhile that forbids the send.
    Withheld(WithholdReason),
    /// The server said that it did not run the request.
    Refused,
    /// The server refused the request without saying that it did not run it.
    BareRefusal,
    /// Another server has the address.
    Misdirected,
    /// The connection broke.
    Broken,
    /// The bytes were no answer to this request.
    Garbled,
    /// This process has no room to hold the answer.
    Unheld,
    /// Nothing came from the server for too long.
    Silent,
    /// The server ran the request and failed.
    Failed,
}

impl FailureCause {
    /// Name in logs and metrics.
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

    /// What it says of the request.
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

    /// Whether the attempt reached the server and so counts as a send.
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld(_))
    }
}

/// Bounds of the advice when to come back, drawn evenly so that returns are spread.
pub const RETRY_AFTER_MS: (Millisecond, Millisecond) = (250, 900);

/// Most sends of one request that may all be refused; each one counts against the service's repeats.
pub const MAX_SENDS: u32 = 4;

/// Where one request stands.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Most servers that may run it.
    pub runs_limit: u32,
    /// Servers that may have run it.
    pub runs: u32,
    /// Sends that reached a server.
    pub sends: u32,
    /// Attempts of any kind.
    pub attempts: u32,
    /// What is known of it.
    pub run_state: RunState,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Another attempt, if the service's repeats allow it.
    Retry,
    /// None.
    GiveUp,
}

impl AttemptHistory {
    /// A request that has not been sent.
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

    /// Takes in a failed attempt and says what follows; `left_ms` is the time that is left.
    pub fn record_failure(&mut self, cause: FailureCause, left_ms: Millisecond) -> NextAction {
        /// Attempts that never reached a server; each costs its connect time.
        const MAX_ATTEMPTS: u32 = 8;
        /// With less time left no server can answer.
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
