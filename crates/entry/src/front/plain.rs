//! Calls to plain services, which are forwarded to a backend server of the service in the path.

use std::sync::Arc;

use base::ids::RequestId;
use bytes::Bytes;
use conf::{Effect, ServiceKind};
use engine::Attempt;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};

use super::error::{CallerError, ErrorCode};
use super::{Front, Reply, RequestBody, auth, read, request_id, with_id};
use crate::plain_call::{self, Call, NonIdempotent};
use crate::state::AdmissionInput;

/// Headers that are not forwarded: those of one connection, and the caller's key for this system.
const DROPPED_HEADERS: [header::HeaderName; 8] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Answers a call to a plain service.
pub async fn handle<B: RequestBody>(
    front: &Arc<Front>,
    service: &str,
    request: Request<B>,
) -> Result<Reply, CallerError> {
    let in_force = front.daemon.serving().await?;
    let config = &in_force.config;
    let workspace = auth::workspace(config, request.headers())?;
    let service = config
        .service(service)
        .filter(|s| matches!(s.kind, ServiceKind::Plain { .. }))
        .ok_or_else(|| unknown_service(service))?;
    let id = request_id(&request)?;
    let path = forwarded_path(&request, &service.name);
    let effect = config.effect_of(&service.name, request.method().as_str(), &path);
    let (head, body) = request.into_parts();
    let options = front.options;
    let body = read(body, options.max_body_bytes, options.body_timeout_ms).await?;
    let headers = forwarded_headers(&head.headers, id);
    let call = Call {
        id,
        service: service.name.clone(),
        timeout_ms: service.timeout_ms,
        max_attempts: service.retry.max_attempts,
        attempt: attempt(head.method, path, headers, body, service.timeout_ms),
    };
    let guard = match effect {
        Effect::Idempotent => None,
        Effect::NonIdempotent => Some(NonIdempotent::new(&workspace.name, &call, &head.headers)?),
    };
    let admitted = front
        .daemon
        .admit(id, AdmissionInput::plain(workspace, service))
        .await?;
    let reply = match guard {
        None => plain_call::idempotent(&front.flow, call, admitted).await?,
        Some(guard) => plain_call::non_idempotent(front, call, guard, admitted).await?,
    };
    Ok(with_id(reply, id))
}

fn unknown_service(name: &str) -> CallerError {
    CallerError::client_error(
        StatusCode::NOT_FOUND,
        ErrorCode::UnknownService,
        format!("There is no plain service `{name}`; check the path after /services/."),
    )
}

/// Path and query without the `/services/NAME` prefix, as they are sent to the backend server.
fn forwarded_path<B>(request: &Request<B>, service: &str) -> String {
    let whole = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let rest = &whole["/services/".len() + service.len()..];
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

fn forwarded_headers(headers: &HeaderMap, id: RequestId) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named_by_connection = headers.get(header::CONNECTION).cloned();
    for name in DROPPED_HEADERS {
        forwarded.remove(name);
    }
    let listed = named_by_connection
        .as_ref()
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    for name in listed.split(',') {
        forwarded.remove(name.trim());
    }
    forwarded.remove("keep-alive");
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        forwarded.insert("x-request-id", value);
    }
    forwarded
}

fn attempt(
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    timeout_ms: u64,
) -> Attempt {
    Attempt {
        method,
        path,
        headers,
        body,
        head_timeout_ms: timeout_ms,
    }
}
