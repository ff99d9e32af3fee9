//! Rollouts at one node, without a network: what it sends the new version when parts of the system
//! fail.

mod support;

use std::rc::Rc;
use std::time::Duration;

use gateway::decide::rollout::choice::{earliest, orders_are_younger};
use gateway::decide::rollout::{Decision, Order, Outcomes, RolloutState, Stage};
use gateway::follow::{BatchScope, directory};
use gateway::node::Node;
use gateway::peer::exchange::{apply_heartbeat, heartbeat, receive_datagram};
use gateway::peer::message::{NodeHeartbeat, Tenure};
use gateway::rollout::filter::{Share, permits};
use gateway::rollout::news::{RolloutCount, RolloutNews};
use gateway::rollout::round;
use outside::{FeedBatch, FeedRow};
use support::{node, node_with_rollouts, run_with_paused_time};
use test_case::test_case;

const REVISION: u64 = 7;

fn rows(node: &Rc<Node>, body: Option<&str>, revision: u64, scope: BatchScope) {
    let row = FeedRow {
        key: "rollout/s".to_owned(),
        body: body.map(|text| text.as_bytes().to_vec()),
        revision,
    };
    let batch = FeedBatch {
        rows: vec![row],
        revision,
    };
    directory::apply_batch(node, batch, scope);
}

fn order(node: &Rc<Node>, to: &str, revision: u64) {
    let body = format!("{to} 15000");
    rows(node, Some(&body), revision, BatchScope::Changes);
}

/// Heartbeat of the holder, with a decision of this age.
fn holder(number: u64, share: f64, age_ms: u64) -> NodeHeartbeat {
    NodeHeartbeat {
        tenure: Tenure::Holds,
        rollouts: vec![RolloutNews {
            order: Order {
                service: "s".into(),
                to: "v2".into(),
                duration_ms: 15_000,
                revision: REVISION,
            },
            age_ms: 3_000,
            state: RolloutState::Running,
            decision: Some(Decision {
                stage: Stage::Canary,
                share,
                servers: 2,
            }),
            decision_age_ms: age_ms,
        }],
        ..peer(number)
    }
}

fn peer(number: u64) -> NodeHeartbeat {
    NodeHeartbeat {
        node: "holder".into(),
        failure_domain: "a".into(),
        period_ms: 120,
        boot: 1,
        number,
        ..NodeHeartbeat::default()
    }
}

fn hear(node: &Rc<Node>, heartbeat: NodeHeartbeat) {
    // A process that has not sent for a while counts as paused.
    node.heartbeat();
    apply_heartbeat(node, heartbeat, "127.0.0.1:9".parse().unwrap());
}

fn share(node: &Node, version: &str) -> Share {
    permits(node, &"s".into(), &version.into())
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against rollouts where the settings don't ask for them.
#[test]
fn orders_have_no_effect_without_the_section() {
    run_with_paused_time(async {
        let node = node("n");
        order(&node, "v2", REVISION);
        assert_eq!(share(&node, "v2"), Share::Unrestricted);
        assert!(heartbeat(&node, 1, 0).rollouts.is_empty());
    });
}

/// Guards against requests to the new version by a node that starts, is cut off, or whose holder is
/// killed or paused.
#[test]
fn version_gets_nothing_without_a_fresh_decision() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        order(&node, "v2", REVISION);
        assert_eq!(share(&node, "v2"), Share::Nothing);
        hear(&node, holder(1, 0.05, 100));
        assert_eq!(share(&node, "v2"), Share::Part(0.05));
        pass(1_300).await;
        assert_eq!(share(&node, "v2"), Share::Part(0.05));
        pass(200).await;
        assert_eq!(share(&node, "v2"), Share::Nothing);
        assert_eq!(share(&node, "v1"), Share::Part(1.0));
        // The holder was paused, and sends what it decided before.
        hear(&node, holder(2, 0.3, 1_600));
        assert_eq!(share(&node, "v2"), Share::Nothing);
        hear(&node, holder(3, 0.3, 0));
        assert_eq!(share(&node, "v2"), Share::Part(0.3));
    });
}

/// Guards against decisions by nodes that don't hold the duties, and against their being passed on.
#[test]
fn only_the_holder_decides() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        let other = NodeHeartbeat {
            tenure: Tenure::None,
            ..holder(1, 0.5, 0)
        };
        hear(&node, other);
        assert_eq!(share(&node, "v2"), Share::Nothing);
        hear(&node, holder(2, 0.5, 0));
        let news = heartbeat(&node, 1, 0).rollouts;
        assert_eq!(news.len(), 1);
        assert!(news[0].decision.is_none());
    });
}

/// Guards against requests to a bad version while the store is down or no holder is left.
#[test]
fn node_stops_on_the_counts_of_others() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        hear(&node, holder(1, 0.05, 0));
        for number in 2..14 {
            let count = |version: &str, sent: u64, failures: u64| RolloutCount {
                service: "s".into(),
                revision: REVISION,
                version: version.into(),
                route: "r".into(),
                outcomes: Outcomes {
                    sent: sent * number,
                    responses: sent * number,
                    failures: failures * number,
                    slow: 0,
                },
            };
            let heartbeat = NodeHeartbeat {
                rollout_counts: vec![count("v1", 100, 1), count("v2", 8, 4)],
                ..holder(number, 0.05, 0)
            };
            hear(&node, heartbeat);
            pass(250).await;
            round(&node);
        }
        assert_eq!(share(&node, "v2"), Share::Nothing);
    });
}

/// Guards against a roll-back that is forgotten when its holder ends.
#[test]
fn outcome_lasts_without_a_holder() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        hear(&node, holder(1, 1.0, 0));
        let mut last = holder(2, 1.0, 0);
        last.rollouts[0].state = RolloutState::Completed;
        hear(&node, last);
        pass(60_000).await;
        assert_eq!(share(&node, "v2"), Share::Part(1.0));
        let state = heartbeat(&node, 1, 0).rollouts[0].state;
        assert_eq!(state, RolloutState::Completed);
    });
}

/// Guards against requests to the version of an order that is replaced or removed.
#[test_case(Some("v3 15000"), BatchScope::Changes; "second order")]
#[test_case(None, BatchScope::Changes; "withdrawn")]
fn replaced_order_ends(body: Option<&str>, scope: BatchScope) {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        order(&node, "v2", REVISION);
        hear(&node, holder(1, 0.3, 0));
        rows(&node, body, REVISION + 1, scope);
        hear(&node, holder(2, 0.3, 0));
        assert_eq!(share(&node, "v2"), Share::Nothing);
        assert_eq!(share(&node, "v1"), Share::Part(1.0));
    });
}

/// Guards against an order that a snapshot no longer has and that goes on.
#[test]
fn order_that_a_snapshot_lacks_is_withdrawn() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        order(&node, "v2", REVISION);
        hear(&node, holder(1, 0.3, 0));
        let batch = FeedBatch {
            rows: Vec::new(),
            revision: 9,
        };
        directory::apply_batch(&node, batch, BatchScope::All);
        assert_eq!(share(&node, "v2"), Share::Nothing);
    });
}

/// Guards against an earlier order that is heard of late.
#[test]
fn earlier_revision_has_no_effect() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        order(&node, "v3", REVISION + 1);
        hear(&node, holder(1, 0.3, 0));
        assert_eq!(share(&node, "v3"), Share::Nothing);
        let known = node.rollouts.borrow();
        assert_eq!(&*known.by_service["s"].order.to, "v3");
    });
}

/// Guards against damaged datagrams that open the new version.
#[test]
fn impossible_share_is_rejected() {
    run_with_paused_time(async {
        let node = node_with_rollouts("n");
        order(&node, "v2", REVISION);
        node.heartbeat();
        for share in [1.5, -0.1] {
            let datagram = serde_json::to_vec(&holder(1, share, 0)).unwrap();
            receive_datagram(&node, &datagram, "127.0.0.1:9".parse().unwrap());
        }
        assert_eq!(share(&node, "v2"), Share::Nothing);
    });
}

/// Guards against requests to servers of an order that the node has not read yet.
#[test_case(0, 100, 0, 0, false; "orders never read")]
#[test_case(5_000, 4_000, 0, 0, true; "orders read after the version was seen")]
#[test_case(5_000, 6_000, 0, 0, false; "orders read before")]
#[test_case(5_000, 6_000, 100_000, 98_000, true; "server started long before the reading")]
#[test_case(5_000, 6_000, 100_000, 99_000, false; "server started with the reading")]
fn new_version_waits_for_the_orders(
    confirmed_ms: u64,
    seen_ms: u64,
    orders_unix_ms: u64,
    born_unix_ms: u64,
    expected: bool,
) {
    let is_younger = orders_are_younger(confirmed_ms, seen_ms, orders_unix_ms, born_unix_ms);
    assert_eq!(is_younger, expected);
}

/// Guards against nodes that choose different servers for the canary stage.
#[test]
fn canary_servers_are_the_earliest() {
    let servers = vec![(3, "a".into()), (1, "c".into()), (1, "b".into())];
    let chosen: Vec<String> = earliest(servers, 2).iter().map(|n| n.to_string()).collect();
    assert_eq!(chosen, ["b", "c"]);
}
