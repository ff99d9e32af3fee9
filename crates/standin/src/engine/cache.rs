//! Prefix cache: chained block hashes, evicted least recently used first.

use std::collections::BTreeMap;

use base::Map;
use serde::{Deserialize, Serialize};

use crate::hash::Fnv;

/// Hashes of the whole blocks of a text; each covers all words before it as well.
pub fn block_hashes(words: &[&str], block_tokens: usize) -> Vec<u64> {
    let mut state = Fnv::default();
    let mut hashes = Vec::with_capacity(words.len() / block_tokens);
    for block in words.chunks_exact(block_tokens) {
        for word in block {
            state.write(word.as_bytes());
            state.write(b" ");
        }
        hashes.push(state.digest());
    }
    hashes
}

/// One change of the cache, as `GET /cache/events` reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, without gaps when made.
    pub seq: u64,
    /// Blocks now cached, as 16 hexadecimal digits each.
    pub stored: Vec<String>,
    /// Blocks no longer cached.
    pub removed: Vec<String>,
}

/// The cache; capacity is in blocks.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    clock: u64,
    last_use: Map<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

/// Cache blocks that were added and evicted.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Blocks that were not there before.
    pub stored: Vec<u64>,
    /// Blocks that had to go.
    pub removed: Vec<u64>,
}

impl BlockCache {
    /// An empty cache.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_use: Map::default(),
            by_use: BTreeMap::new(),
        }
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Number of leading blocks that are cached.
    pub fn matched(&self, hashes: &[u64]) -> usize {
        let cached = |hash: &&u64| self.last_use.contains_key(hash);
        hashes.iter().take_while(cached).count()
    }

    /// Stores blocks, or marks them used.
    pub fn store(&mut self, hashes: &[u64]) -> Change {
        let mut change = Change::default();
        for hash in hashes {
            self.clock += 1;
            let earlier = self.last_use.insert(*hash, self.clock);
            self.by_use.insert(self.clock, *hash);
            match earlier {
                Some(earlier) => drop(self.by_use.remove(&earlier)),
                None => change.stored.push(*hash),
            }
        }
        while self.last_use.len() > self.capacity {
            let Some((_, evicted)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&evicted);
            change.removed.push(evicted);
        }
        change
    }
}
