//! Requests that began on all nodes, counted by window of fleet time and workspace.

use base::units::Millisecond;
use base::{Map, Name};

use super::checkpoint::Checkpoint;
use crate::clock::unix_ms;
use crate::peer::message::{LifeUsage, UsageCopy, WindowCounts};

/// Windows that heartbeats carry: those whose reports may still be due.
const SENT_WINDOWS: u64 = 4;

/// Most windows that are kept in memory.
const RETAINED_WINDOWS: u64 = 12;

type Counts = Map<Name, u64>;

/// Counts of begun requests, of this node's life and of all other known lives of nodes.
#[derive(Debug)]
pub struct Usage {
    window_ms: Millisecond,
    own: Map<u64, Counts>,
    others: Map<Name, Life>,
    /// Unix time at which this process started.
    started_unix_ms: u64,
    checkpoint: Option<Checkpoint>,
    /// Final counts of windows that may have been reported.
    settled: Map<u64, Counts>,
}

/// Counts of another life of a node.
#[derive(Debug, Default)]
struct Life {
    started_unix_ms: u64,
    windows: Map<u64, Counts>,
}

impl Usage {
    /// No counts yet, in windows of `window_ms`.
    pub fn new(window_ms: Millisecond) -> Self {
        Self {
            window_ms,
            own: Map::default(),
            others: Map::default(),
            started_unix_ms: unix_ms(),
            checkpoint: None,
            settled: Map::default(),
        }
    }

    /// Records the final counts of a window. The first ones stay: they may have been reported.
    pub fn settle(&mut self, window: u64, counts: &Counts) {
        self.settled.entry(window).or_insert_with(|| counts.clone());
        let newest = self.settled.keys().max().copied().unwrap_or(0);
        self.settled
            .retain(|w, _| w.saturating_add(RETAINED_WINDOWS) > newest);
    }

    /// Final counts of a window, if they are known.
    pub fn settled(&self, window: u64) -> Option<&Counts> {
        self.settled.get(&window)
    }

    /// Final counts of the recent windows, for nodes that may hold the duties next.
    pub fn settled_windows(&self) -> WindowCounts {
        newest_windows(&self.settled)
    }

    /// Takes over final counts of another node, by a clock that is `offset_ms` ahead. Windows that
    /// have not ended have none.
    pub fn merge_settled(&mut self, settled: &[(u64, Vec<(Name, u64)>)], offset_ms: i64) {
        let current = self.window(offset_ms);
        for (window, counts) in settled.iter().filter(|(window, _)| *window <= current) {
            self.settle(*window, &counts.iter().cloned().collect());
        }
    }

    /// The current window, by a clock that is `offset_ms` ahead of the local one.
    pub fn window(&self, offset_ms: i64) -> u64 {
        unix_ms().saturating_add_signed(offset_ms) / self.window_ms
    }

    /// Time since a window's end, by a clock that is `offset_ms` ahead of the local one.
    pub fn since_end_ms(&self, window: u64, offset_ms: i64) -> Millisecond {
        let now_ms = unix_ms().saturating_add_signed(offset_ms);
        now_ms.saturating_sub((window + 1) * self.window_ms)
    }

    /// Counts a request of `workspace` that begins now, by a clock that is `offset_ms` ahead.
    pub fn count(&mut self, workspace: &Name, offset_ms: i64) {
        let window = self.window(offset_ms);
        let counts = self.own.entry(window).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        if self.own.len() as u64 > RETAINED_WINDOWS {
            self.own.retain(|w, _| *w + RETAINED_WINDOWS > window);
        }
    }

    /// The windows that heartbeats carry.
    pub fn recent_windows(&self) -> WindowCounts {
        newest_windows(&self.own)
    }

    /// The recent windows of every known life; `own` is the key of this one.
    pub fn all_lives(&self, own: &Name) -> UsageCopy {
        let life_usage =
            |name: &Name, started_unix_ms: u64, windows: &Map<u64, Counts>| LifeUsage {
                life: name.clone(),
                started_unix_ms,
                begun: newest_windows(windows),
            };
        let others = self.others.iter();
        let mut copy: UsageCopy = others
            .map(|(name, life)| life_usage(name, life.started_unix_ms, &life.windows))
            .collect();
        copy.push(life_usage(own, self.started_unix_ms, &self.own));
        copy
    }

    /// Counts of the recent windows for the store, by a clock that is `offset_ms` ahead.
    pub fn checkpoint(&self, offset_ms: i64) -> Checkpoint {
        let newest = self.window(offset_ms);
        let windows = newest.saturating_sub(SENT_WINDOWS)..=newest;
        let known = windows.map(|window| (window, self.total(window)));
        let begun = known.filter(|(_, counts)| !counts.is_empty());
        Checkpoint {
            at_unix_ms: unix_ms().saturating_add_signed(offset_ms),
            begun: begun
                .map(|(window, c)| (window, c.into_iter().collect()))
                .collect(),
        }
    }

    /// Takes over a checkpoint. It may be the only record of lives that ended before it was
    /// written.
    pub fn restore(&mut self, checkpoint: Checkpoint) {
        self.checkpoint = Some(checkpoint);
    }

    /// Merges the counts of a life of another node that started at `started_unix_ms`. Counts only
    /// grow, so the greater one of each pair is kept.
    pub fn merge(&mut self, life: &Name, started_unix_ms: u64, recent: &[(u64, Vec<(Name, u64)>)]) {
        let life = self.others.entry(life.clone()).or_default();
        life.started_unix_ms = started_unix_ms;
        let windows = &mut life.windows;
        for (window, counts) in recent {
            let known = windows.entry(*window).or_default();
            for (workspace, n) in counts {
                let before = known.entry(workspace.clone()).or_default();
                *before = (*before).max(*n);
            }
        }
        let newest = windows.keys().max().copied().unwrap_or(0);
        windows.retain(|w, _| w.saturating_add(RETAINED_WINDOWS) > newest);
    }

    /// All requests known to have begun in a window. A checkpoint may already contain the lives
    /// that started before it was written, so for these the greater of the checkpoint and their own
    /// sum counts; later lives are added.
    pub fn total(&self, window: u64) -> Counts {
        let at_unix_ms = self.checkpoint.as_ref().map_or(0, |c| c.at_unix_ms);
        let (mut covered, mut later) = (Counts::default(), Counts::default());
        let own = std::iter::once((self.started_unix_ms, &self.own));
        let others = self.others.values();
        for (started_unix_ms, windows) in own.chain(others.map(|l| (l.started_unix_ms, &l.windows)))
        {
            let sum = match started_unix_ms <= at_unix_ms {
                true => &mut covered,
                false => &mut later,
            };
            for (workspace, n) in windows.get(&window).into_iter().flatten() {
                add(sum, workspace, *n);
            }
        }
        for (workspace, n) in self.checkpointed(window) {
            let known = covered.entry(workspace.clone()).or_default();
            *known = (*known).max(*n);
        }
        for (workspace, n) in &later {
            add(&mut covered, workspace, *n);
        }
        covered
    }

    /// Counts of a window in the checkpoint.
    fn checkpointed(&self, window: u64) -> &[(Name, u64)] {
        let windows = self.checkpoint.iter().flat_map(|c| &c.begun);
        let mut found = windows.filter(|(w, _)| *w == window);
        found.next().map_or(&[], |(_, counts)| counts)
    }
}

fn add(sum: &mut Counts, workspace: &Name, n: u64) {
    let sum = sum.entry(workspace.clone()).or_default();
    *sum = sum.saturating_add(n);
}

/// The newest windows of one life.
fn newest_windows(windows: &Map<u64, Counts>) -> WindowCounts {
    let newest = windows.keys().max().copied().unwrap_or(0);
    let mut recent = Vec::new();
    for (window, counts) in windows {
        if window.saturating_add(SENT_WINDOWS) > newest {
            let counts = counts.iter().map(|(name, n)| (name.clone(), *n));
            recent.push((*window, counts.collect()));
        }
    }
    recent
}
