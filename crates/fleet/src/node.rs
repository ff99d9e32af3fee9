//! One node's protocol state: membership, freshness, leaving marks, configuration and bulletins.
//!
//! Every input is an [`Event`]; what has to be done about it comes back as [`Action`]s.

use std::net::SocketAddr;
use std::sync::Arc;

use base::units::Millisecond;
use base::{Map, Name};
use platform::{Vm, VmRole, VmState};
use rand::Rng;

use crate::bulletin::{DemandSamples, Fingerprint, Fingerprints};
use crate::freshness::{Freshness, QUORUM, SyncSpan, TickOutcome};
use crate::hash;
use crate::leaving::{Leaving, MARKS_PER_MESSAGE};
use crate::member::{HealthChange, Membership, Target};
use crate::spread::{Adoption, Spread};
use crate::timing::Timing;
use crate::wire::{
    ConfigDocument, Health, Heartbeat, MemberRecord, Part, Push, PushReply, SyncReply, SyncRequest,
};

/// Peers that news is pushed to at once.
const PUSH_FANOUT: usize = 4;
/// Nodes that read the reclaim notice of one backend server.
const NOTICE_READERS: usize = 2;
/// Time between two background syncs with a random peer.
const ANTI_ENTROPY_MS: Millisecond = 10_000;
/// Shortest time between two syncs that a differing digest causes.
const DIGEST_SYNC_MS: Millisecond = 400;

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; to be given every `Timing::tick_ms`.
    Tick,
    /// A peer answered a heartbeat.
    HeartbeatAnswered(Heartbeat),
    /// A call to a peer gave no answer.
    CallFailed(Target),
    /// A peer answered a push.
    PushAnswered(Name, PushReply),
    /// A peer answered a sync that was asked in the span given.
    SyncAnswered(SyncReply, SyncSpan),
    /// The store gave its configuration, or has none.
    ConfigRead(Option<ConfigDocument>, SyncSpan),
    /// A document was accepted by the store, or seen there.
    ConfigLearned(ConfigDocument),
    /// The VM list was read.
    ListRead(Vec<Vm>, SyncSpan),
    /// Reclaim notices were read.
    NoticesRead {
        /// VMs whose notice, or lack of one, was read.
        answered: Vec<Name>,
        /// Those that are under notice.
        leaving: Vec<Name>,
        /// The span in which the read was asked for.
        span: SyncSpan,
    },
    /// A backend server is known to leave, by this node's own observation.
    LeavingSeen(Name),
    /// A fingerprint was made here.
    FingerprintMade(Fingerprint),
    /// This node leaves.
    Closing,
}

/// What is to be carried out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a peer with a heartbeat.
    SendHeartbeat(Target, Heartbeat),
    /// Call a peer with news.
    SendPush(Name, SocketAddr, Push),
    /// Ask a peer for what is lacking.
    SendSync(Name, SocketAddr, SyncRequest, SyncSpan),
    /// Read the configuration row.
    ReadConfig(SyncSpan),
    /// Read the VM list.
    ReadList(SyncSpan),
    /// Read the reclaim notices of these VMs, this node's own among them.
    ReadNotices(Vec<Name>, SyncSpan),
    /// Something that readers of the view care about has changed.
    Publish,
    /// Tell the log.
    Report(Report),
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A member's health changed.
    Health(HealthChange),
    /// A configuration version is in force.
    InForce(Arc<ConfigDocument>),
    /// A backend server is newly marked.
    Leaving(Name),
    /// This node was paused.
    Woke(Millisecond),
    /// This node may route again.
    Fresh,
    /// Nothing answered after a pause.
    Degraded,
}

/// State of one node.
#[derive(Debug)]
pub struct Node {
    timing: Timing,
    members: Membership,
    leaving: Leaving,
    config: Spread,
    freshness: Freshness,
    demand: DemandSamples,
    fingerprints: Fingerprints,
    vms: Arc<[Vm]>,
    next_round_ms: Millisecond,
    next_sync_ms: Millisecond,
    next_digest_sync_ms: Millisecond,
    page_after: Name,
}

impl Node {
    /// A node that has just started.
    pub fn new(
        me: MemberRecord,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        now_ms: Millisecond,
    ) -> Self {
        Self {
            members: Membership::new(me, seeds, timing),
            leaving: Leaving::default(),
            config: Spread::default(),
            freshness: Freshness::new(&timing, now_ms),
            demand: DemandSamples::default(),
            fingerprints: Fingerprints::default(),
            vms: Arc::from([]),
            next_round_ms: now_ms,
            next_sync_ms: now_ms,
            next_digest_sync_ms: now_ms,
            page_after: "".into(),
            timing,
        }
    }

    /// Membership.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Leaving marks.
    pub fn leaving(&self) -> &Leaving {
        &self.leaving
    }

    /// The configuration.
    pub fn config(&self) -> &Spread {
        &self.config
    }

    /// Freshness.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Remembers the configuration version that a member reported.
    pub fn note_config_version(&mut self, name: &str, version: u64) {
        self.members.note_config_version(name, version);
    }

    /// Demand by workspace.
    pub fn demand_mut(&mut self) -> &mut DemandSamples {
        &mut self.demand
    }

    /// Demand of the whole fleet by workspace, as far as heard.
    pub fn fleet_demand(&self) -> Map<Name, u64> {
        self.demand.fleet(self.members.alive_count())
    }

    /// Fingerprints known here.
    pub fn fingerprints(&self) -> &Fingerprints {
        &self.fingerprints
    }

    /// The VM list as last read.
    pub fn vms(&self) -> &Arc<[Vm]> {
        &self.vms
    }

    /// Whether a request may be routed now: a configuration is in force and this node's knowledge
    /// is not that of a paused or starting node.
    pub fn may_route(&self, now_ms: Millisecond) -> bool {
        self.config.version() > 0 && self.freshness.may_route(now_ms)
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<Action> {
        let fresh_before = !self.freshness.is_syncing();
        let mut actions = match event {
            Event::Tick => self.tick(now_ms, rng),
            Event::HeartbeatAnswered(heartbeat) => self.hear(heartbeat, now_ms, rng),
            Event::CallFailed(Target::Member(name, _)) => {
                report_health(self.members.suspect(&name, now_ms))
            }
            Event::CallFailed(Target::Candidate(_)) => Vec::new(),
            Event::PushAnswered(name, reply) => {
                self.members
                    .note_config_version(&name, reply.config_version);
                Vec::new()
            }
            Event::SyncAnswered(reply, span) => self.sync_answered(reply, span, now_ms, rng),
            Event::ConfigRead(document, span) => {
                let actions = document.map_or(Vec::new(), |d| self.adopt(d, rng));
                self.freshness
                    .config_was_read(span, self.members.alive_count() - 1);
                actions
            }
            Event::ConfigLearned(document) => self.adopt(document, rng),
            Event::ListRead(vms, span) => self.list_read(vms, span, now_ms, rng),
            Event::NoticesRead {
                answered,
                leaving,
                span,
            } => self.notices_read(&answered, leaving, span, now_ms, rng),
            Event::LeavingSeen(vm) => self.mark_all([vm], now_ms, rng),
            Event::FingerprintMade(fingerprint) => self.add_fingerprints(vec![fingerprint], rng),
            Event::Closing => {
                self.members.leave();
                self.heartbeats(rng, now_ms)
            }
        };
        if !fresh_before && !self.freshness.is_syncing() {
            actions.push(Action::Report(Report::Fresh));
            actions.push(Action::Publish);
        }
        actions
    }

    /// Answers a peer's heartbeat.
    pub fn answer_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> (Heartbeat, Vec<Action>) {
        let caller = heartbeat.from.clone();
        let actions = self.hear(heartbeat, now_ms, rng);
        let mut answer = self.heartbeat(now_ms);
        answer.about_you = self.members.rebuke(&caller);
        (answer, actions)
    }

    /// Answers a peer's push; what is new here is sent on.
    pub fn answer_push(
        &mut self,
        push: Push,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> (PushReply, Vec<Action>) {
        let from = push.from.clone();
        let mut actions = report_health(self.members.merge(push.from, now_ms));
        self.members
            .note_config_version(&from.name, push.config_version);
        let marks = push.leaving.into_iter().take(MARKS_PER_MESSAGE);
        actions.extend(self.mark_all(marks, now_ms, rng));
        actions.extend(self.add_fingerprints(push.fingerprints, rng));
        if push.config_version > self.config.version() {
            actions.push(self.sync_with(&from.name, from.address));
        }
        let reply = PushReply {
            config_version: self.config.version(),
        };
        (reply, actions)
    }

    /// Answers a peer that asks for what it lacks.
    pub fn answer_sync(&mut self, request: SyncRequest, now_ms: Millisecond) -> SyncReply {
        let turn = now_ms;
        let (leaving, leaving_part) = self.leaving.difference(&request.buckets, turn);
        self.members.merge(request.from, now_ms);
        SyncReply {
            from: self.members.me().clone(),
            standing: self.freshness.standing(now_ms),
            config_version: self.config.version(),
            config: self.config.transfer(request.config_version),
            leaving,
            leaving_part,
            members: self.members.page(&request.members_after),
        }
    }

    fn tick(&mut self, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<Action> {
        let alive_others = self.members.alive_count() - 1;
        let outcome = self.freshness.tick(now_ms, alive_others);
        let mut actions = Vec::new();
        match outcome {
            TickOutcome::Quiet => {}
            TickOutcome::Try => actions.extend(self.sync_round(now_ms, rng)),
            TickOutcome::Woke { gap_ms } => {
                self.members.restart_suspicions(now_ms);
                actions.push(Action::Report(Report::Woke(gap_ms)));
                actions.push(Action::Publish);
                actions.extend(self.sync_round(now_ms, rng));
            }
            TickOutcome::GaveUp => {
                actions.push(Action::Report(Report::Degraded));
                actions.push(Action::Publish);
            }
        }
        for change in self.members.expire(now_ms) {
            actions.extend(report_health(Some(change)));
        }
        self.demand.expire(now_ms);
        if now_ms >= self.next_round_ms {
            self.next_round_ms = now_ms + self.timing.heartbeat_ms;
            actions.extend(self.heartbeats(rng, now_ms));
            actions.extend(self.platform_reads(rng));
        }
        if now_ms >= self.next_sync_ms {
            self.next_sync_ms = now_ms + rng.random_range(ANTI_ENTROPY_MS / 2..ANTI_ENTROPY_MS);
            for (name, address) in self.members.sample(1, rng) {
                actions.push(self.sync_with(&name, address));
            }
        }
        actions
    }

    fn sync_round(&mut self, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<Action> {
        let span = self.freshness.span();
        let mut actions = vec![Action::ReadConfig(span), Action::ReadList(span)];
        if self.freshness.is_alone() {
            actions.push(Action::ReadNotices(self.watched(), span));
        }
        for candidate in self.members.candidates_to_call(QUORUM, rng) {
            let heartbeat = self.heartbeat(now_ms);
            actions.push(Action::SendHeartbeat(candidate, heartbeat));
        }
        for (name, address) in self.members.sample(QUORUM, rng) {
            actions.push(self.sync_with(&name, address));
        }
        actions
    }

    fn platform_reads(&self, rng: &mut impl Rng) -> Vec<Action> {
        let span = self.freshness.span();
        let mut actions = Vec::new();
        if self.is_my_turn(self.timing.store_reads_per_s, rng) {
            actions.push(Action::ReadConfig(span));
        }
        if self.is_my_turn(self.timing.list_reads_per_s, rng) {
            actions.push(Action::ReadList(span));
        }
        actions.push(Action::ReadNotices(self.watched(), span));
        actions
    }

    fn is_my_turn(&self, fleet_reads_per_s: u32, rng: &mut impl Rng) -> bool {
        let reads = f64::from(fleet_reads_per_s) * self.timing.heartbeat_ms as f64 / 1_000.0;
        let share = reads / self.members.alive_count() as f64;
        rng.random_bool(share.min(1.0))
    }

    fn watched(&self) -> Vec<Name> {
        let mut watched = vec![self.members.me().name.clone()];
        for vm in self.vms.iter() {
            let live_backend = vm.role == VmRole::Backend && vm.state == VmState::Live;
            if !live_backend || self.leaving.contains(&vm.id) {
                continue;
            }
            if self.freshness.is_alone() || self.is_reader_of(&vm.id) {
                watched.push(vm.id.clone());
            }
        }
        watched
    }

    fn notices_read(
        &mut self,
        answered: &[Name],
        leaving: Vec<Name>,
        span: SyncSpan,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let actions = self.mark_all(leaving, now_ms, rng);
        if self.watched().iter().all(|vm| answered.contains(vm)) {
            self.freshness
                .notices_were_read(span, self.members.alive_count() - 1);
        }
        actions
    }

    fn is_reader_of(&self, vm: &str) -> bool {
        let key = u128::from(hash::stable(vm.as_bytes()));
        let mine = hash::rendezvous(&self.members.me().name, key);
        let above = self
            .members
            .alive_others()
            .filter(|other| hash::rendezvous(&other.name, key) > mine);
        above.take(NOTICE_READERS).count() < NOTICE_READERS
    }

    fn heartbeats(&mut self, rng: &mut impl Rng, now_ms: Millisecond) -> Vec<Action> {
        let mut actions = Vec::new();
        for target in self.members.round(rng) {
            let mut message = self.heartbeat(now_ms);
            if let Target::Member(name, _) = &target {
                let known = self.members.get(name);
                let unwell = known.filter(|r| r.health != Health::Alive);
                message.about_you = unwell.cloned();
            }
            actions.push(Action::SendHeartbeat(target, message));
        }
        actions
    }

    fn heartbeat(&mut self, now_ms: Millisecond) -> Heartbeat {
        let sends = 2 * self.members.alive_count().ilog2() + 2;
        Heartbeat {
            from: self.members.me().clone(),
            standing: self.freshness.standing(now_ms),
            config_version: self.config.version(),
            leaving: self.leaving.digest(),
            members: self.members.news(),
            about_you: None,
            demand: self.demand.own().to_vec(),
            fingerprints: self.fingerprints.next(sends),
        }
    }

    fn hear(
        &mut self,
        heartbeat: Heartbeat,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let from = heartbeat.from.clone();
        let records = std::iter::once(heartbeat.from)
            .chain(heartbeat.members)
            .chain(heartbeat.about_you);
        let mut actions = Vec::new();
        for record in records {
            actions.extend(report_health(self.members.merge(record, now_ms)));
        }
        self.members
            .note_config_version(&from.name, heartbeat.config_version);
        self.demand.hear(&from.name, heartbeat.demand, now_ms);
        actions.extend(self.add_fingerprints(heartbeat.fingerprints, rng));
        let newer = heartbeat.config_version > self.config.version();
        let differs = heartbeat.leaving != self.leaving.digest();
        if newer || (differs && now_ms >= self.next_digest_sync_ms) {
            self.next_digest_sync_ms = now_ms + DIGEST_SYNC_MS;
            actions.push(self.sync_with(&from.name, from.address));
        }
        actions
    }

    fn sync_with(&mut self, name: &Name, address: SocketAddr) -> Action {
        let request = SyncRequest {
            from: self.members.me().clone(),
            config_version: self.config.version(),
            buckets: self.leaving.buckets(),
            members_after: self.page_after.clone(),
        };
        Action::SendSync(name.clone(), address, request, self.freshness.span())
    }

    fn sync_answered(
        &mut self,
        reply: SyncReply,
        span: SyncSpan,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let from = reply.from.clone();
        let mut actions = Vec::new();
        self.page_after = reply.members.last().map_or("".into(), |r| r.name.clone());
        for record in std::iter::once(reply.from).chain(reply.members) {
            actions.extend(report_health(self.members.merge(record, now_ms)));
        }
        self.members
            .note_config_version(&from.name, reply.config_version);
        if let Some(transfer) = reply.config {
            let adoption = self.config.receive(transfer);
            actions.extend(self.adopted(adoption, rng));
        }
        let marks_before = self.leaving.digest();
        actions.extend(self.mark_all(reply.leaving, now_ms, rng));
        let gained = self.leaving.digest() != marks_before;
        let complete =
            reply.leaving_part == Part::Whole && self.config.version() >= reply.config_version;
        if complete {
            let alive_others = self.members.alive_count() - 1;
            self.freshness
                .synced_with(&from.name, reply.standing, span, alive_others);
        } else if gained {
            actions.push(self.sync_with(&from.name, from.address));
        }
        actions
    }

    fn list_read(
        &mut self,
        vms: Vec<Vm>,
        span: SyncSpan,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.members.hint(&vms, now_ms);
        let leaving = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Backend && matches!(vm.state, VmState::Leaving { .. }));
        let leaving: Vec<Name> = leaving.map(|vm| vm.id.clone()).collect();
        let mut actions = self.mark_all(leaving, now_ms, rng);
        let listed = vms.iter().map(|vm| &vm.id);
        self.leaving
            .retain_listed(listed, now_ms, self.timing.forget_ms);
        if *self.vms != *vms {
            self.vms = vms.into();
            actions.push(Action::Publish);
        }
        self.freshness
            .list_was_read(span, self.members.alive_count() - 1);
        actions
    }

    fn mark_all(
        &mut self,
        vms: impl IntoIterator<Item = Name>,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut news = Vec::new();
        for vm in vms {
            if self.leaving.mark(&vm, now_ms) {
                news.push(vm);
            }
        }
        if news.is_empty() {
            return Vec::new();
        }
        let mut actions = vec![Action::Publish];
        for vm in &news {
            actions.push(Action::Report(Report::Leaving(vm.clone())));
        }
        for page in news.chunks(MARKS_PER_MESSAGE) {
            actions.extend(self.push(page.to_vec(), Vec::new(), rng));
        }
        actions
    }

    fn add_fingerprints(&mut self, offered: Vec<Fingerprint>, rng: &mut impl Rng) -> Vec<Action> {
        let mut news = Vec::new();
        for fingerprint in offered {
            if self.fingerprints.add(fingerprint.clone()) {
                news.push(fingerprint);
            }
        }
        if news.is_empty() {
            return Vec::new();
        }
        let mut actions = self.push(Vec::new(), news, rng);
        actions.push(Action::Publish);
        actions
    }

    fn adopt(&mut self, document: ConfigDocument, rng: &mut impl Rng) -> Vec<Action> {
        let adoption = self.config.adopt(document);
        self.adopted(adoption, rng)
    }

    fn adopted(&mut self, adoption: Adoption, rng: &mut impl Rng) -> Vec<Action> {
        let Some(document) = self.config.current().cloned() else {
            return Vec::new();
        };
        if adoption != Adoption::Adopted {
            return Vec::new();
        }
        let mut actions = self.push(Vec::new(), Vec::new(), rng);
        actions.push(Action::Publish);
        actions.push(Action::Report(Report::InForce(document)));
        actions
    }

    fn push(
        &self,
        leaving: Vec<Name>,
        fingerprints: Vec<Fingerprint>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let push = Push {
            from: self.members.me().clone(),
            config_version: self.config.version(),
            leaving,
            fingerprints,
        };
        let peers = self.members.sample(PUSH_FANOUT, rng);
        let sends = peers
            .into_iter()
            .map(|(name, address)| Action::SendPush(name, address, push.clone()));
        sends.collect()
    }
}

fn report_health(change: Option<HealthChange>) -> Vec<Action> {
    let Some(change) = change else {
        return Vec::new();
    };
    vec![Action::Publish, Action::Report(Report::Health(change))]
}
