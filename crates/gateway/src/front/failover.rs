//! Waits for a server, and moves the request to another one that takes it if the server is silent.

use std::pin::pin;
use std::time::Duration;

use base::outcome::RunState;
use base::units::Millisecond;
use serde::Serialize;
use tokio::time::{Instant, sleep_until};

use super::attempts::Attempts;
use super::local_reply::LocalReply;
use super::request::RequestSource;
use super::serve::AnswerProgress;
use crate::backend::attempt::{Attempt, Exclusions};
use crate::backend::{reach, server_faults};
use crate::decide::outcome::{FailureCause, NextAction};
use crate::decide::reach::Reach;
use crate::decide::retry_budget::RetryPermit;
use crate::decide::silence::{
    Handover, Quarantine, SilenceAction, SilentAttempt, StayReason, Successors,
};
use crate::decide::timeouts::{NoServer, SilenceTimeout};

/// Shortest time between two searches for another server.
const SEARCH_PERIOD: Duration = Duration::from_millis(100);

/// The silence of one attempt's server, from its last progress with the request.
pub struct Silence<'a> {
    since: Instant,
    timeout: SilenceTimeout,
    progress: AnswerProgress,
    /// When another server is next looked for; `None` before the first search.
    search_at: Option<Instant>,
    /// The next server, until this node's turn to send to it.
    successor: Option<Attempt<'a>>,
    /// Why the request is still at its server after the last search.
    stay_reason: Option<StayReason>,
}

impl Silence<'_> {
    /// A silence that begins now.
    pub fn new(timeout: SilenceTimeout, progress: AnswerProgress) -> Self {
        Self {
            since: Instant::now(),
            timeout,
            progress,
            search_at: None,
            successor: None,
            stay_reason: None,
        }
    }

    fn search_at(&self) -> Option<Instant> {
        match self.timeout {
            SilenceTimeout::UntilDeadline => None,
            SilenceTimeout::After(ms) => {
                let first = self.since + Duration::from_millis(ms);
                Some(self.search_at.unwrap_or(first))
            }
        }
    }

    /// Stays until the next search, or until the turn of the successor.
    fn stay(&mut self, reason: StayReason) {
        let period = match (&self.successor, self.timeout) {
            (Some(successor), _) => Duration::from_millis(successor.opens_in_ms + 1),
            // A request that has not been placed yet waits in the node's queue, and goes first.
            (None, _) if reason == StayReason::NoCapacity => SEARCH_PERIOD,
            (None, SilenceTimeout::After(ms)) => Duration::from_millis(ms).max(SEARCH_PERIOD),
            (None, SilenceTimeout::UntilDeadline) => SEARCH_PERIOD,
        };
        self.search_at = Some(Instant::now() + period);
        self.stay_reason = Some(reason);
    }
}

/// How a wait for a server ended without a result.
pub enum WaitEnd<'a> {
    /// The request goes on with this attempt; the one before has been recorded as failed.
    Moved(Attempt<'a>),
    /// The attempt was given up with this reply, so that another node serves the request.
    HandedOver(LocalReply),
    /// The deadline of the request has passed.
    TimedOut,
}

#[derive(Serialize)]
struct SilentFields<'a> {
    request: Option<&'a str>,
    server: &'a str,
    silent_ms: Millisecond,
    /// Time since the server last sent a byte to this node, for any request.
    server_silent_ms: Millisecond,
    attempt: u32,
    runs: u32,
    runs_limit: u32,
    left_ms: Millisecond,
    outcome: SilenceOutcome,
    reason: Option<StayReason>,
    successor: Option<&'a str>,
}

#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum SilenceOutcome {
    Stays,
    Moves,
    HandedOver,
    /// The server has gone on with the request.
    Ended,
}

impl<'a> Attempts<'a, '_> {
    /// Waits for `work` of the attempt's server until `deadline`, and moves the request if the
    /// server is silent and another one takes it.
    ///
    /// # Errors
    ///
    /// Returns how the wait ended if `work` did not complete; it must then be dropped.
    pub async fn wait<T>(
        &mut self,
        attempt: &Attempt<'a>,
        silence: &mut Silence<'a>,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, WaitEnd<'a>> {
        let mut work = pin!(work);
        loop {
            let until = silence.search_at().map_or(deadline, |at| at.min(deadline));
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                () = sleep_until(until) => {}
            }
            if Instant::now() >= deadline {
                return Err(WaitEnd::TimedOut);
            }
            if let Some(end) = self.search(attempt, silence) {
                return Err(end);
            }
        }
    }

    /// Records that the server has gone on with the request.
    pub fn end_silence(&self, attempt: &Attempt<'_>, silence: &Silence<'_>) {
        if silence.stay_reason.is_some() {
            self.report_silence(attempt, silence, SilenceOutcome::Ended, None);
        }
    }

    /// Looks for a server that takes the request over; `None` if the request stays.
    fn search(&mut self, attempt: &Attempt<'a>, silence: &mut Silence<'a>) -> Option<WaitEnd<'a>> {
        if silence.search_at.is_none() {
            attempt.server.record_silence(self.node.now_ms());
            server_faults::note_silence(self.node, &attempt.server);
            reach::note_failure(self.node, &attempt.server);
        }
        let mut history = self.history;
        let reach = self.node.reach.borrow().reach();
        let state = SilentAttempt {
            silent_ms: silence.since.elapsed().as_millis() as Millisecond,
            next: history.record_failure(FailureCause::Silent, self.job.left_ms()),
            retry: self.node.check_retry(&self.job.service.name),
            reach,
            handover: match reach {
                Reach::Lost => self.handover(silence.progress),
                Reach::Reached => Handover::Impossible,
            },
            quarantine: match self.job.refused_for_ms() {
                Some(_) => Quarantine::InForce,
                None => Quarantine::Clear,
            },
        };
        let chosen = silence.successor.take();
        let reason = match state.action() {
            SilenceAction::HandOver => {
                self.report_silence(attempt, silence, SilenceOutcome::HandedOver, None);
                self.record_failure(attempt, FailureCause::Silent, history, NextAction::GiveUp);
                return Some(WaitEnd::HandedOver(self.final_reply()));
            }
            SilenceAction::Stay(reason) => reason,
            SilenceAction::Seek(successors) => {
                let found = match chosen {
                    Some(mut chosen) => {
                        chosen.begin_turn();
                        Ok(chosen)
                    }
                    None => self.place_successor(attempt, successors, history.run_state),
                };
                match found {
                    Ok(successor) if successor.opens_in_ms > 0 => {
                        silence.successor = Some(successor);
                        StayReason::AwaitsTurn
                    }
                    Ok(successor) => match self.node.take_retry(&self.job.service.name) {
                        RetryPermit::Granted => {
                            let moves = SilenceOutcome::Moves;
                            self.report_silence(attempt, silence, moves, Some(&successor));
                            let (cause, next) = (FailureCause::Silent, NextAction::Retry);
                            self.record_failure(attempt, cause, history, next);
                            self.report_choice(&successor);
                            return Some(WaitEnd::Moved(successor));
                        }
                        RetryPermit::Exhausted => StayReason::RetryBudget,
                    },
                    Err(no_server) => StayReason::from(no_server),
                }
            }
        };
        let before = silence.stay_reason;
        silence.stay(reason);
        if before != Some(reason) {
            self.report_silence(attempt, silence, SilenceOutcome::Stays, None);
        }
        None
    }

    fn place_successor(
        &self,
        attempt: &Attempt<'a>,
        successors: Successors,
        run_state: RunState,
    ) -> Result<Attempt<'a>, NoServer> {
        let silent = &attempt.server.record.id;
        let mut failed = self.avoid.clone();
        failed.push(silent.clone());
        let exclusions = Exclusions {
            failed: &failed,
            excluded: match successors {
                Successors::Others => Some(silent),
                Successors::Any => None,
            },
        };
        Attempt::place(self.job, exclusions, run_state)
    }

    fn handover(&self, progress: AnswerProgress) -> Handover {
        let domain = &self.node.settings.node.failure_domain;
        let helpers = self.node.peers.borrow().helpers(domain, self.node.now_ms());
        match (progress, self.job.request.source, helpers) {
            (AnswerProgress::Nothing, RequestSource::Caller, (same, others))
                if !same.is_empty() || !others.is_empty() =>
            {
                Handover::Possible
            }
            _ => Handover::Impossible,
        }
    }

    fn report_silence(
        &self,
        attempt: &Attempt<'_>,
        silence: &Silence<'_>,
        outcome: SilenceOutcome,
        successor: Option<&Attempt<'_>>,
    ) {
        let now_ms = self.node.now_ms();
        let server = &attempt.server;
        let fields = SilentFields {
            request: self.job.id(),
            server: &server.record.id,
            silent_ms: silence.since.elapsed().as_millis() as Millisecond,
            server_silent_ms: now_ms.saturating_sub(server.last_byte_ms.get()),
            attempt: self.history.attempts + 1,
            runs: self.history.runs,
            runs_limit: self.history.runs_limit,
            left_ms: self.job.left_ms(),
            outcome,
            reason: silence.stay_reason,
            successor: successor.map(|s| &*s.server.record.id),
        };
        crate::log::emit(events::Code::AttemptSilent, &fields);
    }
}
