//! Relays answers that are not streams: an answer is buffered as a whole before it is relayed.

use std::io::ErrorKind;
use std::rc::Rc;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerAction, BodyKind, classify_answer, write_head};
use super::attempts::Attempts;
use super::failover::{Silence, WaitEnd};
use super::job::Job;
use super::local_reply::LocalReply;
use super::serve::{AnswerProgress, CallerWriter, ServeOutcome};
use crate::backend::attempt::Attempt;
use crate::backend::exchange::{OutgoingRequest, deadline_in, send};
use crate::decide::body_memory::{BodyOwner, BodyReservation};
use crate::decide::outcome::FailureCause;
use crate::http::ResponseHead;
use crate::log;
use crate::node::Node;

#[derive(Serialize)]
struct CutFields<'a> {
    request: Option<&'a str>,
    cause: &'a str,
    body_bytes: usize,
    /// Bytes of all bodies held, and their limit.
    held_bytes: usize,
    limit_bytes: usize,
    left_ms: Millisecond,
}

/// A buffered answer.
struct BufferedAnswer {
    head: ResponseHead,
    body: Bytes,
    action: AnswerAction,
    /// Memory reserved for the body until the answer has been relayed.
    held: BodyReservation,
}

/// Serves a request whose answer is not a stream.
pub async fn serve(node: &Rc<Node>, job: &Job<'_>, out: &mut CallerWriter<'_>) -> ServeOutcome {
    let mut attempts = Attempts::new(node, job);
    // An error answer, which is relayed if no other server can run the request.
    let mut failure: Option<BufferedAnswer> = None;
    let mut placed = attempts.place().await;
    loop {
        let mut attempt = match placed {
            Ok(attempt) => attempt,
            Err(reply) => return finish_with(failure, ServeOutcome::Local(reply), job, out).await,
        };
        let deadline = deadline_in(job.left_ms());
        let running = run(job, &mut attempts, &mut attempt, deadline);
        let end = timeout_at(deadline, running).await;
        let timed_out = || Err(RunEnd::Waited(Box::new(WaitEnd::TimedOut)));
        placed = match end.unwrap_or_else(|_| timed_out()) {
            Ok(whole) => match whole.action {
                AnswerAction::Relay => {
                    drop(attempt);
                    return relay(&whole, job, out).await;
                }
                AnswerAction::RelayUnlessRetried => {
                    failure = Some(whole);
                    attempts.retry(attempt, FailureCause::Failed).await
                }
            },
            Err(RunEnd::Failed(cause)) => attempts.retry(attempt, cause).await,
            Err(RunEnd::Waited(end)) => match *end {
                WaitEnd::Moved(successor) => Ok(successor),
                WaitEnd::HandedOver(reply) => Err(reply),
                WaitEnd::TimedOut => {
                    attempt.server.record_silence(node.now_ms());
                    Err(LocalReply::timed_out())
                }
            },
        };
    }
}

/// How an attempt ended without a whole answer.
enum RunEnd<'a> {
    Failed(FailureCause),
    /// The wait for the head of the answer ended without one.
    Waited(Box<WaitEnd<'a>>),
}

impl From<FailureCause> for RunEnd<'_> {
    fn from(cause: FailureCause) -> Self {
        Self::Failed(cause)
    }
}

async fn run<'a>(
    job: &'a Job<'_>,
    attempts: &mut Attempts<'a, '_>,
    attempt: &mut Attempt<'a>,
    deadline: Instant,
) -> Result<BufferedAnswer, RunEnd<'a>> {
    let server = attempt.server.clone();
    let request = OutgoingRequest {
        method: &job.request.head.method,
        request_id: job.id(),
        head: job.head_for(&server, None),
        body: job.request.body.clone(),
        reuse: attempt.reuse,
    };
    let clock = job.node.clock;
    let permit = attempt.take_permit()?;
    let sending = send(&server, permit, &request, &job.node.dialect.names, clock);
    let mut silence = Silence::new(attempts.silence_timeout(attempt), AnswerProgress::Nothing);
    let waiting = attempts.wait(attempt, &mut silence, deadline, sending);
    let mut answer = waiting
        .await
        .map_err(|end| RunEnd::Waited(Box::new(end)))??;
    attempts.end_silence(attempt, &silence);
    attempt.note_answer(answer.summary);
    let action = match classify_answer(job, &answer.head) {
        Ok(action) => action,
        Err(cause) => {
            answer.discard(&server, clock).await;
            return Err(cause.into());
        }
    };
    attempt.note_first_byte();
    let owner = BodyOwner::Answer(server.record.id.clone());
    let mut held = job.node.body_memory.reserve(owner);
    let body = answer.read_whole(&mut held).await?;
    let head = answer.head.clone();
    answer.release(&server, clock.now_ms());
    Ok(BufferedAnswer {
        head,
        body,
        action,
        held,
    })
}

/// Relays the error answer of a server, if there is one, rather than a local reply.
async fn finish_with(
    failure: Option<BufferedAnswer>,
    otherwise: ServeOutcome,
    job: &Job<'_>,
    out: &mut CallerWriter<'_>,
) -> ServeOutcome {
    match failure {
        Some(whole) => relay(&whole, job, out).await,
        None => otherwise,
    }
}

async fn relay(whole: &BufferedAnswer, job: &Job<'_>, out: &mut CallerWriter<'_>) -> ServeOutcome {
    let head = &whole.head;
    let mut bytes = BytesMut::new();
    write_head(&mut bytes, head, BodyKind::Whole(whole.body.len()), out);
    job.record_part();
    let sent = out.send_answer(bytes, &whole.body, job.left_ms(), &whole.held);
    match sent.await {
        Ok(()) => ServeOutcome::Passed {
            status: head.status,
        },
        Err(error) => {
            report_cut(whole, job, error.kind());
            ServeOutcome::CallerGone
        }
    }
}

/// Logs why an answer was not written to its end, unless the caller has left.
fn report_cut(whole: &BufferedAnswer, job: &Job<'_>, error: ErrorKind) {
    let cause = match error {
        ErrorKind::TimedOut => "not_read",
        ErrorKind::OutOfMemory => "yielded",
        _ => return,
    };
    let memory = &job.node.body_memory;
    let fields = CutFields {
        request: job.id(),
        cause,
        body_bytes: whole.body.len(),
        held_bytes: memory.bytes(),
        limit_bytes: memory.limit_bytes(),
        left_ms: job.left_ms(),
    };
    log::emit(events::Code::AnswerCut, &fields);
}
