//! What membership and the spread of configuration cost a node, against the nodes of the fleet.
//!
//! The nodes' decisions are stepped in one process; messages arrive after a fixed delay, and their
//! sizes are those of their JSON text with a fixed allowance for the envelope and HTTP headers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use base::Name;
use base::secret::key_digest_hex;
use base::units::Millisecond;
use fleet::member::CallTarget;
use fleet::node::{Action, Event, Node};
use fleet::timing::Timing;
use fleet::wire::{ConfigDocument, Health, MemberRecord};
use outside::{Vm, VmRole, VmState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::{report, resident_bytes};

/// Envelope of a JSON-RPC call and the headers of its HTTP request and answer.
const ENVELOPE_BYTES: usize = 450;
/// Time between a call and its effect at the callee.
const DELAY_MS: Millisecond = 50;
const STEP_MS: Millisecond = 50;
const SEEDS_PER_NODE: usize = 3;
const DOCUMENT_BYTES: usize = 20_000;

#[derive(Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
    busy_s: f64,
}

struct Fleet {
    nodes: Vec<Node>,
    vms: Vec<Vm>,
    queue: BTreeMap<Millisecond, Vec<(usize, Action)>>,
    now_ms: Millisecond,
    traffic: Traffic,
    rng: SmallRng,
    timing: Timing,
}

/// Varies the nodes.
pub fn run(seed: u64) {
    let mut messages = Vec::new();
    let mut bytes = Vec::new();
    let mut busy = Vec::new();
    let mut spread = Vec::new();
    let mut known = Vec::new();
    let mut memory = Vec::new();
    for nodes in [6, 50, 200, 400, 800] {
        let before_bytes = resident_bytes();
        let mut fleet = Fleet::start(nodes, seed);
        known.push((nodes as f64, fleet.run_until_known() as f64));
        let size = nodes as f64;
        memory.push((
            size,
            per_node(resident_bytes().saturating_sub(before_bytes), nodes),
        ));
        fleet.traffic = Traffic::default();
        let seconds = 20;
        fleet.run_for(seconds * 1_000);
        let span = (seconds * nodes as u64) as f64;
        messages.push((size, fleet.traffic.messages as f64 / span));
        bytes.push((size, fleet.traffic.bytes as f64 / span));
        busy.push((size, fleet.traffic.busy_s * 1e6 / span));
        spread.push((size, fleet.spread_ms() as f64));
        eprintln!("{nodes} nodes done");
    }
    report("fleet.messages_sent", "nodes", "1/s per node", messages);
    report("fleet.bytes_sent", "nodes", "bytes/s per node", bytes);
    report("fleet.processor", "nodes", "us/s per node", busy);
    report(
        "fleet.config_spread",
        "nodes",
        "ms to the last node",
        spread,
    );
    report("fleet.all_known", "nodes", "ms from a common start", known);
    report("fleet.memory", "nodes", "bytes per node", memory);
}

fn per_node(bytes: u64, nodes: usize) -> f64 {
    bytes as f64 / nodes as f64
}

fn document(version: u64) -> ConfigDocument {
    let text = format!("{{\"version\":{version}}}{}", " ".repeat(DOCUMENT_BYTES));
    ConfigDocument {
        version,
        digest: key_digest_hex(&text),
        text: text.into(),
    }
}

fn vm(record: &MemberRecord) -> Vm {
    Vm {
        id: record.name.clone(),
        address: record.address,
        failure_domain: record.failure_domain.clone(),
        class: Name::from("entry"),
        role: VmRole::Entry,
        service: None,
        state: VmState::Live,
    }
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn number_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

impl Fleet {
    fn start(count: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let timing = Timing::default();
        let mut nodes = Vec::with_capacity(count);
        for number in 0..count {
            let me = MemberRecord {
                name: Name::from(format!("entry-{number:05}")),
                address: address(number),
                failure_domain: Name::from(format!("domain-{}", number % 29)),
                incarnation: 1_700_000_000_000 << 10,
                health: Health::Alive,
            };
            let seeds = (0..SEEDS_PER_NODE).map(|_| address(rng.random_range(0..count)));
            nodes.push(Node::new(me, seeds.collect(), timing, 0));
        }
        Self {
            vms: nodes.iter().map(|n| vm(n.members().me())).collect(),
            nodes,
            queue: BTreeMap::new(),
            now_ms: 0,
            traffic: Traffic::default(),
            rng,
            timing,
        }
    }

    /// Runs until every node knows every other, and the news of that has been sent; answers the
    /// time that the first took.
    fn run_until_known(&mut self) -> Millisecond {
        const SETTLE_MS: Millisecond = 30_000;
        let count = self.nodes.len();
        while self.nodes.iter().any(|n| n.members().alive_count() < count) {
            self.run_for(1_000);
        }
        let known_ms = self.now_ms;
        self.run_for(SETTLE_MS);
        known_ms
    }

    fn run_for(&mut self, time_ms: Millisecond) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Accepts a document at one node; answers the time until the last node has it.
    fn spread_ms(&mut self) -> Millisecond {
        let start_ms = self.now_ms;
        self.handle(0, Event::ConfigLearned(document(2)));
        while self.nodes.iter().any(|node| node.config().version() < 2) {
            self.step();
        }
        self.now_ms - start_ms
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let due = self.queue.remove(&self.now_ms).unwrap_or_default();
        for (from, action) in due {
            self.deliver(from, action);
        }
        for number in 0..self.nodes.len() {
            let phase_ms = (number as Millisecond * STEP_MS) % self.timing.tick_ms;
            if self.now_ms % self.timing.tick_ms == phase_ms {
                self.handle(number, Event::Tick);
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let started = Instant::now();
        let actions = self.nodes[number].handle(event, self.now_ms, &mut self.rng);
        self.traffic.busy_s += started.elapsed().as_secs_f64();
        self.enqueue(number, actions);
    }

    fn enqueue(&mut self, from: usize, actions: Vec<Action>) {
        let due = self.queue.entry(self.now_ms + DELAY_MS).or_default();
        for action in actions {
            due.push((from, action));
        }
    }

    fn count<T: Serialize>(&mut self, message: &T) {
        let text = serde_json::to_vec(message).map_or(0, |text| text.len());
        self.traffic.bytes += (text + ENVELOPE_BYTES / 2) as u64;
    }

    fn deliver(&mut self, from: usize, action: Action) {
        match action {
            Action::SendHeartbeat(target, heartbeat) => {
                let (CallTarget::Member(_, to) | CallTarget::Candidate(to)) = target;
                let to = number_of(to);
                self.traffic.messages += 1;
                self.count(&heartbeat);
                let started = Instant::now();
                let (answer, actions) =
                    self.nodes[to].answer_heartbeat(heartbeat, self.now_ms, &mut self.rng);
                self.traffic.busy_s += started.elapsed().as_secs_f64();
                self.enqueue(to, actions);
                self.count(&answer);
                self.handle(from, Event::HeartbeatAnswered(answer));
            }
            Action::SendPush(name, to, push) => {
                let to = number_of(to);
                self.traffic.messages += 1;
                self.count(&push);
                let (reply, actions) = self.nodes[to].answer_push(push, self.now_ms, &mut self.rng);
                self.enqueue(to, actions);
                self.count(&reply);
                self.handle(from, Event::PushAnswered(name, reply));
            }
            Action::SendSync(_, to, request, generation) => {
                let to = number_of(to);
                self.traffic.messages += 1;
                self.count(&request);
                let started = Instant::now();
                let reply = self.nodes[to].answer_sync(request, self.now_ms);
                self.traffic.busy_s += started.elapsed().as_secs_f64();
                self.count(&reply);
                self.handle(from, Event::SyncAnswered(reply, generation));
            }
            Action::ReadConfig(generation) => {
                self.handle(from, Event::ConfigRead(Some(document(1)), generation));
            }
            Action::ReadList(generation) => {
                let list = Event::ListRead(self.vms.clone(), generation);
                self.handle(from, list);
            }
            Action::ReadNotices(answered, generation) => {
                let notices = Event::NoticesRead {
                    answered,
                    leaving: Vec::new(),
                    generation,
                };
                self.handle(from, notices);
            }
            Action::Publish | Action::Report(_) => {}
        }
    }
}
