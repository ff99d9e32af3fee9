//! Aliases that give a plain number its unit.

/// Duration, or instant since an arbitrary origin, in milliseconds.
pub type Millisecond = u64;

/// Duration or instant in microseconds.
pub type Microsecond = u64;

/// Number of model tokens.
pub type TokenCount = u64;

/// Size in bytes.
pub type ByteCount = u64;
