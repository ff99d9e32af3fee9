//! Whether this node is worth sending callers to.

use crate::node::{Node, Phase};

/// What a node lacks to take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Nothing.
    Ready,
    /// It ends.
    Draining,
    /// It does not know the directory.
    NoDirectory,
    /// It has not read the registry.
    NoRegistry,
}

/// Judges a node.
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
