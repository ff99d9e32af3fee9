//! Choice of a backend server by the predicted time to first byte.

use std::hash::{Hash, Hasher};
use std::rc::Rc;

use base::Name;
use base::units::{Millisecond, TokenCount};

use super::prompt::Prompt;
use super::speed::{Basis, Speed, Work};
use crate::belief::Server;
use crate::belief::registry::{Load, LoadSource};

/// Requests that may wait at a model engine beyond its slots, as a share of the slots. Each
/// additional one slows down those that run.
pub const ENGINE_QUEUE_SHARE: f64 = 0.25;

/// Cost of each request that runs at a server, as a share of the predicted time.
const SPREAD_SHARE: f64 = 0.02;

/// The same for the requests that fill all slots of a server. It counts for servers with few slots,
/// which other nodes fill before this node hears of it.
const FULL_SPREAD_SHARE: f64 = 0.5;

/// Share of a brittle server's slots that all nodes together use, as far as a node knows.
const BRITTLE_FILL_SHARE: f64 = 0.9;

/// The properties of one server that decide whether it is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub load: Load,
    /// What the load is known from.
    pub load_source: LoadSource,
    /// Requests of this node that run on the server.
    pub own_running: u32,
    /// Requests that the server runs at once for this node.
    pub slots: u32,
    /// How many times as long as its service the server takes, without its pace.
    pub factor: f64,
    /// How much longer than usual work takes on the server at this moment, by its load report.
    pub pace: f64,
    /// Figures of the service's servers, adjusted to this one.
    pub speed: Speed,
    /// Tokens of the prompt that the server has cached, as far as this node knows.
    pub known_tokens: TokenCount,
    /// Whether the server is the home of the prompt's shared prefix.
    pub home: PrefixHome,
    pub locality: Locality,
    pub health: Health,
    /// Time until the server may be sent a request.
    pub opens_in_ms: Millisecond,
}

/// Which server is the home of a prompt's shared prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixHome {
    ThisServer,
    OtherServer,
}

/// Location of a server relative to the node that chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    SameDomain,
    OtherDomain,
}

impl Locality {
    /// Location of a server in `domain` for a node in `own`.
    pub fn of(domain: &Name, own: &Name) -> Self {
        match domain == own {
            true => Self::SameDomain,
            false => Self::OtherDomain,
        }
    }
}

/// Whether a server failed a short while ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Healthy,
    /// Such a server is used only if no healthy one has room.
    RecentlyFailed,
}

/// What a request demands of a server.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Tokens to read if nothing is cached.
    pub read_tokens: TokenCount,
    /// Tokens of the prefix that other requests share.
    pub shared_tokens: TokenCount,
    /// Requests that may wait at a server beyond its slots, as a share of the slots.
    pub queue_share: f64,
}

impl Demand {
    pub fn of(prompt: &Prompt, queue_share: f64) -> Self {
        let shared = prompt.parts.len().saturating_sub(1).max(1);
        Self {
            read_tokens: prompt.read_tokens(),
            shared_tokens: prompt.parts.iter().take(shared).map(|p| p.tokens).sum(),
            queue_share,
        }
    }
}

/// What a node uses to compare servers for one request.
#[derive(Clone, Debug)]
pub struct PlacementView<'a> {
    pub prompt: &'a Prompt,
    /// Home servers of the prompt's shared prefix: one in each failure domain, or one of all.
    pub homes: Vec<Name>,
    /// Failure domain of the node.
    pub failure_domain: &'a Name,
    /// Figures of the service's servers.
    pub speed: Speed,
    /// Age of the loads that other nodes put on the servers.
    pub others_age_ms: Millisecond,
    /// Current time on the node's clock.
    pub now_ms: Millisecond,
}

impl PlacementView<'_> {
    /// Describes a server that runs `slots` requests at once for this node and may be sent one
    /// after `opens_in_ms`.
    pub fn candidate(&self, server: &Server, slots: u32, opens_in_ms: Millisecond) -> Candidate {
        let record = &server.record;
        let known = server.current_load(self.now_ms, self.others_age_ms);
        let factor = server.factor.borrow().factor(self.now_ms);
        Candidate {
            load: known.load,
            load_source: known.source,
            own_running: server.running.get(),
            slots,
            factor,
            pace: known.pace,
            speed: self.speed.times(known.pace * factor),
            known_tokens: server.cache.borrow().cached_tokens(self.prompt),
            home: match self.homes.contains(&record.id) {
                true => PrefixHome::ThisServer,
                false => PrefixHome::OtherServer,
            },
            locality: Locality::of(&record.failure_domain, self.failure_domain),
            health: match server.is_avoided(self.now_ms) {
                true => Health::RecentlyFailed,
                false => Health::Healthy,
            },
            opens_in_ms,
        }
    }

    /// What the time of the choice was predicted from.
    pub fn basis(&self, server: &Server, candidate: &Candidate, choice: &Choice) -> Basis {
        let Candidate { factor, pace, .. } = *candidate;
        let without_report_ms = match candidate.load_source {
            LoadSource::Counted => None,
            LoadSource::Reported => {
                let running = server.load().running;
                let work = Work {
                    running,
                    queued: (running + 1).saturating_sub(candidate.slots),
                    ..choice.work
                };
                Some(self.speed.times(factor).first_byte_ms(&work))
            }
        };
        Basis {
            work: choice.work,
            speed: candidate.speed,
            factor: factor * pace,
            pace,
            without_report_ms,
        }
    }
}

/// The server to which all nodes send a prompt's shared prefix if the domains are not compared.
pub fn prefix_home(prompt: &Prompt, servers: &[Rc<Server>]) -> Option<Name> {
    let chain = prompt.shared_chain()?;
    let highest = servers.iter().max_by_key(|s| home_score(chain, s))?;
    Some(highest.record.id.clone())
}

fn home_score(chain: u64, server: &Server) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    (chain, &*server.record.id).hash(&mut hasher);
    // The low bits of this hasher are weak.
    hasher
        .finish()
        .rotate_left(26)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// The servers to which nodes send a prompt's shared prefix, chosen by rendezvous hashing: one in
/// each failure domain. Each domain reads the prefix once, so that no request leaves its domain for a
/// cached prefix.
pub fn prefix_homes(prompt: &Prompt, servers: &[Rc<Server>]) -> Vec<Name> {
    let Some(chain) = prompt.shared_chain() else {
        return Vec::new();
    };
    let mut homes: Vec<(u64, &Rc<Server>)> = Vec::new();
    for server in servers {
        let of_domain = |home: &&mut (u64, &Rc<Server>)| {
            home.1.record.failure_domain == server.record.failure_domain
        };
        let score = home_score(chain, server);
        match homes.iter_mut().find(of_domain) {
            Some(home) if home.0 >= score => {}
            Some(home) => *home = (score, server),
            None => homes.push((score, server)),
        }
    }
    homes
        .iter()
        .map(|(_, home)| home.record.id.clone())
        .collect()
}

/// The servers that have not failed this request yet, or all servers if each one has.
pub fn untried(servers: Vec<Rc<Server>>, failed: &[Name]) -> Vec<Rc<Server>> {
    let untried = servers.iter().filter(|s| !failed.contains(&s.record.id));
    let untried: Vec<Rc<Server>> = untried.cloned().collect();
    match untried.is_empty() {
        true => servers,
        false => untried,
    }
}

/// Slots that count at a brittle server: it may let no request wait, and other nodes send it requests
/// that this node has not heard of yet. With the queue that is allowed on top, no more than
/// `BRITTLE_FILL_SHARE` of its real slots are used.
pub fn brittle_slots(slots: u32, queue_share: f64) -> u32 {
    let used = f64::from(slots) * BRITTLE_FILL_SHARE / (1.0 + queue_share);
    (used as u32).max(1)
}

/// The chosen server and its predicted times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Position among the candidates.
    pub index: usize,
    /// Predicted time to first byte, including the delays below.
    pub first_byte_ms: Millisecond,
    /// Time until the server may be sent the request.
    pub opens_in_ms: Millisecond,
    /// Time that the work of other requests takes first.
    pub wait_ms: Millisecond,
    /// Tokens of the prompt that the server must read.
    pub tokens_to_read: TokenCount,
    /// Work from which the time was predicted.
    pub work: Work,
}

/// Whether the chosen server can answer before the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    InTime,
    /// The server cannot, so that the request is better refused at once.
    TooLate,
}

impl Choice {
    /// Compares the predicted time to first byte with the time left until the deadline.
    pub fn timeliness(&self, left_ms: Millisecond) -> Timeliness {
        match self.first_byte_ms < left_ms {
            true => Timeliness::InTime,
            false => Timeliness::TooLate,
        }
    }
}

/// Indices of the servers that have room: the healthy ones, or the recently failed ones if no
/// healthy one has room.
pub fn eligible(demand: &Demand, candidates: &[Candidate]) -> Vec<usize> {
    let of = |health: Health| -> Vec<usize> {
        let indexed = candidates.iter().enumerate();
        let eligible = indexed.filter(|(_, c)| c.health == health && !is_full(demand, c));
        eligible.map(|(index, _)| index).collect()
    };
    let healthy = of(Health::Healthy);
    match healthy.is_empty() {
        true => of(Health::RecentlyFailed),
        false => healthy,
    }
}

/// Predicts the times for one server. The first value is its cost in milliseconds for the
/// comparison with other servers of its failure domain.
pub fn predict(demand: &Demand, candidates: &[Candidate], index: usize) -> (f64, Choice) {
    let candidate = &candidates[index];
    let work = work(demand, candidate);
    let served_ms = candidate.speed.first_byte_ms(&work);
    let wait_ms = served_ms - candidate.speed.first_byte_ms(&work.alone());
    let first_byte_ms = served_ms + candidate.opens_in_ms as f64;
    let choice = Choice {
        index,
        first_byte_ms: first_byte_ms as Millisecond,
        opens_in_ms: candidate.opens_in_ms,
        wait_ms: wait_ms.max(0.0) as Millisecond,
        tokens_to_read: candidate.speed.tokens_to_read(&work),
        work,
    };
    // The prediction hardly rises with the running requests, and nodes hear of each other's late: without
    // this, all of them would choose the same server.
    let spread_share = SPREAD_SHARE.max(FULL_SPREAD_SHARE / f64::from(candidate.slots.max(1)));
    let spread_ms = spread_share * f64::from(candidate.load.running) * served_ms;
    (first_byte_ms + spread_ms, choice)
}

/// Whether all slots and queue places of a server are taken.
fn is_full(demand: &Demand, candidate: &Candidate) -> bool {
    let queue = (f64::from(candidate.slots) * demand.queue_share).ceil() as u32;
    candidate.load.running >= candidate.slots + queue
}

fn work(demand: &Demand, candidate: &Candidate) -> Work {
    let load = candidate.load;
    let unread = demand.read_tokens.saturating_sub(candidate.known_tokens);
    let home_tokens = match candidate.home {
        PrefixHome::ThisServer => demand.shared_tokens.saturating_sub(candidate.known_tokens),
        PrefixHome::OtherServer => 0,
    };
    let home_tokens = home_tokens.min(unread);
    Work {
        own_tokens: unread - home_tokens,
        home_tokens,
        tokens_ahead: load.waiting_tokens,
        running: load.running,
        queued: (load.running + 1).saturating_sub(candidate.slots),
    }
}
