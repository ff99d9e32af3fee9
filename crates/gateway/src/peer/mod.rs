//! The other nodes: heartbeats several times a second, and data pulled from them over HTTP.
//!
//! No consensus is needed. Each node repeats its whole state in every full heartbeat, so a lost
//! datagram only delays the others until the next one.

pub mod catch_up;
pub mod exchange;
pub mod fault_pulse;
pub mod message;
pub mod pack;
pub mod pull;
pub mod pulse;
pub mod role;
pub mod serve;
pub mod stream_message;
pub mod streams;

use std::net::SocketAddr;

use base::units::Millisecond;
use base::{Map, Name, Set};

use crate::decide::reach::Reach;
use crate::decide::store_poll::PollRank;
use crate::decide::stream_nodes::Candidate;
use crate::settings::Settings;
use message::{HeartbeatContent, NodeHeartbeat, Tenure};
use policy::suspect::EntryRank;
use role::{DrainState, OwnCopies, PeerSummary, Presence, Role, period_ms, rank, role};

/// A heartbeat is current for this time, or for three of the sender's periods if those are longer.
const FRESH_MS: Millisecond = 1_000;

/// Silence for this many of a node's heartbeat periods means that its datagrams were lost.
const SILENT_PERIODS: f64 = 2.5;

/// A new node has heard all others after this time, or after two of their periods if those are
/// longer.
const DISCOVERY_MS: Millisecond = 1_500;

/// Most other nodes that are kept. The largest planned fleet has 3,200 nodes; beyond this limit,
/// heartbeats of further nodes are ignored.
pub const NODES_LIMIT: usize = 4_096;

/// A node has ended after this time without a heartbeat, if most of the others are heard.
pub const NODE_EXPIRY_MS: Millisecond = 15_000;

/// How long an estimate of a peer's clock is kept; longer than a process may be suspended.
const EPOCH_RETENTION_MS: Millisecond = 30_000;

/// Another node during one life (one run of its process).
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address that the node's heartbeats come from, and where it answers pulls.
    pub address: SocketAddr,
    /// The last heartbeat.
    pub heartbeat: NodeHeartbeat,
    /// Arrival time of the last heartbeat, on this process's clock.
    pub heard_ms: Millisecond,
    /// Time between the pulses that the node sends here, if it sends any.
    pulse_ms: Option<Millisecond>,
    /// Offset of the node's calendar clock.
    epoch: Epoch,
    /// Offset of the node's process clock, unless its build sends none.
    process_epoch: Option<Epoch>,
}

/// Estimate of a node's clock minus this process's clock. Transit time only makes a sample smaller,
/// so the greatest recent sample is the best one.
#[derive(Clone, Copy, Debug)]
struct Epoch {
    ms: i64,
    at_ms: Millisecond,
}

impl Epoch {
    /// A sample from a heartbeat that arrives now.
    fn sample(clock_ms: Millisecond, now_ms: Millisecond) -> Self {
        Self {
            ms: (clock_ms as i64).saturating_sub(now_ms as i64),
            at_ms: now_ms,
        }
    }

    /// The better of this estimate and a new sample.
    fn best_of(self, sample: Self) -> Self {
        let is_recent = sample.at_ms.saturating_sub(self.at_ms) <= EPOCH_RETENTION_MS;
        match is_recent && self.ms > sample.ms {
            true => self,
            false => sample,
        }
    }
}

#[derive(Debug)]
pub struct Peers {
    by_name: Map<Name, Peer>,
    /// Addresses that heartbeats are sent to: seeds, nodes listed in the store, and senders of
    /// heartbeats.
    addresses: Vec<SocketAddr>,
    own: SocketAddr,
}

impl Peer {
    /// Whether the last heartbeat is still current.
    pub fn presence(&self, now_ms: Millisecond) -> Presence {
        let period_ms = match (self.heartbeat.role, self.pulse_ms) {
            (Role::Follows, Some(pulse_ms)) => pulse_ms,
            (Role::Follows | Role::Listens, _) => self.heartbeat.period_ms,
        };
        let fresh_ms = FRESH_MS.max(period_ms.saturating_mul(3));
        match now_ms.saturating_sub(self.heard_ms) <= fresh_ms {
            true => Presence::Fresh,
            false => Presence::Silent,
        }
    }

    /// Silence after which the node may be cut off.
    pub fn silence_ms(&self) -> Millisecond {
        (self.heartbeat.period_ms as f64 * SILENT_PERIODS) as Millisecond
    }
}

/// Effect of a heartbeat on what is known of its sender.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerUpdate {
    /// The sender was unknown.
    Appeared,
    /// The sender's process has restarted; holds the key of the earlier life.
    Restarted(Name),
    /// A newer heartbeat of a known life.
    Continued,
    /// The heartbeat is older than one that was already received.
    Stale,
    /// The sender is unknown, and the limit on nodes is reached.
    TooMany,
}

impl Peers {
    /// Knows only the seeds.
    pub fn new(settings: &Settings) -> Self {
        let own = settings.listen.peers;
        let mut peers = Self {
            by_name: Map::default(),
            addresses: Vec::new(),
            own,
        };
        peers.add_seeds(settings);
        peers
    }

    pub fn add_seeds(&mut self, settings: &Settings) {
        for seed in &settings.peers.seeds {
            let port = settings.peers.seed_port.unwrap_or(seed.port());
            self.add_address(SocketAddr::new(seed.ip(), port));
        }
    }

    /// Adds an address that heartbeats are sent to.
    pub fn add_address(&mut self, address: SocketAddr) {
        let has_room = self.addresses.len() < NODES_LIMIT;
        if has_room && address != self.own && !self.addresses.contains(&address) {
            self.addresses.push(address);
        }
    }

    /// Addresses that heartbeats are sent to.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Number of other nodes that shared limits are divided among.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// Number of other nodes known by name or address; some may be down.
    pub fn listed(&self) -> usize {
        self.addresses.len().max(self.count())
    }

    pub fn get(&self, name: &Name) -> Option<&Peer> {
        self.by_name.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.by_name.iter()
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(
        &mut self,
        mut heartbeat: NodeHeartbeat,
        address: SocketAddr,
        now_ms: Millisecond,
    ) -> PeerUpdate {
        let mut epoch = Epoch::sample(heartbeat.unix_ms, now_ms);
        let mut process_epoch =
            (heartbeat.copies).map(|copies| Epoch::sample(copies.clock_ms, now_ms));
        let mut pulse_ms = None;
        let has_room = self.by_name.len() < NODES_LIMIT;
        let known = self.by_name.get_mut(&heartbeat.node);
        let update = match known {
            None if !has_room => return PeerUpdate::TooMany,
            None => PeerUpdate::Appeared,
            Some(known) if known.heartbeat.boot != heartbeat.boot => {
                // After a clock was set back, the later life may have the earlier start time.
                let older = heartbeat.started_unix_ms < known.heartbeat.started_unix_ms;
                match older && known.presence(now_ms) == Presence::Fresh {
                    true => return PeerUpdate::Stale,
                    false => PeerUpdate::Restarted(known.heartbeat.key()),
                }
            }
            Some(known) if known.heartbeat.number >= heartbeat.number => return PeerUpdate::Stale,
            Some(known) => {
                epoch = known.epoch.best_of(epoch);
                process_epoch = match (known.process_epoch, process_epoch) {
                    (Some(known), Some(sample)) => Some(known.best_of(sample)),
                    (_, sample) => sample,
                };
                pulse_ms = known.pulse_ms;
                if let HeartbeatContent::Pulse { period_ms } = heartbeat.content {
                    pulse_ms = Some(period_ms);
                    heartbeat.loads = std::mem::take(&mut known.heartbeat.loads);
                    heartbeat.busy = std::mem::take(&mut known.heartbeat.busy);
                }
                PeerUpdate::Continued
            }
        };
        self.add_address(address);
        let peer = Peer {
            address,
            epoch,
            process_epoch,
            heard_ms: now_ms,
            pulse_ms,
            heartbeat,
        };
        self.by_name.insert(peer.heartbeat.node.clone(), peer);
        update
    }

    /// Removes nodes that have ended and returns the keys of their lives.
    pub fn expire(&mut self, now_ms: Millisecond) -> Vec<Name> {
        let silent = |peer: &Peer| now_ms.saturating_sub(peer.heard_ms) > NODE_EXPIRY_MS;
        let ended = self.by_name.values().filter(|p| silent(p)).count();
        // A node that hears few others is itself cut off, and the others may be alive.
        if ended == 0 || ended * 2 > self.by_name.len() {
            return Vec::new();
        }
        let gone: Vec<Peer> = self
            .by_name
            .values()
            .filter(|p| silent(p))
            .cloned()
            .collect();
        for peer in &gone {
            self.by_name.remove(&peer.heartbeat.node);
            self.addresses.retain(|address| *address != peer.address);
        }
        gone.iter().map(|peer| peer.heartbeat.key()).collect()
    }

    /// Whether the node `own` follows the store itself.
    pub fn role(
        &self,
        own: &Name,
        failure_domain: &Name,
        copies: OwnCopies,
        now_ms: Millisecond,
    ) -> Role {
        role(own, failure_domain, &self.peer_summaries(now_ms), copies)
    }

    /// Turn of the node `own`, which has run for `age_ms`, to query the store. Addresses that are
    /// not heard before the end of discovery belong to nodes that are down.
    pub fn rank(
        &self,
        own: &Name,
        failure_domain: &Name,
        age_ms: Millisecond,
        now_ms: Millisecond,
    ) -> PollRank {
        if age_ms < self.discovery_ms() && self.count() * 2 < self.listed() {
            return PollRank::Unknown;
        }
        PollRank::After(rank(own, failure_domain, &self.peer_summaries(now_ms)))
    }

    /// Addresses of the other nodes that take turns with a node that has run for `age_ms`: during
    /// discovery all known addresses, later the nodes that are not draining.
    pub fn participants(&self, age_ms: Millisecond) -> Vec<SocketAddr> {
        if age_ms < self.discovery_ms() {
            return self.addresses.clone();
        }
        let staying = |p: &&Peer| p.heartbeat.stay == DrainState::Stays;
        let staying = self.by_name.values().filter(staying);
        staying.map(|p| p.address).collect()
    }

    /// Age at which a node has heard all others that are alive.
    fn discovery_ms(&self) -> Millisecond {
        DISCOVERY_MS.max(2 * period_ms(self.listed() + 1))
    }

    /// Number of other nodes in its failure domain that are heard and rank before the node `own`, and
    /// of all that are heard.
    pub fn domain_position(
        &self,
        own: &Name,
        failure_domain: &Name,
        now_ms: Millisecond,
    ) -> (usize, usize) {
        let heard = self.by_name.iter().filter(|(_, p)| {
            p.heartbeat.failure_domain == *failure_domain && p.presence(now_ms) == Presence::Fresh
        });
        let earlier = heard.clone().filter(|(name, _)| *name < own);
        (earlier.count(), heard.count())
    }

    /// Records that a node has a version of the directory, as another node says.
    pub fn record_directory(&mut self, name: &Name, version: u64) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.heartbeat.directory = peer.heartbeat.directory.max(version);
        }
    }

    /// Whether a holder of the duties has been heard recently.
    pub fn holder_is_heard(&self, now_ms: Millisecond) -> bool {
        let heard = |p: &Peer| now_ms.saturating_sub(p.heard_ms) <= FRESH_MS;
        let holds = |p: &Peer| p.heartbeat.tenure == Tenure::Holds;
        self.by_name.values().any(|p| holds(p) && heard(p))
    }

    fn peer_summaries(&self, now_ms: Millisecond) -> Vec<PeerSummary<'_>> {
        let peers = self.by_name.iter();
        peers.map(|(name, p)| summary(name, p, now_ms)).collect()
    }

    /// The other nodes, among which a stream's key draws.
    pub fn candidates(&self, now_ms: Millisecond) -> Vec<Candidate<'_>> {
        let peers = self.by_name.iter();
        peers
            .map(|(name, peer)| Candidate {
                node: summary(name, peer, now_ms),
                address: peer.address,
            })
            .collect()
    }

    /// Time that a heartbeat of a known node, read now, took longer than its fastest recent one;
    /// `None` if the node's build sends no clock.
    pub fn delay_ms(&self, heartbeat: &NodeHeartbeat, now_ms: Millisecond) -> Option<Millisecond> {
        let peer = self.by_name.get(&heartbeat.node)?;
        let fastest = peer.process_epoch?;
        let sample = Epoch::sample(heartbeat.copies?.clock_ms, now_ms);
        Some(fastest.ms.saturating_sub(sample.ms).max(0) as Millisecond)
    }

    /// Silence after which a node may be cut off; 0 for an unknown node.
    pub fn silence_ms(&self, name: &Name) -> Millisecond {
        self.by_name.get(name).map_or(0, Peer::silence_ms)
    }

    /// Addresses of up to `limit` other nodes that are heard, the longest-running ones first.
    pub fn longest_running(&self, limit: usize, now_ms: Millisecond) -> Vec<SocketAddr> {
        let fresh = |p: &&Peer| p.presence(now_ms) == Presence::Fresh;
        let mut peers: Vec<&Peer> = self.by_name.values().filter(fresh).collect();
        peers.sort_by_key(|p| std::cmp::Reverse(p.heartbeat.age_ms()));
        peers.truncate(limit);
        peers.iter().map(|p| p.address).collect()
    }

    /// Addresses of the other nodes that reach the backend servers: those of `domain`, and the others.
    pub fn helpers(
        &self,
        domain: &Name,
        now_ms: Millisecond,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (mut same, mut others) = (Vec::new(), Vec::new());
        for peer in self.by_name.values() {
            let heartbeat = &peer.heartbeat;
            let serves = heartbeat.stay == DrainState::Stays && heartbeat.reach == Reach::Reached;
            if !serves || peer.presence(now_ms) == Presence::Silent {
                continue;
            }
            match heartbeat.failure_domain == *domain {
                true => same.push(peer.address),
                false => others.push(peer.address),
            }
        }
        (same, others)
    }

    /// Takes a node for one that does not reach the backend servers, until its next heartbeat.
    pub fn mark_lost(&mut self, address: SocketAddr) {
        for peer in self.by_name.values_mut().filter(|p| p.address == address) {
            peer.heartbeat.reach = Reach::Lost;
        }
    }

    /// Whether another node has heard a backend server since `since_ms`.
    pub fn reached_since(&self, since_ms: Millisecond) -> bool {
        self.by_name.values().any(|peer| {
            let silence_ms = peer.heartbeat.server_silence_ms;
            silence_ms.is_some_and(|ms| peer.heard_ms.saturating_sub(ms) >= since_ms)
        })
    }

    /// Addresses of nodes that only listen, and so never hold the duties.
    pub fn listener_addresses(&self) -> Set<SocketAddr> {
        let listening = |p: &&Peer| p.heartbeat.role == Role::Listens;
        let peers = self.by_name.values().filter(listening);
        peers.map(|p| p.address).collect()
    }

    /// Addresses of the other nodes that follow the store, and of the listening nodes of `domain`.
    pub fn pulse_recipients(&self, domain: &Name) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (mut followers, mut listeners) = (Vec::new(), Vec::new());
        for peer in self.by_name.values() {
            match peer.heartbeat.role {
                Role::Follows => followers.push(peer.address),
                Role::Listens if peer.heartbeat.failure_domain == *domain => {
                    listeners.push(peer.address)
                }
                Role::Listens => {}
            }
        }
        (followers, listeners)
    }

    /// Rank of the node `own` by name among all nodes, and the number of nodes.
    pub fn share(&self, own: &Name) -> EntryRank {
        EntryRank {
            rank: self.by_name.keys().filter(|name| *name < own).count(),
            entries: self.by_name.len() + 1,
        }
    }

    /// Correction of the local calendar clock to the median of all nodes' clocks. The median
    /// ignores single clocks that jump; differences to the process's clock stay valid while this
    /// process is suspended. `own_epoch_ms` is the local calendar time minus the process's clock.
    pub fn clock_offset_ms(&self, own_epoch_ms: i64) -> i64 {
        let mut epochs_ms: Vec<i64> = self.by_name.values().map(|p| p.epoch.ms).collect();
        epochs_ms.push(own_epoch_ms);
        epochs_ms.sort_unstable();
        epochs_ms[(epochs_ms.len() - 1) / 2].saturating_sub(own_epoch_ms)
    }
}

fn summary<'a>(name: &'a Name, peer: &'a Peer, now_ms: Millisecond) -> PeerSummary<'a> {
    PeerSummary {
        name,
        failure_domain: &peer.heartbeat.failure_domain,
        role: peer.heartbeat.role,
        stay: peer.heartbeat.stay,
        presence: peer.presence(now_ms),
        access: peer.heartbeat.access,
    }
}
