//! Relays event streams event by event. If the server of a resumable stream fails, the stream is
//! resumed at another server after the last event that was relayed to the caller.

use std::rc::Rc;

use base::units::Millisecond;
use bytes::BytesMut;
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerAction, BodyKind, classify_answer, write_head};
use super::attempts::Attempts;
use super::failover::{Silence, WaitEnd};
use super::gap_check::{self, GapCheck};
use super::job::Job;
use super::local_reply::LocalReply;
use super::resume;
use super::serve::{AnswerProgress, CallerWriter, ServeOutcome};
use crate::backend::attempt::Attempt;
use crate::backend::exchange::{Answer, OutgoingRequest, deadline_in, send};
use crate::belief::RouteKind;
use crate::decide::body_memory::BodyOwner;
use crate::decide::event_order::{EventFault, EventPosition, Resumption};
use crate::decide::numbering::{GapRule, GapState, Numbering};
use crate::decide::outcome::FailureCause;
use crate::decide::timeouts::SilenceTimeout;
use crate::http::{AnswerBody, put_chunk};
use crate::node::Node;
use crate::sse::{EventReader, EventStreamError};

/// Another server is looked for when no event of a resumable stream arrives for this multiple of
/// the route's target for the gap between events.
const PAUSE_TARGET_MULTIPLE: u64 = 5;

/// Longest gap between the events of a resumable stream if the route has no target for it.
const DEFAULT_PAUSE_MS: Millisecond = 1_000;

/// How the relay from one server ended.
enum RelayEnd<'a> {
    /// The caller has the whole answer, with this status.
    Whole(u16),
    /// The server failed.
    Failed(FailureCause),
    /// The server was silent, and the stream goes on with this attempt.
    Moved(Attempt<'a>),
    /// The server was silent, and another node can serve the request after this reply.
    HandedOver(LocalReply),
    /// The deadline of the request has passed.
    TimedOut,
    /// The caller disconnected.
    CallerGone,
}

impl<'a> From<WaitEnd<'a>> for RelayEnd<'a> {
    fn from(end: WaitEnd<'a>) -> Self {
        match end {
            WaitEnd::Moved(attempt) => Self::Moved(attempt),
            WaitEnd::HandedOver(reply) => Self::HandedOver(reply),
            WaitEnd::TimedOut => Self::TimedOut,
        }
    }
}

struct Stream<'a, 'b, 'c> {
    job: &'a Job<'b>,
    out: &'a mut CallerWriter<'c>,
    /// Position of the caller.
    position: EventPosition,
    /// How long the current server may take until its first event before another one is looked for.
    silence_timeout: SilenceTimeout,
    deadline: Instant,
    gap_check: GapCheck<'a>,
}

#[derive(Serialize)]
struct RejectedFields<'a> {
    request: Option<&'a str>,
    server: &'a str,
    reason: EventFault,
    after_event: Option<&'a str>,
    events: u64,
    numbering: Numbering,
    next: &'static str,
}

#[derive(Serialize)]
struct ResumedFields<'a> {
    request: Option<&'a str>,
    server: &'a str,
    version: &'a str,
    after_event: Option<&'a str>,
    left_ms: Millisecond,
}

/// Serves a request whose answer is a stream.
pub async fn serve(node: &Rc<Node>, job: &Job<'_>, out: &mut CallerWriter<'_>) -> ServeOutcome {
    if let Err(reply) = resume::pin_version(job).await {
        return ServeOutcome::Local(reply);
    }
    let mut attempts = Attempts::new(node, job);
    let mut stream = Stream {
        job,
        out,
        position: first_position(job),
        silence_timeout: SilenceTimeout::UntilDeadline,
        deadline: deadline_in(job.left_ms()),
        gap_check: GapCheck::NotBegun,
    };
    let mut placed = attempts.place().await;
    loop {
        let mut attempt = match placed {
            Ok(attempt) => attempt,
            Err(reply) => return stream.give_up(ServeOutcome::Local(reply)),
        };
        stream.report_resumption(&attempt);
        stream.silence_timeout = attempts.silence_timeout(&attempt);
        placed = match stream.run(&mut attempts, &mut attempt).await {
            RelayEnd::Whole(status) => return ServeOutcome::Passed { status },
            RelayEnd::CallerGone => return ServeOutcome::CallerGone,
            RelayEnd::TimedOut => {
                return stream.give_up(ServeOutcome::Local(LocalReply::timed_out()));
            }
            RelayEnd::Moved(successor) => Ok(successor),
            RelayEnd::HandedOver(reply) => Err(reply),
            RelayEnd::Failed(cause) if stream.can_continue() => {
                attempts.retry(attempt, cause).await
            }
            RelayEnd::Failed(cause) => Err(attempts.give_up(attempt, cause)),
        };
    }
}

/// Position of the caller before the first event of the answer.
fn first_position(job: &Job<'_>) -> EventPosition {
    let names = &job.node.dialect.names;
    let named = job.request.head.fields.text(names.last_event);
    match (job.route.kind, named) {
        (RouteKind::ResumableStream, Some(id)) => EventPosition::after(id),
        _ => EventPosition::default(),
    }
}

impl<'a, 'b> Stream<'a, 'b, '_> {
    /// Whether the events that the caller has are known, so that another server can continue.
    fn can_continue(&self) -> bool {
        self.position.resumption() != Resumption::Impossible
    }

    /// Identifier of the last event that was relayed.
    fn relayed_event(&self) -> Option<&str> {
        match self.out.progress() {
            AnswerProgress::Nothing => None,
            AnswerProgress::Begun => self.position.last_id(),
        }
    }

    /// Ends with `otherwise`, or breaks off if part of a server's answer has already been relayed.
    fn give_up(&self, otherwise: ServeOutcome) -> ServeOutcome {
        match self.out.progress() {
            AnswerProgress::Nothing => otherwise,
            AnswerProgress::Begun => ServeOutcome::BrokenOff,
        }
    }

    async fn run(
        &mut self,
        attempts: &mut Attempts<'a, 'b>,
        attempt: &mut Attempt<'a>,
    ) -> RelayEnd<'a> {
        let answer = match self.send_request(attempts, attempt).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        attempt.note_answer(answer.summary);
        match classify_answer(self.job, &answer.head) {
            Ok(AnswerAction::Relay) if is_stream(&answer) && self.out.body == AnswerBody::Sent => {
                self.relay(attempts, attempt, answer).await
            }
            Ok(AnswerAction::Relay) if self.out.progress() == AnswerProgress::Nothing => {
                self.relay_whole(attempt, answer).await
            }
            Ok(AnswerAction::Relay | AnswerAction::RelayUnlessRetried) => {
                RelayEnd::Failed(FailureCause::Failed)
            }
            Err(cause) => {
                answer.discard(&attempt.server, self.job.node.clock).await;
                RelayEnd::Failed(cause)
            }
        }
    }

    async fn send_request(
        &mut self,
        attempts: &mut Attempts<'a, 'b>,
        attempt: &mut Attempt<'a>,
    ) -> Result<Answer, RelayEnd<'a>> {
        let permit = attempt.take_permit().map_err(RelayEnd::Failed)?;
        let server = &attempt.server;
        let request = OutgoingRequest {
            method: &self.job.request.head.method,
            request_id: self.job.id(),
            head: self.job.head_for(server, self.relayed_event()),
            body: self.job.request.body.clone(),
            reuse: attempt.reuse,
        };
        let node = self.job.node;
        let sending = send(server, permit, &request, &node.dialect.names, node.clock);
        let mut silence = Silence::new(self.silence_timeout, self.out.progress());
        let waiting = attempts.wait(attempt, &mut silence, self.deadline, sending);
        match waiting.await {
            Ok(Ok(answer)) => {
                attempts.end_silence(attempt, &silence);
                Ok(answer)
            }
            Ok(Err(cause)) => Err(RelayEnd::Failed(cause)),
            Err(end) => Err(end.into()),
        }
    }

    /// Relays the events of one server.
    async fn relay(
        &mut self,
        attempts: &mut Attempts<'a, 'b>,
        attempt: &mut Attempt<'a>,
        mut answer: Answer,
    ) -> RelayEnd<'a> {
        let mut out = BytesMut::new();
        if self.out.progress() == AnswerProgress::Nothing {
            write_head(&mut out, &answer.head, BodyKind::Chunks, self.out);
        }
        let service = &attempt.server.record.service;
        let numbering = self.job.node.numberings.borrow().of(service);
        let mut events = EventReader::resume(self.position.clone(), numbering);
        let owner = BodyOwner::Answer(attempt.server.record.id.clone());
        let mut held = self.job.node.body_memory.reserve(owner);
        let mut last = Instant::now();
        // Measured from the last whole event: single bytes are not progress.
        let mut silence = Silence::new(self.silence_timeout, self.out.progress());
        loop {
            let waiting = attempts.wait(attempt, &mut silence, self.deadline, answer.next_data());
            let data = match waiting.await {
                Ok(Ok(Some(data))) => data,
                Ok(Ok(None)) if events.is_at_boundary() => break,
                Ok(Ok(None)) => return RelayEnd::Failed(FailureCause::Broken),
                Ok(Err(cause)) => return RelayEnd::Failed(cause),
                Err(end) => return end.into(),
            };
            let whole = match self.take_events(attempts, attempt, &mut events, data) {
                Ok(whole) => whole,
                Err(error) => return self.reject(attempt, &events, numbering, error),
            };
            if held.resize(events.partial_bytes()).is_err() {
                return RelayEnd::Failed(FailureCause::Unheld);
            }
            if whole.is_empty() {
                continue;
            }
            if self.out.progress() == AnswerProgress::Nothing {
                resume::record_version(self.job, &attempt.server.record.version);
            }
            self.record_events(attempt, &events, &mut last);
            self.gap_check.end(&self.position, events.position());
            attempts.end_silence(attempt, &silence);
            put_chunk(&mut out, &whole);
            self.job.record_part();
            if let Err(end) = self.send_to_caller(&out).await {
                return end;
            }
            out.clear();
            self.position.clone_from(events.position());
            silence = Silence::new(self.gap_timeout(), AnswerProgress::Begun);
            if let Some(error) = events.fault() {
                return self.reject(attempt, &events, numbering, error);
            }
        }
        self.record_whole(attempt);
        let rest = events.finish();
        if !rest.is_empty() {
            put_chunk(&mut out, &rest);
        }
        out.extend_from_slice(b"0\r\n\r\n");
        let status = answer.head.status;
        answer.release(&attempt.server, self.job.node.now_ms());
        match self.send_to_caller(&out).await {
            Ok(()) => RelayEnd::Whole(status),
            Err(end) => end,
        }
    }

    /// Takes the events that are complete. An event after a gap is taken if it is to be passed on.
    fn take_events(
        &self,
        attempts: &Attempts<'_, '_>,
        attempt: &Attempt<'_>,
        events: &mut EventReader,
        data: BytesMut,
    ) -> Result<BytesMut, EventStreamError> {
        let taken = events.take(data);
        if events
            .fault()
            .is_none_or(|error| error.fault != EventFault::Gap)
        {
            return taken;
        }
        let GapRule::Pass(reason) = self.gap_rule(attempts) else {
            return taken;
        };
        gap_check::report_passed(self.job, attempt, events.position(), reason);
        match (taken, events.pass_gaps()) {
            (Ok(mut before), Ok(after)) => {
                before.unsplit(after);
                Ok(before)
            }
            // The fault of the later event is still that of the reader.
            (Ok(before), Err(_)) => Ok(before),
            (Err(_), passed) => passed,
        }
    }

    fn gap_rule(&self, attempts: &Attempts<'_, '_>) -> GapRule {
        let state = GapState {
            is_resumable: self.job.route.kind.repeats() && self.can_continue(),
            was_checked: self.gap_check.was_begun(),
            may_retry: attempts.may_retry_after(FailureCause::Garbled),
        };
        let numberings = self.job.node.numberings.borrow();
        numberings.gap_rule(&self.job.service.name, state)
    }

    fn record_whole(&self, attempt: &Attempt<'_>) {
        let mut numberings = self.job.node.numberings.borrow_mut();
        numberings.record_whole(&attempt.server.record.service, &self.position);
    }

    /// Ends the relay from a server at an event that must not be relayed.
    fn reject(
        &mut self,
        attempt: &Attempt<'_>,
        events: &EventReader,
        numbering: Numbering,
        error: EventStreamError,
    ) -> RelayEnd<'a> {
        self.position.clone_from(events.position());
        let node = self.job.node;
        let record = &attempt.server.record;
        node.numberings
            .borrow_mut()
            .record_rejected(&record.service);
        if error.fault == EventFault::Gap {
            self.gap_check.begin(self.job);
        }
        node.metrics.count_rejected_event(error.fault);
        let fields = RejectedFields {
            request: self.job.id(),
            server: &record.id,
            reason: error.fault,
            after_event: self.position.last_id(),
            events: events.event_count(),
            numbering,
            next: match self.job.route.kind.repeats() && self.can_continue() {
                true => "again",
                false => "cut",
            },
        };
        crate::log::emit(events::Code::EventRejected, &fields);
        RelayEnd::Failed(FailureCause::Garbled)
    }

    /// Writes to the caller. A caller that does not read holds the server until the deadline only.
    async fn send_to_caller(&mut self, bytes: &[u8]) -> Result<(), RelayEnd<'a>> {
        match timeout_at(self.deadline, self.out.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RelayEnd::CallerGone),
            Err(_) => Err(RelayEnd::TimedOut),
        }
    }

    fn record_events(&self, attempt: &mut Attempt<'_>, events: &EventReader, last: &mut Instant) {
        let now = Instant::now();
        attempt.server.record_success(self.job.node.now_ms());
        if events.event_count_before() == 0 {
            attempt.note_first_byte();
        } else {
            let gap_ms = (now - *last).as_secs_f64() * 1_000.0;
            let taken = events.event_count() - events.event_count_before();
            let service = &attempt.server.record.service;
            let mut speeds = self.job.node.speeds.borrow_mut();
            speeds.record_gap(service, gap_ms / taken.max(1) as f64);
        }
        *last = now;
    }

    /// How long a server may be silent after an event before another one is looked for.
    fn gap_timeout(&self) -> SilenceTimeout {
        if !self.can_continue() {
            return SilenceTimeout::UntilDeadline;
        }
        match (self.silence_timeout, self.job.route.gap_target_ms) {
            (SilenceTimeout::UntilDeadline, _) => SilenceTimeout::UntilDeadline,
            (_, Some(gap_ms)) => SilenceTimeout::After(PAUSE_TARGET_MULTIPLE * gap_ms),
            (_, None) => SilenceTimeout::After(DEFAULT_PAUSE_MS),
        }
    }

    /// Relays an answer that is not a stream, such as an error.
    async fn relay_whole(&mut self, attempt: &Attempt<'_>, mut answer: Answer) -> RelayEnd<'a> {
        let owner = BodyOwner::Answer(attempt.server.record.id.clone());
        let mut held = self.job.node.body_memory.reserve(owner);
        let body = match timeout_at(self.deadline, answer.read_whole(&mut held)).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return RelayEnd::Failed(cause),
            Err(_) => return RelayEnd::TimedOut,
        };
        let status = answer.head.status;
        let mut out = BytesMut::new();
        write_head(
            &mut out,
            &answer.head,
            BodyKind::Whole(body.len()),
            self.out,
        );
        answer.release(&attempt.server, self.job.node.now_ms());
        self.job.record_part();
        let left_ms = self.job.left_ms();
        match self.out.send_answer(out, &body, left_ms, &held).await {
            Ok(()) => RelayEnd::Whole(status),
            Err(_) => RelayEnd::CallerGone,
        }
    }

    fn report_resumption(&self, attempt: &Attempt<'_>) {
        if self.out.progress() == AnswerProgress::Nothing {
            return;
        }
        let fields = ResumedFields {
            request: self.job.id(),
            server: &attempt.server.record.id,
            version: &attempt.server.record.version,
            after_event: self.position.last_id(),
            left_ms: self.job.left_ms(),
        };
        crate::log::emit(events::Code::StreamResumed, &fields);
    }
}

fn is_stream(answer: &Answer) -> bool {
    let content_type = answer.head.fields.text("content-type").unwrap_or_default();
    content_type.starts_with("text/event-stream") && (200..300).contains(&answer.head.status)
}
