//! What one node at a time does for all.

pub mod checkpoint;
pub mod runner;
pub mod scaling;
pub mod usage;
