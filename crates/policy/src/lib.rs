//! Decisions as plain functions: routing, admission, reclaim and placement.
//!
//! Nothing here holds a socket, a clock or a task. Every function takes the state, an event, the
//! time and, where it needs one, a random source, and returns what is to be done.

pub mod limit;
pub mod place;
pub mod reclaim;
pub mod retry;
pub mod route;
pub mod suspect;
