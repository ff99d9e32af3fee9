//! Proofs over real daemons: processes under faults, a history of what happened, and one checker
//! for each promise.

pub mod caller;
pub mod check;
pub mod deployment;
pub mod guard;
pub mod history;
pub mod load;
pub mod mixed;
pub mod process;
pub mod programs;
pub mod relay;
pub mod wire;
