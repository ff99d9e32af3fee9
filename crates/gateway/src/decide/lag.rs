//! How long a node has known that others have a newer version than its own.

use std::collections::VecDeque;

use base::units::Millisecond;

/// Most versions that are kept; more changes than reach a node within a bound.
const VERSIONS_LIMIT: usize = 32;

/// Versions that other nodes have and this one lacks, with the times at which it heard of them.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    /// In ascending order of versions and times.
    heard: VecDeque<(u64, Millisecond)>,
}

impl Lag {
    /// Records that another node has `version`, while this one has `own`.
    pub fn record(&mut self, version: u64, own: u64, now_ms: Millisecond) {
        self.advance(own);
        let newest = self.newest().unwrap_or(own);
        if version <= newest {
            return;
        }
        if self.heard.len() >= VERSIONS_LIMIT
            && let Some(last) = self.heard.back_mut()
        {
            last.0 = version;
            return;
        }
        self.heard.push_back((version, now_ms));
    }

    /// Records that this node has version `own`.
    pub fn advance(&mut self, own: u64) {
        while self.heard.front().is_some_and(|(v, _)| *v <= own) {
            self.heard.pop_front();
        }
    }

    /// Forgets what was heard before `at_ms`, when this node asked the store itself.
    pub fn settle(&mut self, at_ms: Millisecond) {
        while self.heard.front().is_some_and(|(_, ms)| *ms < at_ms) {
            self.heard.pop_front();
        }
    }

    /// The newest version that this node lacks.
    pub fn newest(&self) -> Option<u64> {
        self.heard.back().map(|(version, _)| *version)
    }

    /// Time for which this node has lacked a version; `None` if it lacks none.
    pub fn behind_ms(&self, now_ms: Millisecond) -> Option<Millisecond> {
        let (_, heard_ms) = self.heard.front()?;
        Some(now_ms.saturating_sub(*heard_ms))
    }
}
