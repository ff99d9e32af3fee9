//! Simulation of six entry VMs, twenty backend servers and one poison request, with random events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::{Map, Name, Set};
use policy::suspect::{
    EntryRank, Loss, RequestDigest, SuspectCandidate, SuspectRequests, Treatment,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Method of detecting the poison request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recognition {
    /// No detection.
    None,
    /// Every request that was on a lost server is refused.
    FirstCrash,
    /// As `SecondCrash`; a request that was its entry VM's only one on the lost server is refused
    /// after the first crash.
    AloneAtOnce,
    /// A request is refused after a second crash.
    SecondCrash,
    /// As `SecondCrash`; suspects of one entry VM run on different servers.
    SecondCrashApart,
    /// As `SecondCrashApart`; each entry VM also uses its own share of the servers for its
    /// suspects. This is the method that [`SuspectRequests`] supports.
    SecondCrashOwnShare,
}

/// Counts of one simulated history or of several.
#[derive(Debug, Default)]
pub struct History {
    pub poison_attempts: u64,
    pub lost_to_poison: u64,
    pub most_lost_to_poison: u64,
    pub lost_otherwise: u64,
    pub other_requests: u64,
    pub on_lost_server: u64,
    pub refused_wrongly: u64,
    pub over_two_lost: u64,
}

impl History {
    pub fn add(&mut self, other: &Self) {
        self.poison_attempts += other.poison_attempts;
        self.lost_to_poison += other.lost_to_poison;
        self.most_lost_to_poison = self.most_lost_to_poison.max(other.lost_to_poison);
        self.lost_otherwise += other.lost_otherwise;
        self.other_requests += other.other_requests;
        self.on_lost_server += other.on_lost_server;
        self.refused_wrongly += other.refused_wrongly;
        self.over_two_lost += u64::from(other.lost_to_poison > 2);
    }
}

const VMS: usize = 6;
const SERVERS: usize = 20;
const START_MS: u64 = 1_000_000_000;
const LENGTH_MS: u64 = 120_000;
const RESTART_MS: u64 = 20_000;
const ATTEMPT_LIMIT: u32 = 4;
const POISON: usize = 0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: usize, vm: usize },
    End { request: usize, run: u64 },
    Crash { server: usize, run: u64 },
    Restart { server: usize },
    Gossip { from: usize, to: usize },
}

#[derive(Clone, Copy)]
struct Running {
    vm: usize,
    server: usize,
    run: u64,
    attempts: u32,
}

struct Simulation {
    rng: SmallRng,
    recognition: Recognition,
    events: BinaryHeap<(Reverse<u64>, Event)>,
    suspects: Vec<SuspectRequests>,
    alone: Set<usize>,
    up: [bool; SERVERS],
    running: Map<usize, Running>,
    refused: Set<usize>,
    runs: u64,
    history: History,
}

fn digest(request: usize) -> RequestDigest {
    RequestDigest::of("coop", "drafting", &request.to_be_bytes())
}

/// Simulates one history.
pub fn play(recognition: Recognition, seed: u64) -> History {
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(seed),
        recognition,
        events: BinaryHeap::new(),
        suspects: (0..VMS).map(|_| SuspectRequests::default()).collect(),
        alone: Set::default(),
        up: [true; SERVERS],
        running: Map::default(),
        refused: Set::default(),
        runs: 0,
        history: History::default(),
    };
    simulation.schedule();
    while let Some((Reverse(now_ms), event)) = simulation.events.pop() {
        simulation.handle(now_ms, event);
    }
    simulation.history
}

impl Simulation {
    fn schedule(&mut self) {
        let mut at_ms = START_MS;
        let gap_ms = self.rng.random_range(20..400);
        let mut request = POISON + 1;
        while at_ms < START_MS + LENGTH_MS {
            at_ms += self.rng.random_range(0..2 * gap_ms);
            let vm = self.rng.random_range(0..VMS);
            self.schedule_at(at_ms, Event::Arrive { request, vm });
            request += 1;
        }
        self.history.other_requests = request as u64 - 1;
        let vm = self.rng.random_range(0..VMS);
        let poison_ms = START_MS + self.rng.random_range(10_000..30_000);
        let request = POISON;
        self.schedule_at(poison_ms, Event::Arrive { request, vm });
        for _ in 0..2 {
            let crash_ms = START_MS + self.rng.random_range(0..LENGTH_MS);
            let server = self.rng.random_range(0..SERVERS);
            self.schedule_at(crash_ms, Event::Crash { server, run: 0 });
        }
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.events.push((Reverse(at_ms), event));
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrive { request, vm } => {
                self.history.poison_attempts += u64::from(request == POISON);
                if request == POISON && now_ms < START_MS + LENGTH_MS {
                    let again_ms = now_ms + self.rng.random_range(1_000..5_000);
                    let vm = self.rng.random_range(0..VMS);
                    self.schedule_at(again_ms, Event::Arrive { request, vm });
                }
                if !self.running.contains_key(&request) {
                    self.send(now_ms, request, vm, 1);
                }
            }
            Event::End { request, run } => self.end(now_ms, request, run),
            Event::Crash { server, run } => self.crash(now_ms, server, run),
            Event::Restart { server } => self.up[server] = true,
            Event::Gossip { from, to } => {
                let records = self.suspects[from].export(10_000, now_ms);
                self.suspects[to].merge(&records, now_ms);
            }
        }
    }

    fn treatment(&self, now_ms: u64, request: usize, vm: usize) -> Treatment {
        if self.recognition == Recognition::None {
            return Treatment::Normal;
        }
        if self.recognition == Recognition::AloneAtOnce && self.alone.contains(&request) {
            return Treatment::Refuse;
        }
        match (
            self.recognition,
            self.suspects[vm].treatment(digest(request), now_ms),
        ) {
            (Recognition::FirstCrash, Treatment::Apart) => Treatment::Refuse,
            (Recognition::SecondCrash, Treatment::Apart) => Treatment::Normal,
            (_, treatment) => treatment,
        }
    }

    fn send(&mut self, now_ms: u64, request: usize, vm: usize, attempts: u32) {
        let treatment = self.treatment(now_ms, request, vm);
        if treatment == Treatment::Refuse {
            if request != POISON && self.refused.insert(request) {
                self.history.refused_wrongly += 1;
            }
            return;
        }
        if attempts > ATTEMPT_LIMIT {
            return;
        }
        let Some(server) = self.choose(now_ms, vm, treatment) else {
            return;
        };
        self.runs += 1;
        let run = self.runs;
        let running = Running {
            vm,
            server,
            run,
            attempts,
        };
        self.running.insert(request, running);
        let event = match request {
            POISON => Event::Crash { server, run },
            _ => Event::End { request, run },
        };
        let length_ms = match request {
            POISON => self.rng.random_range(50..500),
            _ => self.rng.random_range(500..15_000),
        };
        self.schedule_at(now_ms + length_ms, event);
    }

    fn choose(&mut self, now_ms: u64, vm: usize, treatment: Treatment) -> Option<usize> {
        let up: Vec<usize> = (0..SERVERS).filter(|server| self.up[*server]).collect();
        let fit = match treatment {
            Treatment::Apart => self.apart(now_ms, vm, &up),
            Treatment::Normal | Treatment::Refuse => up,
        };
        let random = self.rng.random_range(0..fit.len().max(1));
        fit.get(random).copied()
    }

    fn apart(&self, now_ms: u64, vm: usize, up: &[usize]) -> Vec<usize> {
        let candidates: Vec<SuspectCandidate> = up
            .iter()
            .map(|server| SuspectCandidate {
                server: server.to_string().into(),
                digests: self.digests(vm, *server),
            })
            .collect();
        let share = match self.recognition {
            Recognition::SecondCrashOwnShare => EntryRank {
                rank: vm,
                entries: VMS,
            },
            _ => EntryRank {
                rank: 0,
                entries: 1,
            },
        };
        let names = self.suspects[vm].servers_for_suspect(&candidates, share, now_ms);
        names.iter().map(|name| name.parse().unwrap()).collect()
    }

    fn digests(&self, vm: usize, server: usize) -> Vec<RequestDigest> {
        let on_server = self.running.iter();
        on_server
            .filter(|(_, running)| running.vm == vm && running.server == server)
            .map(|(request, _)| digest(*request))
            .collect()
    }

    fn end(&mut self, now_ms: u64, request: usize, run: u64) {
        let Some(running) = self.running.get(&request).copied() else {
            return;
        };
        if running.run != run {
            return;
        }
        self.running.remove(&request);
        self.suspects[running.vm].completed(digest(request), now_ms);
    }

    fn crash(&mut self, now_ms: u64, server: usize, run: u64) {
        let by_poison = run > 0;
        let stale = self.running.get(&POISON).is_none_or(|p| p.run != run);
        if !self.up[server] || (by_poison && stale) {
            return;
        }
        match by_poison {
            true => self.history.lost_to_poison += 1,
            false => self.history.lost_otherwise += 1,
        }
        self.up[server] = false;
        self.schedule_at(now_ms + RESTART_MS, Event::Restart { server });
        let name: Name = server.to_string().into();
        let domain: Name = (server % 3).to_string().into();
        let mut lost = Vec::new();
        for (request, running) in &self.running {
            if running.server == server {
                lost.push((*request, *running));
            }
        }
        lost.sort_unstable_by_key(|(request, _)| *request);
        for vm in 0..VMS {
            let on_server = self.digests(vm, server);
            if let [_] = on_server[..] {
                let alone = lost.iter().find(|(_, running)| running.vm == vm);
                self.alone.extend(alone.map(|(request, _)| *request));
            }
            self.suspects[vm].server_lost(&name, &domain, Loss::Crash, &on_server, now_ms);
            if self.recognition == Recognition::None {
                continue;
            }
            for to in (0..VMS).filter(|to| *to != vm) {
                let delay_ms = self.rng.random_range(20..500);
                self.schedule_at(now_ms + delay_ms, Event::Gossip { from: vm, to });
            }
        }
        for (request, _) in &lost {
            self.history.on_lost_server += u64::from(*request != POISON);
            self.running.remove(request);
        }
        for (request, running) in lost {
            self.send(now_ms, request, running.vm, running.attempts + 1);
        }
    }
}
