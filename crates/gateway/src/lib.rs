//! The routed interface: routes requests by host and path to registered backend servers.
//!
//! A process runs on one thread and keeps its view of the system there: the directory, the registry
//! of backend servers, and the state of the other nodes. Decisions are made by code without I/O in
//! [`decide`]. Names and formats of the platform are given to the process as a [`dialect`].

pub mod backend;
pub mod belief;
pub mod clock;
pub mod config_file;
pub mod daemon;
pub mod decide;
pub mod dialect;
pub mod duty;
pub mod follow;
pub mod front;
pub mod http;
pub mod log;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod rollout;
pub mod settings;
pub mod sse;
pub mod tasks;
