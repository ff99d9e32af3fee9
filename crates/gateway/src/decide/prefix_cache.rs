//! Prompt parts that a backend server has cached, estimated from the requests sent to it.

use base::Map;
use base::units::{Millisecond, TokenCount};

use super::prompt::Prompt;

/// Share of an engine's memory that is assumed to hold cached parts. The rest serves running
/// requests.
const CACHE_MEMORY_SHARE: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: TokenCount,
    used_ms: Millisecond,
}

/// Parts that one server is assumed to have cached. The least recently used ones are evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: Map<u64, CachedPart>,
    tokens: TokenCount,
}

impl PrefixCache {
    /// Tokens at the start of the prompt that need not be read again.
    pub fn cached_tokens(&self, prompt: &Prompt) -> TokenCount {
        let mut tokens = 0;
        for part in &prompt.parts {
            if !self.parts.contains_key(&part.chain) {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// Records that the server reads the prompt.
    pub fn record(&mut self, prompt: &Prompt, memory_tokens: TokenCount, now_ms: Millisecond) {
        for part in &prompt.parts {
            let cached = CachedPart {
                tokens: part.tokens,
                used_ms: now_ms,
            };
            if self.parts.insert(part.chain, cached).is_none() {
                self.tokens += part.tokens;
            }
        }
        let room = (memory_tokens as f64 * CACHE_MEMORY_SHARE) as TokenCount;
        if self.tokens > room {
            self.shrink(room);
        }
    }

    /// Evicts the least recently used parts until a tenth of the room is free, so that evictions
    /// are rare.
    fn shrink(&mut self, room: TokenCount) {
        let target = room - room / 10;
        let mut by_age: Vec<(Millisecond, u64, TokenCount)> = Vec::with_capacity(self.parts.len());
        by_age.extend(self.parts.iter().map(|(id, k)| (k.used_ms, *id, k.tokens)));
        by_age.sort_unstable();
        for (_, id, tokens) in by_age {
            if self.tokens <= target {
                return;
            }
            self.parts.remove(&id);
            self.tokens -= tokens;
        }
    }
}
