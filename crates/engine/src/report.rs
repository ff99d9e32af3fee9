//! Load and cache reports of model engines.

use base::units::TokenCount;
use serde::Deserialize;

/// Response to `GET /load`. The engine may report outdated values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct LoadReport {
    /// Sequences being decoded.
    pub running: u32,
    /// Sequences that wait for a slot.
    pub waiting: u32,
    /// Tokens held in the KV cache.
    #[serde(default)]
    pub kv_used_tokens: TokenCount,
    /// Capacity of the KV cache in tokens.
    #[serde(default)]
    pub kv_total_tokens: TokenCount,
    /// Generated tokens per second, over all sequences.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Most sequences that are decoded at the same time.
    #[serde(default)]
    pub slots: u32,
}

/// Response to `GET /cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Events after the requested sequence number, in order; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// Change to an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, counted by the engine.
    pub seq: u64,
    /// Hashes of blocks that were added.
    #[serde(default)]
    pub stored: Vec<String>,
    /// Hashes of blocks that were evicted.
    #[serde(default)]
    pub removed: Vec<String>,
}
