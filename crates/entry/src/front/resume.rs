//! Lets a caller that was disconnected fetch the rest of its answer.

use std::sync::Arc;

use base::ids::RequestId;
use http::{HeaderMap, Request, StatusCode, header};

use super::error::{CallerError, ErrorCode};
use super::{Front, Reply, RequestBody, auth, handed_over, model};
use crate::flow::{Progress, Relay};
use crate::state::AdmissionInput;

/// Form in which an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As server-sent events.
    Streamed,
    /// As one JSON document, once it is complete.
    Whole,
}

impl Delivery {
    /// The form that a request's `stream` field asks for.
    pub fn of(stream: bool) -> Self {
        match stream {
            true => Self::Streamed,
            false => Self::Whole,
        }
    }
}

/// The form that the `Accept` header asks for.
fn wanted_delivery(headers: &HeaderMap) -> Option<Delivery> {
    match headers.get(header::ACCEPT)?.to_str().ok()? {
        "text/event-stream" => Some(Delivery::Streamed),
        "application/json" => Some(Delivery::Whole),
        _ => None,
    }
}

/// Answers `GET /v1/requests/ID`, from byte `offset` of the answer's text.
pub async fn handle<B: RequestBody>(
    front: &Arc<Front>,
    id: RequestId,
    request: Request<B>,
) -> Result<Reply, CallerError> {
    let in_force = front.daemon.serving().await?;
    let workspace = auth::workspace(&in_force.config, request.headers())?;
    let offset = offset(&request)?;
    let wanted = wanted_delivery(request.headers());
    let Some(record) = front.flow.store.find(id) else {
        return handed_over::reply(
            front,
            id,
            &workspace.name,
            offset,
            wanted.unwrap_or(Delivery::Streamed),
        )
        .await;
    };
    let delivery = {
        let held = record.lock();
        // The same error as for an unknown id, so that ids of other workspaces cannot be probed.
        if held.workspace != workspace.name {
            return Err(not_found());
        }
        check_offset(&held.text, offset)?;
        wanted.unwrap_or(Delivery::of(held.request.stream))
    };
    let work = AdmissionInput::resumed(workspace, &record.lock());
    let admitted = front.daemon.admit(id, work).await?;
    let mut relay = Relay::open(front.flow.clone(), record, admitted.priority());
    let open = relay.record().lock().progress == Progress::Open;
    if open {
        relay.begin().await?;
    }
    Ok(model::reply(front, relay, id, delivery, offset, admitted).await)
}

fn offset<B>(request: &Request<B>) -> Result<usize, CallerError> {
    let query = request.uri().query().unwrap_or_default();
    let in_query = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("offset="));
    let in_header = request
        .headers()
        .get("last-event-id")
        .and_then(|value| value.to_str().ok());
    let Some(text) = in_query.or(in_header) else {
        return Ok(0);
    };
    text.parse().map_err(|_| {
        bad_offset(format!(
            "`{text}` is not an offset; send the `id` of the last event."
        ))
    })
}

fn check_offset(text: &str, offset: usize) -> Result<(), CallerError> {
    if text.is_char_boundary(offset) {
        return Ok(());
    }
    Err(bad_offset(format!(
        "The offset {offset} is not within the {} bytes relayed; send the `id` of the last event.",
        text.len()
    )))
}

/// The error for an offset outside the answer.
pub fn bad_offset(message: String) -> CallerError {
    CallerError::client_error(StatusCode::BAD_REQUEST, ErrorCode::BadRequest, message)
}

/// The error for a request id that this workspace does not have.
pub fn not_found() -> CallerError {
    CallerError::client_error(
        StatusCode::NOT_FOUND,
        ErrorCode::NotFound,
        "No request of this workspace has this id, or its record is no longer kept.",
    )
}
