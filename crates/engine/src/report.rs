//! What model engines report of themselves.

use base::units::TokenCount;
use serde::Deserialize;

/// Answer of `GET /load`; it may lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct LoadReport {
    /// Sequences being decoded.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Tokens held in the KV cache.
    #[serde(default)]
    pub kv_used_tokens: TokenCount,
    /// Room of the KV cache in tokens.
    #[serde(default)]
    pub kv_total_tokens: TokenCount,
    /// Tokens generated a second, over all sequences.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Sequences that fit at a time.
    #[serde(default)]
    pub slots: u32,
}

/// Answer of `GET /cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Events after the number asked for, in order, perhaps with gaps.
    pub events: Vec<CacheEvent>,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number at that engine.
    pub seq: u64,
    /// Hashes of blocks stored.
    #[serde(default)]
    pub stored: Vec<String>,
    /// Hashes of blocks removed.
    #[serde(default)]
    pub removed: Vec<String>,
}
