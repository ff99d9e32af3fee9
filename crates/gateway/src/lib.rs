//! The routed interface: requests on routes by host and path, to registered backend servers.
//!
//! One process runs on one thread and keeps its beliefs there: the directory, the registry of
//! backend servers, what the other nodes say. Decisions are plain code in [`decide`]; what the
//! platform calls things is given to the process as a [`dialect`].

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
pub mod settings;
pub mod sse;
pub mod tasks;
