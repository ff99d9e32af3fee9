//! Duties that one node at a time does for the whole cluster, under a lease: usage reports and
//! orders of servers.

pub mod checkpoint;
pub mod rollouts;
pub mod runner;
pub mod scaling;
pub mod tenure;
pub mod usage;
