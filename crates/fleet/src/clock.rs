//! The clocks of a node.
//!
//! While a process is stopped, all clocks go on. While the VM is suspended, CLOCK_MONOTONIC stands
//! still and CLOCK_BOOTTIME goes on. A reading therefore gives a lower and an upper bound of the
//! elapsed time. The calendar clock is in neither, as it can be set.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::units::Millisecond;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Bounds of the time since the start of the [`Clock`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Lower bound, for waiting until a right of another node has expired.
    pub min_elapsed_ms: Millisecond,
    /// Upper bound, for the expiry of this node's own rights.
    pub max_elapsed_ms: Millisecond,
}

/// Source of [`ClockReading`]s.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    started_boot_ms: Millisecond,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            started_boot_ms: boot_ms(),
        }
    }

    pub fn read(&self) -> ClockReading {
        let min_elapsed_ms = self.started.elapsed().as_millis() as Millisecond;
        let with_suspensions_ms = boot_ms().saturating_sub(self.started_boot_ms);
        ClockReading {
            min_elapsed_ms,
            max_elapsed_ms: min_elapsed_ms.max(with_suspensions_ms),
        }
    }

    /// Upper bound of the time since the start.
    pub fn now_ms(&self) -> Millisecond {
        self.read().max_elapsed_ms
    }
}

/// Milliseconds since the system's boot, including the time while it was suspended.
pub fn boot_ms() -> Millisecond {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Millisecond * 1_000 + now.tv_nsec as Millisecond / 1_000_000
}

/// Milliseconds since the Unix epoch by the calendar clock, for records that people read.
pub fn unix_ms() -> Millisecond {
    unix_time().as_millis() as Millisecond
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
