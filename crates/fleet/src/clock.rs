//! The clocks of a node.
//!
//! A stopped process sees all clocks go on; on a VM that was suspended the monotonic one stood still,
//! and the one that counts since the system's start did not. A reading therefore gives two values: what
//! may safely be waited on, and what must be feared. The calendar clock is in neither, as it jumps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::units::Millisecond;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Both clocks at one instant, since the clock's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time that has certainly passed; for waiting out others.
    pub min_elapsed_ms: Millisecond,
    /// Time that may have passed; for this node's own rights.
    pub max_elapsed_ms: Millisecond,
}

/// Source of [`Reading`]s.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    started_boot_ms: Millisecond,
}

impl Clock {
    /// A clock that starts at zero.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            started_boot_ms: boot_ms(),
        }
    }

    /// Reads both clocks.
    pub fn read(&self) -> ClockReading {
        let min_elapsed_ms = self.started.elapsed().as_millis() as Millisecond;
        let with_suspensions_ms = boot_ms().saturating_sub(self.started_boot_ms);
        ClockReading {
            min_elapsed_ms,
            max_elapsed_ms: min_elapsed_ms.max(with_suspensions_ms),
        }
    }

    /// Time that may have passed since the start.
    pub fn now_ms(&self) -> Millisecond {
        self.read().max_elapsed_ms
    }
}

/// Milliseconds since the system's start, suspensions included.
pub fn boot_ms() -> Millisecond {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Millisecond * 1_000 + now.tv_nsec as Millisecond / 1_000_000
}

/// Milliseconds of the calendar clock, for records that people read.
pub fn unix_ms() -> Millisecond {
    unix_time().as_millis() as Millisecond
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
