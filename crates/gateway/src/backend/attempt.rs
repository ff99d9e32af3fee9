//! One attempt of a request at a server, which counts as load there while it lasts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::Name;
use base::outcome::RunState;
use base::units::{Millisecond, TokenCount};
use policy::suspect::{SuspectCandidate, Treatment};

use crate::backend::answer_summary::AnswerSummary;
use crate::backend::domains::{self, LeftDomain};
use crate::backend::gate::{self, Gate, Permit};
use crate::backend::load_report;
use crate::backend::pool::{ConnOrigin, Reuse};
use crate::backend::queues;
use crate::backend::server_faults;
use crate::belief::Server;
use crate::belief::registry::ServerState;
use crate::clock::unix_ms;
use crate::decide::backpressure::Availability;
use crate::decide::domain_exit::Refusal;
use crate::decide::outcome::FailureCause;
use crate::decide::placement::{
    Candidate, Choice, Demand, ENGINE_QUEUE_SHARE, PlacementView, brittle_slots, untried,
};
use crate::decide::rule::{TimeLimits, choose_in_time};
use crate::decide::service_speeds::FirstByte;
use crate::decide::shed::placed_limit_ms;
use crate::decide::speed::{Basis, Sample};
use crate::decide::timeouts::NoServer;
use crate::front::job::Job;
use crate::node::Node;
use crate::rollout::counts::Sample as RolloutSample;
use crate::rollout::filter::{AttemptOrder, keep_permitted};

/// Requests that may queue at a server without a model engine, as a fraction of its slots. Such
/// requests are short.
const PLAIN_QUEUE_SHARE: f64 = 1.0;

/// An attempt of a request, from the choice of the server to the end of its answer. Whether the
/// request counts as started is decided at the first byte, or when the attempt ends without one.
pub struct Attempt<'a> {
    pub server: Rc<Server>,
    /// When the server was chosen, or when the wait for a turn ended.
    pub started_ms: Millisecond,
    /// Predicted time to the first byte.
    pub predicted_ms: Millisecond,
    /// What the time was predicted from.
    pub basis: Box<Basis>,
    /// Prompt tokens of this request that the server must process: those not in its prefix cache.
    pub tokens_to_read: TokenCount,
    pub reuse: Reuse,
    /// Time from the choice of the server until the request may be sent.
    pub opens_in_ms: Millisecond,
    waiting_tokens: TokenCount,
    /// Set if the server is in another failure domain.
    left_domain: Option<LeftDomain>,
    ended: Cell<AttemptEnd>,
    permit: Option<Permit>,
    /// The attempt as evidence for its version.
    sample: RolloutSample,
    job: &'a Job<'a>,
}

/// Servers that an attempt is not sent to, or only if there is no other.
#[derive(Clone, Copy, Debug)]
pub struct Exclusions<'n> {
    /// Servers at which earlier attempts failed; used if there is no other.
    pub failed: &'n [Name],
    /// A server that is not used at all.
    pub excluded: Option<&'n Name>,
}

impl<'a> Attempt<'a> {
    /// Chooses a server for `job` and counts the request there. `run_state` says whether an earlier
    /// attempt may have run.
    ///
    /// # Errors
    ///
    /// Returns the reason if no server can take the request.
    pub fn place(
        job: &'a Job<'a>,
        exclusions: Exclusions<'_>,
        run_state: RunState,
    ) -> Result<Self, NoServer> {
        let Exclusions { failed, excluded } = exclusions;
        let node = job.node;
        let now_ms = node.now_ms();
        let gate = Gate::new(node);
        let order = match failed.is_empty() {
            true => AttemptOrder::First,
            false => AttemptOrder::Later,
        };
        let mut usable = usable_servers(node, job, &gate, order);
        usable.retain(|server| excluded != Some(&server.record.id));
        if usable.is_empty() && job.version().is_some() {
            return Err(NoServer::VersionGone);
        }
        let servers = untried(usable, failed);
        let view = PlacementView {
            prompt: &job.prompt,
            homes: domains::homes(node, &job.prompt, &servers),
            failure_domain: &node.settings.node.failure_domain,
            speed: (node.speeds.borrow()).speed(&job.service.name, first_byte(job), now_ms),
            others_age_ms: node.others_age_ms(),
            now_ms,
        };
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| {
                let availability = gate.availability(server);
                if let Availability::In { reason, .. } = availability {
                    node.metrics.count_withheld(reason);
                }
                let opens_in_ms = availability.wait_ms().unwrap_or(Millisecond::MAX);
                view.candidate(server, slots(node, job, server), opens_in_ms)
            })
            .collect();
        let limits = TimeLimits {
            left_ms: job.left_ms(),
            wait_ms: match run_state {
                RunState::NotRun => wait_limit(job),
                RunState::Unknown | RunState::Ran => None,
            },
        };
        let rule = node.settings.placing.rule;
        let mut exits = node.domain_exits.borrow_mut();
        let exit = exits.view(job, Refusal::after(run_state), &servers);
        let terms = exit.as_ref().map(|exit| exit.terms);
        let inputs = node.baseline_inputs();
        let chosen = choose_in_time(rule, &demand(job), &candidates, inputs, limits, exit)?;
        drop(exits);
        let choice = chosen.choice;
        let server = &servers[choice.index];
        let permit = gate.admit(server).ok_or(NoServer::None)?;
        let reuse = match failed.contains(&server.record.id) {
            true => Reuse::Never,
            false => Reuse::Allowed,
        };
        let basis = view.basis(server, &candidates[choice.index], &choice);
        let mut attempt = Self::begin(job, server, choice, basis, permit, reuse);
        attempt.left_domain = domains::record_choice(job, &chosen, server, terms.as_ref());
        Ok(attempt)
    }

    fn begin(
        job: &'a Job<'a>,
        server: &Rc<Server>,
        choice: Choice,
        basis: Basis,
        permit: Permit,
        reuse: Reuse,
    ) -> Self {
        let node = job.node;
        let now_ms = node.now_ms();
        server.begin_request(choice.tokens_to_read);
        server.reported.borrow_mut().record_send(now_ms);
        if let Some(engine) = &job.service.engine {
            let mut cache = server.cache.borrow_mut();
            cache.record(&job.prompt, engine.memory_tokens, now_ms);
            // Demand is counted in usual servers.
            let reading_ms = basis.speed.reading_ms(choice.tokens_to_read) / basis.factor;
            node.add_work(&job.service.name, reading_ms);
        }
        Self {
            server: server.clone(),
            started_ms: now_ms,
            predicted_ms: choice.first_byte_ms,
            basis: Box::new(basis),
            tokens_to_read: choice.tokens_to_read,
            reuse,
            opens_in_ms: permit.wait_ms(),
            waiting_tokens: choice.tokens_to_read,
            left_domain: None,
            ended: Cell::new(AttemptEnd::Unsent),
            permit: Some(permit),
            sample: RolloutSample::default(),
            job,
        }
    }

    /// Waits until the server may be sent the request.
    pub async fn wait_for_turn(&mut self) {
        if self.opens_in_ms == 0 {
            return;
        }
        // Turns open by the system clock, which may lag the timer by a fraction of a millisecond.
        tokio::time::sleep(Duration::from_millis(self.opens_in_ms + 1)).await;
        self.begin_turn();
    }

    /// Records that the turn to send the request has come.
    pub fn begin_turn(&mut self) {
        self.predicted_ms = self.predicted_ms.saturating_sub(self.opens_in_ms);
        self.opens_in_ms = 0;
        self.started_ms = self.job.node.now_ms();
    }

    /// Takes the permit to send the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the permit has already been taken.
    pub fn take_permit(&mut self) -> Result<Permit, FailureCause> {
        self.job.answer_summary.set(None);
        if let Some(left) = &self.left_domain {
            let bytes = self.job.request.body.len();
            self.job.node.metrics.count_left_domain(left, bytes);
        }
        let delivery = self.job.delivery.get();
        self.job
            .delivery
            .set(delivery.with_attempt(self.predicted_ms));
        self.ended.set(AttemptEnd::CallerLeftOrTimedOut);
        self.sample.note_sent(self.job, &self.server.record.version);
        self.permit.take().ok_or(FailureCause::Unreachable)
    }

    pub fn note_answer(&self, summary: AnswerSummary) {
        self.job.note_answer(summary);
        let version = &self.server.record.version;
        self.sample.note_answer(self.job, version, &summary);
        if summary.connection == ConnOrigin::Fresh {
            self.job.node.reach.borrow_mut().record_answer();
        }
        gate::note_answer(self.job.node, &self.server, &summary, self.started_ms);
        let request = self.job.id();
        load_report::note_answer(self.job.node, &self.server, request, &summary);
    }

    pub fn note_failure(&self, cause: FailureCause) {
        self.ended.set(AttemptEnd::Failed(cause.run_state()));
        let version = &self.server.record.version;
        self.sample.note_failure(self.job, version, cause);
    }

    /// Records the arrival of the first event of a stream, or of the head of another answer.
    pub fn note_first_byte(&mut self) {
        self.count_begun();
        let version = &self.server.record.version;
        self.sample.note_first_byte(self.job, version);
        let node = self.job.node;
        let now_ms = node.now_ms();
        let sample = Sample {
            work: self.basis.work,
            after_ms: now_ms - self.started_ms,
            factor: self.basis.factor,
        };
        let service = &self.job.service.name;
        let mut speeds = node.speeds.borrow_mut();
        speeds.record(service, first_byte(self.job), &sample, now_ms);
        drop(speeds);
        load_report::record_factor(&self.server, &self.basis, sample.after_ms, now_ms);
        let ratio = self.basis.ratio(sample.after_ms);
        node.metrics.observe_first_byte(service, ratio);
        let request = self.job.id();
        load_report::check(node, &self.server, request, &self.basis, sample.after_ms);
        domains::record_first_byte(self.job, &self.server, sample.after_ms, self.predicted_ms);
        self.release_waiting_tokens();
        queues::wake(self.job.node, &self.job.service.name);
    }

    /// Counts the request as started: a stream at its first token, others at the time of sending.
    fn count_begun(&self) {
        match self.job.route.kind.streams() {
            true => self.job.mark_begun(self.job.node.now_ms()),
            false => self.job.mark_begun(self.started_ms),
        }
    }

    fn release_waiting_tokens(&mut self) {
        self.server.release_tokens(self.waiting_tokens);
        self.waiting_tokens = 0;
    }
}

/// How an attempt without a first byte ended.
#[derive(Clone, Copy)]
enum AttemptEnd {
    Unsent,
    /// The caller disconnected, or the request timed out.
    CallerLeftOrTimedOut,
    /// The server or the connection failed; says whether the request may have run.
    Failed(RunState),
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let streams = self.job.route.kind.streams();
        self.sample.end(self.job);
        match self.ended.get() {
            AttemptEnd::Unsent | AttemptEnd::Failed(RunState::NotRun) => {}
            AttemptEnd::Failed(RunState::Unknown | RunState::Ran) => self.count_begun(),
            // A stream counts from its first token, which has not arrived.
            AttemptEnd::CallerLeftOrTimedOut if streams => {}
            AttemptEnd::CallerLeftOrTimedOut => self.count_begun(),
        }
        self.release_waiting_tokens();
        self.server.end_request();
        let now_ms = self.job.node.now_ms();
        self.server.reported.borrow_mut().record_end(now_ms);
        queues::wake(self.job.node, &self.job.service.name);
    }
}

/// Servers that take new requests, now or at a known later time.
fn usable_servers(
    node: &Node,
    job: &Job<'_>,
    gate: &Gate<'_>,
    order: AttemptOrder,
) -> Vec<Rc<Server>> {
    let registry = node.registry.borrow();
    let ready: Vec<Rc<Server>> = registry
        .of_service(&job.service.name)
        .iter()
        .filter(|s| s.record.state == ServerState::Ready)
        .filter(|s| job.version().is_none_or(|v| s.record.version == *v))
        .filter(|s| gate.availability(s).wait_ms().is_some())
        .cloned()
        .collect();
    let ready = restrict_suspect(node, job, server_faults::without_gone(node, ready));
    keep_permitted(node, job, ready, order)
}

/// Restricts a suspected request to this node's share of the servers, so that two nodes seldom send
/// suspects to the same server. The requests that run on each server are not considered.
fn restrict_suspect(node: &Node, job: &Job<'_>, servers: Vec<Rc<Server>>) -> Vec<Rc<Server>> {
    let suspects = node.suspects.borrow();
    if suspects.is_empty() {
        return servers;
    }
    let now_ms = unix_ms();
    if suspects.treatment(job.digest(), now_ms) != Treatment::Apart {
        return servers;
    }
    let mut candidates: Vec<SuspectCandidate> = servers
        .iter()
        .map(|server| SuspectCandidate {
            server: server.record.id.clone(),
            digests: Vec::new(),
        })
        .collect();
    candidates.sort_by(|a, b| a.server.cmp(&b.server));
    let share = node.peers.borrow().share(&node.settings.node.name);
    let own = suspects.servers_for_suspect(&candidates, share, now_ms);
    let kept = servers.iter().filter(|s| own.contains(&s.record.id));
    kept.cloned().collect()
}

/// Longest time that queued work may take before this request; `None` if the service has no model
/// engine or no target.
fn wait_limit(job: &Job<'_>) -> Option<Millisecond> {
    let limit_ms = job.node.queues.wait_limit_ms(job)?;
    let due_in_ms = queues::due_ms(job).saturating_sub(job.node.now_ms());
    let own_room_ms = due_in_ms.saturating_sub(job.work_ms());
    Some(placed_limit_ms(limit_ms, own_room_ms))
}

/// What ends at the first byte of the answer.
pub fn first_byte(job: &Job<'_>) -> FirstByte {
    match job.route.kind.streams() {
        true => FirstByte::Event,
        false => FirstByte::Answer,
    }
}

fn demand(job: &Job<'_>) -> Demand {
    Demand::of(&job.prompt, queue_share(job))
}

fn queue_share(job: &Job<'_>) -> f64 {
    match job.service.engine {
        Some(_) => ENGINE_QUEUE_SHARE,
        None => PLAIN_QUEUE_SHARE,
    }
}

/// Slots of a server, or 0 when this node has used up its share of the server's connections.
fn slots(node: &Node, job: &Job<'_>, server: &Server) -> u32 {
    let share = job.service.connections_limit / node.node_count() as u32;
    let free = share.max(1).saturating_sub(server.running.get());
    match free {
        0 => 0,
        _ if server.flow.backpressure.borrow().is_brittle() => {
            brittle_slots(server.record.slots, queue_share(job))
        }
        _ => server.record.slots,
    }
}
