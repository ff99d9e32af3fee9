//! The registry of backend servers.

use std::rc::Rc;

use base::units::Millisecond;
use base::{Name, Set};
use outside::{Batch, FeedRow};
use serde::Serialize;

use super::BatchScope;
use crate::belief::registry::{Absence, Registry, ServerChange};
use crate::log;
use crate::node::Node;
use crate::peer::message::{Listing, RegistryCopy, RegistryVersion};

/// Entries that vanish so soon after the store failed to answer may be back: the pages give them
/// two seconds from its return.
const AFTER_OUTAGE_MS: Millisecond = 2_500;

/// What became of another node's registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// It is this node's now.
    Taken,
    /// This node knows as much or more.
    Older,
    /// It leaves out entries that this node does not know; it must be asked for whole.
    Gap,
}

#[derive(Serialize)]
struct ServerFields<'a> {
    server: &'a str,
    revision: u64,
}

/// Takes in rows of the registry.
pub fn apply_batch(node: &Rc<Node>, batch: Batch, scope: BatchScope) {
    let revision = batch.revision;
    if revision < node.registry.borrow().revision {
        return;
    }
    let absence = absence(node);
    mark_current(node, revision);
    apply(node, batch.rows, scope, absence);
}

/// Takes over another node's registry if it is newer.
pub fn adopt_copy(node: &Node, copy: RegistryCopy) -> CopyOutcome {
    if copy.revision <= node.registry.borrow().revision {
        return CopyOutcome::Older;
    }
    if has_gap(&node.registry.borrow(), &copy) {
        return CopyOutcome::Gap;
    }
    mark_current(node, copy.revision);
    if let Listing::All(listed) = &copy.listing {
        for id in listed {
            node.registry.borrow_mut().confirm_present(id);
        }
    }
    let rows = copy.rows.into_iter().map(|(id, row)| FeedRow {
        key: id.to_string(),
        body: Some(row.into_bytes()),
    });
    // The other node has waited for entries that might come back.
    apply(node, rows.collect(), BatchScope::Changes, Absence::Certain);
    match copy.listing {
        Listing::All(listed) => {
            let listed: Set<Name> = listed.into_iter().collect();
            remove_others(node, &listed, Absence::Certain);
        }
        Listing::Since { gone, .. } => remove(node, &gone, Absence::Certain),
    }
    CopyOutcome::Taken
}

/// Whether a copy does not tell all that is to be known here: it lists an entry that it does not hold,
/// begins later than what is known, or can't tell whether a vanished entry is back.
fn has_gap(registry: &Registry, copy: &RegistryCopy) -> bool {
    match &copy.listing {
        Listing::All(listed) => {
            let held: Set<&Name> = copy.rows.iter().map(|(id, _)| id).collect();
            let lacks = |id: &&Name| !held.contains(id) && registry.server(id).is_none();
            listed.iter().any(|id| lacks(&id))
        }
        Listing::Since { revision, .. } => *revision > registry.revision || registry.has_vanished(),
    }
}

/// Takes over how new a node says its registry is, if nothing has changed in it since ours.
pub fn confirm(node: &Node, version: RegistryVersion) {
    let mut registry = node.registry.borrow_mut();
    let same = registry.revision > 0 && version.changed <= registry.revision;
    if !same || version.revision < registry.revision {
        return;
    }
    registry.revision = version.revision;
    let seen_ms = node.now_ms().saturating_sub(version.age_ms);
    node.registry_confirmed_ms
        .set(node.registry_confirmed_ms.get().max(seen_ms));
}

/// Drops entries that vanished beside an outage and have not come back.
pub fn expire(node: &Node) {
    let now_ms = node.now_ms();
    let changes = node.registry.borrow_mut().expire(now_ms);
    for change in changes {
        report(node, &change);
    }
}

fn absence(node: &Node) -> Absence {
    let since_ms = node.now_ms().saturating_sub(node.store_failed_ms.get());
    let failed = node.store_failed_ms.get() > 0 && since_ms < AFTER_OUTAGE_MS;
    // What was current a moment ago has vanished since, and not in the outage.
    let since_ms = node
        .store_failed_ms
        .get()
        .max(node.registry_confirmed_ms.get());
    match failed {
        true => Absence::NearOutage { since_ms },
        false => Absence::Certain,
    }
}

fn apply(node: &Node, rows: Vec<FeedRow>, scope: BatchScope, absence: Absence) {
    let mut listed: Set<Name> = Set::default();
    let mut changes = Vec::new();
    for row in last_changes(rows) {
        let Some(body) = row.body else {
            let mut registry = node.registry.borrow_mut();
            changes.push(registry.remove(&row.key, absence));
            continue;
        };
        listed.insert(row.key.as_str().into());
        // A row of another writer names no server to use, and says nothing of the others.
        let Ok(record) = (node.dialect.server)(&row.key, &body) else {
            let mut registry = node.registry.borrow_mut();
            changes.push(registry.remove(&row.key, Absence::Certain));
            continue;
        };
        changes.push(node.registry.borrow_mut().upsert(record, body));
    }
    for change in changes {
        report(node, &change);
    }
    if scope == BatchScope::All {
        remove_others(node, &listed, absence);
    }
}

/// Takes in that only the servers listed have an entry.
fn remove_others(node: &Node, listed: &Set<Name>, absence: Absence) {
    let mut registry = node.registry.borrow_mut();
    registry.reset_gone();
    let known = registry.servers().map(|s| s.record.id.clone());
    let others: Vec<Name> = known.filter(|id| !listed.contains(id)).collect();
    drop(registry);
    remove(node, &others, absence);
}

fn remove(node: &Node, ids: &[Name], absence: Absence) {
    for id in ids {
        let change = node.registry.borrow_mut().remove(id, absence);
        report(node, &change);
    }
}

/// The last change of each row: what came and went in between is of no use.
fn last_changes(rows: Vec<FeedRow>) -> Vec<FeedRow> {
    let mut seen: Set<String> = Set::default();
    let mut latest: Vec<FeedRow> = Vec::with_capacity(rows.len());
    for row in rows.into_iter().rev() {
        if seen.insert(row.key.clone()) {
            latest.push(row);
        }
    }
    latest.reverse();
    latest
}

fn mark_current(node: &Node, revision: u64) {
    node.registry.borrow_mut().revision = revision;
    node.registry_confirmed_ms.set(node.now_ms());
}

fn report(node: &Node, change: &ServerChange) {
    let (code, server) = match change {
        ServerChange::None => return,
        ServerChange::Appeared(id) => (events::Code::BackendAppeared, id),
        ServerChange::Leaving(id) => (events::Code::BackendLeaving, id),
        ServerChange::Gone(id) => (events::Code::BackendGone, id),
    };
    let revision = node.registry.borrow().revision;
    log::emit(code, &ServerFields { server, revision });
    node.capacity_changed.notify_one();
}
