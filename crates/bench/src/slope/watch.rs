//! Time of one heartbeat round against the backend servers in the VM list.

use std::net::SocketAddr;

use base::Name;
use fleet::freshness::SyncGeneration;
use fleet::node::{Action, Event, Node};
use fleet::timing::Timing;
use fleet::wire::{FreshnessLevel, Health, Heartbeat, MemberRecord, SetDigest};
use outside::{Vm, VmRole, VmState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{report, time_us};

const DEFAULT_NODES: usize = 400;
const DEFAULT_BACKENDS: usize = 1_250;

/// Varies backend servers, then nodes.
pub fn run(seed: u64) {
    let mut points = Vec::new();
    for backends in [20, 400, 1_250, 2_500] {
        points.push((backends as f64, round_us(backends, DEFAULT_NODES, seed)));
    }
    report("watch.round", "backend servers", "us", points);
    let mut points = Vec::new();
    for nodes in [6, 100, 400, 800] {
        points.push((nodes as f64, round_us(DEFAULT_BACKENDS, nodes, seed)));
    }
    report("watch.round", "nodes", "us", points);
}

fn round_us(backends: usize, nodes: usize, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let timing = Timing::default();
    let mut node = Node::new(record(0), Vec::new(), timing, 0);
    for number in 1..nodes {
        let heartbeat = Heartbeat {
            from: record(number),
            standing: FreshnessLevel::Fresh,
            config_version: 0,
            leaving: SetDigest::default(),
            members: Vec::new(),
            about_you: None,
            demand: Vec::new(),
            fingerprints: Vec::new(),
        };
        node.answer_heartbeat(heartbeat, 0, &mut rng);
    }
    let generation = first_generation(&mut node, &mut rng);
    let vms = (0..backends).map(backend).collect();
    node.handle(Event::ListRead(vms, generation), 0, &mut rng);
    let mut now_ms = 0;
    time_us(2, || {
        now_ms += timing.heartbeat_ms;
        node.handle(Event::Tick, now_ms, &mut rng);
    })
}

fn first_generation(node: &mut Node, rng: &mut SmallRng) -> SyncGeneration {
    for action in node.handle(Event::Tick, 0, rng) {
        if let Action::ReadList(generation) = action {
            return generation;
        }
    }
    node.freshness().sync_generation()
}

fn record(number: usize) -> MemberRecord {
    MemberRecord {
        name: Name::from(format!("entry-{number:05}")),
        address: SocketAddr::from(([10, 0, (number / 256) as u8, number as u8], 7000)),
        failure_domain: Name::from("domain-0"),
        incarnation: 1,
        health: Health::Alive,
    }
}

fn backend(number: usize) -> Vm {
    Vm {
        id: Name::from(format!("runner-{number:05}")),
        role: VmRole::Backend,
        state: VmState::Live,
        address: SocketAddr::from(([10, 1, (number / 256) as u8, number as u8], 8000)),
        failure_domain: Name::from("domain-0"),
        class: Name::from("class-0"),
        service: Some(Name::from("drafting")),
    }
}
