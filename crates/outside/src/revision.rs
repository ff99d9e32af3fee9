//! Revisions of a store that may be restored from an earlier copy of itself.

/// Bits of a revision that hold the version within an era.
const VERSION_BITS: u32 = 44;

/// Revision of a store: its era, then the version within the era. A store that was restored from an
/// earlier copy gives out versions again, and each of its revisions is greater than those before.
/// Stores count eras from 1; 0 stands for a store that names none.
pub fn pack(era: u64, version: u64) -> u64 {
    (restorations(era) << VERSION_BITS) | (version & version_mask())
}

/// Version within the era that a revision belongs to.
pub fn version_of(revision: u64) -> u64 {
    revision & version_mask()
}

/// Number of restorations before a revision.
pub fn restorations_of(revision: u64) -> u64 {
    revision >> VERSION_BITS
}

/// Number of restorations before an era.
pub fn restorations(era: u64) -> u64 {
    era.saturating_sub(1).min(u64::MAX >> VERSION_BITS)
}

const fn version_mask() -> u64 {
    (1 << VERSION_BITS) - 1
}
