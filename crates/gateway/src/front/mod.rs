//! The side of the callers: listeners, connections, requests and answers.

pub mod accept;
mod answer;
mod attempts;
mod buffered;
mod caller;
mod failover;
mod gap_check;
mod in_flight;
pub mod job;
mod local_reply;
mod readiness;
pub mod relay;
pub mod request;
pub mod resume;
mod serve;
mod stream;
mod version_lookup;
