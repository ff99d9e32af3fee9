//! Three nodes and a model of the store in random interleavings: servers register, drain, leave and
//! return, late writes and restorations happen, and nodes query, exchange heartbeats and copy each
//! other's registry. Messages arrive late.
//!
//! Invariant: a node lists exactly the servers that the store had at the revision that the node
//! claims. Guards against nodes that skip a change, such as the removal of a server.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use gateway::follow::{BatchScope, servers};
use gateway::node::Node;
use gateway::peer::exchange::heartbeat;
use gateway::peer::message::{RegistryCopy, RegistryVersion};
use gateway::peer::serve;
use outside::revision::{pack, restorations_of};
use outside::{FeedBatch, FeedRow};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use support::run_with_paused_time;

const NODES: usize = 3;
const SERVERS: u32 = 5;
const STEPS: usize = 400;
const SEEDS: u64 = 300;

/// Time that a step may take.
const STEP_LIMIT_MS: u64 = 120;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    is_draining: bool,
    born: u64,
    sequence: u64,
}

impl Entry {
    fn body(self) -> Vec<u8> {
        let state = if self.is_draining {
            "draining"
        } else {
            "ready"
        };
        format!("{state} {} {}", self.born, self.sequence).into_bytes()
    }
}

/// The rows at one revision.
#[derive(Clone, Debug, Default)]
struct Rows {
    entries: BTreeMap<String, Entry>,
    /// Entries whose last write is older than one before it: nodes that know the later write ignore
    /// the entry, others list it.
    outdated: BTreeSet<String>,
}

#[derive(Default)]
struct StoreModel {
    era: u64,
    version: u64,
    rows: Rows,
    /// The rows after each change.
    states: BTreeMap<u64, Rows>,
    /// Changes that the feed still tells.
    feed: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Revision since which the feed is complete.
    feed_since: u64,
    /// Greatest sequence number of each life.
    sequences: BTreeMap<u64, u64>,
    /// The last life of each server.
    last_lives: BTreeMap<String, u64>,
}

impl StoreModel {
    fn revision(&self) -> u64 {
        pack(self.era, self.version)
    }

    fn state_at(&self, revision: u64) -> Rows {
        let state = self.states.range(..=revision).next_back();
        state.map(|(_, rows)| rows.clone()).unwrap_or_default()
    }

    fn put(&mut self, id: &str, entry: Entry) {
        let greatest = self.sequences.entry(entry.born).or_default();
        let last_life = self.last_lives.entry(id.to_owned()).or_default();
        *last_life = entry.born.max(*last_life);
        match entry.sequence > *greatest && entry.born == *last_life {
            true => self.rows.outdated.remove(id),
            false => self.rows.outdated.insert(id.to_owned()),
        };
        *greatest = entry.sequence.max(*greatest);
        self.rows.entries.insert(id.to_owned(), entry);
        self.record(id, Some(entry.body()));
    }

    fn remove(&mut self, id: &str) {
        self.rows.entries.remove(id);
        self.rows.outdated.remove(id);
        self.record(id, None);
    }

    fn record(&mut self, id: &str, body: Option<Vec<u8>>) {
        self.version += 1;
        let revision = self.revision();
        self.feed.push((revision, id.to_owned(), body));
        self.states.insert(revision, self.rows.clone());
    }

    fn forget_history(&mut self) {
        self.feed.clear();
        self.feed_since = self.revision();
    }

    /// Goes back to the rows of an earlier revision of the same era.
    fn restore(&mut self, rng: &mut SmallRng) {
        let first = pack(self.era, 0);
        let Some((_, copy)) = self.states.range(first..).choose(rng) else {
            return;
        };
        let mut rows = copy.clone();
        let is_same = |id: &String| {
            let is_outdated = self.rows.outdated.contains(id);
            rows.entries.get(id) == self.rows.entries.get(id) && !is_outdated
        };
        let differing: Vec<String> = rows
            .entries
            .keys()
            .filter(|id| !is_same(id))
            .cloned()
            .collect();
        rows.outdated.extend(differing);
        self.era += 1;
        self.rows = rows;
        self.forget_history();
        self.states.insert(self.revision(), self.rows.clone());
    }

    /// One random write.
    fn change(&mut self, rng: &mut SmallRng) {
        let id = format!("s{}", rng.random_range(0..SERVERS));
        let known = self.rows.entries.get(&id).copied();
        let last_life = self.states.values().rev();
        let last_life = last_life.filter_map(|rows| rows.entries.get(&id)).next();
        let next = |entry: Entry, sequences: &BTreeMap<u64, u64>| Entry {
            sequence: sequences.get(&entry.born).copied().unwrap_or(0) + 1,
            ..entry
        };
        match (known, last_life.copied()) {
            // A heartbeat, a drain, a removal, or a new life.
            (Some(entry), _) => match rng.random_range(0..6) {
                0 | 1 => self.put(&id, next(entry, &self.sequences)),
                2 => {
                    let draining = Entry {
                        is_draining: true,
                        ..entry
                    };
                    self.put(&id, next(draining, &self.sequences));
                }
                3 => self.register(&id),
                _ => self.remove(&id),
            },
            // A late write of the life that left, its return, or a new life.
            (None, Some(last)) => match rng.random_range(0..3) {
                0 => self.put(&id, last),
                1 => self.put(&id, next(last, &self.sequences)),
                _ => self.register(&id),
            },
            (None, None) => self.register(&id),
        }
    }

    fn register(&mut self, id: &str) {
        let born = 1 + self.sequences.len() as u64;
        let entry = Entry {
            is_draining: false,
            born,
            sequence: 1,
        };
        self.put(id, entry);
    }

    fn snapshot(&self) -> FeedBatch {
        let rows = self.rows.entries.iter().map(|(id, entry)| FeedRow {
            key: id.clone(),
            body: Some(entry.body()),
            revision: 0,
        });
        FeedBatch {
            rows: rows.collect(),
            revision: self.revision(),
        }
    }

    /// Changes since a revision; all rows if the feed doesn't reach back so far.
    fn query(&self, since: u64) -> (FeedBatch, BatchScope) {
        let is_other_era = restorations_of(since) != restorations_of(self.revision());
        if since == 0 || since < self.feed_since || is_other_era {
            return (self.snapshot(), BatchScope::All);
        }
        let rows = self
            .feed
            .iter()
            .filter(|(revision, ..)| *revision > since)
            .map(|(_, id, body)| FeedRow {
                key: id.clone(),
                body: body.clone(),
                revision: 0,
            });
        let batch = FeedBatch {
            rows: rows.collect(),
            revision: self.revision().max(since),
        };
        (batch, BatchScope::Changes)
    }
}

/// A message on its way to a node.
enum Message {
    /// An answer of the store, and the change that other nodes had announced before the query.
    Answer(FeedBatch, BatchScope, u64),
    Heartbeat(usize, RegistryVersion),
    Copy(usize, RegistryCopy),
}

struct Model {
    rng: SmallRng,
    store: StoreModel,
    nodes: Vec<Rc<Node>>,
    in_transit: Vec<(usize, Message)>,
    sent: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            store: StoreModel {
                era: 1,
                ..StoreModel::default()
            },
            nodes: (0..NODES)
                .map(|n| support::node(&format!("n{n}")))
                .collect(),
            in_transit: Vec::new(),
            sent: 0,
        }
    }

    fn step(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..100) {
            0..30 => self.store.change(&mut self.rng),
            30..32 => self.store.forget_history(),
            32 => self.store.restore(&mut self.rng),
            33..36 => fail_store(&self.nodes[node]),
            36..50 => self.query(node),
            50..65 => self.send_heartbeat(node),
            65..68 => servers::expire(&self.nodes[node]),
            _ => self.deliver(),
        }
    }

    fn query(&mut self, node: usize) {
        let announced = self.nodes[node].announced_change.get();
        let since = self.nodes[node].registry.borrow().revision;
        let (batch, scope) = self.store.query(since);
        self.in_transit
            .push((node, Message::Answer(batch, scope, announced)));
    }

    fn send_heartbeat(&mut self, from: usize) {
        let to = (from + self.rng.random_range(1..NODES)) % NODES;
        self.sent += 1;
        let version = heartbeat(&self.nodes[from], self.sent, 1).registry;
        self.in_transit
            .push((to, Message::Heartbeat(from, version)));
    }

    fn deliver(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.in_transit.len());
        let (to, message) = self.in_transit.swap_remove(place);
        let node = self.nodes[to].clone();
        match message {
            Message::Answer(batch, scope, announced) => {
                servers::apply_batch(&node, batch, scope);
                node.queried_change.set(announced);
            }
            Message::Heartbeat(from, version) => self.receive(to, from, version),
            Message::Copy(from, copy) => {
                if servers::adopt_copy(&node, copy) == servers::CopyOutcome::Gap {
                    let whole = serve::registry_copy(&self.nodes[from], 0);
                    self.in_transit.push((to, Message::Copy(from, whole)));
                }
            }
        }
    }

    /// A node takes over the revision of a heartbeat, or has the store queried or the sender copied
    /// if there is a change.
    fn receive(&mut self, to: usize, from: usize, version: RegistryVersion) {
        let node = self.nodes[to].clone();
        servers::confirm(&node, version);
        let revision = node.registry.borrow().revision;
        if version.changed <= revision {
            return;
        }
        if self.rng.random_bool(0.5) {
            let announced = node.announced_change.get().max(version.changed);
            node.announced_change.set(announced);
            return;
        }
        let copy = serve::registry_copy(&self.nodes[from], revision);
        self.in_transit.push((to, Message::Copy(from, copy)));
    }

    fn check(&self, seed: u64, step: usize) {
        for (number, node) in self.nodes.iter().enumerate() {
            let registry = node.registry.borrow();
            let at = registry.revision;
            if at == 0 {
                continue;
            }
            let Rows { entries, outdated } = self.store.state_at(at);
            let told = |id: &String| !outdated.contains(id);
            let expected: BTreeMap<String, (bool, u64)> = entries
                .iter()
                .filter(|(id, _)| told(id))
                .map(|(id, entry)| (id.clone(), (entry.is_draining, entry.born)))
                .collect();
            let listed: BTreeMap<String, (bool, u64)> = registry
                .listed()
                .map(ToString::to_string)
                .filter(told)
                .map(|id| {
                    let server = registry.server(&id).expect("a listed server is known");
                    let record = &server.record;
                    let is_draining =
                        record.state == gateway::belief::registry::ServerState::Draining;
                    (id, (is_draining, record.born_unix_ms))
                })
                .collect();
            assert_eq!(
                listed, expected,
                "seed {seed}, step {step}: node {number} claims revision {at}"
            );
        }
    }
}

fn fail_store(node: &Node) {
    node.store_failed_ms.set(node.now_ms());
}

fn play(seed: u64) {
    run_with_paused_time(async {
        let mut model = Model::new(seed);
        for step in 0..STEPS {
            model.step();
            let pause_ms = model.rng.random_range(0..STEP_LIMIT_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            model.check(seed, step);
        }
    });
}

#[test]
fn a_node_lists_the_servers_of_the_revision_that_it_claims() {
    (0..SEEDS).for_each(play);
}
