//! The users' platform: its metadata store, its API for duties, and its runners.

mod answering;
pub mod behaviour;
pub mod cloud;
mod exchange;
pub mod path;
pub mod runner;
pub mod store;

pub use behaviour::{Behaviour, Endless};
pub use cloud::Cloud;
pub use path::{Path, PathState};
pub use runner::{Arrival, HeaderFields, Runner, RunnerOptions};
pub use store::{Outage, Store};
