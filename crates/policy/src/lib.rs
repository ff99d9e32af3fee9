//! Decisions as pure functions: routing, retries, admission, reclaim and placement.
//!
//! This crate does no I/O, reads no clock and starts no task. Functions take the state, an event,
//! the current time and, where needed, a random number generator, and return what the caller has
//! to do.

pub mod limit;
pub mod place;
pub mod reclaim;
pub mod retry;
pub mod route;
pub mod suspect;
