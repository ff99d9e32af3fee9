//! A request while it is served: counted, and reported when it ends.

use std::cell::Cell;

use base::outcome::RunState;
use base::units::Millisecond;
use serde::Serialize;

use super::job::{Begun, Job};
use super::serve::Served;
use crate::backend::seen::Seen;
use crate::clock::unix_ms;
use crate::metrics::Outcome;

/// A request while it is served; one that is dropped was left by its caller.
pub struct Running<'a, 'b> {
    job: &'a Job<'b>,
    started_ms: Millisecond,
    ended: Cell<Ended>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ended {
    Yes,
    No,
}

#[derive(Serialize)]
struct FinishedFields<'a> {
    request: Option<&'a str>,
    route: &'a str,
    kind: &'static str,
    service: &'a str,
    workspace: Option<&'a str>,
    outcome: &'static str,
    status: u16,
    code: Option<&'static str>,
    run_state: Option<RunState>,
    answer: Option<Seen>,
    took_ms: Millisecond,
    left_ms: Millisecond,
    tokens: u64,
}

impl<'a, 'b> Running<'a, 'b> {
    /// Counts a request as served from now on.
    pub fn begin(job: &'a Job<'b>) -> Self {
        job.node.in_flight.set(job.node.in_flight.get() + 1);
        Self {
            job,
            started_ms: job.node.now_ms(),
            ended: Cell::new(Ended::No),
        }
    }

    /// Takes in how it ended, and gives back its charge if it did not run.
    pub fn end(self, served: &Served) {
        self.ended.set(Ended::Yes);
        let (outcome, status, code) = match served {
            Served::Passed { status } => (Outcome::Passed, *status, None),
            Served::Own(reply) => (Outcome::Own, reply.status, Some(reply.code)),
            Served::BrokenOff => (Outcome::BrokenOff, 0, None),
            Served::CallerGone => (Outcome::CallerGone, 0, None),
        };
        if let Served::Own(reply) = served
            && reply.run_state == RunState::NotRun
            && self.job.begun.get() == Begun::No
        {
            self.job.refund();
        }
        if outcome == Outcome::Passed && !self.job.node.suspects.borrow().is_empty() {
            let mut suspects = self.job.node.suspects.borrow_mut();
            suspects.completed(self.job.digest(), unix_ms());
        }
        self.report(outcome, status, code, run_state(served));
    }

    fn report(
        &self,
        outcome: Outcome,
        status: u16,
        code: Option<&'static str>,
        run_state: Option<RunState>,
    ) {
        let job = self.job;
        let took_ms = job.node.now_ms() - self.started_ms;
        job.node
            .metrics
            .count_request(job.route.kind, outcome, took_ms);
        let fields = FinishedFields {
            request: job.id(),
            route: &job.route.name,
            kind: job.route.kind.label(),
            service: &job.service.name,
            workspace: job.workspace.as_ref().map(|w| &*w.name),
            outcome: outcome.label(),
            status,
            code,
            run_state,
            answer: job.seen.get(),
            took_ms,
            left_ms: job.left_ms(),
            tokens: job.cost as u64,
        };
        crate::log::emit(events::Code::RequestFinished, &fields);
    }
}

impl Drop for Running<'_, '_> {
    fn drop(&mut self) {
        let node = self.job.node;
        node.in_flight.set(node.in_flight.get().saturating_sub(1));
        if self.ended.get() == Ended::No {
            self.report(Outcome::CallerGone, 0, None, None);
        }
    }
}

/// What the caller was told of the request, if it was told anything.
fn run_state(served: &Served) -> Option<RunState> {
    match served {
        Served::Passed { .. } => Some(RunState::Ran),
        Served::Own(reply) => Some(reply.run_state),
        Served::BrokenOff | Served::CallerGone => None,
    }
}
