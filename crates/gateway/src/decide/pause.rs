//! Detects that the process was paused: frozen, suspended or left without a processor.
//!
//! Messages wait in the sockets of a paused process. A datagram states the age of its sender's
//! knowledge at the time of sending, so one that waited for seconds would make old knowledge look
//! new.

use base::units::Millisecond;

/// A running process sends heartbeats several times within this span.
const PAUSE_THRESHOLD_MS: Millisecond = 600;

/// Time within which the messages that arrived during a pause are read.
const BACKLOG_MS: Millisecond = 400;

/// Heartbeats of the process, on a clock that also runs during suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    heartbeat_ms: Option<Millisecond>,
    backlog_until_ms: Millisecond,
}

/// Whether a message that is read now may have waited in a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The message has just arrived.
    Immediate,
    /// The message may be seconds old.
    MayHaveWaited,
}

impl PauseDetector {
    /// Records that the process is running.
    pub fn heartbeat(&mut self, now_ms: Millisecond) {
        self.check(now_ms);
        self.heartbeat_ms = Some(now_ms);
    }

    /// Time since the messages that arrived during the last pause were read; `None` if the process
    /// was never paused.
    pub fn running_ms(self, now_ms: Millisecond) -> Option<Millisecond> {
        let was_paused = self.backlog_until_ms > 0;
        was_paused.then(|| now_ms.saturating_sub(self.backlog_until_ms))
    }

    /// Whether a message that is read now may have waited in a socket.
    pub fn check(&mut self, now_ms: Millisecond) -> Arrival {
        let silent_ms = self
            .heartbeat_ms
            .map_or(0, |heartbeat_ms| now_ms.saturating_sub(heartbeat_ms));
        if silent_ms > PAUSE_THRESHOLD_MS {
            self.heartbeat_ms = Some(now_ms);
            self.backlog_until_ms = now_ms + BACKLOG_MS;
        }
        match now_ms < self.backlog_until_ms {
            true => Arrival::MayHaveWaited,
            false => Arrival::Immediate,
        }
    }
}
