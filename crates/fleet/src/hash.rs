//! Hashes that are the same on every node: FNV-1a with the finalizer of MurmurHash3.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of `bytes`, the same on every node and in every release.
pub fn stable(bytes: &[u8]) -> u64 {
    let mut hash = OFFSET;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    mix(hash)
}

/// Weight of `node` for `key` in rendezvous hashing: the node with the highest weight is chosen.
pub fn rendezvous(node: &str, key: u128) -> u64 {
    let folded = (key as u64) ^ ((key >> 64) as u64).rotate_left(32);
    mix(stable(node.as_bytes()) ^ mix(folded))
}

fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
