//! The node's local view of the cluster: the operator's directory and the registry of backend
//! servers.

pub mod departed;
pub mod directory;
pub mod registry;
pub mod server;

pub use directory::{Directory, Route, RouteKind, Service, Workspace};
pub use registry::{Registry, Server, ServerRecord};
