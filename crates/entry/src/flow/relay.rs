//! Drives one answer: chooses a server, sends an attempt, reads its answer, and resumes at another
//! server when an attempt ends early.
//!
//! The reader pulls events from a relay, so a slow caller exerts backpressure on the backend
//! server. A caller that disconnects drops the relay, which cancels the attempt.

use std::sync::Arc;

use base::Name;
use base::ids::RequestId;
use base::outcome::RunState;
use base::units::Millisecond;
use chart::Instance;
use engine::chat::{Choice, Usage};
use policy::retry::RequestBudget;
use policy::route::{Effect, RouteRequest};
use policy::suspect::RequestDigest;
use tokio::sync::watch;

use super::failed_attempt::FailedAttempt;
use super::live::{LiveAttempt, route_request};
use super::phase::Phase;
use super::record::{Progress, SharedRecord};
use super::{Drain, Flow};
use crate::front::CallerError;

/// One event of an answer, as its reader gets it.
#[derive(Debug)]
pub enum AnswerEvent {
    /// New text.
    Text {
        /// The text.
        text: String,
        /// Other fields of the chunk's choice, such as tool calls.
        choice: Option<Choice>,
        /// Bytes of text relayed so far, this text included.
        offset: usize,
    },
    /// The answer is complete.
    Finish {
        /// Reason for the end of generation.
        reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The answer continues at another entry VM or in a newer relay.
    Moved,
    /// The request failed.
    Failed(CallerError),
}

/// Drives one answer for one reader.
pub struct Relay {
    pub(super) flow: Arc<Flow>,
    pub(super) record: SharedRecord,
    pub(super) epoch: u64,
    pub(super) id: RequestId,
    pub(super) route_request: RouteRequest,
    pub(super) budget: RequestBudget,
    pub(super) digest: Option<RequestDigest>,
    pub(super) phase: Instance,
    pub(super) live: Option<LiveAttempt>,
    pub(super) failed_attempt: Option<FailedAttempt>,
    pub(super) error: Option<CallerError>,
    pub(super) next_server: Option<Name>,
    pub(super) drain: watch::Receiver<Drain>,
    pub(super) acceptance: Acceptance,
}

/// Whether the caller has received the head of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// No head was sent, so the request can still be refused.
    Pending,
    /// The head was sent, so the answer must follow.
    Accepted,
}

impl Relay {
    /// Creates a relay and makes it the record's only writer.
    pub fn open(flow: Arc<Flow>, record: SharedRecord, priority: u8) -> Self {
        let epoch = record.take_over();
        let (id, route_request, budget) = {
            let held = record.lock();
            let deadline_ms = flow.clock.now_ms() + held.remaining_ms;
            let failed_limit = flow.retries.max_attempts(&held.service);
            let mut budget = RequestBudget::new(Effect::Idempotent, failed_limit, deadline_ms);
            budget.failed = held.failed;
            if held.tokens > 0 {
                budget.run_state = RunState::Ran;
            }
            (held.id, route_request(&held, priority), budget)
        };
        let phase = flow.chart.start();
        let drain = flow.drain.clone();
        Self {
            flow,
            record,
            epoch,
            id,
            route_request,
            budget,
            digest: None,
            phase,
            live: None,
            failed_attempt: None,
            error: None,
            next_server: None,
            drain,
            acceptance: Acceptance::Pending,
        }
    }

    /// The record this relay writes.
    pub fn record(&self) -> &SharedRecord {
        &self.record
    }

    /// Makes attempts until a backend server has begun its answer.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the request fails or moves to another entry VM.
    pub async fn begin(&mut self) -> Result<(), CallerError> {
        loop {
            match self.phase() {
                Phase::Streaming | Phase::Done => return Ok(()),
                Phase::Moved => {
                    self.wait_for_handover().await;
                    return Err(CallerError::moved());
                }
                Phase::Failed => return Err(self.take_error()),
                Phase::Routing | Phase::Sending | Phase::Waiting => self.advance().await,
            }
        }
    }

    /// The next event of the answer. [`AnswerEvent::Finish`], `Moved` and `Failed` are final.
    pub async fn next(&mut self) -> AnswerEvent {
        self.acceptance = Acceptance::Accepted;
        if let Some(whole) = self.finished() {
            return whole;
        }
        loop {
            match self.phase() {
                Phase::Streaming => {
                    if let Some(piece) = self.read().await {
                        return piece;
                    }
                }
                Phase::Done => return self.finished().unwrap_or(AnswerEvent::Moved),
                Phase::Moved => {
                    self.wait_for_handover().await;
                    return AnswerEvent::Moved;
                }
                Phase::Failed => return AnswerEvent::Failed(self.take_error()),
                Phase::Routing | Phase::Sending | Phase::Waiting => self.advance().await,
            }
        }
    }

    /// In a drain, waits until the peers have the record, so that a caller that reconnects finds
    /// it.
    async fn wait_for_handover(&mut self) {
        if *self.drain.borrow() == Drain::Cut {
            let _ = self
                .drain
                .wait_for(|drain| *drain == Drain::HandedOver)
                .await;
        }
    }

    fn phase(&self) -> Phase {
        Phase::named(self.phase.state())
    }

    async fn advance(&mut self) {
        match self.phase() {
            Phase::Routing if self.token_limit_reached() => self.complete_at_token_limit(),
            Phase::Routing => self.route(),
            Phase::Sending => self.send().await,
            Phase::Waiting => self.wait().await,
            Phase::Streaming | Phase::Moved | Phase::Done | Phase::Failed => {}
        }
    }

    pub(super) fn stop(&mut self, event: &str) {
        self.live = None;
        let remaining_ms = self.remaining_ms();
        {
            let mut record = self.record.lock();
            if record.epoch == self.epoch {
                record.remaining_ms = remaining_ms;
            }
        }
        self.phase.apply(event);
    }

    fn finished(&self) -> Option<AnswerEvent> {
        let record = self.record.lock();
        match &record.progress {
            Progress::Open => None,
            Progress::Done { finish_reason } => Some(AnswerEvent::Finish {
                reason: finish_reason.clone(),
                usage: record.usage,
            }),
        }
    }

    fn take_error(&mut self) -> CallerError {
        self.error.clone().unwrap_or_else(CallerError::moved)
    }

    pub(super) fn remaining_ms(&self) -> Millisecond {
        self.budget
            .deadline_ms
            .saturating_sub(self.flow.clock.now_ms())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let remaining_ms = self.remaining_ms();
        {
            let mut record = self.record.lock();
            if record.epoch == self.epoch {
                record.remaining_ms = remaining_ms;
            }
        }
        let now_ms = self.flow.clock.now_ms();
        self.flow.store.set_idle(self.id, self.epoch, now_ms);
    }
}

pub(super) async fn drain_cut(drain: &mut watch::Receiver<Drain>) {
    let closed = drain.wait_for(|drain| *drain != Drain::Open).await.is_err();
    if closed {
        std::future::pending::<()>().await;
    }
}
