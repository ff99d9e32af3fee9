//! How long a request waits for a silent server before it is sent elsewhere, and for a server to be
//! available.

use base::outcome::RunState;
use base::units::Millisecond;

use super::outcome::AttemptHistory;
use super::retry_budget::RetryPermit;

/// A request that may be repeated is sent elsewhere after this multiple of its target time.
const SILENCE_TARGET_RATIO: u64 = 3;

/// Range of that time. It is no shorter than a pause of a busy server, and shorter than the time
/// after which the least patient callers disconnect.
const SILENCE_BOUNDS_MS: std::ops::RangeInclusive<Millisecond> = 300..=1_200;

/// A server that is known to be busy gets this multiple of its predicted time, because the request
/// would start from the beginning elsewhere.
const PREDICTED_TIME_RATIO: u64 = 2;

/// Share of the target time for which a request that was not run may wait for a server with room. A
/// wait this short carries no penalty under the service's targets.
pub const FULL_WAIT_SHARE: f64 = 0.125;

/// Longest time that such a request waits if no server is known at all, for example while one is
/// replaced.
const NO_SERVER_WAIT_MS: Millisecond = 400;

/// Reason that no server was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoServer {
    /// No server that takes new work is known.
    None,
    /// Every known server that takes new work is full.
    Full,
    /// At each server, the work of other requests would take too much of the target time.
    Busy {
        /// Time that a server would take to read the request's prompt.
        reading_ms: Millisecond,
    },
    /// No server that takes new work is of the software version that began the stream.
    VersionGone,
    /// This node has lost its paths to the servers.
    Unreached,
    /// No server can answer in the time left.
    TooLate,
    /// No server accepts a request in the time left.
    Closed {
        /// Time until the first server accepts a request.
        opens_in_ms: Millisecond,
    },
}

/// How long a request may wait for a server. One that may have run can no longer be refused, so it
/// waits as long as there is time for an answer.
pub fn server_wait_ms(
    reason: NoServer,
    run_state: RunState,
    target_ms: Millisecond,
    left_ms: Millisecond,
) -> Millisecond {
    let max_ms = left_ms / 2;
    let wanted_ms = match (run_state, reason) {
        (_, NoServer::VersionGone | NoServer::Unreached) => 0,
        (RunState::Unknown | RunState::Ran, _) => max_ms,
        (RunState::NotRun, NoServer::Full | NoServer::Busy { .. }) => {
            (target_ms as f64 * FULL_WAIT_SHARE) as Millisecond
        }
        (RunState::NotRun, NoServer::None) => NO_SERVER_WAIT_MS,
        (RunState::NotRun, NoServer::TooLate | NoServer::Closed { .. }) => 0,
    };
    wanted_ms.min(max_ms)
}

/// How long a server may stay silent before the request is sent elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceTimeout {
    /// Until the deadline of the request, because no other server may run it.
    UntilDeadline,
    After(Millisecond),
}

/// State of a request from which the silence timeout is derived.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// Attempts made so far.
    pub history: AttemptHistory,
    /// Whether the retry budget of the service has a retry left.
    pub retry: RetryPermit,
    /// Target for the time to first byte.
    pub target_ms: Millisecond,
    /// Time left until the deadline of the request.
    pub left_ms: Millisecond,
    /// Predicted time to first byte of the server.
    pub predicted_ms: Millisecond,
}

impl AttemptState {
    pub fn silence_timeout(&self) -> SilenceTimeout {
        let last = self.history.runs + 1 >= self.history.runs_limit;
        if !self.history.kind.repeats() || last || self.retry == RetryPermit::Exhausted {
            return SilenceTimeout::UntilDeadline;
        }
        let silence_ms = SILENCE_TARGET_RATIO * self.target_ms;
        let silence_ms = silence_ms.clamp(*SILENCE_BOUNDS_MS.start(), *SILENCE_BOUNDS_MS.end());
        let wanted_ms = silence_ms.max(PREDICTED_TIME_RATIO * self.predicted_ms);
        // Leaves time for one more attempt.
        let limit_ms = (self.left_ms / 2).max(self.target_ms);
        SilenceTimeout::After(wanted_ms.min(limit_ms))
    }
}
