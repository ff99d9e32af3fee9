//! Decisions as plain code: no socket, clock or task.

pub mod allowance;
pub mod backpressure;
pub mod body_memory;
pub mod cache;
pub mod not_run;
pub mod outcome;
pub mod placement;
pub mod prompt;
pub mod retry_budget;
pub mod rule;
pub mod scale;
pub mod shed;
pub mod signal;
pub mod speed;
pub mod standstill;
pub mod timeouts;
pub mod turns;
pub mod watch;
pub mod work;
