//! Backend servers: lives, leaving, and entries that vanish.

use base::Name;
use gateway::belief::registry::{Absence, Change, Registry, ServerRecord, ServerState};
use outside::Purchase;

fn record(id: &str, state: ServerState, born_unix_ms: u64) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 4,
        state,
        purchase: Purchase::OnDemand,
        born_unix_ms,
    }
}

fn ready(registry: &Registry) -> usize {
    let listed = registry.of_service("s").iter();
    listed
        .filter(|s| s.record.state == ServerState::Ready)
        .count()
}

fn id() -> Name {
    "x".into()
}

#[test]
fn a_server_appears_leaves_and_goes() {
    let mut registry = Registry::default();
    let appeared = registry.put(record("x", ServerState::Ready, 1), Vec::new());
    assert_eq!(appeared, Change::Appeared(id()));
    let leaving = registry.put(record("x", ServerState::Draining, 1), Vec::new());
    assert_eq!(leaving, Change::Leaving(id()));
    assert_eq!(ready(&registry), 0);
    assert_eq!(registry.remove("x", Absence::Certain), Change::Gone(id()));
    assert_eq!(registry.of_service("s").len(), 0);
}

#[test]
fn another_life_under_the_same_name_starts_anew() {
    let mut registry = Registry::default();
    registry.put(record("x", ServerState::Ready, 1), Vec::new());
    registry.server("x").unwrap().running.set(3);
    registry.put(record("x", ServerState::Ready, 2), Vec::new());
    assert_eq!(registry.server("x").unwrap().running.get(), 0);
    assert_eq!(ready(&registry), 1);
}

#[test]
fn an_older_life_does_not_come_back() {
    let mut registry = Registry::default();
    registry.put(record("x", ServerState::Ready, 2), Vec::new());
    let change = registry.put(record("x", ServerState::Draining, 1), Vec::new());
    assert_eq!(change, Change::None);
    assert_eq!(ready(&registry), 1);
}

#[test]
fn a_heartbeat_changes_nothing() {
    let mut registry = Registry::default();
    registry.put(record("x", ServerState::Ready, 1), Vec::new());
    registry.server("x").unwrap().running.set(3);
    assert_eq!(
        registry.put(record("x", ServerState::Ready, 1), Vec::new()),
        Change::None
    );
    assert_eq!(registry.server("x").unwrap().running.get(), 3);
}

#[test]
fn an_entry_that_vanishes_beside_an_outage_is_used_until_its_grace_ends() {
    let mut registry = Registry::default();
    registry.put(record("x", ServerState::Ready, 1), Vec::new());
    registry.remove("x", Absence::BesideOutage { since_ms: 1_000 });
    assert_eq!(registry.expire(1_500), Vec::new());
    assert_eq!(ready(&registry), 1);
    assert_eq!(registry.expire(3_500), vec![Change::Gone(id())]);
    assert_eq!(ready(&registry), 0);
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut registry = Registry::default();
    registry.put(record("x", ServerState::Ready, 1), Vec::new());
    registry.remove("x", Absence::BesideOutage { since_ms: 1_000 });
    registry.put(record("x", ServerState::Ready, 1), Vec::new());
    assert_eq!(registry.expire(9_000), Vec::new());
    assert_eq!(ready(&registry), 1);
}
