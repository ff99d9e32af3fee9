//! Idempotent calls, which may be retried.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use base::outcome::RunState;
use bytes::Bytes;
use engine::{Answer, AnswerBody, BodyError};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use policy::retry::FailureCause;
use policy::route::{self, Effect};

use super::Call;
use super::attempts::{Attempts, NextStep};
use crate::backends::InFlightAttempt;
use crate::flow::Flow;
use crate::front::{CallerError, Reply};
use crate::state::AdmittedRequest;

/// Forwards a call and its answer. If an attempt fails before its answer begins, the call is
/// retried at another backend server.
///
/// # Errors
///
/// Returns the error for the caller if no backend server answers.
pub async fn idempotent(
    flow: &Arc<Flow>,
    mut call: Call,
    admitted: AdmittedRequest,
) -> Result<Reply, CallerError> {
    let mut attempts = Attempts::open(flow, &call, Effect::Idempotent);
    loop {
        let chosen = match flow.backends.choose(call.id, &attempts.route_request) {
            Ok(chosen) => chosen,
            Err(error) => return Err(attempts.no_server(&error.to_string())),
        };
        call.attempt.head_timeout_ms = attempts.remaining_ms(flow).max(1);
        let target = chosen.flight.target().clone();
        let next = match flow.backend.send(&target, call.attempt.clone()).await {
            Ok(answer) if is_overloaded(&answer) => {
                let cause = FailureCause::Overloaded;
                match attempts.failed(flow, &target, cause, RunState::Ran).await {
                    NextStep::Retry => NextStep::Retry,
                    // The server's answer tells the caller more than an error made here.
                    NextStep::GiveUp(_) => return Ok(forward(answer, chosen.flight, admitted)),
                }
            }
            Ok(answer) => return Ok(forward(answer, chosen.flight, admitted)),
            Err(error) => attempts.unanswered(flow, &target, error).await,
        };
        if let NextStep::GiveUp(error) = next {
            return Err(error);
        }
    }
}

fn is_overloaded(answer: &Answer) -> bool {
    matches!(
        answer.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn forward(answer: Answer, flight: InFlightAttempt, admitted: AdmittedRequest) -> Reply {
    flight.first_token();
    let body = ForwardedBody {
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

/// The body of a forwarded answer. Its attempt and its admission stay open until the body ends.
struct ForwardedBody {
    body: AnswerBody,
    flight: Option<InFlightAttempt>,
    admitted: AdmittedRequest,
}

impl Body for ForwardedBody {
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

impl ForwardedBody {
    fn end(&mut self) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        flight.close(route::AttemptUsage::default());
        self.admitted.finished();
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.end();
        }
    }
}
