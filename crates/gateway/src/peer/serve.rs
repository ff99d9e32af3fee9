//! Answers to other nodes' questions.

use super::message::{DIRECTORY_PATH, REGISTRY_PATH, RegistryCopy, USAGE_PATH};
use crate::http::RequestHead;
use crate::node::Node;

/// Status and body for a question.
pub fn answer(node: &Node, head: &RequestHead) -> (u16, Vec<u8>) {
    match head.path() {
        DIRECTORY_PATH => (200, node.directory_stored.borrow().clone()),
        REGISTRY_PATH => (200, registry(node)),
        USAGE_PATH => (200, usage(node)),
        _ => (404, Vec::new()),
    }
}

fn registry(node: &Node) -> Vec<u8> {
    serde_json::to_vec(&registry_copy(node)).unwrap_or_default()
}

fn usage(node: &Node) -> Vec<u8> {
    let copy = node.usage.borrow().copy(&node.key());
    serde_json::to_vec(&copy).unwrap_or_default()
}

/// The registry as others may take it over.
pub fn registry_copy(node: &Node) -> RegistryCopy {
    let registry = node.registry.borrow();
    RegistryCopy {
        revision: registry.revision,
        rows: registry.stored().collect(),
    }
}
