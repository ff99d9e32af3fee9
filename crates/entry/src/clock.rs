//! The clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use base::units::Millisecond;
use tokio::time::Instant;

/// Monotonic time since the process started; decisions get it passed in.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn open() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> Millisecond {
        self.origin.elapsed().as_millis() as Millisecond
    }
}

/// Seconds since the Unix epoch, for people and for `created` fields; never for decisions.
pub fn unix_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

/// Milliseconds since the Unix epoch, for what peers compare; never for what must be safe.
pub fn unix_ms() -> Millisecond {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as Millisecond)
}
