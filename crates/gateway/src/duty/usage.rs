//! Requests begun, by window of the calendar clock and workspace, over all nodes.

use base::units::Millisecond;
use base::{Map, Name};

use crate::clock::unix_ms;
use crate::peer::message::{Begun, UsageCopy};

/// Windows that are told to other nodes: those whose reports may still be due.
const RECENT: u64 = 4;

/// Windows kept.
const KEPT: u64 = 12;

type Counts = Map<Name, u64>;

/// Requests begun.
#[derive(Debug)]
pub struct Usage {
    window_ms: Millisecond,
    own: Map<u64, Counts>,
    others: Map<Name, Map<u64, Counts>>,
}

impl Usage {
    /// Counts in windows of `window_ms`.
    pub fn new(window_ms: Millisecond) -> Self {
        Self {
            window_ms,
            own: Map::default(),
            others: Map::default(),
        }
    }

    /// The window of now, by a clock that is `offset_ms` ahead of ours.
    pub fn window(&self, offset_ms: i64) -> u64 {
        unix_ms().saturating_add_signed(offset_ms) / self.window_ms
    }

    /// Time since a window's end, by a clock that is `offset_ms` ahead of ours.
    pub fn since_end_ms(&self, window: u64, offset_ms: i64) -> Millisecond {
        let now_ms = unix_ms().saturating_add_signed(offset_ms);
        now_ms.saturating_sub((window + 1) * self.window_ms)
    }

    /// Counts a request of `workspace` that begins now, by a clock that is `offset_ms` ahead.
    pub fn count(&mut self, workspace: &Name, offset_ms: i64) {
        let window = self.window(offset_ms);
        let counts = self.own.entry(window).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        if self.own.len() as u64 > KEPT {
            self.own.retain(|w, _| *w + KEPT > window);
        }
    }

    /// The windows that are told to other nodes.
    pub fn recent(&self) -> Begun {
        recent(&self.own)
    }

    /// The recent windows of every life that is known; `own` is the key of this one.
    pub fn copy(&self, own: &Name) -> UsageCopy {
        let others = self.others.iter();
        let mut copy: UsageCopy = others.map(|(life, w)| (life.clone(), recent(w))).collect();
        copy.push((own.clone(), self.recent()));
        copy
    }

    /// Takes in what a life of another node has counted; counts only grow.
    pub fn heard(&mut self, node: &Name, recent: &[(u64, Vec<(Name, u64)>)]) {
        let windows = self.others.entry(node.clone()).or_default();
        for (window, counts) in recent {
            let known = windows.entry(*window).or_default();
            for (workspace, n) in counts {
                let before = known.entry(workspace.clone()).or_default();
                *before = (*before).max(*n);
            }
        }
        let newest = windows.keys().max().copied().unwrap_or(0);
        windows.retain(|w, _| w.saturating_add(KEPT) > newest);
    }

    /// All requests known to have begun in a window.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for windows in self.others.values() {
            let Some(counts) = windows.get(&window) else {
                continue;
            };
            for (workspace, n) in counts {
                let sum = total.entry(workspace.clone()).or_default();
                *sum = sum.saturating_add(*n);
            }
        }
        total
    }
}

/// The newest windows of one life.
fn recent(windows: &Map<u64, Counts>) -> Begun {
    let newest = windows.keys().max().copied().unwrap_or(0);
    let mut recent = Vec::new();
    for (window, counts) in windows {
        if window.saturating_add(RECENT) > newest {
            let counts = counts.iter().map(|(name, n)| (name.clone(), *n));
            recent.push((*window, counts.collect()));
        }
    }
    recent
}
