//! Milliseconds since the process started.

use base::units::Millisecond;
pub use fleet::clock::{boot_ms, unix_ms};
use tokio::time::Instant;

/// Reading at the start, so that 0 is long ago.
const ORIGIN_MS: Millisecond = 1_000;

/// Origin of all instants in beliefs and decisions.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Now.
    pub fn now_ms(self) -> Millisecond {
        ORIGIN_MS + self.uptime_ms()
    }

    /// Time since the start.
    pub fn uptime_ms(self) -> Millisecond {
        self.started.elapsed().as_millis() as Millisecond
    }
}
