//! Relays answers that are not streams: an answer is buffered as a whole before it is relayed.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::timeout;

use super::answer::{AnswerAction, BodyKind, classify_answer, write_head};
use super::attempts::Attempts;
use super::job::Job;
use super::local_reply::LocalReply;
use super::serve::{CallerWriter, ServeOutcome};
use crate::backend::attempt::Attempt;
use crate::backend::exchange::{OutgoingRequest, send};
use crate::decide::body_memory::BodyReservation;
use crate::decide::outcome::FailureCause;
use crate::decide::timeouts::SilenceTimeout;
use crate::http::ResponseHead;
use crate::node::Node;

/// A buffered answer.
struct BufferedAnswer {
    head: ResponseHead,
    body: Bytes,
    action: AnswerAction,
    /// Memory reserved for the body until the answer has been relayed.
    _held: BodyReservation,
}

/// Serves a request whose answer is not a stream.
pub async fn serve(node: &Rc<Node>, job: &Job<'_>, out: &mut CallerWriter<'_>) -> ServeOutcome {
    let mut attempts = Attempts::new(node, job);
    // An error answer, which is relayed if no other server can run the request.
    let mut failure: Option<BufferedAnswer> = None;
    loop {
        let mut attempt = match attempts.place().await {
            Ok(attempt) => attempt,
            Err(reply) => return finish_with(failure, ServeOutcome::Local(reply), job, out).await,
        };
        let silence_timeout = attempts.silence_timeout(&attempt);
        let left = Duration::from_millis(job.left_ms());
        let outcome = match timeout(left, run(job, &mut attempt, silence_timeout)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                attempt.server.record_failure(node.now_ms());
                let reply = LocalReply::timed_out();
                return finish_with(failure, ServeOutcome::Local(reply), job, out).await;
            }
        };
        let cause = match outcome {
            Ok(whole) => match whole.action {
                AnswerAction::Relay => {
                    drop(attempt);
                    return relay(&whole, job, out).await;
                }
                AnswerAction::RelayUnlessRetried => {
                    failure = Some(whole);
                    FailureCause::Failed
                }
            },
            Err(cause) => cause,
        };
        if let Err(reply) = attempts.fail(&attempt, cause) {
            return finish_with(failure, ServeOutcome::Local(reply), job, out).await;
        }
    }
}

async fn run(
    job: &Job<'_>,
    attempt: &mut Attempt<'_>,
    silence_timeout: SilenceTimeout,
) -> Result<BufferedAnswer, FailureCause> {
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
    let mut answer = match silence_timeout {
        SilenceTimeout::After(ms) => match timeout(Duration::from_millis(ms), sending).await {
            Ok(answer) => answer?,
            Err(_) => return Err(FailureCause::Silent),
        },
        SilenceTimeout::UntilDeadline => sending.await?,
    };
    attempt.note_answer(answer.summary);
    let action = match classify_answer(job, &answer.head) {
        Ok(action) => action,
        Err(cause) => {
            answer.discard(&server, clock).await;
            return Err(cause);
        }
    };
    attempt.note_first_byte();
    let mut held = job.node.body_memory.reserve();
    let body = answer.read_whole(&mut held).await?;
    let head = answer.head.clone();
    answer.release(&server, clock.now_ms());
    Ok(BufferedAnswer {
        head,
        body,
        action,
        _held: held,
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
    let length = match job.request.head.method.as_str() {
        "HEAD" => head.fields.number("content-length").unwrap_or(0) as usize,
        _ => whole.body.len(),
    };
    let mut bytes = BytesMut::with_capacity(512 + whole.body.len());
    write_head(&mut bytes, head, BodyKind::Whole(length), out);
    bytes.extend_from_slice(&whole.body);
    match out.send(&bytes).await {
        Ok(()) => ServeOutcome::Passed {
            status: head.status,
        },
        Err(_) => ServeOutcome::CallerGone,
    }
}
