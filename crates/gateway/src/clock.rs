//! Monotonic clock of the process, in milliseconds.

use base::units::Millisecond;
pub use fleet::clock::{boot_ms, unix_ms};
use tokio::time::Instant;

/// Reading of the clock at the start of the process. It is above 0, so that 0 lies in the past and
/// can stand for "never".
const ORIGIN_MS: Millisecond = 1_000;

/// The clock by which the process measures ages and deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    pub fn now_ms(self) -> Millisecond {
        ORIGIN_MS + self.uptime_ms()
    }

    pub fn uptime_ms(self) -> Millisecond {
        self.started.elapsed().as_millis() as Millisecond
    }
}
