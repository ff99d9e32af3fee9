//! What a node records of other nodes from their heartbeats.

mod support;

use std::net::SocketAddr;

use gateway::decide::store_poll::PollRank;
use gateway::peer::message::{HeartbeatContent, NodeHeartbeat, Tenure};
use gateway::peer::role::{Presence, Role};
use gateway::peer::{PeerUpdate, Peers};

const PERIOD_MS: u64 = 120;

fn address() -> SocketAddr {
    "10.0.0.2:7".parse().unwrap()
}

fn peers() -> Peers {
    Peers::new(&support::node("own").settings)
}

fn heartbeat(boot: u64, started_unix_ms: u64, number: u64) -> NodeHeartbeat {
    NodeHeartbeat {
        node: "other".into(),
        failure_domain: "a".into(),
        period_ms: PERIOD_MS,
        boot,
        started_unix_ms,
        number,
        unix_ms: started_unix_ms + number * PERIOD_MS,
        ..NodeHeartbeat::default()
    }
}

#[test]
fn a_datagram_of_an_earlier_life_is_stale() {
    let mut peers = peers();
    peers.record_heartbeat(heartbeat(1, 10_000, 1), address(), 0);
    peers.record_heartbeat(heartbeat(2, 20_000, 1), address(), 10_000);
    let update = peers.record_heartbeat(heartbeat(1, 10_000, 2), address(), 10_010);
    assert_eq!(update, PeerUpdate::Stale);
}

/// A process that started while its clock was ahead has a later start time than the process that
/// follows it once the clock is set back. The heartbeats of the later process must still be
/// accepted.
#[test]
fn a_life_that_began_after_its_clock_was_set_back_is_accepted() {
    let mut peers = peers();
    peers.record_heartbeat(heartbeat(1, 12_400, 1), address(), 0);
    peers.record_heartbeat(heartbeat(1, 12_400, 2), address(), PERIOD_MS);
    let started_ms = 1_500;
    let mut last = PeerUpdate::Stale;
    for number in 1..10 {
        let now_ms = started_ms + number * PERIOD_MS;
        last = peers.record_heartbeat(heartbeat(2, 11_500, number), address(), now_ms);
        if let PeerUpdate::Restarted(key) = &last {
            assert_eq!(&**key, "other/1");
        }
    }
    assert_eq!(last, PeerUpdate::Continued);
}

#[test]
fn late_datagrams_of_an_earlier_life_are_stale() {
    let mut peers = peers();
    peers.record_heartbeat(heartbeat(1, 10_000, 1), address(), 0);
    for number in 1..20 {
        let now_ms = 1_000 + number * PERIOD_MS;
        peers.record_heartbeat(heartbeat(2, 11_000, number), address(), now_ms);
        // The network delayed this datagram.
        let update =
            peers.record_heartbeat(heartbeat(1, 10_000, 1 + number), address(), now_ms + 1);
        assert_eq!(update, PeerUpdate::Stale);
    }
}

fn heartbeat_of(node: &str, number: u64, unix_ms: u64) -> NodeHeartbeat {
    NodeHeartbeat {
        node: node.into(),
        unix_ms,
        ..heartbeat(1, 1, number)
    }
}

/// After a process was suspended, it first reads datagrams that waited for seconds, whose clock
/// samples are old.
#[test]
fn delayed_datagrams_do_not_move_the_clock() {
    let mut peers = peers();
    for node in ["a", "b", "c", "d", "e"] {
        peers.record_heartbeat(heartbeat_of(node, 1, 100_010), address(), 10);
        peers.record_heartbeat(heartbeat_of(node, 2, 100_120), address(), 7_520);
    }
    assert_eq!(peers.clock_offset_ms(100_000), 0);
}

#[test]
fn a_jump_of_the_own_clock_is_corrected_at_once() {
    let mut peers = peers();
    for node in ["a", "b", "c"] {
        peers.record_heartbeat(heartbeat_of(node, 1, 100_010), address(), 10);
    }
    assert_eq!(peers.clock_offset_ms(102_400), -2_400);
}

#[test]
fn a_jump_of_one_other_clock_changes_nothing() {
    let mut peers = peers();
    for (node, ahead_ms) in [("a", 0), ("b", 2_400), ("c", 0)] {
        peers.record_heartbeat(heartbeat_of(node, 1, 100_010 + ahead_ms), address(), 10);
    }
    assert_eq!(peers.clock_offset_ms(100_000), 0);
}

#[test]
fn a_clock_that_was_set_back_is_accepted_after_a_while() {
    let mut peers = peers();
    peers.record_heartbeat(heartbeat_of("a", 1, 102_410), address(), 10);
    peers.record_heartbeat(heartbeat_of("b", 1, 102_410), address(), 10);
    for number in 2..400 {
        let now_ms = 100 * number;
        peers.record_heartbeat(
            heartbeat_of("a", number, 100_000 + now_ms),
            address(),
            now_ms,
        );
        peers.record_heartbeat(
            heartbeat_of("b", number, 100_000 + now_ms),
            address(),
            now_ms,
        );
    }
    assert_eq!(peers.clock_offset_ms(100_000), 0);
}

/// A heartbeat of a fleet in which full heartbeats come every three seconds.
fn heartbeat_of_large_fleet(number: u64, content: HeartbeatContent) -> NodeHeartbeat {
    NodeHeartbeat {
        period_ms: 3_000,
        role: Role::Follows,
        content,
        loads: match content {
            HeartbeatContent::Whole => vec![("server".into(), 2, 30)],
            HeartbeatContent::Pulse { .. } => Vec::new(),
        },
        tenure: Tenure::Holds,
        ..heartbeat(1, 1, number)
    }
}

const PULSE: HeartbeatContent = HeartbeatContent::Pulse {
    period_ms: PERIOD_MS,
};

#[test]
fn a_pulse_keeps_the_lists_of_the_last_full_heartbeat() {
    let mut peers = peers();
    peers.record_heartbeat(
        heartbeat_of_large_fleet(1, HeartbeatContent::Whole),
        address(),
        0,
    );
    peers.record_heartbeat(heartbeat_of_large_fleet(2, PULSE), address(), 100);
    let (_, peer) = peers.iter().next().unwrap();
    assert_eq!(peer.heartbeat.loads.len(), 1);
    assert_eq!(peer.heard_ms, 100);
}

#[test]
fn a_node_without_its_pulses_is_silent() {
    let mut peers = peers();
    let presence = |peers: &Peers, now_ms| {
        let (_, peer) = peers.iter().next().unwrap();
        peer.presence(now_ms)
    };
    peers.record_heartbeat(
        heartbeat_of_large_fleet(1, HeartbeatContent::Whole),
        address(),
        0,
    );
    assert_eq!(presence(&peers, 5_000), Presence::Fresh);
    peers.record_heartbeat(heartbeat_of_large_fleet(2, PULSE), address(), 5_000);
    assert_eq!(presence(&peers, 5_900), Presence::Fresh);
    assert_eq!(presence(&peers, 6_100), Presence::Silent);
}

#[test]
fn a_holder_of_the_duties_is_heard_for_a_second() {
    let mut peers = peers();
    peers.record_heartbeat(heartbeat_of_large_fleet(1, PULSE), address(), 0);
    assert!(peers.holder_is_heard(1_000));
    assert!(!peers.holder_is_heard(1_100));
}

/// Seeds may name nodes that are gone for good. The remaining nodes must still take turns.
#[test]
fn a_node_whose_seeds_are_all_gone_takes_its_turn_after_a_while() {
    let mut peers = peers();
    for port in 1..4 {
        peers.add_address(SocketAddr::from(([10, 0, 0, 9], port)));
    }
    let rank = |peers: &Peers, age_ms| peers.rank(&"own".into(), &"a".into(), age_ms, age_ms);
    assert_eq!(rank(&peers, 100), PollRank::Unknown);
    assert_eq!(rank(&peers, 2_000), PollRank::After(0));
    peers.record_heartbeat(heartbeat(1, 1, 1), address(), 2_000);
    assert_eq!(rank(&peers, 2_100), PollRank::After(1));
}
