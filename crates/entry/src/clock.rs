//! The clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use base::units::Millisecond;
use tokio::time::Instant;

/// Monotonic time since the process started. Decision code doesn't read it but gets the time as an
/// argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts at 0 now.
    pub fn open() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the clock was created.
    pub fn now_ms(&self) -> Millisecond {
        self.origin.elapsed().as_millis() as Millisecond
    }
}

/// Seconds since the Unix epoch, for display and `created` fields. Wall-clock time may jump, so
/// decisions don't use it.
pub fn unix_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

/// Milliseconds since the Unix epoch, for times that peers compare. Clocks of peers differ, so
/// safety must not depend on it.
pub fn unix_ms() -> Millisecond {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as Millisecond)
}
