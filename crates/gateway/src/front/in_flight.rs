//! Counts a request while it is served, and reports how it ended.

use std::cell::Cell;

use base::outcome::RunState;
use base::units::Millisecond;
use serde::Serialize;

use super::job::{Job, MayHaveRun};
use super::serve::ServeOutcome;
use crate::backend::answer_summary::AnswerSummary;
use crate::backend::quarantine;
use crate::clock::unix_ms;
use crate::metrics::RequestOutcome;

/// Guard of a request that is being served. Dropping it without [`InFlightRequest::end`] reports
/// that the caller disconnected, or that the task panicked.
pub struct InFlightRequest<'a, 'b> {
    job: &'a Job<'b>,
    started_ms: Millisecond,
    ended: Cell<EndReported>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum EndReported {
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
    answer: Option<AnswerSummary>,
    took_ms: Millisecond,
    left_ms: Millisecond,
    /// Time from the arrival of the request to the first event or byte that was passed on.
    first_byte_ms: Option<Millisecond>,
    /// Target for `first_byte_ms`.
    target_ms: Millisecond,
    /// Longest time between two events that were passed on; streams only.
    longest_pause_ms: Option<Millisecond>,
    /// Target for `longest_pause_ms`.
    pause_target_ms: Option<Millisecond>,
    /// Predicted time to first byte of the last attempt.
    predicted_ms: Option<Millisecond>,
    tokens: u64,
}

impl<'a, 'b> InFlightRequest<'a, 'b> {
    /// Starts counting the request as in flight.
    pub fn begin(job: &'a Job<'b>) -> Self {
        job.node.in_flight.set(job.node.in_flight.get() + 1);
        Self {
            job,
            started_ms: job.node.now_ms(),
            ended: Cell::new(EndReported::No),
        }
    }

    /// Reports the outcome, and refunds the charge if the request did not run.
    pub fn end(self, served: &ServeOutcome) {
        let (outcome, status, code) = match served {
            ServeOutcome::Passed { status } => (RequestOutcome::Passed, *status, None),
            ServeOutcome::Local(reply) => {
                (RequestOutcome::LocalReply, reply.status, Some(reply.code))
            }
            ServeOutcome::BrokenOff => (RequestOutcome::BrokenOff, 0, None),
            ServeOutcome::CallerGone => (RequestOutcome::CallerGone, 0, None),
        };
        if let ServeOutcome::Local(reply) = served
            && reply.run_state == RunState::NotRun
            && self.job.may_have_run.get() == MayHaveRun::No
        {
            self.job.refund();
        }
        if outcome == RequestOutcome::Passed && !self.job.node.suspects.borrow().is_empty() {
            let mut suspects = self.job.node.suspects.borrow_mut();
            suspects.completed(self.job.digest(), unix_ms());
        }
        if outcome == RequestOutcome::Passed && (200..300).contains(&status) {
            let service = &self.job.service.name;
            let parts = || self.job.prompt.shared_parts();
            quarantine::record_completion(self.job.node, service, parts);
        }
        self.ended.set(EndReported::Yes);
        self.report(outcome, status, code, run_state(served));
    }

    fn report(
        &self,
        outcome: RequestOutcome,
        status: u16,
        code: Option<&'static str>,
        run_state: Option<RunState>,
    ) {
        let job = self.job;
        let took_ms = job.node.now_ms() - self.started_ms;
        job.node
            .metrics
            .count_request(job.route.kind, outcome, took_ms);
        let delivery = job.delivery.get();
        let streams = job.route.kind.streams();
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
            answer: job.answer_summary.get(),
            took_ms,
            left_ms: job.left_ms(),
            first_byte_ms: delivery.first_byte_ms(job.request.received_ms),
            target_ms: job.route.target_ms,
            longest_pause_ms: delivery.longest_pause_ms().filter(|_| streams),
            pause_target_ms: job.route.gap_target_ms.filter(|_| streams),
            predicted_ms: delivery.predicted_ms(),
            tokens: job.cost as u64,
        };
        crate::log::emit(events::Code::RequestFinished, &fields);
    }
}

impl Drop for InFlightRequest<'_, '_> {
    fn drop(&mut self) {
        let node = self.job.node;
        node.in_flight.set(node.in_flight.get().saturating_sub(1));
        if self.ended.get() == EndReported::No {
            let outcome = match std::thread::panicking() {
                true => RequestOutcome::Panicked,
                false => RequestOutcome::CallerGone,
            };
            self.report(outcome, 0, None, None);
        }
    }
}

/// What the caller can tell from the answer about whether the request ran; `None` without a whole
/// answer.
fn run_state(served: &ServeOutcome) -> Option<RunState> {
    match served {
        ServeOutcome::Passed { .. } => Some(RunState::Ran),
        ServeOutcome::Local(reply) => Some(reply.run_state),
        ServeOutcome::BrokenOff | ServeOutcome::CallerGone => None,
    }
}
