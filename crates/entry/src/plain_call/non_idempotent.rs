//! Non-idempotent calls, which run at most once: each is recorded in the ledger before any byte of
//! it is sent.

use std::str::FromStr;
use std::sync::Arc;

use base::Name;
use base::outcome::RunState;
use bytes::Bytes;
use engine::{Answer, SendError};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Limited};
use ledger::{BeginResult, Fingerprint, Header, IdempotencyKey, RunningCall, Scope, StoredResult};
use policy::route::{self, Effect};

use super::Call;
use super::attempts::{Attempts, NextStep};
use crate::front::{CallerError, ErrorCode, Front, Reply, full_reply};
use crate::state::AdmittedRequest;

/// Largest answer of a non-idempotent call. It is held in memory, as it may have to be stored.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Headers of an answer that are stored, and sent again with a replayed answer.
const STORED_HEADERS: [&str; 2] = ["content-type", "location"];

/// Identifies a call when its caller sends it again.
pub struct NonIdempotent {
    scope: Scope,
    fingerprint: Fingerprint,
}

impl NonIdempotent {
    /// Reads the caller's `Idempotency-Key`, which such a call must have.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the key is missing or malformed.
    pub fn new(workspace: &Name, call: &Call, headers: &HeaderMap) -> Result<Self, CallerError> {
        let Some(value) = headers.get("idempotency-key") else {
            return Err(CallerError::client_error(
                StatusCode::BAD_REQUEST,
                ErrorCode::IdempotencyKeyRequired,
                "This call is not idempotent; send an `Idempotency-Key` header with a new key for each operation.",
            ));
        };
        let key = IdempotencyKey::from_str(value.to_str().unwrap_or("\u{7f}"));
        let key = key.map_err(|error| {
            CallerError::client_error(
                StatusCode::BAD_REQUEST,
                ErrorCode::IdempotencyKeyInvalid,
                error.to_string(),
            )
        })?;
        let fingerprint = Fingerprint::of(
            call.attempt.method.as_str(),
            &call.attempt.path,
            |name| headers.get(name).map(HeaderValue::as_bytes),
            &call.attempt.body,
        );
        Ok(Self {
            scope: Scope {
                workspace: workspace.clone(),
                service: call.service.clone(),
                key,
            },
            fingerprint,
        })
    }
}

/// Runs a call at most once. The call goes on if its caller disconnects, so that its outcome is
/// recorded.
///
/// # Errors
///
/// Returns the error for the caller if the call was not run, ran earlier without a stored answer,
/// or has an unknown outcome.
pub async fn non_idempotent(
    front: &Arc<Front>,
    call: Call,
    guard: NonIdempotent,
    admitted: AdmittedRequest,
) -> Result<Reply, CallerError> {
    let front = front.clone();
    let task = tokio::spawn(async move { run(&front, call, guard, admitted).await });
    let joined = task.await;
    joined.unwrap_or_else(|_| {
        Err(outcome_unknown(
            "the entry VM failed while the call was running",
        ))
    })
}

async fn run(
    front: &Front,
    call: Call,
    guard: NonIdempotent,
    mut admitted: AdmittedRequest,
) -> Result<Reply, CallerError> {
    let begin = front
        .ledger
        .begin(guard.scope, guard.fingerprint, call.id)
        .await;
    let result = match begin {
        BeginResult::Run(permit) => send(front, call, permit.start()).await,
        other => existing_outcome(other),
    };
    admitted.finished();
    result
}

/// Sends the call, and retries it only after [`SendError::NotSent`]. `Backend::send` returns that
/// error only before the first byte is sent; after any other result the call may have run.
async fn send(front: &Front, call: Call, running: RunningCall) -> Result<Reply, CallerError> {
    let flow = &front.flow;
    let mut attempts = Attempts::open(flow, &call, Effect::NonIdempotent);
    let given_up = loop {
        let chosen = match flow.backends.choose(call.id, &attempts.route_request) {
            Ok(chosen) => chosen,
            Err(error) => break attempts.no_server(&error.to_string()),
        };
        let target = chosen.flight.target().clone();
        match flow.backend.send(&target, call.attempt.clone()).await {
            Ok(answer) => {
                chosen.flight.first_token();
                let result = record_answer(answer, running, call.timeout_ms).await;
                chosen.flight.close(route::AttemptUsage::default());
                return result;
            }
            Err(error @ SendError::NotSent { .. }) => {
                let next = attempts.unanswered(flow, &target, error).await;
                if let NextStep::GiveUp(error) = next {
                    break error;
                }
            }
            Err(SendError::Unanswered { reason }) => {
                flow.backends.set_suspect(&target.id);
                running.unknown().await;
                return Err(outcome_unknown(&reason));
            }
        }
    };
    running.not_sent().await;
    Err(given_up)
}

async fn record_answer(
    answer: Answer,
    running: RunningCall,
    timeout_ms: u64,
) -> Result<Reply, CallerError> {
    let limit = std::time::Duration::from_millis(timeout_ms);
    let body = Limited::new(answer.body, ANSWER_MAX_BYTES).collect();
    let body = match tokio::time::timeout(limit, body).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(error)) => {
            running.unknown().await;
            return Err(outcome_unknown(&error.to_string()));
        }
        Err(_) => {
            running.unknown().await;
            return Err(outcome_unknown("the answer did not end before the timeout"));
        }
    };
    let result = StoredResult {
        status: answer.status.as_u16(),
        headers: stored_headers(&answer.headers),
        body: body.clone(),
    };
    let reply = stored_reply(&result, body);
    running.finish(result).await;
    Ok(reply)
}

fn existing_outcome(begin: BeginResult) -> Result<Reply, CallerError> {
    match begin {
        BeginResult::Run(_) => Err(outcome_unknown("the ledger's permit was not used")),
        BeginResult::Replay(result) => {
            let body = result.body.clone();
            Ok(stored_reply(&result, body))
        }
        BeginResult::TooLarge => Err(already_ran(
            ErrorCode::ResultNotKept,
            "The call ran, but its answer was too large to be stored and cannot be sent again.",
        )),
        BeginResult::Expired => Err(already_ran(
            ErrorCode::ResultNotKept,
            "The call ran, but its answer is no longer stored and cannot be sent again.",
        )),
        BeginResult::InProgress { retry_after_ms, .. } => Err(CallerError {
            status: StatusCode::CONFLICT,
            run_state: RunState::Unknown,
            ..CallerError::retryable(
                ErrorCode::IdempotencyKeyInProgress,
                "Another request with this key was sent and its outcome is not recorded yet; retry with the same key.",
                retry_after_ms,
            )
        }),
        BeginResult::Mismatch => Err(CallerError::client_error(
            StatusCode::CONFLICT,
            ErrorCode::IdempotencyKeyReused,
            "This key was used for another call; send a new key with a new call.",
        )),
        BeginResult::OutcomeUnknown => Err(outcome_unknown(
            "a call with this key was sent and its outcome was lost",
        )),
        BeginResult::Unavailable { retry_after_ms } => Err(CallerError::retryable(
            ErrorCode::StoreUnavailable,
            "The record of the call could not be written, so the call was not run; retry with the same key.",
            retry_after_ms,
        )),
    }
}

fn already_ran(code: ErrorCode, message: &str) -> CallerError {
    CallerError {
        status: StatusCode::CONFLICT,
        run_state: RunState::Ran,
        ..CallerError::client_error(StatusCode::CONFLICT, code, message)
    }
}

fn outcome_unknown(reason: &str) -> CallerError {
    CallerError {
        status: StatusCode::BAD_GATEWAY,
        run_state: RunState::Unknown,
        ..CallerError::client_error(
            StatusCode::BAD_GATEWAY,
            ErrorCode::OutcomeUnknown,
            format!("It is unknown whether the call ran, so it is not run again: {reason}."),
        )
    }
}

fn stored_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut kept = Vec::new();
    for name in STORED_HEADERS {
        let Some(value) = headers.get(name).and_then(|v| v.to_str().ok()) else {
            continue;
        };
        kept.push(Header {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }
    kept
}

fn stored_reply(result: &StoredResult, body: Bytes) -> Reply {
    let status = StatusCode::from_u16(result.status).unwrap_or(StatusCode::OK);
    let mut reply = full_reply(status, "application/octet-stream", body);
    for header in &result.headers {
        let name = HeaderName::from_str(&header.name);
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().insert(name, value);
        }
    }
    reply
}
