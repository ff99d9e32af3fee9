//! How long a change takes from the first node to the last, by the decisions of `decide::source` over
//! simulated links: small fleets and large ones, thin links, killed, frozen and cut nodes.

use base::Name;
use base::units::Millisecond;
use gateway::decide::source::{
    Contact, Place, PullOutcome, Source, Standing, Step, Transfer, may_promise, next_step,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const STEP_MS: Millisecond = 10;

/// Period of heartbeats to a group of nodes, and of pulses.
const ROUND_MS: Millisecond = 120;

/// Nodes in one group of whole heartbeats.
const GROUP_NODES: usize = 12;

/// Pulses that carry a change to listening nodes.
const CHANGE_PULSES: u64 = 3;

/// Silence after which a pull has failed.
const STALL_MS: Millisecond = 600;

/// Size of a directory with 1,400 routes and more, as older builds send it.
const ROW_BYTES: usize = 310_000;

/// The same as nodes send it to each other.
const PACKED_BYTES: usize = 26_000;

const BYTES_PER_MBIT_MS: f64 = 125.0;

/// Nodes that a busy one names.
const REFERRED_NODES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Both followers of a failure domain are killed as the change comes.
    FollowersKilled,
    /// All links are thin, those of the followers too.
    ThinLinks,
    /// A tenth of the nodes stands still, among them one follower.
    Frozen,
    /// A third of all datagrams is lost.
    Loss,
    /// One failure domain is cut off from the others, but not from the store.
    Cut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Sound,
    Killed,
    Frozen,
}

struct Pull {
    source: usize,
    began_ms: Millisecond,
    received: f64,
    last_byte_ms: Millisecond,
}

struct Node {
    name: Name,
    domain: usize,
    link_mbps: f64,
    health: Health,
    in_force_ms: Option<Millisecond>,
    heard_ms: Option<Millisecond>,
    sources: Vec<usize>,
    ended: Vec<Option<(PullOutcome, Millisecond)>>,
    pulls: Vec<Pull>,
    receivers: Vec<usize>,
    store_asked_ms: Option<Millisecond>,
    /// Bytes of the store's answer that are still to come.
    store_left: Option<f64>,
}

struct Fleet {
    nodes: Vec<Node>,
    domains: usize,
    bound_ms: Millisecond,
    trouble: Trouble,
    row_bytes: usize,
    rng: SmallRng,
    now_ms: Millisecond,
    far_bytes: f64,
    store_calls: usize,
}

impl Fleet {
    fn new(count: usize, domains: usize, bound_ms: Millisecond, trouble: Trouble) -> Self {
        let node = |n: usize| {
            let position = n / domains;
            let is_follower = position < 2;
            let wide_mbps = if count <= GROUP_NODES { 1_000.0 } else { 200.0 };
            let health = match trouble {
                Trouble::FollowersKilled if n % domains == 1 && is_follower => Health::Killed,
                Trouble::Frozen if n > 0 && n % 10 == 1 => Health::Frozen,
                _ => Health::Sound,
            };
            Node {
                name: format!("n{n:03}").into(),
                domain: n % domains,
                link_mbps: match position {
                    _ if trouble == Trouble::ThinLinks => 10.0,
                    _ if is_follower || count <= GROUP_NODES => wide_mbps,
                    p if p % 4 == 0 => 25.0,
                    _ => 10.0,
                },
                health,
                in_force_ms: (n == 0).then_some(0),
                heard_ms: None,
                sources: Vec::new(),
                ended: vec![None; count],
                pulls: Vec::new(),
                receivers: Vec::new(),
                store_asked_ms: None,
                store_left: None,
            }
        };
        Self {
            nodes: (0..count).map(node).collect(),
            domains,
            bound_ms,
            trouble,
            row_bytes: match trouble {
                Trouble::ThinLinks => PACKED_BYTES,
                _ => ROW_BYTES,
            },
            rng: SmallRng::seed_from_u64(7),
            now_ms: 0,
            far_bytes: 0.0,
            store_calls: 0,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = |n: usize| self.nodes[n].domain == self.domains - 1;
        self.trouble != Trouble::Cut || is_cut(from) == is_cut(to)
    }

    /// Sends the heartbeats and pulses of the nodes that have the change.
    fn tell(&mut self) {
        let count = self.nodes.len();
        let groups = count.div_ceil(GROUP_NODES);
        for from in 0..count {
            let Some(since_ms) = self.nodes[from].in_force_ms else {
                continue;
            };
            if self.nodes[from].health != Health::Sound {
                continue;
            }
            let round = (self.now_ms / ROUND_MS) as usize + from;
            let rounds = (self.now_ms - since_ms) / ROUND_MS;
            let domains = self.domains;
            let is_follower = |n: usize| n / domains < 2;
            for to in 0..count {
                let is_whole = to / GROUP_NODES == round % groups;
                let is_near = to % self.domains == from % self.domains;
                let has_pulse = is_follower(to)
                    || is_near && (rounds < CHANGE_PULSES || rounds.is_multiple_of(CHANGE_PULSES));
                let is_lost = self.trouble == Trouble::Loss && self.rng.random_bool(0.33);
                let is_told = is_whole || is_follower(from) && has_pulse;
                if to != from && is_told && !is_lost && self.reaches(from, to) {
                    self.hear(to, from);
                }
            }
        }
    }

    fn hear(&mut self, node: usize, source: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[node];
        if node.in_force_ms.is_some() || node.health != Health::Sound {
            return;
        }
        node.heard_ms.get_or_insert(now_ms);
        if !node.sources.contains(&source) {
            node.sources.push(source);
        }
    }

    fn decide(&mut self, n: usize) {
        let node = &self.nodes[n];
        let (Some(heard_ms), None, Health::Sound) = (node.heard_ms, node.in_force_ms, node.health)
        else {
            return;
        };
        let neighbours = self.nodes.len() / self.domains - 1;
        let standing = Standing {
            behind_ms: self.now_ms - heard_ms,
            bound_ms: self.bound_ms,
            position: n / self.domains,
            neighbours,
        };
        let since_asked_ms = node.store_asked_ms.map_or(u64::MAX, |ms| self.now_ms - ms);
        if standing.asks_store(since_asked_ms) {
            self.store_calls += 1;
            let node = &mut self.nodes[n];
            node.store_asked_ms = Some(self.now_ms);
            node.store_left.get_or_insert(self.row_bytes as f64);
        }
        let node = &self.nodes[n];
        let contact = |s: usize| match node.ended[s] {
            _ if node.pulls.iter().any(|p| p.source == s) => Contact::Pulling,
            None => Contact::None,
            Some((outcome, at_ms)) => Contact::Ended {
                outcome,
                ago_ms: self.now_ms - at_ms,
            },
        };
        let source = |s: &usize| Source {
            name: &self.nodes[*s].name,
            place: match self.nodes[*s].domain == node.domain {
                true => Place::SameDomain,
                false => Place::OtherDomain,
            },
            link_mbps: self.nodes[*s].link_mbps,
            contact: contact(*s),
        };
        let sources: Vec<Source<'_>> = node.sources.iter().map(source).collect();
        let transfer = |p: &Pull| Transfer {
            since_ms: self.now_ms - p.began_ms,
            received_bytes: p.received as usize,
            total_bytes: (p.received > 0.0).then_some(self.row_bytes),
        };
        let under_way: Vec<Transfer> = node.pulls.iter().map(transfer).collect();
        match next_step(&node.name, standing, &sources, &under_way) {
            Step::Wait => {}
            Step::Ask(index) => self.ask(n, self.nodes[n].sources[index]),
            Step::Replace { ends, source } => {
                self.nodes[n].pulls.remove(ends);
                self.ask(n, self.nodes[n].sources[source]);
            }
        }
    }

    fn ask(&mut self, n: usize, s: usize) {
        let promised = self.nodes.iter().flat_map(|node| &node.pulls);
        let promised = promised.filter(|p| p.source == s).count() * self.row_bytes;
        let source = &self.nodes[s];
        let outcome = match source.health {
            Health::Killed => Some(PullOutcome::Failed),
            Health::Frozen => None,
            Health::Sound if may_promise(source.link_mbps, promised, self.row_bytes) => None,
            Health::Sound => Some(PullOutcome::Busy),
        };
        match outcome {
            None => {
                let (source, now_ms) = (s, self.now_ms);
                self.nodes[n].pulls.push(Pull {
                    source,
                    began_ms: now_ms,
                    received: 0.0,
                    last_byte_ms: now_ms,
                });
            }
            Some(outcome) => {
                self.nodes[n].ended[s] = Some((outcome, self.now_ms));
                if outcome == PullOutcome::Busy {
                    let receivers = self.nodes[s].receivers.clone();
                    for receiver in receivers.iter().rev().take(REFERRED_NODES) {
                        if *receiver != n && self.reaches(*receiver, n) {
                            self.hear(n, *receiver);
                        }
                    }
                }
            }
        }
    }

    /// Moves the bytes of one step. Each link is shared by the pulls that use it.
    fn transfer(&mut self) {
        let count = self.nodes.len();
        let mut sends = vec![0_usize; count];
        for pull in self.nodes.iter().flat_map(|node| &node.pulls) {
            sends[pull.source] += 1;
        }
        for n in 0..count {
            let takes = self.nodes[n].pulls.len() + usize::from(self.nodes[n].store_left.is_some());
            let own_mbps = self.nodes[n].link_mbps / takes.max(1) as f64;
            let bytes = |mbps: f64| mbps * BYTES_PER_MBIT_MS * STEP_MS as f64;
            let mut done: Option<usize> = None;
            for index in 0..self.nodes[n].pulls.len() {
                let source = self.nodes[n].pulls[index].source;
                if self.nodes[source].health != Health::Sound {
                    continue;
                }
                let share_mbps = self.nodes[source].link_mbps / sends[source] as f64;
                let moved = bytes(own_mbps.min(share_mbps));
                if self.nodes[source].domain != self.nodes[n].domain {
                    self.far_bytes += moved;
                }
                let (now_ms, pull) = (self.now_ms, &mut self.nodes[n].pulls[index]);
                pull.received += moved;
                pull.last_byte_ms = now_ms;
                if pull.received >= self.row_bytes as f64 {
                    done = Some(source);
                }
            }
            if let Some(left) = &mut self.nodes[n].store_left {
                *left -= bytes(own_mbps);
                if *left <= 0.0 {
                    done = done.or(Some(n));
                }
            }
            self.fail_stalled(n);
            if let Some(source) = done {
                let now_ms = self.now_ms;
                let node = &mut self.nodes[n];
                node.in_force_ms = Some(now_ms);
                node.pulls.clear();
                node.store_left = None;
                if source != n {
                    self.nodes[source].receivers.push(n);
                }
            }
        }
    }

    fn fail_stalled(&mut self, n: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[n];
        for pull in &node.pulls {
            if now_ms - pull.last_byte_ms >= STALL_MS {
                node.ended[pull.source] = Some((PullOutcome::Failed, now_ms));
            }
        }
        node.pulls.retain(|p| now_ms - p.last_byte_ms < STALL_MS);
    }

    /// Runs until the bound. Returns when the last sound node had the change.
    fn run(&mut self) -> Option<Millisecond> {
        while self.now_ms < self.bound_ms {
            if self.now_ms.is_multiple_of(ROUND_MS) {
                self.tell();
            }
            for n in 0..self.nodes.len() {
                self.decide(n);
            }
            self.transfer();
            self.now_ms += STEP_MS;
        }
        // A domain that hears of no change reads the store when its copies are old.
        let is_told = |n: &&Node| n.health == Health::Sound && n.heard_ms.is_some();
        let times = self.nodes.iter().filter(is_told).map(|n| n.in_force_ms);
        times.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// The troubles in which some sound node has the change later than half of the bound.
fn late(
    nodes: usize,
    domains: usize,
    bound_ms: Millisecond,
    troubles: &[Trouble],
) -> Vec<(Trouble, Option<Millisecond>)> {
    let mut late = Vec::new();
    for trouble in troubles {
        let mut fleet = Fleet::new(nodes, domains, bound_ms, *trouble);
        let last_ms = fleet.run();
        let (far_kb, calls) = (fleet.far_bytes as u64 / 1_000, fleet.store_calls);
        println!("{nodes} nodes, {trouble:?}: last {last_ms:?} ms, {far_kb} kB far, {calls} calls");
        if last_ms.is_none_or(|ms| ms > bound_ms / 2) {
            late.push((*trouble, last_ms));
        }
    }
    late
}

#[test_case(6, 3, 2_000; "of 6 nodes")]
#[test_case(66, 3, 3_000; "of 66 nodes")]
#[test_case(295, 5, 4_000; "of 295 nodes")]
fn a_change_is_in_force_at_each_sound_node_within_half_of_the_bound(
    nodes: usize,
    domains: usize,
    bound_ms: Millisecond,
) {
    let troubles = [
        Trouble::None,
        Trouble::FollowersKilled,
        Trouble::Frozen,
        Trouble::Loss,
        Trouble::Cut,
    ];
    assert_eq!(late(nodes, domains, bound_ms, &troubles), Vec::new());
}

#[test_case(6, 3, 2_000; "of 6 nodes")]
#[test_case(66, 3, 3_000; "of 66 nodes")]
#[test_case(295, 5, 4_000; "of 295 nodes")]
fn a_change_over_thin_links_only_is_in_force_within_half_of_the_bound(
    nodes: usize,
    domains: usize,
    bound_ms: Millisecond,
) {
    let troubles = [Trouble::ThinLinks];
    assert_eq!(late(nodes, domains, bound_ms, &troubles), Vec::new());
}
