//! Coordination between entry VMs: gossip membership, replication of the configuration and of the
//! marks of leaving backend servers, leases, and the handover of open streams.
//!
//! Decisions are made in modules without I/O ([`node`] and its parts, [`apply`], [`lease`],
//! [`handover`]); [`Fleet`] carries them out over JSON-RPC and the platform's services.

pub mod apply;
mod auth;
pub mod clock;
pub mod config_replica;
mod executor;
mod fleet;
pub mod freshness;
pub mod handover;
pub mod hash;
mod holder;
pub mod lease;
pub mod leaving;
pub mod member;
pub mod node;
mod peers;
pub mod piggyback;
mod report;
mod rpc;
mod server;
mod store;
mod streams;
pub mod timing;
pub mod view;
pub mod wire;

pub use fleet::{Fleet, FleetError, FleetHandlers, FleetOptions};
pub use holder::{LeaseHandle, LeaseHolder};
pub use store::{ConfigStore, StoreError};
pub use streams::{HandoverResult, StreamChunk, StreamError, StreamReader, StreamSink, Superseded};
