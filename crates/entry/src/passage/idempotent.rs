//! Calls that may be repeated.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use base::outcome::RunState;
use bytes::Bytes;
use engine::{Answer, AnswerBody, BodyError, SendError};
use http::Response;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use policy::route;

use super::{Call, given_up};
use crate::backends::Flight;
use crate::flow::Flow;
use crate::front::{CallerError, ErrorCode, Reply, RetrySafety};
use crate::state::Admitted;

/// Sends a call, elsewhere if an attempt fails before its answer begins, and passes the answer on.
pub async fn idempotent(
    flow: &Arc<Flow>,
    mut call: Call,
    admitted: Admitted,
) -> Result<Reply, CallerError> {
    let mut ask = call.ask(route::Effect::Idempotent);
    let deadline_ms = flow.clock.now_ms() + call.timeout_ms;
    let mut run_state = RunState::NotRun;
    let mut reason = String::new();
    for _ in 0..call.max_attempts {
        let left_ms = deadline_ms.saturating_sub(flow.clock.now_ms());
        if left_ms == 0 {
            break;
        }
        let chosen = match flow.backends.choose(call.id, &ask) {
            Ok(chosen) => chosen,
            Err(error) if reason.is_empty() => {
                let text = error.to_string();
                return Err(given_up(
                    ErrorCode::NoBackendServer,
                    &text,
                    run_state,
                    RetrySafety::Safe,
                ));
            }
            Err(_) => break,
        };
        call.attempt.head_timeout_ms = left_ms;
        let target = chosen.flight.target().clone();
        match flow.backend.send(&target, call.attempt.clone()).await {
            Ok(answer) => return Ok(pass_on(answer, chosen.flight, admitted)),
            Err(SendError::NotSent { reason: text }) => reason = text,
            Err(SendError::Unanswered { reason: text }) => {
                run_state = RunState::Unknown;
                reason = text;
            }
        }
        flow.backends.set_suspect(&target.id);
        ask.excluded.push(target.id);
    }
    Err(given_up(
        ErrorCode::BackendFailed,
        &reason,
        run_state,
        RetrySafety::Safe,
    ))
}

fn pass_on(answer: Answer, flight: Flight, admitted: Admitted) -> Reply {
    flight.first_token();
    let body = PassedBody {
        body: answer.body,
        flight: Some(flight),
        admitted,
    };
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    for name in ["connection", "transfer-encoding", "keep-alive"] {
        reply.headers_mut().remove(name);
    }
    reply
}

/// An answer's body that keeps its attempt and admission open until it ends.
struct PassedBody {
    body: AnswerBody,
    flight: Option<Flight>,
    admitted: Admitted,
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl PassedBody {
    fn end(&mut self) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        flight.close(route::Usage::default());
        self.admitted.finished();
    }
}

impl Drop for PassedBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.end();
        }
    }
}
