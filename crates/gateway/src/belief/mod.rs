//! What a process believes of the world: the operator's directory and the backend servers.

pub mod directory;
pub mod registry;

pub use directory::{Directory, Route, RouteKind, Service, Workspace};
pub use registry::{Registry, Server, ServerRecord};
