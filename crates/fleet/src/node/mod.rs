//! One node's protocol state: membership, freshness, leaving marks, configuration and bulletins.
//!
//! Every input is an [`Event`]; what has to be done about it comes back as [`Action`]s.

mod event;
mod push;
mod reads;

pub use event::{Action, Event, Report};

use std::net::SocketAddr;
use std::sync::Arc;

use base::units::Millisecond;
use base::{Map, Name};
use outside::Vm;
use rand::Rng;

use crate::config_replica::Spread;
use crate::freshness::{Freshness, QUORUM, SyncGeneration, TickOutcome};
use crate::leaving::{Leaving, MARKS_PER_MESSAGE};
use crate::member::{CallTarget, HealthChange, Membership, RECORDS_PER_PAGE};
use crate::piggyback::{DemandSamples, Fingerprints};
use crate::timing::Timing;
use crate::wire::{Health, Heartbeat, MemberRecord, Part, Push, PushReply, SyncReply, SyncRequest};

/// Time between two background syncs with a random peer.
const ANTI_ENTROPY_MS: Millisecond = 10_000;
/// Shortest time between two syncs that a differing digest causes.
const DIGEST_SYNC_MS: Millisecond = 400;

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
            Event::CallFailed(CallTarget::Member(name, _)) => {
                report_health(self.members.suspect(&name, now_ms))
            }
            Event::CallFailed(CallTarget::Candidate(_)) => Vec::new(),
            Event::PushAnswered(name, reply) => {
                self.members
                    .note_config_version(&name, reply.config_version);
                Vec::new()
            }
            Event::SyncAnswered(reply, generation) => {
                self.sync_answered(reply, generation, now_ms, rng)
            }
            Event::ConfigRead(document, generation) => {
                let actions = document.map_or(Vec::new(), |d| self.adopt(d, rng));
                self.freshness
                    .config_was_read(generation, self.members.alive_count() - 1);
                actions
            }
            Event::ConfigLearned(document) => self.adopt(document, rng),
            Event::ListRead(vms, generation) => self.list_read(vms, generation, now_ms, rng),
            Event::NoticesRead {
                answered,
                leaving,
                generation,
            } => self.notices_read(&answered, leaving, generation, now_ms, rng),
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
        let generation = self.freshness.sync_generation();
        let mut actions = vec![Action::ReadConfig(generation), Action::ReadList(generation)];
        if self.freshness.is_alone() {
            actions.push(Action::ReadNotices(self.watched(), generation));
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

    fn heartbeats(&mut self, rng: &mut impl Rng, now_ms: Millisecond) -> Vec<Action> {
        let mut actions = Vec::new();
        for target in self.members.round(rng) {
            let mut message = self.heartbeat(now_ms);
            if let CallTarget::Member(name, _) = &target {
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
        Action::SendSync(
            name.clone(),
            address,
            request,
            self.freshness.sync_generation(),
        )
    }

    fn sync_answered(
        &mut self,
        reply: SyncReply,
        generation: SyncGeneration,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let from = reply.from.clone();
        let known_before = self.members.known_count();
        let mut actions = Vec::new();
        self.page_after = match reply.members.get(RECORDS_PER_PAGE - 1) {
            Some(last) => last.name.clone(),
            None => "".into(),
        };
        for record in std::iter::once(reply.from).chain(reply.members) {
            actions.extend(report_health(self.members.merge(record, now_ms)));
        }
        self.members
            .note_config_version(&from.name, reply.config_version);
        if let Some(transfer) = reply.config {
            let adoption = self.config.receive(transfer);
            actions.extend(self.adopted(adoption, rng));
        }
        let learned_members = self.members.known_count() > known_before;
        let marks_before = self.leaving.digest();
        actions.extend(self.mark_all(reply.leaving, now_ms, rng));
        let gained = self.leaving.digest() != marks_before;
        let complete =
            reply.leaving_part == Part::Whole && self.config.version() >= reply.config_version;
        if complete {
            let alive_others = self.members.alive_count() - 1;
            self.freshness
                .synced_with(&from.name, reply.standing, generation, alive_others);
        }
        // A page with news is followed by the next, so that a start takes few rounds; a walk ends
        // with the first page that has none.
        if learned_members || (gained && !complete) {
            actions.push(self.sync_with(&from.name, from.address));
        }
        actions
    }
}

fn report_health(change: Option<HealthChange>) -> Vec<Action> {
    let Some(change) = change else {
        return Vec::new();
    };
    vec![Action::Publish, Action::Report(Report::Health(change))]
}
