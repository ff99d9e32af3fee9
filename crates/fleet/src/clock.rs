//! The clocks of a node.
//!
//! A stopped process sees both clocks go on; a suspended VM may see the monotonic one stand still.
//! A reading therefore gives two values: what may safely be waited on, and what must be feared.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::units::Millisecond;
use tokio::time::Instant;

/// Both clocks at one instant, since the clock's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Time that has certainly passed; for waiting out others.
    pub certain_ms: Millisecond,
    /// Time that may have passed; for this node's own rights.
    pub possible_ms: Millisecond,
}

/// Source of [`Reading`]s.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: Duration,
}

impl Clock {
    /// A clock that starts at zero.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            started_unix: unix_time(),
        }
    }

    /// Reads both clocks.
    pub fn read(&self) -> Reading {
        let certain_ms = self.started.elapsed().as_millis() as Millisecond;
        let wall = unix_time().saturating_sub(self.started_unix);
        Reading {
            certain_ms,
            possible_ms: certain_ms.max(wall.as_millis() as Millisecond),
        }
    }

    /// Time that may have passed since the start.
    pub fn now_ms(&self) -> Millisecond {
        self.read().possible_ms
    }
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
