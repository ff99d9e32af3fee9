//! The deterministic answer: token `i` follows from the prompt alone.

use crate::hash::Fnv;

/// Length of every generated token, such as ` w1a2b3c`.
pub const WORD_BYTES: usize = 8;

/// Token `index` of the answer to the prompt with this digest.
pub fn word(prompt_digest: u64, index: u64) -> String {
    format!(" w{:06x}", mix(prompt_digest ^ mix(index)) & 0xff_ffff)
}

/// The first `count` tokens of the answer to `prompt`, as one text.
pub fn answer(prompt: &str, count: u64) -> String {
    let digest = crate::hash::fnv(prompt.as_bytes());
    (0..count).map(|index| word(digest, index)).collect()
}

/// Position at which an answer is continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Digest of the prompt without any partial answer.
    pub prompt_digest: u64,
    /// Index of the next token.
    pub next_index: u64,
    /// Whether the partial answer is what this prompt's answer starts with.
    pub origin: Origin,
}

/// Whose text a partial answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// None, or the start of this prompt's own answer.
    Own,
    /// Something else.
    Foreign,
}

/// Position after a prompt and a separate partial answer.
pub fn position_after(prompt: &str, partial: &str) -> Position {
    let prompt_digest = crate::hash::fnv(prompt.as_bytes());
    let next_index = partial.split_whitespace().count() as u64;
    let origin = match answer(prompt, next_index) == partial {
        true => Origin::Own,
        false => Origin::Foreign,
    };
    Position {
        prompt_digest,
        next_index,
        origin,
    }
}

/// Position after a text that may end with the start of its own answer.
pub fn position_in(text: &str) -> Position {
    let bytes = text.as_bytes();
    let longest = trailing_words(bytes);
    let mut at = bytes.len() - longest * WORD_BYTES;
    let mut state = Fnv::default();
    state.write(&bytes[..at]);
    for count in (0..=longest).rev() {
        if continues(state.digest(), &bytes[at..]) {
            return Position {
                prompt_digest: state.digest(),
                next_index: count as u64,
                origin: Origin::Own,
            };
        }
        state.write(&bytes[at..at + WORD_BYTES]);
        at += WORD_BYTES;
    }
    unreachable!("an empty rest always continues")
}

fn continues(prompt_digest: u64, rest: &[u8]) -> bool {
    let mut words = rest.chunks(WORD_BYTES).enumerate();
    words.all(|(index, found)| word(prompt_digest, index as u64).as_bytes() == found)
}

fn trailing_words(bytes: &[u8]) -> usize {
    let mut count = 0;
    for candidate in bytes.rchunks(WORD_BYTES) {
        if !is_word(candidate) {
            break;
        }
        count += 1;
    }
    count
}

fn is_word(bytes: &[u8]) -> bool {
    let Some(digits) = bytes.strip_prefix(b" w") else {
        return false;
    };
    digits.len() == WORD_BYTES - 2 && digits.iter().all(u8::is_ascii_hexdigit)
}

/// The finaliser of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
