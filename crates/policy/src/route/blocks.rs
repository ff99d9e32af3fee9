//! Prompt blocks: chained hashes that identify the prefixes of a prompt.

/// Tokens in one prefix block; a token is estimated as one word.
pub const BLOCK_TOKENS: u64 = 64;

/// Hash of a block and all blocks before it, so equal hashes stand for equal prefixes.
pub type BlockHash = u64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes of the complete blocks of `prompt` in order; an incomplete last block is left out.
///
/// The hash is 64-bit FNV-1a over the words, each followed by one space byte.
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
