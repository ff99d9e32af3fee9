//! When a node takes its paths to all backend servers for lost, and which nodes help it.

use std::net::SocketAddr;

use gateway::decide::reach::{Reach, ReachState};
use gateway::peer::Peers;
use gateway::peer::message::NodeHeartbeat;
use gateway::peer::role::DrainState;
use test_case::test_case;

mod support;

fn failed(servers: &[&str], now_ms: u64) -> ReachState {
    let mut state = ReachState::default();
    for server in servers {
        state.record_failure(&(*server).into(), now_ms);
    }
    state
}

#[test_case(&["a", "b", "c"], 9, Some(10); "three servers")]
#[test_case(&["a", "b"], 9, None; "two of many")]
#[test_case(&["a", "a", "a", "a"], 9, None; "one server again and again")]
#[test_case(&["a", "b"], 2, Some(10); "all of two")]
#[test_case(&[], 0, None; "none")]
fn the_paths_are_checked_after_failures_of_several_servers(
    servers: &[&str],
    known: usize,
    due: Option<u64>,
) {
    assert_eq!(failed(servers, 10).check_due(known, 20), due);
}

#[test]
fn failures_that_lie_apart_do_not_count_together() {
    let mut state = failed(&["a", "b"], 0);
    state.record_failure(&"c".into(), 2_500);
    assert_eq!(state.check_due(9, 2_500), None);
}

#[test]
fn an_answer_over_a_new_connection_ends_the_suspicion() {
    let mut state = failed(&["a", "b", "c"], 0);
    state.record_answer();
    assert_eq!(state.check_due(9, 10), None);
}

#[test]
fn the_paths_are_not_checked_again_while_a_verdict_holds() {
    let mut state = failed(&["a", "b", "c"], 0);
    state.conclude(Reach::Reached, 100);
    for server in ["a", "b", "c"] {
        state.record_failure(&server.into(), 200);
    }
    assert_eq!(state.check_due(9, 300), None);
    assert_eq!(state.check_due(9, 700), Some(200));
    state.conclude(Reach::Lost, 800);
    for server in ["a", "b", "c"] {
        state.record_failure(&server.into(), 1_900);
    }
    assert_eq!(state.check_due(9, 1_900), None);
}

fn heartbeat(name: &str, domain: &str) -> NodeHeartbeat {
    NodeHeartbeat {
        node: name.into(),
        failure_domain: domain.into(),
        period_ms: 120,
        boot: 1,
        number: 1,
        server_silence_ms: Some(300),
        ..NodeHeartbeat::default()
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn peers(heartbeats: [NodeHeartbeat; 3]) -> Peers {
    let mut peers = Peers::new(&support::node("own").settings);
    for (port, heartbeat) in (1..).zip(heartbeats) {
        peers.record_heartbeat(heartbeat, address(port), 1_000);
    }
    peers
}

#[test]
fn nodes_that_leave_or_reach_no_server_do_not_help() {
    let leaving = NodeHeartbeat {
        stay: DrainState::Leaves,
        ..heartbeat("x", "a")
    };
    let lost = NodeHeartbeat {
        reach: Reach::Lost,
        ..heartbeat("y", "a")
    };
    let mut peers = peers([leaving, lost, heartbeat("z", "b")]);
    let domain = "a".into();
    assert_eq!(peers.helpers(&domain, 1_000), (vec![], vec![address(3)]));
    assert_eq!(peers.helpers(&domain, 60_000), (vec![], vec![]));
    peers.mark_lost(address(3));
    assert_eq!(peers.helpers(&domain, 1_000), (vec![], vec![]));
}

/// The node heard a server 300 ms before its heartbeat arrived.
#[test_case(700, true)]
#[test_case(701, false)]
fn another_node_has_reached_a_server_since(since_ms: u64, expected: bool) {
    let peers = peers([
        heartbeat("x", "a"),
        heartbeat("y", "a"),
        heartbeat("z", "a"),
    ]);
    assert_eq!(peers.reached_since(since_ms), expected);
}
