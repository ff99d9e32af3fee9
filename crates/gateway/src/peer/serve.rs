//! Answers to other nodes' questions.

use super::message::{DIRECTORY_PATH, REGISTRY_PATH, RegistryCopy};
use crate::http::RequestHead;
use crate::node::Node;

/// Status and body for a question.
pub fn answer(node: &Node, head: &RequestHead) -> (u16, Vec<u8>) {
    match head.path() {
        DIRECTORY_PATH => (200, node.directory_stored.borrow().clone()),
        REGISTRY_PATH => (200, registry(node)),
        _ => (404, Vec::new()),
    }
}

fn registry(node: &Node) -> Vec<u8> {
    let registry = node.registry.borrow();
    let rows = registry.stored().iter();
    let copy = RegistryCopy {
        revision: registry.revision,
        rows: rows.map(|(id, row)| (id.clone(), row.clone())).collect(),
    };
    serde_json::to_vec(&copy).unwrap_or_default()
}
