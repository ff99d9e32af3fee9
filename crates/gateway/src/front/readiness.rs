//! Whether the load balancer should send callers to this node.

use crate::node::{Node, Phase};

/// Whether a node can serve requests, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    /// The node has no directory yet.
    NoDirectory,
    /// The node has no registry of backend servers yet.
    NoRegistry,
}

pub fn readiness(node: &Node) -> Readiness {
    if node.phase.get() != Phase::Serving {
        return Readiness::Draining;
    }
    if node.directory.borrow().is_none() {
        return Readiness::NoDirectory;
    }
    if node.registry_confirmed_ms.get() == 0 {
        return Readiness::NoRegistry;
    }
    Readiness::Ready
}
