//! Type aliases that name the unit of a number.

/// Duration, or instant counted from an arbitrary origin, in milliseconds.
pub type Millisecond = u64;

/// Duration, or instant counted from an arbitrary origin, in microseconds.
pub type Microsecond = u64;

pub type TokenCount = u64;

pub type ByteCount = u64;
