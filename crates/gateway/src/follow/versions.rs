//! Keeps the history of software versions in step with the store, so that nodes that start know
//! which versions served before.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Map, Name, Set};
use outside::{CommitError, Condition, Key, ReadError, Row, Table, Write};
use serde::Serialize;

use crate::decide::version_history::{Presence, Versions, differ};
use crate::log;
use crate::node::Node;
use crate::peer::role::Role;

/// Partition of the history in the store: one row for each service.
const VERSIONS_PARTITION: &str = "versions";

/// Most rows that are read, which is more than a platform has services.
const ROWS_LIMIT: u32 = 500;

/// Time between two comparisons of the history with the registry.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Pause after a call that the store did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A row of the history as it was last read or written.
struct StoredVersions {
    condition: Condition,
    versions: Versions,
}

#[derive(Serialize)]
struct SavedFields<'a> {
    service: &'a str,
    versions: &'a Versions,
    outcome: &'a str,
}

/// Reads the history, then writes what changes in it, until the process ends.
pub async fn run(node: Rc<Node>, table: Arc<dyn Table>) {
    let mut stored = Map::default();
    while read(&node, &*table, &mut stored).await.is_err() {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        if node.role() == Role::Listens || node.registry_confirmed_ms.get() == 0 {
            continue;
        }
        observe(&node);
        for (service, versions) in changed(&node, &stored) {
            let outcome = write(&*table, &service, &versions, &stored).await;
            report(&service, &versions, &outcome);
            // The version of the written row is learned by reading it.
            if read(&node, &*table, &mut stored).await.is_err() || outcome.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Compares the history with the registry.
pub fn observe(node: &Node) {
    let mut serving: Map<Name, Set<Name>> = Map::default();
    for server in node.registry.borrow().servers() {
        let versions = serving.entry(server.record.service.clone()).or_default();
        versions.insert(server.record.version.clone());
    }
    let fleet_ms = node.fleet_ms();
    node.version_history
        .borrow_mut()
        .observe(&serving, fleet_ms);
}

async fn read(
    node: &Node,
    table: &dyn Table,
    stored: &mut Map<Name, StoredVersions>,
) -> Result<(), ReadError> {
    let rows = table.scan(VERSIONS_PARTITION, "", ROWS_LIMIT).await?;
    stored.clear();
    let mut report = Vec::new();
    for row in rows {
        let (service, read) = decode(&row);
        let versions = read.versions.iter().map(|(v, p)| (v.clone(), *p)).collect();
        report.push((service.clone(), versions));
        stored.insert(service, read);
    }
    let fleet_ms = node.fleet_ms();
    node.version_history.borrow_mut().merge(&report, fleet_ms);
    if node.registry_confirmed_ms.get() > 0 {
        observe(node);
    }
    Ok(())
}

/// Decodes a row. One that can't be read counts as empty, and is written again.
fn decode(row: &Row) -> (Name, StoredVersions) {
    let versions: Vec<(Name, Presence)> = serde_json::from_str(&row.body).unwrap_or_default();
    let stored = StoredVersions {
        condition: Condition::VersionIs(row.version),
        versions: versions.into_iter().collect(),
    };
    (row.key.sort.as_str().into(), stored)
}

/// Services whose versions differ from their rows.
fn changed(node: &Node, stored: &Map<Name, StoredVersions>) -> Vec<(Name, Versions)> {
    let history = node.version_history.borrow();
    let mut changed = Vec::new();
    for (service, versions) in history.services() {
        let is_stored = stored
            .get(service)
            .is_some_and(|s| !differ(versions, &s.versions));
        if !is_stored {
            changed.push((service.clone(), versions.clone()));
        }
    }
    changed
}

async fn write(
    table: &dyn Table,
    service: &Name,
    versions: &Versions,
    stored: &Map<Name, StoredVersions>,
) -> Result<(), CommitError> {
    let versions: Vec<(&Name, &Presence)> = versions.iter().collect();
    let write = Write::Put {
        key: Key::new(VERSIONS_PARTITION, &**service),
        body: serde_json::to_string(&versions).unwrap_or_default(),
        condition: stored
            .get(service)
            .map_or(Condition::Absent, |s| s.condition),
    };
    table.commit(vec![write]).await
}

fn report(service: &Name, versions: &Versions, outcome: &Result<(), CommitError>) {
    let outcome = match outcome {
        Ok(()) => "saved".to_owned(),
        Err(error) => error.to_string(),
    };
    let fields = SavedFields {
        service,
        versions,
        outcome: &outcome,
    };
    log::emit(events::Code::VersionsSaved, &fields);
}
