//! The users' platform: its metadata store, its API for duties, and its runners.

pub mod cloud;
mod exchange;
pub mod runner;
pub mod store;

pub use cloud::Cloud;
pub use runner::{Arrival, Behaviour, Endless, HeaderFields, Runner, RunnerOptions};
pub use store::{Outage, Store};
