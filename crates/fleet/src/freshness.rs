//! Whether this node knows enough of the fleet's state to route.
//!
//! A node that starts, or that wakes after a pause, may hold old knowledge: it routes again only
//! when it has synced with peers or with the platform. Peers count only if they are fresh
//! themselves. If nothing answers in a bounded number of tries, a node that already served goes on
//! with what it has; one that starts goes on trying.

use std::sync::{Arc, LazyLock};

use base::units::Millisecond;
use base::{Name, Set};
use chart::{Chart, Instance};

use crate::timing::Timing;
use crate::wire::FreshnessLevel;

/// Fresh peers that a node syncs with before it routes, or all if there are fewer.
pub const SYNC_QUORUM: usize = 3;
/// Tries without any fresh peer before the platform's answers alone are enough.
const PEER_ONLY_TRIES_MAX: u32 = 4;
/// Tries without any answer before a node that already served goes on.
const TRIES_MAX: u32 = 6;

static CHART: LazyLock<Arc<Chart>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/freshness.toml")).expect("charts/freshness.toml is valid")
});

/// What a tick found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickOutcome {
    /// Nothing to do.
    Idle,
    /// The node was paused for so long and has to sync.
    Woke {
        /// Time since the tick before.
        gap_ms: Millisecond,
    },
    /// A sync is under way and is to be tried again.
    RetrySync,
    /// Nothing answered; the node goes on with what it has.
    GaveUp,
}

/// One span of syncing; an answer to a question from an earlier span does not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncGeneration(u64);

/// Freshness of one node.
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
    /// A node that has just started.
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

    /// The chart's state, for status displays.
    pub fn state(&self) -> &str {
        self.chart.state()
    }

    /// The span that questions asked now belong to.
    pub fn sync_generation(&self) -> SyncGeneration {
        self.generation
    }

    /// Whether a node that is not paused may route on what it knows.
    pub fn may_route(&self, now_ms: Millisecond) -> bool {
        self.standing(now_ms) != FreshnessLevel::Stale
    }

    /// What this node may claim towards peers.
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

    /// Whether a sync is under way.
    pub fn is_syncing(&self) -> bool {
        self.chart.state() != "current"
    }

    /// Counts a tick; `alive_others` is the number of live peers known.
    pub fn tick(&mut self, now_ms: Millisecond, alive_others: usize) -> TickOutcome {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if gap_ms > self.gap_ms {
            self.restart_sync();
            return TickOutcome::Woke { gap_ms };
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

    /// A peer answered a sync in full.
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

    /// The configuration row was read.
    pub fn on_config_read(&mut self, generation: SyncGeneration, alive_others: usize) {
        if generation == self.generation {
            self.answers.config_read = true;
            self.update_state(alive_others);
        }
    }

    /// The VM list was read.
    pub fn on_list_read(&mut self, generation: SyncGeneration, alive_others: usize) {
        if generation == self.generation {
            self.answers.list_read = true;
            self.update_state(alive_others);
        }
    }

    /// The notices of all backend servers on the list were read, after [`Self::is_alone`].
    pub fn on_notices_read(&mut self, generation: SyncGeneration, alive_others: usize) {
        if generation == self.generation && self.answers.list_read && self.needs_platform() {
            self.answers.notices_read = true;
            self.update_state(alive_others);
        }
    }

    /// Whether no fresh peer has answered for so long that the platform is to answer instead.
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
        let config_source_read = answers.config_read || self.chart.state() != "starting";
        config_source_read && answers.fresh.len() >= wanted
    }
}
