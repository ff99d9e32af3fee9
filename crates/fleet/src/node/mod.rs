//! State machine of one node: membership, freshness, leaving marks, configuration and piggybacked
//! records.
//!
//! Each input is an [`Event`]; the node returns [`Action`]s, which its caller carries out.

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

use crate::config_replica::ConfigReplica;
use crate::freshness::{Freshness, SYNC_QUORUM, SyncGeneration, TickOutcome};
use crate::leaving::{LeavingMarks, MARKS_PER_MESSAGE};
use crate::member::{CallTarget, HealthChange, Membership, RECORDS_PER_PAGE};
use crate::piggyback::{DemandSamples, Fingerprints};
use crate::timing::Timing;
use crate::wire::{
    Completeness, Health, Heartbeat, MemberRecord, Push, PushReply, SyncReply, SyncRequest,
};

/// Longest time between two background syncs with a random peer; the shortest is half of it.
const ANTI_ENTROPY_INTERVAL_MS: Millisecond = 10_000;
/// Shortest time between two syncs that are caused by a differing digest of leaving marks.
const DIGEST_SYNC_INTERVAL_MS: Millisecond = 400;

#[derive(Debug)]
pub struct Node {
    timing: Timing,
    members: Membership,
    leaving: LeavingMarks,
    config: ConfigReplica,
    freshness: Freshness,
    demand: DemandSamples,
    fingerprints: Fingerprints,
    vms: Arc<[Vm]>,
    next_heartbeat_ms: Millisecond,
    next_sync_ms: Millisecond,
    next_digest_sync_ms: Millisecond,
    next_page_after: Name,
}

impl Node {
    /// Creates the state of a node that has just started.
    pub fn new(
        me: MemberRecord,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        now_ms: Millisecond,
    ) -> Self {
        Self {
            members: Membership::new(me, seeds, timing),
            leaving: LeavingMarks::default(),
            config: ConfigReplica::default(),
            freshness: Freshness::new(&timing, now_ms),
            demand: DemandSamples::default(),
            fingerprints: Fingerprints::default(),
            vms: Arc::from([]),
            next_heartbeat_ms: now_ms,
            next_sync_ms: now_ms,
            next_digest_sync_ms: now_ms,
            next_page_after: "".into(),
            timing,
        }
    }

    pub fn members(&self) -> &Membership {
        &self.members
    }

    pub fn leaving(&self) -> &LeavingMarks {
        &self.leaving
    }

    pub fn config(&self) -> &ConfigReplica {
        &self.config
    }

    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Records the configuration version that a member reported.
    pub fn note_config_version(&mut self, name: &str, version: u64) {
        self.members.note_config_version(name, version);
    }

    pub fn demand_mut(&mut self) -> &mut DemandSamples {
        &mut self.demand
    }

    /// Demand of the whole fleet by workspace, estimated from the peers' last reports.
    pub fn fleet_demand(&self) -> Map<Name, u64> {
        self.demand.fleet_total(self.members.alive_count())
    }

    pub fn fingerprints(&self) -> &Fingerprints {
        &self.fingerprints
    }

    /// The VM list as last read.
    pub fn vms(&self) -> &Arc<[Vm]> {
        &self.vms
    }

    /// Whether a request may be routed now: a configuration is in force, and this node is neither
    /// starting nor still syncing after a pause.
    pub fn may_route(&self, now_ms: Millisecond) -> bool {
        self.config.version() > 0 && self.freshness.may_route(now_ms)
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<Action> {
        let fresh_before = !self.freshness.is_syncing();
        let mut actions = match event {
            Event::Tick => self.tick(now_ms, rng),
            Event::HeartbeatAnswered(heartbeat) => self.on_heartbeat(heartbeat, now_ms, rng),
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
                self.on_sync_reply(reply, generation, now_ms, rng)
            }
            Event::ConfigRead(document, generation) => {
                let actions = document.map_or(Vec::new(), |d| self.adopt(d, rng));
                self.freshness
                    .on_config_read(generation, self.members.alive_count() - 1);
                actions
            }
            Event::ConfigLearned(document) => self.adopt(document, rng),
            Event::ListRead(vms, generation) => self.on_list_read(vms, generation, now_ms, rng),
            Event::NoticesRead {
                answered,
                leaving,
                generation,
            } => self.on_notices_read(&answered, leaving, generation, now_ms, rng),
            Event::LeavingSeen(vm) => self.mark_leaving([vm], now_ms, rng),
            Event::FingerprintMade(fingerprint) => self.add_fingerprints(vec![fingerprint], rng),
            Event::Closing => {
                self.members.leave();
                self.heartbeat_round(rng, now_ms)
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
        let actions = self.on_heartbeat(heartbeat, now_ms, rng);
        let mut answer = self.build_heartbeat(now_ms);
        answer.about_you = self.members.record_to_refute(&caller);
        (answer, actions)
    }

    /// Answers a peer's push; forwards what is new to this node.
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
        actions.extend(self.mark_leaving(marks, now_ms, rng));
        actions.extend(self.add_fingerprints(push.fingerprints, rng));
        if push.config_version > self.config.version() {
            actions.push(self.sync_with(&from.name, from.address));
        }
        let reply = PushReply {
            config_version: self.config.version(),
        };
        (reply, actions)
    }

    /// Answers a peer's sync request.
    pub fn answer_sync(&mut self, request: SyncRequest, now_ms: Millisecond) -> SyncReply {
        let page_seed = now_ms;
        let (leaving, leaving_part) = self.leaving.difference(&request.buckets, page_seed);
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
            TickOutcome::Idle => {}
            TickOutcome::RetrySync => actions.extend(self.sync_round(now_ms, rng)),
            TickOutcome::Paused { gap_ms } => {
                self.members.restart_suspicion_timers(now_ms);
                actions.push(Action::Report(Report::Paused(gap_ms)));
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
        if now_ms >= self.next_heartbeat_ms {
            self.next_heartbeat_ms = now_ms + self.timing.heartbeat_ms;
            actions.extend(self.heartbeat_round(rng, now_ms));
            actions.extend(self.platform_reads(rng));
        }
        if now_ms >= self.next_sync_ms {
            self.next_sync_ms =
                now_ms + rng.random_range(ANTI_ENTROPY_INTERVAL_MS / 2..ANTI_ENTROPY_INTERVAL_MS);
            for (name, address) in self.members.sample(1, rng) {
                actions.push(self.sync_with(&name, address));
            }
        }
        actions
    }

    fn sync_round(&mut self, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<Action> {
        let generation = self.freshness.sync_generation();
        let mut actions = vec![Action::ReadConfig(generation), Action::ReadList(generation)];
        if self.freshness.needs_platform() {
            actions.push(Action::ReadNotices(self.notice_vms(), generation));
        }
        for candidate in self.members.candidates_to_call(SYNC_QUORUM, rng) {
            let heartbeat = self.build_heartbeat(now_ms);
            actions.push(Action::SendHeartbeat(candidate, heartbeat));
        }
        for (name, address) in self.members.sample(SYNC_QUORUM, rng) {
            actions.push(self.sync_with(&name, address));
        }
        actions
    }

    fn heartbeat_round(&mut self, rng: &mut impl Rng, now_ms: Millisecond) -> Vec<Action> {
        let mut actions = Vec::new();
        for target in self.members.heartbeat_targets(rng) {
            let mut message = self.build_heartbeat(now_ms);
            if let CallTarget::Member(name, _) = &target {
                let known = self.members.get(name);
                let unwell = known.filter(|r| r.health != Health::Alive);
                message.about_you = unwell.cloned();
            }
            actions.push(Action::SendHeartbeat(target, message));
        }
        actions
    }

    fn build_heartbeat(&mut self, now_ms: Millisecond) -> Heartbeat {
        let sends = 2 * self.members.alive_count().ilog2() + 2;
        Heartbeat {
            from: self.members.me().clone(),
            standing: self.freshness.standing(now_ms),
            config_version: self.config.version(),
            leaving: self.leaving.digest(),
            members: self.members.take_updates(),
            about_you: None,
            demand: self.demand.own_rows().to_vec(),
            fingerprints: self.fingerprints.take_least_sent(sends),
        }
    }

    fn on_heartbeat(
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
        self.demand
            .record_peer_demand(&from.name, heartbeat.demand, now_ms);
        actions.extend(self.add_fingerprints(heartbeat.fingerprints, rng));
        let newer = heartbeat.config_version > self.config.version();
        let differs = heartbeat.leaving != self.leaving.digest();
        if newer || (differs && now_ms >= self.next_digest_sync_ms) {
            self.next_digest_sync_ms = now_ms + DIGEST_SYNC_INTERVAL_MS;
            actions.push(self.sync_with(&from.name, from.address));
        }
        actions
    }

    fn sync_with(&mut self, name: &Name, address: SocketAddr) -> Action {
        let request = SyncRequest {
            from: self.members.me().clone(),
            config_version: self.config.version(),
            buckets: self.leaving.buckets(),
            members_after: self.next_page_after.clone(),
        };
        Action::SendSync(
            name.clone(),
            address,
            request,
            self.freshness.sync_generation(),
        )
    }

    fn on_sync_reply(
        &mut self,
        reply: SyncReply,
        generation: SyncGeneration,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let from = reply.from.clone();
        let known_before = self.members.known_count();
        let mut actions = Vec::new();
        self.next_page_after = match reply.members.get(RECORDS_PER_PAGE - 1) {
            Some(last) => last.name.clone(),
            None => "".into(),
        };
        for record in std::iter::once(reply.from).chain(reply.members) {
            actions.extend(report_health(self.members.merge(record, now_ms)));
        }
        self.members
            .note_config_version(&from.name, reply.config_version);
        if let Some(transfer) = reply.config {
            let adoption = self.config.adopt_transfer(transfer);
            actions.extend(self.after_adoption(adoption, rng));
        }
        let learned_members = self.members.known_count() > known_before;
        let marks_before = self.leaving.digest();
        actions.extend(self.mark_leaving(reply.leaving, now_ms, rng));
        let gained = self.leaving.digest() != marks_before;
        let complete = reply.leaving_part == Completeness::Whole
            && self.config.version() >= reply.config_version;
        if complete {
            let alive_others = self.members.alive_count() - 1;
            self.freshness
                .on_peer_synced(&from.name, reply.standing, generation, alive_others);
        }
        // After a page with unknown members or marks, the next page is requested at once, so that a
        // starting node knows a large fleet within a few round trips.
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
