//! Share of a service's requests that left the node's failure domain, for the log.

use base::units::Millisecond;

use super::placement::Locality;

/// Shortest time between two reports of a service: at most two lines a second.
const REPORT_MS: Millisecond = 500;

/// Change of the share that is reported. A change from or to 0 always is.
const REPORTED_CHANGE: f64 = 0.1;

/// Requests of one service since its last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareReport {
    from_ms: Millisecond,
    chosen: u32,
    left: u32,
    reported_share: f64,
}

/// A change of the share that is to be reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    pub before: f64,
    pub share: f64,
    /// Requests over which the share was measured, and the time.
    pub requests: u32,
    pub period_ms: Millisecond,
}

impl ShareReport {
    /// Counts a request that is sent to a server at `locality`. Returns the change of the share if it
    /// is to be reported now.
    pub fn count(&mut self, locality: Locality, now_ms: Millisecond) -> Option<ShareChange> {
        if self.chosen == 0 && self.from_ms == 0 {
            self.from_ms = now_ms;
        }
        self.chosen += 1;
        self.left += u32::from(locality == Locality::OtherDomain);
        let period_ms = now_ms.saturating_sub(self.from_ms);
        if period_ms < REPORT_MS {
            return None;
        }
        let change = ShareChange {
            before: self.reported_share,
            share: f64::from(self.left) / f64::from(self.chosen),
            requests: self.chosen,
            period_ms,
        };
        let is_reported = (change.share - change.before).abs() >= REPORTED_CHANGE
            || (change.share == 0.0) != (change.before == 0.0);
        *self = Self {
            from_ms: now_ms,
            reported_share: match is_reported {
                true => change.share,
                false => change.before,
            },
            ..Self::default()
        };
        is_reported.then_some(change)
    }
}
