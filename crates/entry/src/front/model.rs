//! Completion calls to model services.

use std::sync::Arc;

use base::ids::RequestId;
use conf::{Config, Service, ServiceKind, Workspace};
use engine::chat::{Call, CompletionRequest};
use events::Code;
use http::{Request, StatusCode};
use serde::Serialize;

use super::error::{CallerError, ErrorCode};
use super::resume::Delivery;
use super::{Front, Reply, RequestBody, auth, read, request_id, sse, with_id};
use crate::clock::unix_s;
use crate::flow::{Progress, Record, Relay};
use crate::state::{AdmissionInput, AdmittedRequest};

#[derive(Serialize)]
struct AcceptedLog<'a> {
    request: RequestId,
    workspace: &'a str,
    service: &'a str,
}

/// Answers a completion call, as a stream or as one document.
pub async fn handle<B: RequestBody>(
    front: &Arc<Front>,
    call: Call,
    request: Request<B>,
) -> Result<Reply, CallerError> {
    let in_force = front.daemon.serving().await?;
    let workspace = auth::workspace(&in_force.config, request.headers())?;
    let id = request_id(&request)?;
    let options = front.options;
    let body = read(
        request.into_body(),
        options.max_body_bytes,
        options.body_timeout_ms,
    )
    .await?;
    let completion = parse(call, &body)?;
    let service = model_service(&in_force.config, &completion.model)?;
    let record = new_record(id, workspace, service, call, completion);
    let expected_ms = front.flow.expected_first_token_ms(&record);
    let work = AdmissionInput::model(workspace, service, expected_ms);
    let admitted = front.daemon.admit(id, work).await?;
    let delivery = Delivery::of(record.request.stream);
    let shared = front.flow.store.insert(record).map_err(|_| in_use(id))?;
    let mut relay = Relay::open(front.flow.clone(), shared, admitted.priority());
    if let Err(error) = relay.begin().await {
        front.flow.store.remove(id);
        return Err(error);
    }
    events::emit(
        Code::RequestAccepted,
        &AcceptedLog {
            request: id,
            workspace: &workspace.name,
            service: &service.name,
        },
    );
    Ok(reply(front, relay, id, delivery, 0, admitted).await)
}

/// Replies with the answer of a relay, from byte `offset` of its text.
pub async fn reply(
    front: &Front,
    relay: Relay,
    id: RequestId,
    delivery: Delivery,
    offset: usize,
    admitted: AdmittedRequest,
) -> Reply {
    let reply = match delivery {
        Delivery::Streamed => sse::streamed(relay, offset, admitted),
        // The error of an accepted request carries its id too, so that the caller can fetch a moved
        // answer.
        Delivery::Whole => match sse::whole(relay, admitted).await {
            Ok(reply) => reply,
            Err(error) => front.failed(error),
        },
    };
    with_id(reply, id)
}

fn parse(call: Call, body: &[u8]) -> Result<CompletionRequest, CallerError> {
    let request: CompletionRequest = serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("The body is not a completion request: {e}.")))?;
    if request.n.unwrap_or(1) != 1 {
        return Err(bad_request(
            "`n` must be 1; send several requests instead.".to_owned(),
        ));
    }
    let missing = match call {
        Call::Chat if request.messages.as_ref().is_none_or(Vec::is_empty) => Some("messages"),
        Call::Completions if request.prompt.is_none() => Some("prompt"),
        _ => None,
    };
    match missing {
        Some(field) => Err(bad_request(format!(
            "`{field}` is missing or empty; add it."
        ))),
        None => Ok(request),
    }
}

fn bad_request(message: String) -> CallerError {
    CallerError::client_error(StatusCode::BAD_REQUEST, ErrorCode::BadRequest, message)
}

fn model_service<'a>(config: &'a Config, name: &str) -> Result<&'a Service, CallerError> {
    let service = config.service(name);
    service
        .filter(|s| matches!(s.kind, ServiceKind::Model { .. }))
        .ok_or_else(|| {
            CallerError::client_error(
                StatusCode::NOT_FOUND,
                ErrorCode::UnknownService,
                format!("There is no model service `{name}`; check the field `model`."),
            )
        })
}

fn new_record(
    id: RequestId,
    workspace: &Workspace,
    service: &Service,
    call: Call,
    request: CompletionRequest,
) -> Record {
    Record {
        id,
        workspace: workspace.name.clone(),
        service: service.name.clone(),
        call,
        request,
        text: String::new(),
        tokens: 0,
        created_s: unix_s(),
        remaining_ms: service.timeout_ms,
        usage: Default::default(),
        progress: Progress::Open,
        attempts: Vec::new(),
        failed: 0,
        epoch: 0,
    }
}

fn in_use(id: RequestId) -> CallerError {
    CallerError::client_error(
        StatusCode::CONFLICT,
        ErrorCode::RequestIdInUse,
        format!("The request id {id} is in use; fetch `/v1/requests/{id}` or send a new id."),
    )
}
