//! Requests whose answers were late, and why.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Deserialize;

/// Late requests that are listed one by one.
const LISTED_LIMIT: usize = 20;

/// Why an answer was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LateCause {
    /// The first byte came after the target, as the last attempt's prediction said.
    FirstBytePredicted,
    /// The first byte came after the target, although the last attempt was predicted to be in time.
    FirstByteUnpredicted,
    /// The first event was in time, but a later pause was longer than the route's limit.
    Pause,
}

impl LateCause {
    pub fn label(self) -> &'static str {
        match self {
            Self::FirstBytePredicted => "first byte, predicted",
            Self::FirstByteUnpredicted => "first byte, not predicted",
            Self::Pause => "pause",
        }
    }
}

/// The fields of E202 that tell how the answer arrived. Logs of earlier versions have none of them.
#[derive(Clone, Debug, Deserialize)]
pub struct FinishedFields {
    request: Option<String>,
    #[serde(default)]
    route: String,
    first_byte_ms: Option<u64>,
    target_ms: Option<u64>,
    longest_pause_ms: Option<u64>,
    pause_target_ms: Option<u64>,
    predicted_ms: Option<u64>,
}

/// A request whose answer was late.
#[derive(Clone, Debug, PartialEq)]
pub struct LateRequest {
    /// When its answer ended, in seconds from the start of traffic.
    pub at_s: f64,
    pub request: Option<String>,
    pub route: String,
    pub cause: LateCause,
    /// Time to the first byte or length of the pause, and its limit.
    pub took_ms: u64,
    pub limit_ms: u64,
    pub predicted_ms: Option<u64>,
}

/// Late requests of a log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lateness {
    /// Answers of which the log tells when they arrived.
    pub measured: u64,
    pub late: Vec<LateRequest>,
}

impl Lateness {
    /// Counts an answer that ended at `at_s`.
    pub fn count(&mut self, at_s: f64, fields: FinishedFields) {
        let (Some(first_ms), Some(target_ms)) = (fields.first_byte_ms, fields.target_ms) else {
            return;
        };
        self.measured += 1;
        let pause = match (fields.longest_pause_ms, fields.pause_target_ms) {
            (Some(pause_ms), Some(limit_ms)) if pause_ms > limit_ms => Some((pause_ms, limit_ms)),
            _ => None,
        };
        let was_predicted = fields.predicted_ms.is_some_and(|ms| ms > target_ms);
        let (cause, took_ms, limit_ms) = match pause {
            _ if first_ms > target_ms && was_predicted => {
                (LateCause::FirstBytePredicted, first_ms, target_ms)
            }
            _ if first_ms > target_ms => (LateCause::FirstByteUnpredicted, first_ms, target_ms),
            Some((pause_ms, limit_ms)) => (LateCause::Pause, pause_ms, limit_ms),
            None => return,
        };
        self.late.push(LateRequest {
            at_s,
            request: fields.request,
            route: fields.route,
            cause,
            took_ms,
            limit_ms,
            predicted_ms: fields.predicted_ms,
        });
    }

    /// Number of late requests by route and cause.
    pub fn by_cause(&self) -> BTreeMap<(&str, LateCause), u64> {
        let mut counts = BTreeMap::new();
        for late in &self.late {
            *counts.entry((&*late.route, late.cause)).or_default() += 1;
        }
        counts
    }

    /// Counts by route and cause, and the requests that exceeded their limit by most.
    pub fn write(&self, text: &mut String) {
        if self.measured == 0 {
            return;
        }
        let _ = writeln!(
            text,
            "late {} of {} answers",
            self.late.len(),
            self.measured
        );
        for ((route, cause), count) in self.by_cause() {
            let _ = writeln!(text, "late {count}: {route}, {}", cause.label());
        }
        let mut worst: Vec<&LateRequest> = self.late.iter().collect();
        worst.sort_by_key(|late| std::cmp::Reverse(late.took_ms.saturating_sub(late.limit_ms)));
        for late in worst.into_iter().take(LISTED_LIMIT) {
            let predicted = late.predicted_ms;
            let predicted = predicted.map_or("none".to_owned(), |ms| format!("{ms} ms"));
            let _ = writeln!(
                text,
                "  {:.2} s  {}  {}  {}: {} ms, limit {} ms, predicted first byte {predicted}",
                late.at_s,
                late.request.as_deref().unwrap_or("-"),
                late.route,
                late.cause.label(),
                late.took_ms,
                late.limit_ms,
            );
        }
    }
}
