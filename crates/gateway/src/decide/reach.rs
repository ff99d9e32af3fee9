//! Whether a node has lost its paths to all backend servers, as opposed to servers that failed.

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Name, Set};
use serde::{Deserialize, Serialize};

/// Failures count together if they happen within this time.
const FAILURE_WINDOW_MS: Millisecond = 2_000;

/// Number of servers that have to fail before the paths are checked.
const FAILED_SERVERS: usize = 3;

/// Time for which the outcome of a check holds.
const VERDICT_MS: Millisecond = 500;

/// Most failures that are remembered.
const FAILURES_LIMIT: usize = 64;

/// Whether a node reaches backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    #[default]
    Reached,
    /// No server is reached, though other nodes reach some.
    Lost,
}

/// Failed attempts of a node to reach servers, and what was concluded from them.
#[derive(Debug, Default)]
pub struct ReachState {
    reach: Reach,
    failures: VecDeque<(Millisecond, Name)>,
    checked_ms: Option<Millisecond>,
}

impl ReachState {
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Records that a server was not reached, did not answer, or broke a connection.
    pub fn record_failure(&mut self, server: &Name, now_ms: Millisecond) {
        if self.failures.len() >= FAILURES_LIMIT {
            self.failures.pop_front();
        }
        self.failures.push_back((now_ms, server.clone()));
    }

    /// Records an answer over a new connection.
    pub fn record_answer(&mut self) {
        self.failures.clear();
    }

    /// Time of the first of the failures for which the paths have to be checked; `None` if too few
    /// of `known` servers have failed, or the last check still holds.
    pub fn check_due(&mut self, known: usize, now_ms: Millisecond) -> Option<Millisecond> {
        let is_old = |at_ms: Millisecond| now_ms.saturating_sub(at_ms) > FAILURE_WINDOW_MS;
        while self.failures.front().is_some_and(|(at, _)| is_old(*at)) {
            self.failures.pop_front();
        }
        let checked = |at_ms: Millisecond| now_ms.saturating_sub(at_ms) < VERDICT_MS;
        if self.reach == Reach::Lost || self.checked_ms.is_some_and(checked) {
            return None;
        }
        let servers: Set<&Name> = self.failures.iter().map(|(_, server)| server).collect();
        let needed = FAILED_SERVERS.min(known).max(1);
        let (first_ms, _) = self.failures.front()?;
        (servers.len() >= needed).then_some(*first_ms)
    }

    /// Records the outcome of a check.
    pub fn conclude(&mut self, reach: Reach, now_ms: Millisecond) {
        self.reach = reach;
        self.checked_ms = Some(now_ms);
        self.failures.clear();
    }
}
