//! What one node at a time does for all.

pub mod keeper;
pub mod usage;
