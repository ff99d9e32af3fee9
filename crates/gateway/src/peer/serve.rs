//! Answers the pulls of other nodes.

use super::message::{DIRECTORY_PATH, Listing, REGISTRY_PATH, RegistryCopy, USAGE_PATH};
use crate::http::RequestHead;
use crate::node::Node;

/// Status and body of the response to a pull.
pub fn answer(node: &Node, head: &RequestHead) -> (u16, Vec<u8>) {
    let path = head.path();
    if let Some(since) = path.strip_prefix(REGISTRY_PATH) {
        return match since.parse() {
            Ok(since) => (200, registry(node, since)),
            Err(_) => (404, Vec::new()),
        };
    }
    match path {
        DIRECTORY_PATH => (200, node.directory_row.borrow().clone()),
        USAGE_PATH => (200, usage(node)),
        _ => (404, Vec::new()),
    }
}

fn registry(node: &Node, since: u64) -> Vec<u8> {
    serde_json::to_vec(&registry_copy(node, since)).unwrap_or_default()
}

fn usage(node: &Node) -> Vec<u8> {
    let copy = node.usage.borrow().all_lives(&node.key());
    serde_json::to_vec(&copy).unwrap_or_default()
}

/// Copy of the registry for a node that knows it up to revision `since`.
pub fn registry_copy(node: &Node, since: u64) -> RegistryCopy {
    let registry = node.registry.borrow();
    let rows = registry.stored_since(since);
    // Entries in the registry were decoded as JSON, so they are UTF-8.
    let text = |row: &[u8]| String::from_utf8_lossy(row).into_owned();
    RegistryCopy {
        revision: registry.revision,
        changed: Some(registry.changed),
        listing: match registry.gone_since(since) {
            Some(gone) => Listing::Since {
                revision: since,
                gone: gone.into_iter().collect(),
            },
            None => Listing::All(registry.listed().cloned().collect()),
        },
        rows: rows.map(|(id, row)| (id.clone(), text(row))).collect(),
    }
}
