//! How nodes learn from each other of parts of prompts that crash servers.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;

use base::Name;
use gateway::backend::quarantine;
use gateway::node::Node;
use gateway::peer::exchange::{apply_heartbeat, heartbeat, pulse};
use gateway::peer::message::NodeHeartbeat;
use policy::suspect::{PartId, RunOnServer};
use test_case::test_case;

const STARTED_UNIX_MS: u64 = 1_000;

fn address() -> SocketAddr {
    "10.0.0.2:7".parse().unwrap()
}

fn service() -> Name {
    "drafting".into()
}

/// Records a crash at `node` with one request, sent `age_ms` ago, that has part 7.
fn crash(node: &Node, server: &str, age_ms: u64) {
    let workspace: Name = format!("workspace of {server}").into();
    let parts = [PartId::new(1), PartId::new(7)];
    let now_ms = node.now_ms() + 10_000;
    let run = RunOnServer {
        workspace: &workspace,
        parts: &parts,
        started_ms: now_ms - age_ms,
    };
    let crashed_ms = now_ms - age_ms + 50;
    let mut suspects = node.suspect_parts.borrow_mut();
    let changes = suspects.server_crashed(&service(), &server.into(), &[run], crashed_ms, now_ms);
    drop(suspects);
    quarantine::apply(node, &changes);
}

fn refuses(node: &Node) -> bool {
    let parts = [PartId::new(1), PartId::new(7)];
    let suspects = node.suspect_parts.borrow();
    suspects
        .refused_for_ms(&service(), "x", &parts, node.now_ms())
        .is_some()
}

fn whole(node: &Rc<Node>) -> NodeHeartbeat {
    heartbeat(node, node.next_datagram_number(), STARTED_UNIX_MS)
}

fn short(node: &Rc<Node>) -> NodeHeartbeat {
    pulse(node, 120, STARTED_UNIX_MS)
}

#[test_case(whole; "by whole heartbeats")]
#[test_case(short; "by pulses")]
fn a_part_in_quarantine_at_one_node_is_refused_at_the_others(sent: fn(&Rc<Node>) -> NodeHeartbeat) {
    let observer = support::node("observer");
    for (server, age_ms) in [("s1", 3_000), ("s2", 2_000), ("s3", 1_000)] {
        crash(&observer, server, age_ms);
    }
    assert!(refuses(&observer));
    let other = support::node("other");
    apply_heartbeat(&other, sent(&observer), address());
    assert!(refuses(&other));
}

#[test]
fn a_part_in_quarantine_stays_refused_at_a_node_that_starts_minutes_later() {
    let observer = support::node("observer");
    for age_ms in [9_000, 8_000, 7_000] {
        crash(&observer, &format!("s{age_ms}"), age_ms);
    }
    let report = observer
        .suspect_parts
        .borrow()
        .export(0, observer.now_ms() + 300_000);
    let other = support::node("other");
    quarantine::merge(&other, &report);
    assert!(refuses(&other));
}

#[test]
fn crashes_that_several_nodes_observed_count_together() {
    let gatherer = support::node("gatherer");
    for (server, age_ms) in [("s1", 3_000), ("s2", 2_000), ("s3", 1_000)] {
        let observer = support::node(server);
        crash(&observer, server, age_ms);
        let now_ms = observer.now_ms() + 10_000;
        let parts = observer.suspect_parts.borrow().export(1_000, now_ms);
        assert!(!parts.evidence.is_empty());
        quarantine::merge(&gatherer, &parts);
    }
    assert!(refuses(&gatherer));
}
