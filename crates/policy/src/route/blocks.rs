//! Prompt blocks: chained hashes that name a prompt's prefixes.

/// Tokens (words) in one prefix block.
pub const BLOCK_TOKENS: u64 = 64;

/// Hash of a block and of everything before it; equal hashes mean equal prefixes.
pub type BlockHash = u64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes of the whole blocks of `prompt`, first to last; a part block at the end has none.
///
/// The chain is 64-bit FNV-1a over the words, each followed by one space byte.
pub fn blocks(prompt: &str) -> Vec<BlockHash> {
    let mut hashes = Vec::new();
    let mut hash = FNV_OFFSET;
    let mut words = 0;
    for word in prompt.split_whitespace() {
        hash = fnv1a_update(hash, word.as_bytes());
        hash = fnv1a_update(hash, b" ");
        words += 1;
        if words % BLOCK_TOKENS == 0 {
            hashes.push(hash);
        }
    }
    hashes
}

fn fnv1a_update(hash: u64, bytes: &[u8]) -> u64 {
    let mut hash = hash;
    for byte in bytes {
        hash ^= u64::from(*byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    hash
}
