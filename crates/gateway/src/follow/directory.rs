//! Keeps the operator's directory in step with the store.

use std::rc::Rc;

use base::units::Millisecond;
use outside::FeedBatch;
use serde::Serialize;

use super::BatchScope;
use crate::node::{Adoption, Node};
use crate::{log, rollout};

#[derive(Serialize)]
struct InForceFields {
    version: u64,
    workspaces: usize,
    services: usize,
}

#[derive(Serialize)]
struct UnreadableFields<'a> {
    row: &'a str,
    reason: String,
}

/// Applies rows of the operator's table.
pub fn apply_batch(node: &Rc<Node>, batch: FeedBatch, scope: BatchScope) {
    node.directory_confirmed_ms.set(node.now_ms());
    node.directory_read_ms.set(node.now_ms());
    rollout::orders::apply_rows(node, &batch.rows, scope);
    for row in batch.rows {
        let Some(body) = row.body else {
            continue;
        };
        if row.key == node.dialect.directory_key {
            adopt_row(node, &body);
        }
    }
}

/// Takes over that a directory was the newest `age_ms` ago, if this node has the same version.
pub fn confirm(node: &Node, version: u64, age_ms: Millisecond) {
    if node.directory().is_none_or(|d| d.version != version) {
        return;
    }
    let confirmed_ms = node.now_ms().saturating_sub(age_ms);
    node.directory_confirmed_ms
        .set(node.directory_confirmed_ms.get().max(confirmed_ms));
}

/// Puts a directory's row into force if it is newer. Returns its version and the outcome for the
/// log.
pub fn adopt_row(node: &Rc<Node>, body: &[u8]) -> (u64, &'static str) {
    let directory = match (node.dialect.directory)(body) {
        Ok(directory) => directory,
        Err(error) => {
            let fields = UnreadableFields {
                row: node.dialect.directory_key,
                reason: error.to_string(),
            };
            log::emit(events::Code::RowUnreadable, &fields);
            return (0, "unreadable");
        }
    };
    let fields = InForceFields {
        version: directory.version,
        workspaces: directory.workspaces.len(),
        services: directory.services.len(),
    };
    match node.adopt(directory, body) {
        Adoption::Older => (fields.version, "older"),
        Adoption::InForce => {
            log::emit(events::Code::ConfigInForce, &fields);
            (fields.version, "in_force")
        }
    }
}
