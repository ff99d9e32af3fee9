//! The registry of backend servers: lives, draining, and entries that vanish near an outage.

use base::Name;
use gateway::belief::registry::{
    Absence, Registry, Server, ServerChange, ServerRecord, ServerState,
};
use gateway::decide::backpressure::Timing;
use gateway::decide::signal::{Leaving, Reading, Signals};
use outside::Purchase;
use test_case::test_case;

fn record(id: &str, state: ServerState, born_unix_ms: u64) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        version: "v1".into(),
        slots: 4,
        state,
        purchase: Purchase::OnDemand,
        born_unix_ms,
        sequence: 0,
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
fn a_server_appears_drains_and_is_removed() {
    let mut registry = Registry::default();
    let appeared = registry.upsert(record("x", ServerState::Ready, 1), Vec::new());
    assert_eq!(appeared, ServerChange::Appeared(id()));
    let leaving = registry.upsert(record("x", ServerState::Draining, 1), Vec::new());
    assert_eq!(leaving, ServerChange::Leaving(id()));
    assert_eq!(ready(&registry), 0);
    assert_eq!(
        registry.remove("x", Absence::Certain),
        ServerChange::Gone(id())
    );
    assert_eq!(registry.of_service("s").len(), 0);
}

#[test]
fn another_life_under_the_same_name_has_no_requests() {
    let mut registry = Registry::default();
    registry.upsert(record("x", ServerState::Ready, 1), Vec::new());
    registry.server("x").unwrap().running.set(3);
    registry.upsert(record("x", ServerState::Ready, 2), Vec::new());
    assert_eq!(registry.server("x").unwrap().running.get(), 0);
    assert_eq!(ready(&registry), 1);
}

#[test]
fn an_older_life_does_not_come_back() {
    let mut registry = Registry::default();
    registry.upsert(record("x", ServerState::Ready, 2), Vec::new());
    let change = registry.upsert(record("x", ServerState::Draining, 1), Vec::new());
    assert_eq!(change, ServerChange::None);
    assert_eq!(ready(&registry), 1);
}

#[test]
fn a_heartbeat_changes_nothing() {
    let mut registry = Registry::default();
    registry.upsert(record("x", ServerState::Ready, 1), Vec::new());
    registry.server("x").unwrap().running.set(3);
    assert_eq!(
        registry.upsert(record("x", ServerState::Ready, 1), Vec::new()),
        ServerChange::None
    );
    assert_eq!(registry.server("x").unwrap().running.get(), 3);
}

#[test]
fn an_entry_that_vanishes_near_an_outage_is_used_until_its_grace_ends() {
    let mut registry = Registry::default();
    registry.upsert(record("x", ServerState::Ready, 1), Vec::new());
    registry.remove("x", Absence::NearOutage { since_ms: 1_000 });
    assert_eq!(registry.expire(1_500), Vec::new());
    assert_eq!(ready(&registry), 1);
    assert_eq!(registry.expire(3_500), vec![ServerChange::Gone(id())]);
    assert_eq!(ready(&registry), 0);
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut registry = Registry::default();
    registry.upsert(record("x", ServerState::Ready, 1), Vec::new());
    registry.remove("x", Absence::NearOutage { since_ms: 1_000 });
    registry.upsert(record("x", ServerState::Ready, 1), Vec::new());
    assert_eq!(registry.expire(9_000), Vec::new());
    assert_eq!(ready(&registry), 1);
}

/// Whether a server counts as leaving when its entry was removed after it announced that it leaves,
/// and then returns as `record`.
fn leaves_after_return(first: ServerRecord, record: ServerRecord) -> bool {
    let mut registry = Registry::default();
    registry.upsert(first, Vec::new());
    let leaves = Signals {
        leaving: Reading::Given(Leaving::Now),
        ..Signals::default()
    };
    let timing = Timing {
        sent_ms: 1,
        answered_ms: 2,
        now_ms: 2,
    };
    let flow = registry.server("x").unwrap().flow.clone();
    flow.backpressure
        .borrow_mut()
        .record_answer(&leaves, timing);
    registry.remove("x", Absence::Certain);
    registry.upsert(record, Vec::new());
    let back = registry.server("x").unwrap();
    back.flow.backpressure.borrow().is_leaving()
}

#[test_case(1, 1 => true; "the same life")]
#[test_case(1, 2 => false; "another life")]
#[test_case(0, 0 => false; "no start time is known")]
fn a_returning_entry_keeps_the_backpressure_of_its_life(first: u64, then: u64) -> bool {
    let ready = |born| record("x", ServerState::Ready, born);
    leaves_after_return(ready(first), ready(then))
}

#[test]
fn an_entry_at_another_address_has_no_backpressure() {
    let moved = ServerRecord {
        address: "127.0.0.1:2".parse().unwrap(),
        ..record("x", ServerState::Ready, 1)
    };
    assert!(!leaves_after_return(
        record("x", ServerState::Ready, 1),
        moved
    ));
}

fn silent_server(silences: u32) -> Server {
    let server = Server::new(record("x", ServerState::Ready, 1));
    for _ in 0..silences {
        server.record_silence(1_000);
    }
    server
}

#[test_case(1, 250)]
#[test_case(3, 1_000)]
#[test_case(9, 2_000)]
fn a_server_that_stays_silent_is_avoided(silences: u32, span_ms: u64) {
    let server = silent_server(silences);
    assert!(server.is_avoided(1_000 + span_ms - 1));
    assert!(!server.is_avoided(1_000 + span_ms));
}

#[test]
fn a_server_that_goes_on_after_a_silence_is_not_avoided() {
    let server = silent_server(9);
    server.record_success(1_300);
    assert!(!server.is_avoided(1_300));
}

#[test]
fn an_answer_does_not_end_the_avoidance_after_a_failure() {
    let server = silent_server(1);
    server.record_failure(1_000);
    server.record_success(1_100);
    assert!(server.is_avoided(1_300));
}
