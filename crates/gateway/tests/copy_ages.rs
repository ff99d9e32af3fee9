//! How old nodes take their copies of the store to be, and who polls the store by that.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use base::units::Millisecond;
use gateway::follow::{self, BatchScope, directory, servers};
use gateway::node::Node;
use gateway::peer::exchange::heartbeat;
use gateway::peer::message::{Listing, NodeHeartbeat, RegistryCopy};
use gateway::peer::pull::{self, PullRequest};
use gateway::peer::role::Role;
use outside::{Feed, FeedBatch, FeedError, FeedRow, ReadError, Topic};
use test_case::test_case;

const TRANSIT: Duration = Duration::from_millis(30);

/// Largest error of an age: the transit of one heartbeat, and rounding.
const ERROR_MS: Millisecond = 30 + 1;

fn row(key: &str, body: &str) -> FeedRow {
    FeedRow {
        key: key.to_owned(),
        body: Some(body.as_bytes().to_vec()),
        revision: 0,
    }
}

fn read_registry(node: &Rc<Node>, revision: u64) {
    let rows = vec![row("x", "ready")];
    servers::apply_batch(node, FeedBatch { rows, revision }, BatchScope::All);
}

fn address(node: &str) -> SocketAddr {
    let number = node.bytes().map(u16::from).sum::<u16>();
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn receive(node: &Rc<Node>, sent: &NodeHeartbeat) {
    let now_ms = node.now_ms();
    let mut peers = node.peers.borrow_mut();
    peers.record_heartbeat(sent.clone(), address(&sent.node), now_ms);
    drop(peers);
    pull::confirm(node, sent);
}

fn registry_age_ms(node: &Node) -> Millisecond {
    node.now_ms() - node.registry_confirmed_ms.get()
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_that_was_late_does_not_make_a_copy_young() {
    let (from, to) = (support::node("a"), support::node("b"));
    read_registry(&to, 5);
    tokio::time::sleep(Duration::from_secs(1)).await;
    read_registry(&from, 5);
    let read = tokio::time::Instant::now();
    for (number, transit) in [(1, TRANSIT), (2, 15 * TRANSIT), (3, TRANSIT)] {
        let sent = heartbeat(&from, number, 1);
        tokio::time::sleep(transit).await;
        receive(&to, &sent);
        let true_ms = read.elapsed().as_millis() as Millisecond;
        let age_ms = registry_age_ms(&to);
        assert!(age_ms <= true_ms, "{age_ms} of {true_ms}");
        assert!(age_ms + ERROR_MS >= true_ms, "{age_ms} of {true_ms}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_copy_pulled_from_another_node_is_not_taken_for_a_read() {
    let (reader, fresh) = (support::node("a"), support::node("b"));
    read_registry(&reader, 5);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in [&reader, &fresh] {
        let copy = RegistryCopy {
            revision: 6,
            changed: None,
            listing: Listing::All(vec!["x".into()]),
            rows: vec![("x".into(), "ready".to_owned())],
        };
        servers::adopt_copy(node, copy);
    }
    assert!(registry_age_ms(&reader) >= 1_000);
    assert!(heartbeat(&reader, 1, 1).registry.age_ms >= 1_000);
    let other = support::node("c");
    read_registry(&other, 6);
    tokio::time::sleep(Duration::from_secs(9)).await;
    receive(&other, &heartbeat(&fresh, 1, 1));
    assert!(registry_age_ms(&other) >= 9_000, "it never read the store");
}

#[tokio::test(start_paused = true)]
async fn ages_that_count_the_reads_of_others_do_not_make_a_copy_young() {
    let (from, to) = (support::node("a"), support::node("b"));
    read_registry(&to, 5);
    tokio::time::sleep(Duration::from_secs(1)).await;
    read_registry(&from, 7);
    let older_build = NodeHeartbeat {
        copies: None,
        ..heartbeat(&from, 1, 1)
    };
    receive(&to, &older_build);
    assert!(registry_age_ms(&to) >= 1_000);
}

#[tokio::test(start_paused = true)]
async fn a_listening_node_learns_of_reads_in_other_domains() {
    let (from, to) = (support::node("m"), support::node("z"));
    for node in [&from, &to] {
        read_registry(node, 5);
    }
    for other in 'a'..='l' {
        receive(&to, &heartbeat(&support::node(&other.to_string()), 1, 1));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut sent = heartbeat(&from, 1, 1);
    sent.copies.as_mut().unwrap().registry_ms = 100;
    receive(&to, &sent);
    assert_eq!(to.role(), Role::Listens);
    assert_eq!(registry_age_ms(&to), 100);
    assert!(heartbeat(&to, 1, 1).registry.age_ms >= 500);
}

/// Outcome of a node's polls of the store while other nodes are answered.
#[derive(Clone, Copy)]
enum Fault {
    Refused,
    Unanswered,
}

/// Time without an answer after which a poll fails.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_800);

struct Store {
    version: u64,
    /// What the polls of the first node meet.
    fault: Option<Fault>,
}

struct StoreFeed {
    store: Arc<Mutex<Store>>,
    is_first: bool,
}

impl StoreFeed {
    fn batch(&self) -> FeedBatch {
        let version = self.store.lock().unwrap().version;
        FeedBatch {
            rows: vec![row("directory", &version.to_string())],
            revision: version,
        }
    }
}

#[async_trait]
impl Feed for StoreFeed {
    async fn snapshot(&self, _: Topic) -> Result<FeedBatch, ReadError> {
        Ok(self.batch())
    }

    async fn changes(
        &self,
        _: Topic,
        revision: u64,
        wait_ms: Millisecond,
    ) -> Result<FeedBatch, FeedError> {
        const STEP: Duration = Duration::from_millis(10);
        let fault = self.store.lock().unwrap().fault;
        if let Some(fault) = fault.filter(|_| self.is_first) {
            match fault {
                Fault::Refused => {}
                Fault::Unanswered => tokio::time::sleep(POLL_TIMEOUT).await,
            }
            let reason = "the store rejects this node".to_owned();
            return Err(FeedError::Unanswered { reason });
        }
        for _ in 0..wait_ms / 10 {
            if self.batch().revision > revision {
                return Ok(self.batch());
            }
            tokio::time::sleep(STEP).await;
        }
        let rows = Vec::new();
        Ok(FeedBatch { rows, revision })
    }
}

fn receive_and_pull(node: &Rc<Node>, sent: &NodeHeartbeat, sender: &Node) {
    receive(node, sent);
    if pull::pulls_needed(node, sent).contains(&PullRequest::Directory) {
        let row = sender.directory_row.borrow().clone();
        directory::adopt_row(node, &row);
    }
}

/// Exchanges heartbeats for a time. One node after the other sends, each when it has received that
/// of the one before.
async fn exchange(nodes: &[Rc<Node>], span: Duration) {
    let rounds = span.as_millis() / (TRANSIT.as_millis() * nodes.len() as u128);
    for _ in 0..rounds {
        for from in nodes {
            let sent = heartbeat(from, from.next_datagram_number(), 1);
            tokio::time::sleep(TRANSIT).await;
            for to in nodes.iter().filter(|to| !Rc::ptr_eq(to, from)) {
                receive_and_pull(to, &sent, from);
            }
        }
    }
}

async fn change_directory_while_the_first_node_fails(fault: Fault, delay: Duration) {
    let store = Arc::new(Mutex::new(Store {
        version: 1,
        fault: None,
    }));
    let nodes: Vec<Rc<Node>> = ["a", "b", "c", "d"].map(support::node).into();
    for (number, node) in nodes.iter().enumerate() {
        let feed = Arc::new(StoreFeed {
            store: store.clone(),
            is_first: number == 0,
        });
        let following =
            follow::follow(node.clone(), feed, Topic::Directory, directory::apply_batch);
        tokio::task::spawn_local(following);
    }
    exchange(&nodes, Duration::from_secs(5)).await;
    store.lock().unwrap().fault = Some(fault);
    exchange(&nodes, delay).await;
    store.lock().unwrap().version = 2;
    let bound_ms = nodes[0].settings.bounds.directory_ms;
    exchange(&nodes, Duration::from_millis(bound_ms)).await;
    for node in &nodes {
        let version = node.directory().unwrap().version;
        assert_eq!(version, 2, "node {}", node.settings.node.name);
    }
}

#[test_case(Fault::Refused; "its polls are refused")]
#[test_case(Fault::Unanswered; "its polls get no answer")]
fn a_change_is_in_force_in_time_when_the_node_whose_turn_it_is_fails(fault: Fault) {
    for delay_ms in [0, 600, 1_200, 2_400] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let delay = Duration::from_millis(delay_ms);
        let history = change_directory_while_the_first_node_fails(fault, delay);
        tokio::task::LocalSet::new().block_on(&runtime, history);
    }
}
