//! Changes of known inputs.

use rand::Rng;
use rand::rngs::SmallRng;

/// Words that mean something to one of the readers.
const WORDS: [&[u8]; 28] = [
    b"\r\n",
    b"\n",
    b"\r\n\r\n",
    b"\n\n",
    b"0\r\n\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 18446744073709551615\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Connection: close\r\n",
    b" HTTP/1.0",
    b" HTTP/1.1",
    b"GET ",
    b"id: 1\n",
    b"id: 18446744073709551615\n",
    b"data: x\n",
    b":",
    b"ffffffffffffffff",
    b"-1",
    b"1e400",
    b"null",
    b"[]",
    b"{}",
    b"\"\"",
    b"\xff",
    b"\0",
    b"\t",
    b"\xef\xbb\xbf",
];

/// Most changes of one input.
const CHANGES: usize = 4;

/// Longest input.
const LIMIT_BYTES: usize = 64 * 1024;

/// A change of one of the known inputs.
pub fn mutate(known: &[Vec<u8>], rng: &mut SmallRng) -> Vec<u8> {
    let mut input = pick(known, rng);
    for _ in 0..rng.random_range(1..=CHANGES) {
        change(&mut input, known, rng);
    }
    input.truncate(LIMIT_BYTES);
    input
}

fn change(input: &mut Vec<u8>, known: &[Vec<u8>], rng: &mut SmallRng) {
    let place = rng.random_range(0..=input.len());
    let end = rng.random_range(place..=input.len());
    match rng.random_range(0..7) {
        0 if place < input.len() => input[place] = rng.random(),
        1 if place < input.len() => input[place] ^= 1 << rng.random_range(0..8),
        2 => drop(input.drain(place..end)),
        3 => {
            let part = input[place..end].to_vec();
            input.splice(place..place, part);
        }
        4 => {
            let other = pick(known, rng);
            let from = rng.random_range(0..=other.len());
            input.splice(place..end, other[from..].iter().copied());
        }
        _ => {
            let word = WORDS[rng.random_range(0..WORDS.len())];
            input.splice(place..place, word.iter().copied());
        }
    }
}

fn pick(known: &[Vec<u8>], rng: &mut SmallRng) -> Vec<u8> {
    match known.is_empty() {
        true => Vec::new(),
        false => known[rng.random_range(0..known.len())].clone(),
    }
}
