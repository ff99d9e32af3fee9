//! What a running engine holds.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base::Map;
use tokio::time::Instant;

use super::cache::{BlockCache, CacheEvent};
use super::message::{Faults, Fencing, Load, Order, Stats};
use super::options::Options;
use super::slots::Slots;
use crate::server::Crash;

/// Cache events kept for late readers.
const EVENT_LIMIT: usize = 4096;

/// Requests remembered by identifier, for counts and KV export.
const REQUEST_LIMIT: usize = 20_000;

/// The engine's state, shared by its requests.
pub struct Engine {
    /// Sizes and speeds.
    pub options: Options,
    /// The batch.
    pub slots: Arc<Slots>,
    /// Held while one prompt is processed.
    pub prefill: tokio::sync::Mutex<()>,
    /// Makes the engine vanish.
    pub crash: Crash,
    inner: Mutex<Inner>,
}

struct Inner {
    cache: BlockCache,
    events: VecDeque<(Instant, CacheEvent)>,
    event_seq: u64,
    sequences: Map<String, Vec<u64>>,
    load: Option<(Instant, Load)>,
    faults: Faults,
    stats: Stats,
    highest_fence: u64,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(options: Options, crash: Crash) -> Arc<Self> {
        let blocks = options.kv_total_tokens as usize / options.block_tokens;
        Arc::new(Self {
            slots: Slots::new(options.slots),
            prefill: tokio::sync::Mutex::new(()),
            crash,
            inner: Mutex::new(Inner {
                cache: BlockCache::new(blocks),
                events: VecDeque::new(),
                event_seq: 0,
                sequences: Map::default(),
                load: None,
                faults: Faults {
                    load_lag_ms: options.load_lag_ms,
                    cache_event_lag_ms: options.cache_event_lag_ms,
                    fencing: options.fencing(),
                    ..Faults::default()
                },
                stats: Stats::default(),
                highest_fence: 0,
            }),
            options,
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// The switches as they stand.
    pub fn faults(&self) -> Faults {
        self.inner().faults.clone()
    }

    /// Replaces the switches.
    pub fn set_faults(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// The counters as they stand.
    pub fn stats(&self) -> Stats {
        self.inner().stats.clone()
    }

    /// Changes the counters.
    pub fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut self.inner().stats);
    }

    /// Counts a request's arrival.
    pub fn count_arrival(&self, request_id: &str) {
        let mut inner = self.inner();
        inner.stats.received += 1;
        let known = inner.stats.requests.len();
        if known < REQUEST_LIMIT || inner.stats.requests.contains_key(request_id) {
            *inner
                .stats
                .requests
                .entry(request_id.to_owned())
                .or_default() += 1;
        }
    }

    /// Number of leading blocks that are cached.
    pub fn matched(&self, hashes: &[u64]) -> usize {
        self.inner().cache.matched(hashes)
    }

    /// Stores a sequence's blocks and remembers them for export.
    pub fn store(&self, request_id: &str, hashes: Vec<u64>) {
        let mut inner = self.inner();
        inner.store(&hashes);
        if inner.sequences.len() >= REQUEST_LIMIT {
            inner.sequences.clear();
        }
        inner.sequences.insert(request_id.to_owned(), hashes);
    }

    /// Blocks of a request, for another engine.
    pub fn export(&self, request_id: &str) -> Option<Vec<u64>> {
        self.inner().sequences.get(request_id).cloned()
    }

    /// Takes over another engine's blocks.
    pub fn import(&self, hashes: &[u64]) {
        self.inner().store(hashes);
    }

    /// Cache events after `seq` that are due, without the lost ones.
    pub fn events_after(&self, seq: u64) -> Vec<CacheEvent> {
        let inner = self.inner();
        let lag = Duration::from_millis(inner.faults.cache_event_lag_ms);
        let lost_every = inner.faults.cache_event_lost_every;
        let mut due = Vec::new();
        for (made, event) in &inner.events {
            let lost = lost_every.is_some_and(|n| event.seq % n.max(1) == 0);
            if event.seq <= seq || made.elapsed() < lag || lost {
                continue;
            }
            due.push(event.clone());
        }
        due
    }

    /// The load report, as old as the switch says.
    pub fn load(&self) -> Load {
        let current = self.current_load();
        let mut inner = self.inner();
        let lag = Duration::from_millis(inner.faults.load_lag_ms);
        let Some((taken, report)) = inner.load else {
            inner.load = Some((Instant::now(), current));
            return current;
        };
        if lag.is_zero() {
            inner.load = Some((Instant::now(), current));
            return current;
        }
        if taken.elapsed() >= lag {
            inner.load = Some((Instant::now(), current));
        }
        report
    }

    fn current_load(&self) -> Load {
        let step = self.decode_step();
        let tokens_per_s = match step.is_zero() {
            true => 0.0,
            false => 1.0 / step.as_secs_f64(),
        };
        let blocks = self.inner().cache.len();
        Load {
            running: self.slots.running() as u64,
            waiting: self.slots.waiting() as u64,
            kv_used_tokens: (blocks * self.options.block_tokens) as u64,
            kv_total_tokens: self.options.kv_total_tokens,
            tokens_per_s,
            slots: self.options.slots as u64,
        }
    }

    /// Time between two tokens of one sequence now; zero means no limit.
    pub fn decode_step(&self) -> Duration {
        let rate = self.options.decode_tokens_per_s;
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let saturation = self.options.saturation.max(1) as f64;
        let crowding = (self.slots.running() as f64 / saturation).max(1.0);
        Duration::from_secs_f64(crowding * self.slow_factor() / rate)
    }

    /// Time to process so many prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.options.prefill_tokens_per_s;
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(tokens as f64 * self.slow_factor() / rate)
    }

    fn slow_factor(&self) -> f64 {
        self.inner().faults.slow_factor.unwrap_or(1.0)
    }

    /// Follows an order, or refuses it for its fencing number.
    pub fn follow(&self, order: Order) -> Result<(), Order> {
        let mut inner = self.inner();
        let stale = order.fence < inner.highest_fence;
        if stale && inner.faults.fencing == Fencing::Checked {
            inner.stats.orders_refused += 1;
            return Err(order);
        }
        inner.highest_fence = inner.highest_fence.max(order.fence);
        inner.stats.orders.push(order);
        Ok(())
    }
}

impl Inner {
    fn store(&mut self, hashes: &[u64]) {
        let change = self.cache.store(hashes);
        if change.stored.is_empty() && change.removed.is_empty() {
            return;
        }
        self.event_seq += 1;
        let event = CacheEvent {
            seq: self.event_seq,
            stored: change.stored.iter().map(hex).collect(),
            removed: change.removed.iter().map(hex).collect(),
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}

fn hex(hash: &u64) -> String {
    format!("{hash:016x}")
}
