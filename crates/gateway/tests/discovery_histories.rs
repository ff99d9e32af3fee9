//! Random histories in which servers come and go while the store is unreachable for some nodes,
//! drops its change history and holds rows of other writers. The nodes exchange heartbeats and pull
//! from each other.
//!
//! Invariants: a node that reaches the store stops using a server within the drain bound after it
//! left; no node uses the same life of a server again after it left; no node's directory version
//! decreases; after the faults end, every node knows exactly the servers in the store.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use base::units::Millisecond;
use gateway::belief::registry::ServerState;
use gateway::follow::{self, directory, servers};
use gateway::node::Node;
use gateway::peer::exchange::heartbeat;
use gateway::peer::message::NodeHeartbeat;
use gateway::peer::pull::{self, PullRequest};
use gateway::peer::serve;
use outside::{Feed, FeedBatch, FeedError, FeedRow, ReadError, Topic};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 4;
const SEEDS: u64 = 400;

/// Simulated time of one step.
const STEP_MS: Millisecond = 20;

/// Time with faults, and time without them that follows.
const FAULTS_MS: Millisecond = 30_000;
const CALM_MS: Millisecond = 12_000;

/// Time after the last fault from which only one node should query the store.
const SETTLED_MS: Millisecond = 3_000;

/// Limit on the queries of all nodes together. One node alone queries the directory once a second,
/// and the registry four times within the drain bound, so twice a second; twice that sum is
/// allowed, whatever the number of nodes.
const CALM_QUERIES_PER_S: u64 = 2 * (1 + 2);

/// Longest time from the leave of a server to the last request sent to it.
const DRAIN_MS: Millisecond = 2_000;

/// Time that a node must have reached the store before the drain bound applies to it.
const UNDISTURBED_MS: Millisecond = 3_000;

const HEARTBEAT_MS: Millisecond = 120;

/// Longest transit of a heartbeat, in steps.
const MAX_TRANSIT_STEPS: u64 = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
enum RowKind {
    Directory,
    Servers,
}

#[derive(Default)]
struct StoreModel {
    now_ms: Millisecond,
    revision: u64,
    rows: BTreeMap<String, String>,
    config: u64,
    history: Vec<(u64, RowKind, String, Option<String>)>,
    forgotten: u64,
    /// Queries of all nodes after the faults, answered or not.
    calm_queries: u64,
    /// Until when the store is unreachable for each node.
    unreachable_until_ms: [Millisecond; NODES],
    /// When a life of a server left, by its identifier and start.
    left_ms: BTreeMap<(String, u64), Millisecond>,
}

impl StoreModel {
    /// When all nodes have reached the store for a while, and no faults happen any more.
    fn settled_ms(&self) -> Millisecond {
        let unreachable_ms = self.unreachable_until_ms.iter().copied().max().unwrap_or(0);
        unreachable_ms.max(FAULTS_MS) + SETTLED_MS
    }

    fn write_row(&mut self, topic: RowKind, key: &str, body: Option<String>) {
        self.revision += 1;
        if topic == RowKind::Servers {
            match &body {
                Some(body) => self.rows.insert(key.to_owned(), body.clone()),
                None => self.rows.remove(key),
            };
        }
        self.history
            .push((self.revision, topic, key.to_owned(), body));
    }

    fn record_leave(&mut self, id: &str, born: u64) {
        let now_ms = self.now_ms;
        self.left_ms.entry((id.to_owned(), born)).or_insert(now_ms);
    }

    /// Applies one random change to a random server.
    fn change_server(&mut self, rng: &mut SmallRng) {
        let id = format!("s{}", rng.random_range(0..6));
        let known = self.rows.get(&id).cloned();
        let born = known
            .as_deref()
            .and_then(|row| row.split_once(' ')?.1.parse().ok());
        match (known.as_deref(), born) {
            (None, _) | (_, None) => {
                let born = self.revision + 1;
                self.write_row(RowKind::Servers, &id, Some(format!("ready {born}")));
            }
            (Some(row), Some(born)) if row.starts_with("ready") && rng.random_bool(0.5) => {
                self.record_leave(&id, born);
                self.write_row(RowKind::Servers, &id, Some(format!("draining {born}")));
            }
            (Some(_), Some(born)) if rng.random_bool(0.3) => {
                // The server crashed, and started again before its entry was removed.
                self.record_leave(&id, born);
                let next = self.revision + 1;
                self.write_row(RowKind::Servers, &id, Some(format!("ready {next}")));
            }
            (Some(_), Some(born)) => {
                self.record_leave(&id, born);
                self.write_row(RowKind::Servers, &id, None);
            }
        }
    }

    /// Writes a server's row unchanged, as a heartbeat does.
    fn write_heartbeat(&mut self, rng: &mut SmallRng) {
        let place = rng.random_range(0..self.rows.len().max(1));
        let row = self.rows.iter().nth(place);
        if let Some((id, body)) = row.map(|(id, body)| (id.clone(), body.clone())) {
            self.write_row(RowKind::Servers, &id, Some(body));
        }
    }

    fn random_event(&mut self, rng: &mut SmallRng) {
        match rng.random_range(0..40) {
            0 => {
                let node = rng.random_range(0..NODES);
                self.unreachable_until_ms[node] = self.now_ms + rng.random_range(300..6_000);
            }
            1 => {
                let until_ms = self.now_ms + rng.random_range(300..3_000);
                self.unreachable_until_ms = [until_ms; NODES];
            }
            2 => {
                self.forgotten = self.revision;
                self.history.clear();
            }
            3 => self.write_row(RowKind::Servers, "foreign", Some("unreadable".to_owned())),
            4 | 5 => {
                self.config += rng.random_range(1..4);
                let text = self.config.to_string();
                self.write_row(RowKind::Directory, "directory", Some(text));
            }
            6..13 => self.change_server(rng),
            13..25 => self.write_heartbeat(rng),
            _ => {}
        }
    }
}

struct ModelFeed {
    store: Arc<Mutex<StoreModel>>,
    node: usize,
}

impl ModelFeed {
    fn count_query(&self) {
        let mut store = self.store.lock().unwrap();
        if store.now_ms > store.settled_ms() {
            store.calm_queries += 1;
        }
    }

    fn store(&self) -> Result<MutexGuard<'_, StoreModel>, ReadError> {
        let store = self.store.lock().unwrap();
        match store.now_ms < store.unreachable_until_ms[self.node] {
            true => Err(ReadError {
                reason: "the store is unreachable".to_owned(),
            }),
            false => Ok(store),
        }
    }
}

fn topic_of(topic: Topic) -> RowKind {
    match topic {
        Topic::Directory | Topic::Nodes => RowKind::Directory,
        Topic::Servers => RowKind::Servers,
    }
}

#[async_trait]
impl Feed for ModelFeed {
    async fn snapshot(&self, topic: Topic) -> Result<FeedBatch, ReadError> {
        self.count_query();
        let store = self.store()?;
        let row = |(key, body): (&String, &String)| FeedRow {
            key: key.clone(),
            body: Some(body.clone().into_bytes()),
            revision: 0,
        };
        let rows = match topic_of(topic) {
            RowKind::Servers => store.rows.iter().map(row).collect(),
            RowKind::Directory => vec![FeedRow {
                key: "directory".to_owned(),
                body: Some(store.config.to_string().into_bytes()),
                revision: 0,
            }],
        };
        Ok(FeedBatch {
            rows,
            revision: store.revision,
        })
    }

    async fn changes(
        &self,
        topic: Topic,
        revision: u64,
        wait_ms: Millisecond,
    ) -> Result<FeedBatch, FeedError> {
        self.count_query();
        for _ in 0..wait_ms / STEP_MS {
            let batch = {
                let store = self
                    .store()
                    .map_err(|e| FeedError::Unanswered { reason: e.reason })?;
                if revision < store.forgotten {
                    return Err(FeedError::HistoryGone);
                }
                let of_topic = topic_of(topic);
                let news = store.history.iter();
                let news = news.filter(|(at, topic, ..)| *at > revision && *topic == of_topic);
                let rows = news.map(|(_, _, key, body)| FeedRow {
                    key: key.clone(),
                    body: body.clone().map(String::into_bytes),
                    revision: 0,
                });
                FeedBatch {
                    rows: rows.collect(),
                    revision: store.revision,
                }
            };
            if !batch.rows.is_empty() {
                return Ok(batch);
            }
            tokio::time::sleep(Duration::from_millis(STEP_MS)).await;
        }
        Ok(FeedBatch {
            rows: Vec::new(),
            revision,
        })
    }
}

fn copy_registry(from: &Node, to: &Node, since: u64) {
    let taken = servers::adopt_copy(to, serve::registry_copy(from, since));
    if taken == servers::CopyOutcome::Gap {
        servers::adopt_copy(to, serve::registry_copy(from, 0));
    }
}

/// A heartbeat on its way.
struct Datagram {
    arrives_ms: Millisecond,
    from: usize,
    to: usize,
    heartbeat: NodeHeartbeat,
}

/// Heartbeats between the nodes. Each node sends its own a little after the one before.
struct Network {
    rng: SmallRng,
    in_transit: Vec<Datagram>,
}

impl Network {
    fn send(&mut self, nodes: &[Rc<Node>], from: usize, number: u64, now_ms: Millisecond) {
        let heartbeat = heartbeat(&nodes[from], number, 1);
        for to in (0..nodes.len()).filter(|to| *to != from) {
            self.in_transit.push(Datagram {
                arrives_ms: now_ms + STEP_MS * self.rng.random_range(1..=MAX_TRANSIT_STEPS),
                from,
                to,
                heartbeat: heartbeat.clone(),
            });
        }
    }

    fn deliver(&mut self, nodes: &[Rc<Node>], now_ms: Millisecond) {
        let arrived = |datagram: &mut Datagram| datagram.arrives_ms <= now_ms;
        let arrived: Vec<Datagram> = self.in_transit.extract_if(.., arrived).collect();
        for datagram in arrived {
            receive(
                &nodes[datagram.from],
                &nodes[datagram.to],
                &datagram.heartbeat,
            );
        }
    }
}

/// A node receives a heartbeat and pulls what it needs.
fn receive(from: &Rc<Node>, to: &Rc<Node>, heartbeat: &NodeHeartbeat) {
    let now_ms = to.now_ms();
    let address = format!("10.0.0.{}:7", &from.settings.node.name[1..]);
    let mut peers = to.peers.borrow_mut();
    peers.record_heartbeat(heartbeat.clone(), address.parse().unwrap(), now_ms);
    drop(peers);
    pull::confirm(to, heartbeat);
    for wanted in pull::pulls_needed(to, heartbeat) {
        match wanted {
            PullRequest::Directory => {
                let row = from.directory_row.borrow().clone();
                directory::adopt_row(to, &row);
            }
            PullRequest::Registry { since } => copy_registry(from, to, since),
            PullRequest::Usage => {}
        }
    }
}

/// Lives of servers that a node would send requests to.
fn used(node: &Node) -> Vec<(String, u64)> {
    let registry = node.registry.borrow();
    let ready = registry
        .servers()
        .filter(|s| s.record.state == ServerState::Ready);
    ready
        .map(|s| (s.record.id.to_string(), s.record.born_unix_ms))
        .collect()
}

fn check(seed: u64, store: &StoreModel, nodes: &[Rc<Node>], histories: &mut [NodeHistory]) {
    for (number, node) in nodes.iter().enumerate() {
        let used = used(node);
        let history = &mut histories[number];
        let undisturbed = store.now_ms > store.unreachable_until_ms[number] + UNDISTURBED_MS;
        for life in &used {
            let left_ms = store.left_ms.get(life);
            let late = left_ms.is_some_and(|left_ms| store.now_ms > left_ms + DRAIN_MS);
            assert!(
                !(undisturbed && late),
                "seed {seed}, {} ms: node {number} still uses {life:?}, which left at {left_ms:?}",
                store.now_ms
            );
            assert!(
                !history.dropped.contains(life),
                "seed {seed}, {} ms: node {number} uses {life:?} again",
                store.now_ms
            );
        }
        let dropped = history
            .used
            .iter()
            .filter(|life| !used.contains(life))
            .cloned();
        let left = dropped.filter(|life| store.left_ms.contains_key(life));
        let left: Vec<_> = left.collect();
        history.dropped.extend(left);
        history.used = used;
        let version = node.directory().map_or(0, |d| d.version);
        assert!(
            version >= history.version,
            "seed {seed}: the directory version of node {number} decreased"
        );
        history.version = version;
    }
}

/// Lives of servers that a node uses now and has dropped, and its directory version.
#[derive(Clone, Default)]
struct NodeHistory {
    used: Vec<(String, u64)>,
    dropped: Vec<(String, u64)>,
    version: u64,
}

async fn run_history(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let store = Arc::new(Mutex::new(StoreModel {
        config: 1,
        ..StoreModel::default()
    }));
    let nodes: Vec<Rc<Node>> = (0..NODES)
        .map(|n| support::node(&format!("n{n}")))
        .collect();
    for (number, node) in nodes.iter().enumerate() {
        let feed = Arc::new(ModelFeed {
            store: store.clone(),
            node: number,
        });
        let registry = follow::follow(
            node.clone(),
            feed.clone(),
            Topic::Servers,
            servers::apply_batch,
        );
        tokio::task::spawn_local(registry);
        let config = follow::follow(node.clone(), feed, Topic::Directory, directory::apply_batch);
        tokio::task::spawn_local(config);
    }
    let mut histories = vec![NodeHistory::default(); NODES];
    let mut network = Network {
        rng: SmallRng::seed_from_u64(seed),
        in_transit: Vec::new(),
    };
    for step in 0..(FAULTS_MS + CALM_MS) / STEP_MS {
        {
            let mut store = store.lock().unwrap();
            store.now_ms += STEP_MS;
            if store.now_ms < FAULTS_MS {
                store.random_event(&mut rng);
            }
        }
        tokio::time::sleep(Duration::from_millis(STEP_MS)).await;
        let now_ms = step * STEP_MS;
        network.deliver(&nodes, now_ms);
        for from in 0..NODES {
            if (now_ms + from as u64 * STEP_MS).is_multiple_of(HEARTBEAT_MS) {
                network.send(&nodes, from, step + 1, now_ms);
            }
        }
        for node in &nodes {
            servers::expire(node);
        }
        check(seed, &store.lock().unwrap(), &nodes, &mut histories);
    }
    let store = store.lock().unwrap();
    let calm_s = (store.now_ms - store.settled_ms()) / 1_000;
    assert!(
        store.calm_queries <= CALM_QUERIES_PER_S * calm_s,
        "seed {seed}: {} queries in {calm_s} s without faults",
        store.calm_queries
    );
    let ready = store
        .rows
        .iter()
        .filter(|(_, row)| row.starts_with("ready"));
    let ready: Vec<&String> = ready.map(|(id, _)| id).collect();
    for (number, node) in nodes.iter().enumerate() {
        let mut used: Vec<String> = used(node).into_iter().map(|(id, _)| id).collect();
        used.sort();
        assert_eq!(
            used.iter().collect::<Vec<_>>(),
            ready,
            "seed {seed}, node {number}"
        );
        let version = node.directory().map_or(0, |d| d.version);
        assert_eq!(version, store.config, "seed {seed}, node {number}");
    }
}

fn play(seed: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, run_history(seed));
}

#[test]
fn servers_that_left_are_not_used_again() {
    (0..SEEDS).for_each(play);
}

/// Run with `DISCOVERY_HISTORIES=FIRST..END cargo test -p gateway --test discovery_histories -- --ignored`.
#[test]
#[ignore = "runs many seeds; started by hand"]
fn seeds_by_hand() {
    let seeds = std::env::var("DISCOVERY_HISTORIES")
        .expect("DISCOVERY_HISTORIES must be set to FIRST..END, a range of seeds");
    let (first, end) = seeds
        .split_once("..")
        .expect("DISCOVERY_HISTORIES must have the form FIRST..END");
    let seeds = first.parse::<u64>().unwrap()..end.parse().unwrap();
    let failed: Vec<u64> = seeds
        .filter(|seed| std::panic::catch_unwind(|| play(*seed)).is_err())
        .collect();
    assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
}
