//! Identifier of a part of a prompt.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

/// Identifier of a part of a prompt, wherever it stands in the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartId(u64);

impl PartId {
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Reads an identifier that a request names: a hexadecimal number, or any other text.
    pub fn parse(text: &str) -> Self {
        let number = u64::from_str_radix(text, 16).unwrap_or_else(|_| {
            let mut hasher = DefaultHasher::new();
            text.hash(&mut hasher);
            hasher.finish()
        });
        Self(number)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl From<PartId> for String {
    fn from(part: PartId) -> Self {
        part.to_string()
    }
}

impl TryFrom<String> for PartId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16)
            .map(Self)
            .map_err(|e| format!("`{text}` is not a hexadecimal number: {e}"))
    }
}
