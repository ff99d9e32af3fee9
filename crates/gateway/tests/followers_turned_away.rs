//! Large fleets whose store turns the nodes away that ask it for all others, or all nodes.
//!
//! Guards against changes that no node reads: nodes that only listen must not rely on followers that
//! the store doesn't serve. The calls to the store must not grow with the fleet.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use base::units::Millisecond;
use gateway::follow::{self, directory, servers};
use gateway::node::Node;
use gateway::peer::exchange::heartbeat;
use gateway::peer::message::{HeartbeatContent, NodeHeartbeat};
use gateway::peer::pull::{self, PullRequest};
use gateway::peer::role::Role;
use gateway::peer::serve;
use outside::{Feed, FeedBatch, FeedError, FeedRow, ReadError, Topic};
use support::run_with_paused_time;
use test_case::test_case;

const DOMAINS: usize = 3;

/// Time between two groups of heartbeats, and between two pulses.
const ROUND_MS: Millisecond = 120;

/// Nodes in one group of whole heartbeats.
const GROUP_NODES: usize = 12;

/// Rounds between two pulses to listening nodes.
const LISTENER_ROUNDS: u64 = 3;

/// Time in which the nodes find their roles.
const SETTLING: Duration = Duration::from_secs(8);

/// What the store does with a node's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Served,
    Refused,
    Unanswered,
}

/// Time without an answer after which a call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);

struct Store {
    version: u64,
    treatment: Vec<Treatment>,
    calls: u64,
}

impl Store {
    fn batch(&self, topic: Topic) -> FeedBatch {
        let row = |key: &str, body: String| FeedRow {
            key: key.to_owned(),
            body: Some(body.into_bytes()),
            revision: 0,
        };
        let rows = match topic {
            Topic::Servers => vec![row("x", "ready 1 1".to_owned())],
            Topic::Directory | Topic::Nodes => vec![row("directory", self.version.to_string())],
        };
        let revision = self.version;
        FeedBatch { rows, revision }
    }
}

struct NodeFeed {
    store: Arc<Mutex<Store>>,
    node: usize,
}

impl NodeFeed {
    async fn call(&self) -> Result<(), ReadError> {
        let treatment = {
            let mut store = self.store.lock().unwrap();
            store.calls += 1;
            store.treatment[self.node]
        };
        match treatment {
            Treatment::Served => return Ok(()),
            Treatment::Refused => {}
            Treatment::Unanswered => tokio::time::sleep(CALL_TIMEOUT).await,
        }
        let reason = "the store rejects this node".to_owned();
        Err(ReadError { reason })
    }
}

#[async_trait]
impl Feed for NodeFeed {
    async fn snapshot(&self, topic: Topic) -> Result<FeedBatch, ReadError> {
        self.call().await?;
        Ok(self.store.lock().unwrap().batch(topic))
    }

    async fn changes(
        &self,
        topic: Topic,
        revision: u64,
        wait_ms: Millisecond,
    ) -> Result<FeedBatch, FeedError> {
        let unanswered = |e: ReadError| FeedError::Unanswered { reason: e.reason };
        self.call().await.map_err(unanswered)?;
        for _ in 0..wait_ms / 10 {
            {
                let store = self.store.lock().unwrap();
                if store.version > revision {
                    return Ok(store.batch(topic));
                }
                if store.treatment[self.node] != Treatment::Served {
                    break;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let is_served = self.store.lock().unwrap().treatment[self.node] == Treatment::Served;
        match is_served {
            true => Ok(FeedBatch {
                rows: Vec::new(),
                revision,
            }),
            false => Err(unanswered(ReadError {
                reason: "reset".to_owned(),
            })),
        }
    }
}

struct Fleet {
    nodes: Vec<Rc<Node>>,
    store: Arc<Mutex<Store>>,
    rounds: u64,
}

impl Fleet {
    /// Starts a fleet and waits until its roles have settled.
    async fn settled(nodes: usize) -> Self {
        let store = Arc::new(Mutex::new(Store {
            version: 1,
            treatment: vec![Treatment::Served; nodes],
            calls: 0,
        }));
        let domain = |n: usize| ["a", "b", "c"][n % DOMAINS];
        let node = |n: usize| support::node_in(&format!("n{n:03}"), domain(n));
        let nodes: Vec<Rc<Node>> = (0..nodes).map(node).collect();
        for (number, node) in nodes.iter().enumerate() {
            let feed = Arc::new(NodeFeed {
                store: store.clone(),
                node: number,
            });
            let (n, f) = (node.clone(), feed.clone());
            tokio::task::spawn_local(follow::follow(
                n,
                f,
                Topic::Directory,
                directory::apply_batch,
            ));
            let servers = follow::follow(node.clone(), feed, Topic::Servers, servers::apply_batch);
            tokio::task::spawn_local(servers);
        }
        let mut fleet = Self {
            nodes,
            store,
            rounds: 0,
        };
        fleet.run(SETTLING).await;
        fleet
    }

    async fn run(&mut self, span: Duration) {
        for _ in 0..span.as_millis() as u64 / ROUND_MS {
            tokio::time::sleep(Duration::from_millis(ROUND_MS)).await;
            self.rounds += 1;
            for from in 0..self.nodes.len() {
                self.send(from);
            }
        }
    }

    /// Sends a group of whole heartbeats, and pulses if the node follows the store.
    fn send(&self, from: usize) {
        let node = &self.nodes[from];
        let (sent, count) = (
            heartbeat(node, node.next_datagram_number(), 1),
            self.nodes.len(),
        );
        let groups = count.div_ceil(GROUP_NODES) as u64;
        let group = (self.rounds % groups) as usize;
        for to in group * GROUP_NODES..((group + 1) * GROUP_NODES).min(count) {
            self.receive(from, to, &sent);
        }
        if sent.role == Role::Listens || count <= GROUP_NODES {
            return;
        }
        let pulse = |rounds: u64| NodeHeartbeat {
            number: node.next_datagram_number(),
            content: HeartbeatContent::Pulse {
                period_ms: ROUND_MS * rounds,
            },
            ..sent.clone()
        };
        let (to_followers, to_listeners) = (pulse(1), pulse(LISTENER_ROUNDS));
        for to in 0..count {
            let follows = match node
                .peers
                .borrow()
                .iter()
                .find(|(name, _)| ***name == *self.nodes[to].settings.node.name)
            {
                Some((_, peer)) => peer.heartbeat.role == Role::Follows,
                None => false,
            };
            let is_near = to % DOMAINS == from % DOMAINS;
            if follows {
                self.receive(from, to, &to_followers);
            } else if is_near && self.rounds.is_multiple_of(LISTENER_ROUNDS) {
                self.receive(from, to, &to_listeners);
            }
        }
    }

    fn receive(&self, from: usize, to: usize, sent: &NodeHeartbeat) {
        if from == to {
            return;
        }
        let (sender, node) = (&self.nodes[from], &self.nodes[to]);
        let address = SocketAddr::from(([10, 0, 0, 1], 1_000 + from as u16));
        let now_ms = node.now_ms();
        let mut peers = node.peers.borrow_mut();
        peers.record_heartbeat(sent.clone(), address, now_ms);
        drop(peers);
        pull::confirm(node, sent);
        for wanted in pull::pulls_needed(node, sent) {
            match wanted {
                PullRequest::Directory => {
                    let row = sender.directory_row.borrow().clone();
                    directory::adopt_row(node, &row);
                }
                PullRequest::Registry { since } => {
                    servers::adopt_copy(node, serve::registry_copy(sender, since));
                }
                PullRequest::Usage => {}
            }
        }
    }

    /// Nodes that follow the store now.
    fn followers(&self) -> Vec<usize> {
        let follows = |n: &usize| self.nodes[*n].role() == Role::Follows;
        (0..self.nodes.len()).filter(follows).collect()
    }

    fn treat(&self, nodes: &[usize], treatment: Treatment) {
        let mut store = self.store.lock().unwrap();
        for node in nodes {
            store.treatment[*node] = treatment;
        }
    }

    /// Changes the directory, and asserts that it is in force at all nodes within the bound.
    async fn assert_change_in_time(&mut self, what: &str) {
        let version = {
            let mut store = self.store.lock().unwrap();
            store.version += 1;
            store.version
        };
        let bound_ms = self.nodes[0].settings.bounds.directory_ms;
        self.run(Duration::from_millis(bound_ms)).await;
        let late = self.nodes.iter().filter(|node| {
            let has_directory = node.directory().is_some_and(|d| d.version == version);
            !has_directory || node.registry.borrow().revision < version
        });
        let late: Vec<&str> = late.map(|node| &*node.settings.node.name).collect();
        assert!(late.is_empty(), "{what}: late at {late:?}");
    }

    /// Calls to the store a second, over some time.
    async fn calls_per_s(&mut self, span: Duration) -> f64 {
        let before = self.store.lock().unwrap().calls;
        self.run(span).await;
        let calls = self.store.lock().unwrap().calls - before;
        calls as f64 / span.as_secs_f64()
    }
}

#[test_case(Treatment::Refused; "refused")]
#[test_case(Treatment::Unanswered; "without an answer")]
fn a_change_is_in_force_in_time_when_all_followers_are_turned_away(treatment: Treatment) {
    run_with_paused_time(async move {
        let mut fleet = Fleet::settled(18).await;
        // Each outage finds the nodes in another state.
        for (outage, delay_ms) in [0, 500, 1_300, 2_900, 6_000].into_iter().enumerate() {
            let away = fleet.followers();
            fleet.treat(&away, treatment);
            fleet.run(Duration::from_millis(delay_ms)).await;
            let what = format!("outage {outage}, {} nodes away", away.len());
            fleet.assert_change_in_time(&what).await;
            fleet.assert_change_in_time(&what).await;
            fleet.treat(&away, Treatment::Served);
            fleet.run(Duration::from_secs(6)).await;
        }
        assert_eq!(
            fleet.followers().len(),
            2 * DOMAINS,
            "the first ones follow again"
        );
    });
}

#[test_case(&[0, 3]; "both followers of a domain")]
#[test_case(&[1]; "one follower")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8]; "the followers and the next ones")]
fn a_change_is_in_force_in_time_when_some_nodes_are_turned_away(away: &[usize]) {
    run_with_paused_time(async move {
        let mut fleet = Fleet::settled(36).await;
        fleet.treat(away, Treatment::Refused);
        for _ in 0..3 {
            fleet.run(Duration::from_millis(700)).await;
            fleet.assert_change_in_time("some are turned away").await;
        }
    });
}

#[test]
fn a_change_is_in_force_in_time_when_nodes_are_turned_away_by_turns() {
    run_with_paused_time(async {
        let mut fleet = Fleet::settled(18).await;
        for turn in 0..9 {
            let away: Vec<usize> = (0..6).map(|n| (n + 3 * turn) % 18).collect();
            fleet.treat(&away, Treatment::Refused);
            fleet.run(Duration::from_millis(1_000)).await;
            fleet.treat(&away, Treatment::Served);
            fleet.assert_change_in_time("by turns").await;
        }
    });
}

/// Calls a second that two followers of each of three domains make while the store is down: two
/// topics, each tried again after 0.3 s. Nodes that stand in may double them.
const OUTAGE_CALLS_PER_S: f64 = 2.0 * (2 * DOMAINS * 2) as f64 / 0.3;

#[test_case(18)]
#[test_case(66)]
fn calls_to_the_store_do_not_grow_with_the_fleet(nodes: usize) {
    run_with_paused_time(async move {
        let mut fleet = Fleet::settled(nodes).await;
        let calm = fleet.calls_per_s(Duration::from_secs(6)).await;
        let followers = fleet.followers();
        fleet.treat(&followers, Treatment::Refused);
        let partial = fleet.calls_per_s(Duration::from_secs(8)).await;
        fleet.treat(&followers, Treatment::Served);
        fleet.run(Duration::from_secs(6)).await;
        let all: Vec<usize> = (0..nodes).collect();
        fleet.treat(&all, Treatment::Refused);
        let whole_first = fleet.calls_per_s(Duration::from_secs(4)).await;
        let whole_later = fleet.calls_per_s(Duration::from_secs(6)).await;
        fleet.treat(&all, Treatment::Served);
        let back = fleet.calls_per_s(Duration::from_secs(1)).await;
        println!(
            "{nodes} nodes, calls a second: calm {calm:.1}, followers turned away {partial:.1}, \
             down {whole_first:.1} at first and {whole_later:.1} later, back {back:.1}"
        );
        assert!(calm < 10.0, "{calm} in calm");
        for calls in [partial, whole_first, whole_later, back] {
            assert!(calls <= OUTAGE_CALLS_PER_S, "{calls} calls a second");
        }
    });
}

/// Run with `cargo test -p gateway --test followers_turned_away -- --ignored --nocapture`.
#[test]
#[ignore = "takes long; started by hand"]
fn calls_of_295_nodes() {
    calls_to_the_store_do_not_grow_with_the_fleet(295);
}
