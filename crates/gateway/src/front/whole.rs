//! Answers that are passed on as a whole.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use super::answer::{BodyKind, Verdict, judge, write_head};
use super::attempts::Attempts;
use super::job::Job;
use super::serve::{Out, Served};
use crate::backend::attempt::Attempt;
use crate::backend::exchange::{Outgoing, send};
use crate::decide::held::Part;
use crate::decide::outcome::Cause;
use crate::decide::patience::Patience;
use crate::http::ResponseHead;
use crate::node::Node;

/// A server's whole answer.
struct Whole {
    head: ResponseHead,
    body: Bytes,
    verdict: Verdict,
    /// Held until it has been passed on.
    _held: Part,
}

/// Serves a request whose answer is no stream.
pub async fn serve(node: &Rc<Node>, job: &Job<'_>, out: &mut Out<'_>) -> Served {
    let mut attempts = Attempts::new(node, job);
    // A server's failure, passed on if no other server may run the request.
    let mut failure: Option<Whole> = None;
    loop {
        let mut attempt = match attempts.place().await {
            Ok(attempt) => attempt,
            Err(reply) => return finish(failure, Served::Own(reply), job, out).await,
        };
        let patience = attempts.patience(&attempt);
        let left = Duration::from_millis(job.left_ms());
        let outcome = match timeout(left, run(job, &mut attempt, patience)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                attempt.server.record_failure(node.now_ms());
                let reply = attempts.timed_out();
                return finish(failure, Served::Own(reply), job, out).await;
            }
        };
        let cause = match outcome {
            Ok(whole) => match whole.verdict {
                Verdict::Pass => {
                    drop(attempt);
                    return pass(&whole, job, out).await;
                }
                Verdict::PassOrRepeat => {
                    failure = Some(whole);
                    Cause::Failed
                }
            },
            Err(cause) => cause,
        };
        if let Err(reply) = attempts.failed(&attempt, cause) {
            return finish(failure, Served::Own(reply), job, out).await;
        }
    }
}

async fn run(job: &Job<'_>, attempt: &mut Attempt<'_>, patience: Patience) -> Result<Whole, Cause> {
    let server = attempt.server.clone();
    let request = Outgoing {
        method: &job.request.head.method,
        request_id: job.id(),
        head: job.head_for(&server, None),
        body: job.request.body.clone(),
        reuse: attempt.reuse,
    };
    let clock = job.node.clock;
    let permit = attempt.permit()?;
    let sending = send(&server, permit, &request, &job.node.dialect.names, clock);
    let mut answer = match patience {
        Patience::For(ms) => match timeout(Duration::from_millis(ms), sending).await {
            Ok(answer) => answer?,
            Err(_) => return Err(Cause::Silent),
        },
        Patience::ToTheEnd => sending.await?,
    };
    attempt.note_answer(answer.seen);
    let verdict = match judge(job, &answer.head) {
        Ok(verdict) => verdict,
        Err(cause) => {
            answer.discard(&server, clock).await;
            return Err(cause);
        }
    };
    attempt.first_byte();
    let mut held = job.node.held.part();
    let body = answer.whole(&mut held).await?;
    let head = answer.head.clone();
    answer.finish(&server, clock.now_ms());
    Ok(Whole {
        head,
        body,
        verdict,
        _held: held,
    })
}

/// Passes on the failure of a server, if there is one, rather than an error of our own.
async fn finish(
    failure: Option<Whole>,
    otherwise: Served,
    job: &Job<'_>,
    out: &mut Out<'_>,
) -> Served {
    match failure {
        Some(whole) => pass(&whole, job, out).await,
        None => otherwise,
    }
}

async fn pass(whole: &Whole, job: &Job<'_>, out: &mut Out<'_>) -> Served {
    let head = &whole.head;
    let length = match job.request.head.method.as_str() {
        "HEAD" => head.fields.number("content-length").unwrap_or(0) as usize,
        _ => whole.body.len(),
    };
    let mut bytes = BytesMut::with_capacity(512 + whole.body.len());
    write_head(&mut bytes, head, BodyKind::Whole(length), out);
    bytes.extend_from_slice(&whole.body);
    match out.write.write_all(&bytes).await {
        Ok(()) => Served::Passed {
            status: head.status,
        },
        Err(_) => Served::CallerGone,
    }
}
