//! Identifiers that appear in messages and logs.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Identifier of an accepted request: 128 random bits, written as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(u128);

impl RequestId {
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    pub fn bits(self) -> u128 {
        self.0
    }
}

impl From<u128> for RequestId {
    fn from(bits: u128) -> Self {
        Self(bits)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestId({self})")
    }
}

impl FromStr for RequestId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let well_formed = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !well_formed {
            return Err(format!("`{text}` is not 32 hexadecimal digits"));
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|e| e.to_string())
    }
}

impl TryFrom<String> for RequestId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}
