//! 64-bit FNV-1a, which a test can recompute anywhere.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Running FNV-1a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(OFFSET_BASIS)
    }
}

impl Fnv {
    /// Continues from an earlier digest.
    pub fn from_digest(digest: u64) -> Self {
        Self(digest)
    }

    /// Takes in bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// The digest so far.
    pub fn digest(self) -> u64 {
        self.0
    }
}

/// Digest of one byte string.
pub fn fnv(bytes: &[u8]) -> u64 {
    let mut state = Fnv::default();
    state.write(bytes);
    state.digest()
}

/// Digest of one byte string as 16 hexadecimal digits.
pub fn fnv_hex(bytes: &[u8]) -> String {
    format!("{:016x}", fnv(bytes))
}
