//! How nodes tell each other of begun streams, and what follows from the answers.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;

use base::Name;
use gateway::decide::begun_streams::stream_key;
use gateway::decide::store_calls::StoreAccess;
use gateway::decide::stream_nodes::{Candidate, drawn_nodes, nodes_to_ask};
use gateway::decide::stream_version::{
    AskedNodes, Evidence, Lookup, LookupTime, RegistryBounds, RegistryCheck, StoredStream,
    VersionSource,
};
use gateway::decide::version_history::Presence::Serving;
use gateway::decide::version_history::StreamVersions;
use gateway::node::Node;
use gateway::peer::exchange::receive_datagram;
use gateway::peer::message::NodeHeartbeat;
use gateway::peer::role::{DrainState, PeerSummary, Presence, Role};
use gateway::peer::stream_message::{StreamAnswer, StreamDatagram, StreamMessage, StreamQuestion};
use gateway::peer::streams::ask;
use policy::suspect::RequestDigest;
use test_case::test_case;

fn key(id: &str) -> RequestDigest {
    stream_key("workspace", "service", id)
}

/// Nodes of the domains `a`, `b` and `c` in turn.
fn nodes(count: usize) -> Vec<(Name, Name, SocketAddr)> {
    let nodes = (0..count).map(|number| {
        let domain = ["a", "b", "c"][number % 3].into();
        let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7));
        (format!("node-{number}").into(), domain, address)
    });
    nodes.collect()
}

fn candidates(nodes: &[(Name, Name, SocketAddr)]) -> Vec<Candidate<'_>> {
    let candidates = nodes
        .iter()
        .map(|(name, failure_domain, address)| Candidate {
            node: PeerSummary {
                access: StoreAccess::Served,
                name,
                failure_domain,
                role: Role::Follows,
                stay: DrainState::Stays,
                presence: Presence::Fresh,
            },
            address: *address,
        });
    candidates.collect()
}

#[test_case(6)]
#[test_case(300)]
#[test_case(3_200)]
fn the_nodes_that_were_told_of_a_stream_are_asked_for_it_first(count: usize) {
    let nodes = nodes(count);
    for id in 0..50 {
        let key = key(&id.to_string());
        let mut candidates = candidates(&nodes);
        let drawn = drawn_nodes(key, &candidates);
        let domains = drawn
            .iter()
            .map(|a| &nodes.iter().find(|n| n.2 == *a).unwrap().1);
        let domains: Vec<_> = domains.collect();
        assert_eq!(drawn.len(), 2);
        assert_ne!(domains[0], domains[1]);
        candidates.reverse();
        let asked = nodes_to_ask(key, &candidates, 12);
        assert_eq!(asked[..2], drawn);
        assert_eq!(asked.len(), count.min(12));
    }
}

#[test]
fn nodes_that_are_not_heard_or_leave_are_not_told_of_streams() {
    let nodes = nodes(6);
    let mut candidates = candidates(&nodes);
    candidates[0].node.presence = Presence::Silent;
    candidates[3].node.presence = Presence::Silent;
    candidates[1].node.stay = DrainState::Leaves;
    for id in 0..50 {
        let drawn = drawn_nodes(key(&id.to_string()), &candidates);
        assert!([0, 1, 3].iter().all(|n| !drawn.contains(&nodes[*n].2)));
        assert_eq!(drawn.len(), 2);
    }
}

#[test]
fn a_domain_of_its_own_is_no_reason_to_tell_a_node_that_is_not_heard() {
    let mut nodes = nodes(3);
    nodes[1].1 = "a".into();
    let mut candidates = candidates(&nodes);
    candidates[2].node.presence = Presence::Silent;
    let mut drawn = drawn_nodes(key("a"), &candidates);
    drawn.sort();
    assert_eq!(drawn, [nodes[0].2, nodes[1].2]);
}

fn begun(id: &str, version: &str) -> StreamDatagram {
    StreamDatagram {
        stream: StreamMessage::Begin {
            key: key(id),
            version: version.into(),
        },
    }
}

#[test]
fn messages_about_streams_are_small_and_no_heartbeats() {
    let question = StreamMessage::Question(StreamQuestion {
        number: u64::MAX,
        key: Some(key("a")),
        service: "atelier-llm".into(),
    });
    let answer = StreamMessage::Answer(StreamAnswer {
        number: u64::MAX,
        version: Some("v1.1".into()),
        versions: Some(vec![("atelier-llm".into(), vec![("v1.1".into(), Serving)])]),
        registry_age_ms: Some(1_000),
    });
    for stream in [begun("a", "v1.1").stream, question, answer] {
        let datagram = StreamDatagram { stream }.encode().unwrap();
        assert!(datagram.len() <= 150, "{} bytes", datagram.len());
        assert!(StreamDatagram::is_one(&datagram));
        assert!(serde_json::from_slice::<NodeHeartbeat>(&datagram).is_err());
    }
    let heartbeat = serde_json::to_vec(&NodeHeartbeat::default()).unwrap();
    assert!(!StreamDatagram::is_one(&heartbeat));
    assert_eq!(begun("a", &"v".repeat(300)).encode(), None);
}

const PEER: ([u8; 4], u16) = ([10, 0, 0, 2], 7);

/// A node that knows one other node.
fn node() -> Rc<Node> {
    let node = support::node("own");
    node.peers.borrow_mut().add_address(PEER.into());
    node
}

#[test]
fn only_nodes_can_say_which_version_began_a_stream() {
    let node = node();
    let datagram = begun("a", "v1").encode().unwrap();
    receive_datagram(&node, &datagram, ([10, 9, 9, 9], 7).into());
    assert_eq!(node.stream_version(&key("a")), None);
    let long = serde_json::to_vec(&begun("a", &"v".repeat(300))).unwrap();
    receive_datagram(&node, &long, PEER.into());
    assert_eq!(node.stream_version(&key("a")), None);
    receive_datagram(&node, &datagram, PEER.into());
    assert_eq!(node.stream_version(&key("a")).as_deref(), Some("v1"));
}

#[test]
fn a_flood_of_begun_streams_does_not_evict_those_of_the_node_itself() {
    let node = node();
    let version = "v1".into();
    let mut own = node.begun_streams.borrow_mut();
    own.remember(key("own"), &version, node.now_ms());
    drop(own);
    for id in 0..40_000 {
        let datagram = begun(&id.to_string(), "v2").encode().unwrap();
        receive_datagram(&node, &datagram, PEER.into());
    }
    assert_eq!(node.stream_version(&key("own")), Some(version));
    assert_eq!(node.stream_version(&key("0")), None);
}

#[test]
fn an_answer_to_no_question_or_of_a_node_that_was_not_asked_is_ignored() {
    let node = node();
    let question = ask(&node, Some(key("a")), &"s".into()).unwrap();
    let numbers: Vec<u64> = node.questions.borrow().keys().copied().collect();
    for number in [numbers[0], numbers[0].wrapping_add(1)] {
        let answer = StreamAnswer {
            number,
            version: Some("v2".into()),
            versions: None,
            registry_age_ms: None,
        };
        let stream = StreamMessage::Answer(answer);
        let datagram = StreamDatagram { stream }.encode().unwrap();
        receive_datagram(&node, &datagram, PEER.into());
    }
    assert!(question.answers().is_empty());
}

#[test]
fn open_questions_are_bounded_and_end_with_their_requests() {
    let node = node();
    let questions: Vec<_> = (0..3_000)
        .filter_map(|n| ask(&node, Some(key(&n.to_string())), &"s".into()))
        .collect();
    assert_eq!(questions.len(), 1_024);
    drop(questions);
    assert!(node.questions.borrow().is_empty());
}

/// Nothing is known yet of a stream of one of several versions.
fn evidence() -> Evidence {
    Evidence {
        versions: StreamVersions::Several,
        stored: StoredStream::Unread,
        asked: AskedNodes::Silent,
        registry: RegistryCheck::Unconfirmed,
        youngest_ms: None,
        bounds: RegistryBounds {
            asked_ms: 2_000,
            all_ms: 15_000,
        },
        remembered: None,
        time: LookupTime::Left,
    }
}

#[test]
fn the_first_node_that_knows_a_stream_ends_the_lookup() {
    let evidence = Evidence {
        remembered: Some("v1".into()),
        asked: AskedNodes::Awaited,
        ..evidence()
    };
    let found = Lookup::Found("v1".into(), VersionSource::OtherNode);
    assert_eq!(evidence.conclude(), found);
}

#[test_case(StoredStream::Absent, AskedNodes::Asked, Lookup::Lost; "all have answered")]
#[test_case(StoredStream::Absent, AskedNodes::Overdue, Lookup::Unreachable; "a node has not answered")]
#[test_case(StoredStream::Absent, AskedNodes::Silent, Lookup::Unreachable; "no node has answered")]
#[test_case(StoredStream::Unread, AskedNodes::Asked, Lookup::Unreachable; "the store has not")]
fn a_stream_is_lost_only_if_nobody_can_know_it(
    stored: StoredStream,
    asked: AskedNodes,
    expected: Lookup,
) {
    let mut evidence = Evidence {
        stored,
        asked,
        ..evidence()
    };
    assert_eq!(evidence.conclude(), Lookup::Pending);
    evidence.time = LookupTime::Over;
    assert_eq!(evidence.conclude(), expected);
}

/// A node that was cut off from the others or stood still knows one version of several.
#[test_case(AskedNodes::Silent, None; "no node has answered")]
#[test_case(AskedNodes::Asked, None; "the nodes that answered do not know how old their registry is")]
#[test_case(AskedNodes::Asked, Some(2_001); "the nodes that answered are out of step themselves")]
#[test_case(AskedNodes::Overdue, Some(0); "a node that was asked has not answered")]
#[test_case(AskedNodes::All, Some(15_001); "an ended node may have been forgotten")]
fn a_version_is_not_the_only_one_as_long_as_nothing_confirms_it(
    asked: AskedNodes,
    youngest_ms: Option<u64>,
) {
    for versions in [StreamVersions::Only("v1".into()), StreamVersions::None] {
        let mut evidence = Evidence {
            versions,
            asked,
            youngest_ms,
            ..evidence()
        };
        assert_eq!(evidence.conclude(), Lookup::Pending);
        evidence.time = LookupTime::Over;
        assert_eq!(evidence.conclude(), Lookup::Unreachable);
        evidence.registry = RegistryCheck::Confirmed;
        assert_ne!(evidence.conclude(), Lookup::Unreachable);
    }
}

#[test_case(AskedNodes::Asked, 2_000; "all nodes that were asked")]
#[test_case(AskedNodes::All, 15_000; "all nodes that are known")]
fn a_version_is_the_only_one_if_nodes_in_step_know_no_other(asked: AskedNodes, age_ms: u64) {
    let evidence = Evidence {
        versions: StreamVersions::Only("v1".into()),
        asked,
        youngest_ms: Some(age_ms),
        ..evidence()
    };
    let found = Lookup::Found("v1".into(), VersionSource::OnlyVersion);
    assert_eq!(evidence.conclude(), found);
}

/// A version that has come and gone is in the answers only.
#[test]
fn a_registry_that_the_store_confirmed_is_not_used_before_the_answers_arrive() {
    let evidence = Evidence {
        versions: StreamVersions::Only("v1".into()),
        asked: AskedNodes::Awaited,
        registry: RegistryCheck::Confirmed,
        ..evidence()
    };
    assert_eq!(evidence.conclude(), Lookup::Pending);
}
