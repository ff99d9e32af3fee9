//! Gossip membership: the other entry VMs and their health.
//!
//! Each heartbeat round calls a fixed number of peers. Changed member records are piggybacked on
//! those calls, a bounded number on each, and are dropped after a number of sends that is
//! logarithmic in the fleet's size. A suspected member refutes the suspicion by a higher incarnation
//! number. Gone members are still called now and then, so that a paused member or a partitioned
//! network recovers without intervention.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use base::units::Millisecond;
use base::{Map, Name};
use chart::{Chart, Instance};
use outside::{Vm, VmRole, VmState};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::timing::Timing;
use crate::wire::{Health, MemberRecord};

/// Peers called in each heartbeat round.
pub const FANOUT: usize = 3;
/// Most member records in one message.
pub const RECORDS_PER_MESSAGE: usize = 6;
/// Most member records in one page of a sync.
pub const RECORDS_PER_PAGE: usize = 32;
/// A gone member is called at one in this number of its turns.
const GONE_CALL_ONE_IN: u32 = 8;
/// Times that an update is sent for each doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 2;

static CHART: LazyLock<Arc<Chart>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/member.toml")).expect("charts/member.toml is valid")
});

/// Receiver of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallTarget {
    Member(Name, SocketAddr),
    /// An address whose node's name is not known yet.
    Candidate(SocketAddr),
}

/// Change of a member's health as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthChange {
    pub member: Name,
    /// Previous health; absent for a new member.
    pub from: Option<Health>,
    pub to: Health,
}

#[derive(Debug)]
struct PeerState {
    record: MemberRecord,
    chart: Instance,
    config_version: u64,
    last_listed_ms: Millisecond,
    last_changed_ms: Millisecond,
}

#[derive(Debug)]
struct PendingUpdate {
    record: MemberRecord,
    sends: u32,
}

/// One node's view of the membership.
#[derive(Debug)]
pub struct Membership {
    me: MemberRecord,
    timing: Timing,
    peers: Map<Name, PeerState>,
    alive_peers: usize,
    call_order: Vec<Name>,
    cursor: usize,
    suspects: Map<Name, Millisecond>,
    candidates: Vec<SocketAddr>,
    pending_updates: Vec<PendingUpdate>,
}

/// Draws the incarnation number of a new process: its start time, followed by 10 random bits that
/// distinguish a restart within the same millisecond.
pub fn draw_incarnation(unix_ms: u64, rng: &mut impl Rng) -> u64 {
    (unix_ms << 10) | rng.random_range(0..1024)
}

impl Membership {
    /// Creates the membership of a node that knows only itself and the addresses of some peers.
    pub fn new(me: MemberRecord, seeds: Vec<SocketAddr>, timing: Timing) -> Self {
        let candidates = seeds.into_iter().filter(|seed| *seed != me.address);
        let mut membership = Self {
            candidates: candidates.collect(),
            peers: Map::default(),
            alive_peers: 0,
            call_order: Vec::new(),
            cursor: 0,
            suspects: Map::default(),
            pending_updates: Vec::new(),
            timing,
            me,
        };
        membership.queue_update(membership.me.clone());
        membership
    }

    /// This node's record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Number of live members, including this node.
    pub fn alive_count(&self) -> usize {
        self.alive_peers + 1
    }

    /// Number of other known members of any health.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Records of all other members.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Records of the other members that are alive.
    pub fn alive_others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.others().filter(|r| r.health == Health::Alive)
    }

    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.peers.get(name).map(|peer| &peer.record)
    }

    /// Configuration version that a member reported last; 0 if none.
    pub fn config_version_of(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.config_version)
    }

    /// Records the configuration version that a member reported; versions never decrease.
    pub fn note_config_version(&mut self, name: &str, version: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.config_version = peer.config_version.max(version);
        }
    }

    /// Chooses the receivers of a heartbeat round: the next members in a shuffled order, one suspect,
    /// and one address that has not answered yet.
    pub fn heartbeat_targets(&mut self, rng: &mut impl Rng) -> Vec<CallTarget> {
        let mut targets = Vec::new();
        for _ in 0..self.call_order.len() {
            if targets.len() == FANOUT {
                break;
            }
            let name = self.next_in_order(rng);
            let record = &self.peers[&name].record;
            let called = match record.health {
                Health::Alive | Health::Suspect => true,
                Health::Gone | Health::Left => rng.random_ratio(1, GONE_CALL_ONE_IN),
            };
            if called {
                targets.push(CallTarget::Member(name, record.address));
            }
        }
        if let Some(name) = self.suspects.keys().next() {
            let suspect = CallTarget::Member(name.clone(), self.peers[name].record.address);
            if !targets.contains(&suspect) {
                targets.push(suspect);
            }
        }
        targets.extend(self.candidates_to_call(1, rng));
        targets
    }

    /// Draws up to `count` addresses that have not answered yet.
    pub fn candidates_to_call(&self, count: usize, rng: &mut impl Rng) -> Vec<CallTarget> {
        let drawn = self.candidates.choose_multiple(rng, count);
        drawn
            .map(|address| CallTarget::Candidate(*address))
            .collect()
    }

    /// Draws up to `count` members that are alive or suspected.
    pub fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<(Name, SocketAddr)> {
        let mut drawn: Vec<(Name, SocketAddr)> = Vec::new();
        for _ in 0..count * 4 {
            if drawn.len() == count || self.call_order.is_empty() {
                break;
            }
            let name = &self.call_order[rng.random_range(0..self.call_order.len())];
            let record = &self.peers[name].record;
            let taken = drawn.iter().any(|(drawn, _)| drawn == name);
            if taken || record.health > Health::Suspect {
                continue;
            }
            drawn.push((name.clone(), record.address));
        }
        drawn
    }

    /// Takes the least-sent updates for one message.
    pub fn take_updates(&mut self) -> Vec<MemberRecord> {
        let doublings = usize::BITS - self.peers.len().leading_zeros() + 1;
        let limit = SENDS_PER_DOUBLING * doublings;
        self.pending_updates.sort_by_key(|update| update.sends);
        let mut updates = Vec::new();
        for update in self.pending_updates.iter_mut().take(RECORDS_PER_MESSAGE) {
            update.sends += 1;
            updates.push(update.record.clone());
        }
        self.pending_updates.retain(|update| update.sends < limit);
        updates
    }

    /// The first [`RECORDS_PER_PAGE`] records, by name, with names above `after`; includes this node.
    pub fn page(&self, after: &str) -> Vec<MemberRecord> {
        let all = self.others().chain(std::iter::once(&self.me));
        let mut above: Vec<&MemberRecord> = all.filter(|r| &*r.name > after).collect();
        if above.len() > RECORDS_PER_PAGE {
            above.select_nth_unstable_by(RECORDS_PER_PAGE, |a, b| a.name.cmp(&b.name));
            above.truncate(RECORDS_PER_PAGE);
        }
        above.sort_by(|a, b| a.name.cmp(&b.name));
        above.into_iter().cloned().collect()
    }

    /// This node's record of a caller, if it differs so that the caller should refute it.
    pub fn record_to_refute(&self, caller: &MemberRecord) -> Option<MemberRecord> {
        let known = &self.peers.get(&caller.name)?.record;
        let wrong = known.incarnation > caller.incarnation
            || (known.incarnation == caller.incarnation && known.health != caller.health);
        wrong.then(|| known.clone())
    }

    /// Merges a record received from the member itself or by gossip.
    pub fn merge(&mut self, record: MemberRecord, now_ms: Millisecond) -> Option<HealthChange> {
        if record.name == self.me.name {
            self.refute_if_outdated(&record);
            return None;
        }
        self.candidates.retain(|known| *known != record.address);
        let Some(peer) = self.peers.get_mut(&record.name) else {
            return self.insert_member(record, now_ms);
        };
        let known = (peer.record.incarnation, peer.record.health);
        if (record.incarnation, record.health) <= known {
            return None;
        }
        let from = peer.record.health;
        if record.incarnation > peer.record.incarnation {
            peer.chart.apply("refuted");
        }
        peer.chart.apply(event_of(record.health));
        peer.record = record.clone();
        peer.record.health = health_of(peer.chart.state());
        peer.last_changed_ms = now_ms;
        let to = peer.record.health;
        self.queue_update(record.clone());
        self.track_health_change(&record.name, from, to, now_ms);
        (from != to).then_some(HealthChange {
            member: record.name,
            from: Some(from),
            to,
        })
    }

    /// Suspects a member that is alive, after a call to it failed.
    pub fn suspect(&mut self, name: &str, now_ms: Millisecond) -> Option<HealthChange> {
        let mut record = self.peers.get(name)?.record.clone();
        if record.health != Health::Alive {
            return None;
        }
        record.health = Health::Suspect;
        self.merge(record, now_ms)
    }

    /// Declares gone the suspects that did not refute the suspicion in time.
    pub fn expire(&mut self, now_ms: Millisecond) -> Vec<HealthChange> {
        let due = self.suspects.iter().filter(|(_, at_ms)| **at_ms <= now_ms);
        let due: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        let mut changes = Vec::new();
        for name in due {
            let mut record = self.peers[&name].record.clone();
            record.health = Health::Gone;
            changes.extend(self.merge(record, now_ms));
        }
        changes
    }

    /// Gives all suspects the full time to refute again after a pause of this node, which could not
    /// receive refutations meanwhile.
    pub fn restart_suspicion_timers(&mut self, now_ms: Millisecond) {
        let deadline_ms = now_ms + self.timing.suspect_ms;
        for at_ms in self.suspects.values_mut() {
            *at_ms = deadline_ms;
        }
    }

    /// Marks this node as left, and queues the record for gossip.
    pub fn leave(&mut self) {
        self.me.health = Health::Left;
        self.queue_update(self.me.clone());
    }

    /// Updates the membership by the VM list: unknown addresses of live entry VMs become candidates,
    /// and gone members that the list has not shown for [`Timing::forget_ms`] are dropped.
    pub fn observe_vm_list(&mut self, vms: &[Vm], now_ms: Millisecond) {
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        for vm in entries {
            if let Some(peer) = self.peers.get_mut(&vm.id) {
                peer.last_listed_ms = now_ms;
                continue;
            }
            let is_this_node = vm.id == self.me.name || vm.address == self.me.address;
            let known = self.candidates.contains(&vm.address);
            if is_this_node || known || vm.state != VmState::Live {
                continue;
            }
            self.candidates.push(vm.address);
        }
        let forget_ms = self.timing.forget_ms;
        self.peers.retain(|_, peer| {
            let is_down = matches!(peer.record.health, Health::Gone | Health::Left);
            let since_ms = peer.last_listed_ms.max(peer.last_changed_ms);
            !is_down || now_ms.saturating_sub(since_ms) < forget_ms
        });
        let peers = &self.peers;
        self.call_order.retain(|name| peers.contains_key(name));
    }

    fn insert_member(&mut self, record: MemberRecord, now_ms: Millisecond) -> Option<HealthChange> {
        let mut chart = CHART.start();
        chart.apply(event_of(record.health));
        let change = HealthChange {
            member: record.name.clone(),
            from: None,
            to: record.health,
        };
        let peer = PeerState {
            chart,
            config_version: 0,
            last_listed_ms: now_ms,
            last_changed_ms: now_ms,
            record: record.clone(),
        };
        self.peers.insert(record.name.clone(), peer);
        self.call_order.push(record.name.clone());
        self.track_health_change(&record.name, Health::Gone, record.health, now_ms);
        self.queue_update(record);
        Some(change)
    }

    fn track_health_change(&mut self, name: &Name, from: Health, to: Health, now_ms: Millisecond) {
        if from == Health::Alive && to != Health::Alive {
            self.alive_peers -= 1;
        }
        if from != Health::Alive && to == Health::Alive {
            self.alive_peers += 1;
        }
        if to == Health::Suspect {
            let deadline_ms = now_ms + self.timing.suspect_ms;
            self.suspects.insert(name.clone(), deadline_ms);
        } else {
            self.suspects.remove(name);
        }
    }

    fn refute_if_outdated(&mut self, record: &MemberRecord) {
        let mine = (self.me.incarnation, self.me.health);
        if (record.incarnation, record.health) <= mine {
            return;
        }
        self.me.incarnation = record.incarnation + 1;
        self.queue_update(self.me.clone());
    }

    fn queue_update(&mut self, record: MemberRecord) {
        self.pending_updates
            .retain(|update| update.record.name != record.name);
        self.pending_updates
            .push(PendingUpdate { record, sends: 0 });
    }

    fn next_in_order(&mut self, rng: &mut impl Rng) -> Name {
        if self.cursor >= self.call_order.len() {
            self.call_order.shuffle(rng);
            self.cursor = 0;
        }
        self.cursor += 1;
        self.call_order[self.cursor - 1].clone()
    }
}

fn event_of(health: Health) -> &'static str {
    match health {
        Health::Alive => "refuted",
        Health::Suspect => "suspected",
        Health::Gone => "expired",
        Health::Left => "left",
    }
}

fn health_of(state: &str) -> Health {
    match state {
        "suspect" => Health::Suspect,
        "gone" => Health::Gone,
        "left" => Health::Left,
        _ => Health::Alive,
    }
}
