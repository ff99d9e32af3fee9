//! What a request that may be repeated does when its server has sent nothing for a while. A sound
//! server may go on a moment later, so the request leaves only for a server that takes it.

use base::units::Millisecond;
use serde::Serialize;

use super::outcome::NextAction;
use super::reach::Reach;
use super::retry_budget::RetryPermit;
use super::timeouts::NoServer;

/// Longest silence of a sound server. After it, the connection may have been lost without a reset.
const SOUND_SILENCE_MS: Millisecond = 2_000;

/// A request whose server is silent.
#[derive(Clone, Copy, Debug)]
pub struct SilentAttempt {
    /// Time since the server last made progress with the request.
    pub silent_ms: Millisecond,
    /// What follows under the limits of the route if this attempt has failed.
    pub next: NextAction,
    /// Whether the retry budget of the service has a retry left.
    pub retry: RetryPermit,
    pub reach: Reach,
    pub handover: Handover,
    pub quarantine: Quarantine,
}

/// Whether another node could serve the request from the beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    Possible,
    /// Part of the answer was relayed, another node has passed the request on, or no node takes it.
    Impossible,
}

/// Whether a part of the prompt is in quarantine, so that no further server may run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quarantine {
    Clear,
    InForce,
}

/// Servers among which the next one is sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successors {
    Others,
    /// The silent server, too, over a new connection.
    Any,
}

/// Reason to stay at a silent server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StayReason {
    /// No further server may run the request.
    AttemptLimit,
    RetryBudget,
    Quarantine,
    /// This node has lost its paths to the servers.
    PathsLost,
    /// No server takes the request.
    NoServer,
    /// Every server that could take the request is full or too busy.
    NoCapacity,
    /// The next server is chosen, and this node's turn to send to it has not come.
    AwaitsTurn,
}

impl From<NoServer> for StayReason {
    fn from(no_server: NoServer) -> Self {
        match no_server {
            NoServer::Full | NoServer::Busy { .. } => Self::NoCapacity,
            NoServer::None
            | NoServer::VersionGone
            | NoServer::Unreached
            | NoServer::TooLate
            | NoServer::Closed { .. } => Self::NoServer,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAction {
    /// Look for a server that takes the request, and stay if there is none.
    Seek(Successors),
    Stay(StayReason),
    /// Give the attempt up, so that another node serves the request.
    HandOver,
}

impl SilentAttempt {
    pub fn action(&self) -> SilenceAction {
        if self.next == NextAction::GiveUp {
            return SilenceAction::Stay(StayReason::AttemptLimit);
        }
        if self.retry == RetryPermit::Exhausted {
            return SilenceAction::Stay(StayReason::RetryBudget);
        }
        match (self.reach, self.handover, self.quarantine) {
            (Reach::Lost, Handover::Possible, _) => SilenceAction::HandOver,
            (Reach::Lost, Handover::Impossible, _) => SilenceAction::Stay(StayReason::PathsLost),
            (Reach::Reached, _, Quarantine::InForce) => SilenceAction::Stay(StayReason::Quarantine),
            (Reach::Reached, _, Quarantine::Clear) => SilenceAction::Seek(self.successors()),
        }
    }

    fn successors(&self) -> Successors {
        match self.silent_ms > SOUND_SILENCE_MS {
            true => Successors::Any,
            false => Successors::Others,
        }
    }
}
