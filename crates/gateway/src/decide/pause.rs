//! Whether a process has just stood still: frozen, suspended, or without a processor.
//!
//! Answers load: what waited in its sockets meanwhile. A datagram tells how old its sender's knowledge
//! was when it was sent; one that waited for seconds would make old knowledge look new.

use base::units::Millisecond;

/// A process that runs beats more often than this by several times.
const PAUSE_THRESHOLD_MS: Millisecond = 600;

/// What waited meanwhile is read within so long.
const BACKLOG_MS: Millisecond = 400;

/// Beats of a process, on a clock that counts suspensions.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    heartbeat_ms: Option<Millisecond>,
    doubted_until_ms: Millisecond,
}

/// Whether what is read now may have waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has just come.
    Immediate,
    /// It may be seconds old.
    MayHaveWaited,
}

impl PauseDetector {
    /// The process runs.
    pub fn heartbeat(&mut self, now_ms: Millisecond) {
        self.check(now_ms);
        self.heartbeat_ms = Some(now_ms);
    }

    /// Whether what is read now may have waited.
    pub fn check(&mut self, now_ms: Millisecond) -> Arrival {
        let silent_ms = self
            .heartbeat_ms
            .map_or(0, |heartbeat_ms| now_ms.saturating_sub(heartbeat_ms));
        if silent_ms > PAUSE_THRESHOLD_MS {
            self.heartbeat_ms = Some(now_ms);
            self.doubted_until_ms = now_ms + BACKLOG_MS;
        }
        match now_ms < self.doubted_until_ms {
            true => Arrival::MayHaveWaited,
            false => Arrival::Immediate,
        }
    }
}
