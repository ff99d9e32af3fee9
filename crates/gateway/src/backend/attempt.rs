//! One sending of a request to a server, counted for as long as it lasts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::Name;
use base::outcome::RunState;
use base::units::{Millisecond, TokenCount};
use policy::suspect::{Candidate as SuspectCandidate, Treatment};

use crate::backend::gate::{self, Gate, Permit};
use crate::backend::pool::Reuse;
use crate::backend::seen::Seen;
use crate::belief::Server;
use crate::belief::registry::ServerState;
use crate::clock::unix_ms;
use crate::decide::backpressure::Opening;
use crate::decide::outcome::Cause;
use crate::decide::patience::NoServer;
use crate::decide::place::{Candidate, Choice, Demand, ENGINE_QUEUE_SHARE, View, home, untried};
use crate::decide::rule::{Limits, pick};
use crate::decide::shed::wait_limit_ms;
use crate::front::job::Job;
use crate::node::Node;

/// Requests that may wait at a plain server beyond its slots, as a part of them: they are short.
const PLAIN_QUEUE_SHARE: f64 = 1.0;

/// A request at a server, from the choice to the end of its answer. Whether the request counts as
/// begun is known at the first byte, or when the attempt ends without one.
pub struct Attempt<'a> {
    /// The server.
    pub server: Rc<Server>,
    /// When it was chosen.
    pub started_ms: Millisecond,
    /// Predicted time to the first byte.
    pub predicted_ms: Millisecond,
    /// Prompt tokens that had to be read before the first event, this request's own included.
    pub tokens_ahead: TokenCount,
    /// Prompt tokens that the server must read for this request.
    pub tokens_to_read: TokenCount,
    /// Which connection the request may be sent on.
    pub reuse: Reuse,
    /// Time until it may be sent, from when it was chosen.
    pub opens_in_ms: Millisecond,
    waiting_tokens: TokenCount,
    ended: Cell<Ended>,
    permit: Option<Permit>,
    job: &'a Job<'a>,
}

impl<'a> Attempt<'a> {
    /// Chooses a server for `job` and counts the request there; `avoid` names servers that failed
    /// it before, and `run_state` tells what is known of them.
    ///
    /// # Errors
    ///
    /// No server can take it.
    pub fn place(job: &'a Job<'a>, avoid: &[Name], run_state: RunState) -> Result<Self, NoServer> {
        let node = job.node;
        let now_ms = node.now_ms();
        let gate = Gate::new(node);
        let servers = untried(usable(node, job, &gate), avoid);
        let view = View {
            prompt: &job.prompt,
            home: home(&job.prompt, &servers),
            failure_domain: &node.settings.node.failure_domain,
            now_ms,
        };
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| {
                let opening = gate.opening(server);
                if let Opening::In { reason, .. } = opening {
                    node.metrics.count_withheld(reason);
                }
                let opens_in_ms = opening.wait_ms().unwrap_or(Millisecond::MAX);
                view.candidate(server, slots(node, job, server), opens_in_ms)
            })
            .collect();
        let limits = Limits {
            left_ms: job.left_ms(),
            wait_ms: match run_state {
                RunState::NotRun => wait_limit(job),
                RunState::Unknown | RunState::Ran => None,
            },
        };
        let rule = node.settings.placing.rule;
        let choice = pick(
            rule,
            &demand(job),
            &candidates,
            node.selection_seed(),
            limits,
        )?;
        let server = &servers[choice.place];
        let permit = gate.admit(server).ok_or(NoServer::None)?;
        let reuse = match avoid.contains(&server.record.id) {
            true => Reuse::Never,
            false => Reuse::Allowed,
        };
        Ok(Self::begin(job, server, choice, permit, reuse))
    }

    fn begin(
        job: &'a Job<'a>,
        server: &Rc<Server>,
        choice: Choice,
        permit: Permit,
        reuse: Reuse,
    ) -> Self {
        let node = job.node;
        let now_ms = node.now_ms();
        job.seen.set(None);
        let tokens_ahead = server.begin_request(choice.tokens_to_read);
        if let Some(engine) = &job.service.engine {
            let mut cache = server.cache.borrow_mut();
            cache.note(&job.prompt, engine.memory_tokens, now_ms);
            let speed = server.speed.borrow();
            let reading_ms = speed.reading_ms(choice.tokens_to_read);
            node.add_work(&job.service.name, reading_ms);
        }
        Self {
            server: server.clone(),
            started_ms: now_ms,
            predicted_ms: choice.first_ms,
            tokens_ahead,
            tokens_to_read: choice.tokens_to_read,
            reuse,
            opens_in_ms: permit.wait_ms(),
            waiting_tokens: choice.tokens_to_read,
            ended: Cell::new(Ended::Unsent),
            permit: Some(permit),
            job,
        }
    }

    /// Waits until the server may get the request.
    pub async fn open(&mut self) {
        if self.opens_in_ms == 0 {
            return;
        }
        // The calendar's clock, by which turns open, may lag the timer's by a part of a millisecond.
        tokio::time::sleep(Duration::from_millis(self.opens_in_ms + 1)).await;
        self.predicted_ms = self.predicted_ms.saturating_sub(self.opens_in_ms);
        self.started_ms = self.job.node.now_ms();
    }

    /// The right to send the request, once.
    ///
    /// # Errors
    ///
    /// It has been used.
    pub fn permit(&mut self) -> Result<Permit, Cause> {
        self.ended.set(Ended::LeftOrOverdue);
        self.permit.take().ok_or(Cause::Unreachable)
    }

    /// Takes note of where the server's answer came from.
    pub fn note_answer(&self, seen: Seen) {
        self.job.answered(seen);
        gate::note_answer(self.job.node, &self.server, &seen.signals, self.started_ms);
    }

    /// Takes note of how it failed.
    pub fn failed(&self, cause: Cause) {
        self.ended.set(Ended::Failed(cause.run_state()));
    }

    /// Takes note of the first event, or of the answer.
    pub fn first_byte(&mut self) {
        self.begun();
        let after_ms = self.job.node.now_ms() - self.started_ms;
        let mut speed = self.server.speed.borrow_mut();
        speed.saw_first(self.tokens_ahead, after_ms);
        drop(speed);
        self.prompt_read();
    }

    /// Counts the request as begun: a stream with its first token, another one with its sending.
    fn begun(&self) {
        match self.job.route.kind.streams() {
            true => self.job.begin(self.job.node.now_ms()),
            false => self.job.begin(self.started_ms),
        }
    }

    fn prompt_read(&mut self) {
        self.server.release_tokens(self.waiting_tokens);
        self.waiting_tokens = 0;
    }
}

/// How an attempt ended that gave no first byte.
#[derive(Clone, Copy)]
enum Ended {
    /// It was not sent.
    Unsent,
    /// The caller left, or its time was up.
    LeftOrOverdue,
    /// The server or the way to it failed; what is known of the run.
    Failed(RunState),
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let streams = self.job.route.kind.streams();
        match self.ended.get() {
            Ended::Unsent | Ended::Failed(RunState::NotRun) => {}
            Ended::Failed(RunState::Unknown | RunState::Ran) => self.begun(),
            // A stream begins with its first token, which has not come.
            Ended::LeftOrOverdue if streams => {}
            Ended::LeftOrOverdue => self.begun(),
        }
        self.prompt_read();
        self.server.end_request();
        self.job.node.capacity_changed.notify_one();
    }
}

/// Servers that take new work, now or later.
fn usable(node: &Node, job: &Job<'_>, gate: &Gate<'_>) -> Vec<Rc<Server>> {
    let registry = node.registry.borrow();
    let ready: Vec<Rc<Server>> = registry
        .of_service(&job.service.name)
        .iter()
        .filter(|s| s.record.state == ServerState::Ready)
        .filter(|s| gate.opening(s).wait_ms().is_some())
        .cloned()
        .collect();
    apart(node, job, ready)
}

/// A suspected request is kept to this node's share of the servers, so that nodes seldom pick one
/// for two suspects. What runs on each server is not looked at.
fn apart(node: &Node, job: &Job<'_>, servers: Vec<Rc<Server>>) -> Vec<Rc<Server>> {
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

/// Longest time that the work of others may take before a request; `None` where nothing tells of it.
fn wait_limit(job: &Job<'_>) -> Option<Millisecond> {
    job.service.engine.as_ref()?;
    let share = job.node.settings.placing.wait_share;
    let shortest_ms = job.service.shortest_target_ms?;
    Some(wait_limit_ms(shortest_ms, share, job.priority()))
}

fn demand(job: &Job<'_>) -> Demand {
    let queue_share = match job.service.engine {
        Some(_) => ENGINE_QUEUE_SHARE,
        None => PLAIN_QUEUE_SHARE,
    };
    Demand::of(&job.prompt, queue_share)
}

/// Places at a server: its slots, or its connections where this node's share of them is smaller.
fn slots(node: &Node, job: &Job<'_>, server: &Server) -> u32 {
    let share = job.service.connections_limit / node.node_count() as u32;
    let free = share.max(1).saturating_sub(server.running.get());
    match free {
        0 => 0,
        _ => server.record.slots,
    }
}
