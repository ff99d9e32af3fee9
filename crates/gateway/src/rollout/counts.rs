//! Outcomes of this node's requests, by version and route, while an order runs.

use std::cell::Cell;

use base::units::Millisecond;
use base::{Map, Name};

use super::is_on;
use crate::backend::answer_summary::{AnswerSummary, NotRunMark};
use crate::decide::outcome::FailureCause;
use crate::decide::rollout::{Outcomes, RolloutState};
use crate::front::job::Job;
use crate::node::Node;

/// A response is slow if its first byte takes more than this multiple of the usual time. Bad
/// versions take 8 times as long; neighbours slow servers 2.5 times.
const SLOW_FACTOR: f64 = 3.0;

/// Shortest time that counts as slow.
const SLOW_LEAST_MS: f64 = 30.0;

/// Weight of a new sample in the usual time to the first byte.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Lowest status that counts as a failure.
const SERVER_ERROR: u16 = 500;

/// Most versions and routes that are counted.
const COUNTS_LIMIT: usize = 64;

type CountKey = (Name, Name);

/// Outcomes by version and route, and the requests whose outcome is not known yet.
#[derive(Debug, Default)]
pub struct OwnCounts {
    outcomes: Map<CountKey, Outcomes>,
    pending: Map<u64, Pending>,
    last_number: u64,
}

#[derive(Debug)]
struct Pending {
    key: CountKey,
    sent_ms: Millisecond,
    slow_after_ms: Millisecond,
}

/// How a request ended, as evidence for its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    Failed,
    /// It did not run, or the caller left: no evidence, unless it took too long.
    Unknown,
}

impl OwnCounts {
    /// Counts a request as sent. Returns its number.
    pub fn send(
        &mut self,
        version: Name,
        route: Name,
        now_ms: Millisecond,
        slow_after_ms: Millisecond,
    ) -> Option<u64> {
        let key = (version, route);
        if self.outcomes.len() >= COUNTS_LIMIT && !self.outcomes.contains_key(&key) {
            return None;
        }
        self.outcomes.entry(key.clone()).or_default().sent += 1;
        self.last_number += 1;
        let pending = Pending {
            key,
            sent_ms: now_ms,
            slow_after_ms,
        };
        self.pending.insert(self.last_number, pending);
        Some(self.last_number)
    }

    /// Counts the outcome of a request, unless it has been counted as slow.
    pub fn settle(&mut self, number: u64, ending: Ending, now_ms: Millisecond) {
        self.mark_overdue(now_ms);
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let outcomes = self.outcomes.entry(pending.key).or_default();
        match ending {
            Ending::Unknown => {}
            Ending::Answered => outcomes.responses += 1,
            Ending::Failed => {
                outcomes.responses += 1;
                outcomes.failures += 1;
            }
        }
    }

    /// Counts a failure after the first byte, or of a request that was slow before.
    pub fn fail_later(&mut self, version: &Name, route: &Name) {
        let key = (version.clone(), route.clone());
        if let Some(outcomes) = self.outcomes.get_mut(&key) {
            outcomes.failures += 1;
        }
    }

    /// Counts requests that have taken too long. They may take much longer, and the version is to be
    /// judged before.
    pub fn mark_overdue(&mut self, now_ms: Millisecond) {
        let is_overdue = |p: &Pending| now_ms.saturating_sub(p.sent_ms) > p.slow_after_ms;
        let overdue = self.pending.extract_if(|_, p| is_overdue(p));
        for (_, pending) in overdue {
            let outcomes = self.outcomes.entry(pending.key).or_default();
            outcomes.responses += 1;
            outcomes.slow += 1;
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Name, Outcomes)> {
        let outcomes = self.outcomes.iter();
        outcomes.map(|((version, route), outcomes)| (version, route, *outcomes))
    }
}

/// One attempt, as a sample of its server's version.
#[derive(Debug, Default)]
pub struct Sample {
    number: Cell<Option<u64>>,
    revision: Cell<u64>,
    sent_ms: Cell<Millisecond>,
    has_failed: Cell<bool>,
    has_begun: Cell<bool>,
}

impl Sample {
    /// Records that the request is sent to a server of `version`.
    pub fn note_sent(&self, job: &Job<'_>, version: &Name) {
        let node = job.node;
        if !is_on(node) {
            return;
        }
        let now_ms = node.now_ms();
        self.sent_ms.set(now_ms);
        let mut rollouts = node.rollouts.borrow_mut();
        let key = (job.service.name.clone(), job.route.name.clone());
        let usual_ms = rollouts.usual_ms.get(&key).copied();
        let usual_ms = usual_ms.unwrap_or(job.route.target_ms as f64);
        let slow_after_ms = (usual_ms * SLOW_FACTOR).max(SLOW_LEAST_MS) as Millisecond;
        let Some(rollout) = rollouts.by_service.get_mut(&key.0) else {
            return;
        };
        if rollout.state != RolloutState::Running {
            return;
        }
        self.revision.set(rollout.order.revision);
        let (version, route) = (version.clone(), key.1);
        let number = rollout.own.send(version, route, now_ms, slow_after_ms);
        self.number.set(number);
    }

    /// Records the head of an answer.
    pub fn note_answer(&self, job: &Job<'_>, version: &Name, summary: &AnswerSummary) {
        if summary.status >= SERVER_ERROR && summary.mark == NotRunMark::None {
            self.fail(job, version);
        }
    }

    /// Records that the attempt failed.
    pub fn note_failure(&self, job: &Job<'_>, version: &Name, cause: FailureCause) {
        match cause {
            FailureCause::Broken
            | FailureCause::Garbled
            | FailureCause::BareRefusal
            | FailureCause::Failed => self.fail(job, version),
            FailureCause::Unreachable
            | FailureCause::Withheld(_)
            | FailureCause::Refused
            | FailureCause::Misdirected
            | FailureCause::Unheld
            | FailureCause::Silent => self.settle(job.node, job, Ending::Unknown),
        }
    }

    /// Records the first event of a stream, or the head of another answer.
    pub fn note_first_byte(&self, job: &Job<'_>, version: &Name) {
        let node = job.node;
        if !is_on(node) || self.has_failed.get() {
            return;
        }
        self.has_begun.set(true);
        self.settle(node, job, Ending::Answered);
        let mut rollouts = node.rollouts.borrow_mut();
        let rollout = rollouts.by_service.get(&job.service.name);
        if rollout.is_some_and(|r| r.order.to == *version && r.state == RolloutState::Running) {
            return;
        }
        let took_ms = node.now_ms().saturating_sub(self.sent_ms.get()) as f64;
        let key = (job.service.name.clone(), job.route.name.clone());
        let usual_ms = rollouts.usual_ms.entry(key).or_insert(took_ms);
        *usual_ms += (took_ms - *usual_ms) * SAMPLE_WEIGHT;
    }

    /// Records that the attempt is over.
    pub fn end(&self, job: &Job<'_>) {
        self.settle(job.node, job, Ending::Unknown);
    }

    fn fail(&self, job: &Job<'_>, version: &Name) {
        if self.has_failed.replace(true) {
            return;
        }
        let has_begun = self.has_begun.get();
        if !has_begun {
            return self.settle(job.node, job, Ending::Failed);
        }
        let mut rollouts = job.node.rollouts.borrow_mut();
        let rollout = rollouts.by_service.get_mut(&job.service.name);
        if let Some(rollout) = rollout.filter(|r| r.order.revision == self.revision.get()) {
            rollout.own.fail_later(version, &job.route.name);
        }
    }

    fn settle(&self, node: &Node, job: &Job<'_>, ending: Ending) {
        let Some(number) = self.number.take() else {
            return;
        };
        let mut rollouts = node.rollouts.borrow_mut();
        let rollout = rollouts.by_service.get_mut(&job.service.name);
        if let Some(rollout) = rollout.filter(|r| r.order.revision == self.revision.get()) {
            rollout.own.settle(number, ending, node.now_ms());
        }
    }
}
