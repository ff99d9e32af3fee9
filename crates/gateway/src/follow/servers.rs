//! Keeps the registry of backend servers in step with the store.

use std::rc::Rc;

use base::units::Millisecond;
use base::{Name, Set};
use outside::revision::restorations_of;
use outside::{FeedBatch, FeedRow};
use serde::Serialize;

use super::BatchScope;
use super::row_changes::{self, EntryChanges, RowChange};
use crate::belief::registry::{Absence, Registry, ServerChange};
use crate::log;
use crate::node::Node;
use crate::peer::message::{Listing, RegistryCopy, RegistryVersion};

/// For this time after the store failed to answer, a vanished entry may come back: servers have 2 s
/// from the store's return to register again.
const AFTER_OUTAGE_MS: Millisecond = 2_500;

/// Outcome of adopting another node's copy of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy was adopted.
    Taken,
    /// This node knows the same revision or a newer one.
    Older,
    /// The copy leaves out entries that this node doesn't know; a whole copy is needed.
    Gap,
}

#[derive(Serialize)]
struct ServerFields<'a> {
    server: &'a str,
    revision: u64,
}

/// Applies rows of the registry.
pub fn apply_batch(node: &Rc<Node>, batch: FeedBatch, scope: BatchScope) {
    let revision = batch.revision;
    if revision < node.registry.borrow().revision {
        return;
    }
    let absence = match is_restored(node, revision) {
        true => Absence::NearOutage {
            since_ms: node.now_ms(),
        },
        false => absence(node),
    };
    mark_read(node, revision);
    apply(node, batch.rows, scope, absence);
}

/// Whether the store was restored from a copy since the registry's revision. Servers that registered
/// after the copy was made do so again.
fn is_restored(node: &Node, revision: u64) -> bool {
    let known = node.registry.borrow().revision;
    known > 0 && restorations_of(revision) > restorations_of(known)
}

/// Adopts another node's copy of the registry if it is newer.
pub fn adopt_copy(node: &Node, copy: RegistryCopy) -> CopyOutcome {
    if copy.revision <= node.registry.borrow().revision {
        return CopyOutcome::Older;
    }
    if has_gap(&node.registry.borrow(), &copy) {
        return CopyOutcome::Gap;
    }
    // The copy holds the state of its last change: nothing changed in the store after that.
    let changed = copy.changed.unwrap_or(copy.revision);
    let own_revision = node.registry.borrow().revision;
    node.registry.borrow_mut().revision = changed.max(own_revision);
    // The copy is as old as the other node's; that node's next heartbeat tells how old.
    if node.registry_confirmed_ms.get() == 0 {
        node.registry_confirmed_ms.set(node.now_ms());
    }
    if let Listing::All(listed) = &copy.listing {
        for id in listed {
            node.registry.borrow_mut().confirm_present(id);
        }
    }
    let rows = copy.rows.into_iter().map(|(id, row)| FeedRow {
        key: id.to_string(),
        body: Some(row.into_bytes()),
        revision: 0,
    });
    // The other node has already waited for entries that might come back.
    apply(node, rows.collect(), BatchScope::Changes, Absence::Certain);
    match copy.listing {
        Listing::All(listed) => {
            let listed: Set<Name> = listed.into_iter().collect();
            remove_others(node, &listed, Absence::Certain);
        }
        Listing::Since { gone, .. } => remove(node, &gone, Absence::Certain),
    }
    let mut registry = node.registry.borrow_mut();
    registry.changed = registry.changed.max(changed);
    registry.revision = copy.revision;
    CopyOutcome::Taken
}

/// Whether the copy is incomplete for this node: it lists an entry without its row that this node
/// doesn't know, begins after this node's revision, or doesn't tell whether a vanished entry is
/// back.
fn has_gap(registry: &Registry, copy: &RegistryCopy) -> bool {
    match &copy.listing {
        Listing::All(listed) => {
            let held: Set<&Name> = copy.rows.iter().map(|(id, _)| id).collect();
            let is_missing = |id: &&Name| !held.contains(id) && registry.server(id).is_none();
            listed.iter().any(|id| is_missing(&id))
        }
        Listing::Since { revision, .. } => {
            let may_lack_returns = registry.has_vanished() || registry.has_ignored();
            *revision > registry.revision || may_lack_returns
        }
    }
}

/// Takes over how current another node reports its registry to be, if the store has not changed
/// since this node's revision, or since the change that this node last queried.
pub fn confirm(node: &Node, version: RegistryVersion) {
    let mut registry = node.registry.borrow_mut();
    let is_known =
        version.changed <= registry.revision || version.changed == node.queried_change.get();
    let is_comparable = registry.revision > 0 && !registry.has_ignored();
    if !is_comparable || !is_known || version.revision < registry.revision {
        return;
    }
    registry.revision = version.revision;
    registry.changed = registry.changed.max(version.changed);
    let confirmed_ms = node.now_ms().saturating_sub(version.age_ms);
    node.registry_confirmed_ms
        .set(node.registry_confirmed_ms.get().max(confirmed_ms));
}

/// Removes entries that vanished near an outage and have not come back.
pub fn expire(node: &Node) {
    let now_ms = node.now_ms();
    let changes = node.registry.borrow_mut().expire(now_ms);
    for change in changes {
        report(node, &change);
    }
}

fn absence(node: &Node) -> Absence {
    let since_ms = node.now_ms().saturating_sub(node.store_failed_ms.get());
    let is_after_outage = node.store_failed_ms.get() > 0 && since_ms < AFTER_OUTAGE_MS;
    // Entries that were confirmed after the outage have vanished since then, not in the outage.
    let since_ms = node
        .store_failed_ms
        .get()
        .max(node.registry_confirmed_ms.get());
    match is_after_outage {
        true => Absence::NearOutage { since_ms },
        false => Absence::Certain,
    }
}

fn apply(node: &Node, rows: Vec<FeedRow>, scope: BatchScope, absence: Absence) {
    let mut listed: Set<Name> = Set::default();
    let entries = row_changes::by_entry(rows, |row| row_change(node, row, absence));
    for entry in entries {
        listed.insert(entry.id.as_str().into());
        let changes = apply_entry(&mut node.registry.borrow_mut(), entry);
        changes.iter().for_each(|change| report(node, change));
    }
    if scope == BatchScope::All {
        remove_others(node, &listed, absence);
    }
}

fn row_change(node: &Node, row: &FeedRow, absence: Absence) -> RowChange {
    let Some(body) = &row.body else {
        return RowChange::Removed(absence);
    };
    // An unreadable row, by another writer, names no server to use, and doesn't affect the
    // other rows.
    match (node.dialect.server)(&row.key, body) {
        Ok(record) => RowChange::Written(record, body.clone()),
        Err(_) => RowChange::Unreadable,
    }
}

/// Applies the changes of one entry. A late write doesn't undo a removal.
fn apply_entry(registry: &mut Registry, entry: EntryChanges) -> Vec<ServerChange> {
    let was_unreadable = registry.record_readable(&entry.id, !entry.is_unreadable);
    if was_unreadable && entry.is_unreadable && entry.undone.is_empty() {
        return Vec::new();
    }
    // A copy from another node may have brought the last write already.
    if (entry.newest_last()).is_some_and(|record| registry.is_last_write(record)) {
        if entry.removal.is_some() {
            registry.record_changed(&entry.id);
        }
        return Vec::new();
    }
    for record in &entry.undone {
        registry.record_undone(record);
    }
    if entry.removal.is_some() {
        registry.clear_ignored(&entry.id);
    }
    let mut changes = Vec::new();
    let is_rewritten = entry.removal.is_some() && !entry.writes.is_empty();
    if is_rewritten {
        registry.record_rewritten(&entry.id);
    }
    for (record, row) in entry.writes {
        changes.push(registry.upsert(record, row));
    }
    if let Some(absence) = entry.removal
        && !(is_rewritten && registry.is_listed(&entry.id))
    {
        changes.push(registry.remove(&entry.id, absence));
        if is_rewritten {
            registry.record_ignored(&entry.id);
        }
    }
    changes
}

/// Removes all servers that are not listed, after a whole list was read.
fn remove_others(node: &Node, listed: &Set<Name>, absence: Absence) {
    let mut registry = node.registry.borrow_mut();
    registry.restart_history(listed);
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

fn mark_read(node: &Node, revision: u64) {
    node.registry.borrow_mut().revision = revision;
    node.registry_confirmed_ms.set(node.now_ms());
    node.registry_read_ms.set(node.now_ms());
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
    node.queues.wake_services(node.now_ms());
}
