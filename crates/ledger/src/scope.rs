//! What a record is for: a workspace, a service and the caller's key.

use std::fmt;
use std::str::FromStr;

use base::Name;
use outside::Key;
use snafu::Snafu;

/// Longest `Idempotency-Key` that is taken.
pub const KEY_LIMIT_BYTES: usize = 255;

/// The `Idempotency-Key` header was malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// No character at all.
    #[snafu(display(
        "The Idempotency-Key header is empty; send 1 to 255 printable ASCII characters."
    ))]
    Empty,
    /// Longer than [`KEY_LIMIT_BYTES`].
    #[snafu(display(
        "The Idempotency-Key header has {size_bytes} bytes; send 1 to 255 printable ASCII characters."
    ))]
    TooLong {
        /// Length that was sent.
        size_bytes: usize,
    },
    /// A byte outside printable ASCII.
    #[snafu(display(
        "The Idempotency-Key header has a character at position {position} that is not printable ASCII; send 1 to 255 printable ASCII characters."
    ))]
    BadCharacter {
        /// Position of the first such byte, from 0.
        position: usize,
    },
}

/// A well-formed key of a caller: 1 to 255 printable ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Name);

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > KEY_LIMIT_BYTES {
            return Err(KeyError::TooLong {
                size_bytes: text.len(),
            });
        }
        let printable = |byte: u8| (0x20..=0x7e).contains(&byte);
        match text.bytes().position(|byte| !printable(byte)) {
            Some(position) => Err(KeyError::BadCharacter { position }),
            None => Ok(Self(text.into())),
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Scope in which a key names one call; equal keys of two workspaces or services are two calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// The caller's workspace, found from its bearer key.
    pub workspace: Name,
    /// The service called.
    pub service: Name,
    /// The caller's key.
    pub key: IdempotencyKey,
}

impl Scope {
    /// Name of the record's row.
    pub fn row_key(&self) -> Key {
        let sort = format!("{}/{}", escape(&self.service), self.key);
        Key::new(partition(&self.workspace), sort)
    }
}

/// Partition that holds the records of a workspace.
pub fn partition(workspace: &str) -> String {
    format!("ledger/{}", escape(workspace))
}

fn escape(name: &str) -> String {
    name.replace('%', "%25").replace('/', "%2F")
}
