//! Scope of an idempotency key: the workspace, the service and the key that the caller sent.

use std::fmt;
use std::str::FromStr;

use base::Name;
use outside::Key;
use snafu::Snafu;

/// Maximum length of an `Idempotency-Key` header.
pub const KEY_LIMIT_BYTES: usize = 255;

/// Error of a malformed `Idempotency-Key` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    #[snafu(display(
        "The Idempotency-Key header is empty; send 1 to 255 printable ASCII characters."
    ))]
    Empty,
    /// The key is longer than [`KEY_LIMIT_BYTES`].
    #[snafu(display(
        "The Idempotency-Key header has {size_bytes} bytes; send 1 to 255 printable ASCII characters."
    ))]
    TooLong { size_bytes: usize },
    /// The key contains a byte outside printable ASCII.
    #[snafu(display(
        "The Idempotency-Key header has a character at position {position} that is not printable ASCII; send 1 to 255 printable ASCII characters."
    ))]
    BadCharacter {
        /// Zero-based position of the first such byte.
        position: usize,
    },
}

/// Valid idempotency key: 1 to 255 printable ASCII characters.
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

/// Identity of a call. Equal keys of different workspaces or services belong to different calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// Workspace of the caller, looked up by its bearer key.
    pub workspace: Name,
    /// Service that is called.
    pub service: Name,
    /// Key that the caller sent.
    pub key: IdempotencyKey,
}

impl Scope {
    /// Table key of the row that records the call.
    pub fn row_key(&self) -> Key {
        let sort = format!("{}/{}", escape(&self.service), self.key);
        Key::new(partition(&self.workspace), sort)
    }
}

/// Table partition that holds the records of a workspace.
pub fn partition(workspace: &str) -> String {
    format!("ledger/{}", escape(workspace))
}

fn escape(name: &str) -> String {
    name.replace('%', "%25").replace('/', "%2F")
}
