//! Decisions as pure code: without sockets, clocks or tasks.

pub mod allowance;
pub mod backpressure;
pub mod begun_streams;
pub mod body_memory;
pub mod not_run;
pub mod offered_load;
pub mod outcome;
pub mod pause;
pub mod placement;
pub mod prefix_cache;
pub mod prompt;
pub mod reach;
pub mod retry_budget;
pub mod rule;
pub mod scale;
pub mod shed;
pub mod signal;
pub mod silence;
pub mod speed;
pub mod store_poll;
pub mod stream_nodes;
pub mod stream_version;
pub mod timeouts;
pub mod turns;
pub mod version_history;
