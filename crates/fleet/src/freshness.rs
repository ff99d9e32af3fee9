//! Whether this node's state is fresh enough to route requests.
//!
//! The state of a node that starts, or that resumes after a pause, may be stale: it routes only
//! after it has synced with a quorum of peers or with the platform. Only peers that are fresh
//! themselves count. If nothing answers in a bounded number of tries, a node that routed before
//! continues with its stale state as degraded; a starting node continues to try.

use std::sync::{Arc, LazyLock};

use base::units::Millisecond;
use base::{Name, Set};
use chart::{Chart, Instance};

use crate::timing::Timing;
use crate::wire::FreshnessLevel;

/// Fresh peers that a node syncs with before it routes; all live peers if there are fewer.
pub const SYNC_QUORUM: usize = 3;
/// Tries before one fresh peer, or the platform alone, suffices for the sync.
const PEER_ONLY_TRIES_MAX: u32 = 4;
/// Tries before a node that routed before continues as degraded, and before degraded peers count.
const TRIES_MAX: u32 = 6;

static CHART: LazyLock<Arc<Chart>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/freshness.toml")).expect("charts/freshness.toml is valid")
});

/// Result of [`Freshness::tick`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickOutcome {
    /// Nothing to do.
    Idle,
    /// The node was paused and has to sync.
    Paused {
        /// Time since the previous tick.
        gap_ms: Millisecond,
    },
    /// The sync is not complete; ask again.
    RetrySync,
    /// Nothing answered; the node is degraded from now on.
    GaveUp,
}

/// Number of a sync. A node starts a new one after each pause; answers to requests of an earlier
/// sync do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncGeneration(u64);

/// State machine of one node's freshness.
#[derive(Debug)]
pub struct Freshness {
    chart: Instance,
    gap_ms: Millisecond,
    last_tick_ms: Millisecond,
    tries: u32,
    answers: Answers,
    generation: SyncGeneration,
}

#[derive(Debug, Default)]
struct Answers {
    fresh: Set<Name>,
    degraded: Set<Name>,
    config_read: bool,
    list_read: bool,
    notices_read: bool,
}

impl Freshness {
    /// Creates the state of a node that has just started.
    pub fn new(timing: &Timing, now_ms: Millisecond) -> Self {
        Self {
            chart: CHART.start(),
            gap_ms: timing.gap_ms,
            last_tick_ms: now_ms,
            tries: 0,
            answers: Answers::default(),
            generation: SyncGeneration::default(),
        }
    }

    /// State of `charts/freshness.toml`, for status displays.
    pub fn state(&self) -> &str {
        self.chart.state()
    }

    /// The sync that requests sent now belong to.
    pub fn sync_generation(&self) -> SyncGeneration {
        self.generation
    }

    /// Whether requests may be routed at `now_ms`.
    pub fn may_route(&self, now_ms: Millisecond) -> bool {
        self.standing(now_ms) != FreshnessLevel::Stale
    }

    /// Freshness that this node reports to its peers.
    pub fn standing(&self, now_ms: Millisecond) -> FreshnessLevel {
        if now_ms.saturating_sub(self.last_tick_ms) > self.gap_ms {
            return FreshnessLevel::Stale;
        }
        match self.chart.state() {
            "current" => FreshnessLevel::Fresh,
            "degraded" => FreshnessLevel::Degraded,
            _ => FreshnessLevel::Stale,
        }
    }

    /// Whether the node still tries to sync; true when degraded, too.
    pub fn is_syncing(&self) -> bool {
        self.chart.state() != "current"
    }

    /// Handles a tick; `alive_others` is the number of known live peers.
    pub fn tick(&mut self, now_ms: Millisecond, alive_others: usize) -> TickOutcome {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if gap_ms > self.gap_ms {
            self.restart_sync();
            return TickOutcome::Paused { gap_ms };
        }
        if !self.is_syncing() {
            return TickOutcome::Idle;
        }
        self.tries += 1;
        self.update_state(alive_others);
        if self.tries == TRIES_MAX && self.chart.state() == "syncing" {
            self.chart.apply("tries_spent");
            return TickOutcome::GaveUp;
        }
        TickOutcome::RetrySync
    }

    /// Records that a peer answered a sync completely.
    pub fn on_peer_synced(
        &mut self,
        peer: &Name,
        standing: FreshnessLevel,
        generation: SyncGeneration,
        alive_others: usize,
    ) {
        if generation != self.generation {
            return;
        }
        match standing {
            FreshnessLevel::Fresh => self.answers.fresh.insert(peer.clone()),
            FreshnessLevel::Degraded => self.answers.degraded.insert(peer.clone()),
            FreshnessLevel::Stale => return,
        };
        self.update_state(alive_others);
    }

    /// Records that the configuration row was read.
    pub fn on_config_read(&mut self, generation: SyncGeneration, alive_others: usize) {
        if generation == self.generation {
            self.answers.config_read = true;
            self.update_state(alive_others);
        }
    }

    /// Records that the VM list was read.
    pub fn on_list_read(&mut self, generation: SyncGeneration, alive_others: usize) {
        if generation == self.generation {
            self.answers.list_read = true;
            self.update_state(alive_others);
        }
    }

    /// Records that the notices of all backend servers on the list were read. Counts only while
    /// [`Self::needs_platform`], as each node reads only some of the notices otherwise.
    pub fn on_notices_read(&mut self, generation: SyncGeneration, alive_others: usize) {
        if generation == self.generation && self.answers.list_read && self.needs_platform() {
            self.answers.notices_read = true;
            self.update_state(alive_others);
        }
    }

    /// Whether no fresh peer has answered several tries, so that the node has to sync with the
    /// platform.
    pub fn needs_platform(&self) -> bool {
        self.is_syncing() && self.tries > PEER_ONLY_TRIES_MAX && self.answers.fresh.is_empty()
    }

    fn restart_sync(&mut self) {
        self.chart.apply("gap");
        self.tries = 0;
        self.answers = Answers::default();
        self.generation.0 += 1;
    }

    fn update_state(&mut self, alive_others: usize) {
        if self.is_syncing() && self.is_sync_complete(alive_others) {
            self.chart.apply("synced");
        }
    }

    fn is_sync_complete(&self, alive_others: usize) -> bool {
        let answers = &self.answers;
        let wanted = SYNC_QUORUM.min(alive_others).max(1);
        let past_peer_tries = self.tries > PEER_ONLY_TRIES_MAX;
        if past_peer_tries {
            let by_platform = answers.config_read && answers.notices_read;
            let by_degraded = self.tries > TRIES_MAX && answers.degraded.len() >= wanted;
            return by_platform || by_degraded || !answers.fresh.is_empty();
        }
        let config_known = answers.config_read || self.chart.state() != "starting";
        config_known && answers.fresh.len() >= wanted
    }
}
