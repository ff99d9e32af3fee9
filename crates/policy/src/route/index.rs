//! Bounded index of the prompt prefixes that servers hold in their prefix caches.
//!
//! Its sources are this entry VM's own routing and the servers' cache events. The events are late
//! and some are lost, so the index is an estimate.

use std::collections::VecDeque;

use base::units::TokenCount;
use base::{Map, Name};

use super::blocks::{BLOCK_TOKENS, BlockHash};

/// Most servers indexed for one block; a further one replaces the first of the list.
pub const MAX_HOLDERS: usize = 32;

/// Most blocks indexed for a server whose cache size is not known.
const DEFAULT_SERVER_BLOCKS: usize = 4_096;

/// Change of a server's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number at the server; a gap means lost events.
    pub seq: u64,
    /// Blocks added to the cache.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted from the cache.
    pub removed: Vec<BlockHash>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    server: u32,
    stamp: u32,
}

#[derive(Debug, Default)]
struct ServerBlocks {
    name: Option<Name>,
    /// Blocks in order of use. An entry is stale if its stamp differs from the holder's.
    used: VecDeque<(BlockHash, u32)>,
    held: usize,
    capacity: Option<usize>,
    last_seq: Option<u64>,
}

/// Prefix index. Its memory is bounded by `max_held` and [`MAX_HOLDERS`].
#[derive(Debug)]
pub struct PrefixIndex {
    holders: Map<BlockHash, Vec<Holder>>,
    servers: Vec<ServerBlocks>,
    ids: Map<Name, u32>,
    free_ids: Vec<u32>,
    /// Pairs of block and server in the index.
    held: usize,
    max_held: usize,
    clock: u32,
    next_victim: usize,
}

impl PrefixIndex {
    /// Creates an empty index of at most `max_held` pairs of block and server.
    pub fn new(max_held: usize) -> Self {
        Self {
            holders: Map::default(),
            servers: Vec::new(),
            ids: Map::default(),
            free_ids: Vec::new(),
            held: 0,
            max_held,
            clock: 0,
            next_victim: 0,
        }
    }

    /// Number of pairs of block and server in the index.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Sets the capacity of a server's cache and evicts the oldest blocks beyond it.
    pub fn set_capacity(&mut self, server: &Name, kv_total_tokens: TokenCount) {
        let id = self.id_of(server);
        let blocks = (kv_total_tokens / BLOCK_TOKENS) as usize;
        self.servers[id as usize].capacity = Some(blocks);
        self.shrink_server(id);
    }

    /// Records that `server` computed or used these blocks.
    pub fn on_used(&mut self, server: &Name, blocks: &[BlockHash]) {
        let id = self.id_of(server);
        // The last block is touched first, so a prefix is evicted after the blocks that extend it.
        for block in blocks.iter().rev() {
            self.touch(id, *block);
        }
        self.shrink_server(id);
        self.shrink_all();
    }

    /// Applies a cache event. Events that are not newer than the last one are ignored. After a gap,
    /// removals may have been missed, so the older half of the server's blocks is evicted.
    pub fn on_event(&mut self, server: &Name, event: &CacheEvent) {
        let id = self.id_of(server);
        let last_seq = self.servers[id as usize].last_seq;
        if last_seq.is_some_and(|last| event.seq <= last) {
            return;
        }
        let gap = last_seq.is_some_and(|last| event.seq > last + 1);
        self.servers[id as usize].last_seq = Some(event.seq);
        if gap {
            let keep = self.servers[id as usize].held / 2;
            self.shrink_to(id, keep);
        }
        for block in &event.removed {
            self.remove(id, *block);
        }
        self.on_used(server, &event.stored);
    }

    pub fn forget(&mut self, server: &Name) {
        let Some(id) = self.ids.remove(server) else {
            return;
        };
        self.shrink_to(id, 0);
        self.servers[id as usize] = ServerBlocks::default();
        self.free_ids.push(id);
    }

    /// Servers that hold a prefix of `blocks`, each with its number of leading blocks.
    pub fn matches(&self, blocks: &[BlockHash]) -> Vec<(Name, usize)> {
        let mut found: Vec<(u32, usize)> = Vec::new();
        for (depth, block) in blocks.iter().enumerate() {
            let Some(holders) = self.holders.get(block) else {
                break;
            };
            if depth == 0 {
                found.extend(holders.iter().map(|holder| (holder.server, 1)));
                continue;
            }
            let mut extended = false;
            for (server, matched) in &mut found {
                if *matched < depth || !holders.iter().any(|holder| holder.server == *server) {
                    continue;
                }
                *matched = depth + 1;
                extended = true;
            }
            if !extended {
                break;
            }
        }
        let name_of = |id: u32| self.servers[id as usize].name.clone();
        found
            .into_iter()
            .filter_map(|(id, matched)| Some((name_of(id)?, matched)))
            .collect()
    }

    fn id_of(&mut self, server: &Name) -> u32 {
        if let Some(id) = self.ids.get(server) {
            return *id;
        }
        let id = self.free_ids.pop().unwrap_or_else(|| {
            self.servers.push(ServerBlocks::default());
            (self.servers.len() - 1) as u32
        });
        self.servers[id as usize].name = Some(server.clone());
        self.ids.insert(server.clone(), id);
        id
    }

    fn touch(&mut self, id: u32, block: BlockHash) {
        self.clock = self.clock.wrapping_add(1);
        let stamp = self.clock;
        let server = &mut self.servers[id as usize];
        server.used.push_back((block, stamp));
        let holders = self.holders.entry(block).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.server == id) {
            holder.stamp = stamp;
            self.compact(id);
            return;
        }
        server.held += 1;
        self.held += 1;
        holders.push(Holder { server: id, stamp });
        if holders.len() > MAX_HOLDERS {
            let oldest = holders.remove(0);
            self.servers[oldest.server as usize].held -= 1;
            self.held -= 1;
        }
    }

    /// Drops stale entries once they make up half of a server's queue.
    fn compact(&mut self, id: u32) {
        let server = &mut self.servers[id as usize];
        if server.used.len() < 64 || server.used.len() < 2 * server.held {
            return;
        }
        let holders = &self.holders;
        server.used.retain(|(block, stamp)| {
            holders.get(block).is_some_and(|holders| {
                holders
                    .iter()
                    .any(|holder| holder.server == id && holder.stamp == *stamp)
            })
        });
    }

    fn remove(&mut self, id: u32, block: BlockHash) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        let Some(position) = holders.iter().position(|holder| holder.server == id) else {
            return;
        };
        holders.swap_remove(position);
        if holders.is_empty() {
            self.holders.remove(&block);
        }
        self.servers[id as usize].held -= 1;
        self.held -= 1;
    }

    fn shrink_server(&mut self, id: u32) {
        let capacity = self.servers[id as usize].capacity;
        self.shrink_to(id, capacity.unwrap_or(DEFAULT_SERVER_BLOCKS));
    }

    fn shrink_to(&mut self, id: u32, keep: usize) {
        while self.servers[id as usize].held > keep {
            if !self.drop_oldest(id) {
                return;
            }
        }
    }

    /// Evicts one block of each server in turn until the index is within its bound.
    fn shrink_all(&mut self) {
        while self.held > self.max_held {
            self.next_victim = (self.next_victim + 1) % self.servers.len();
            self.drop_oldest(self.next_victim as u32);
        }
    }

    /// Evicts the least recently used block of a server. Returns false if it has none.
    fn drop_oldest(&mut self, id: u32) -> bool {
        loop {
            let Some((block, stamp)) = self.servers[id as usize].used.pop_front() else {
                return false;
            };
            let valid = self.holders.get(&block).is_some_and(|holders| {
                holders
                    .iter()
                    .any(|holder| holder.server == id && holder.stamp == stamp)
            });
            if !valid {
                continue;
            }
            self.remove(id, block);
            return true;
        }
    }
}
