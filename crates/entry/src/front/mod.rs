//! HTTP endpoints for callers: routing by path, authentication and replies.

mod auth;
mod body;
mod error;
mod handed_over;
mod model;
mod plain;
mod resume;
mod server;
mod sse;

pub use auth::bearer;
pub use body::{Reply, ReplyBody, full_reply, read};
pub use error::{CallerError, ErrorCode, RetrySafety};
pub use server::{Server, ServerOptions};

use std::sync::Arc;

use base::ids::RequestId;
use base::units::Millisecond;
use bytes::Bytes;
use engine::chat::Call;
use http::{HeaderValue, Method, Request, StatusCode};

use crate::flow::Flow;
use crate::state::DaemonState;

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct FrontOptions {
    /// Largest request body.
    pub max_body_bytes: usize,
    /// How long a request body may take to arrive.
    pub body_timeout_ms: Millisecond,
}

/// State shared by the handlers of the callers' endpoints.
pub struct Front {
    /// Model requests of this entry VM.
    pub flow: Arc<Flow>,
    /// Configuration, readiness and admission.
    pub daemon: Arc<DaemonState>,
    /// Record of non-idempotent calls.
    pub ledger: ledger::Ledger,
    /// Limits on what a caller may send.
    pub options: FrontOptions,
}

/// Types that can be the body of a request.
pub trait RequestBody:
    http_body::Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
    + Send
    + 'static
{
}

impl<B> RequestBody for B where
    B: http_body::Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + 'static
{
}

enum Route<'a> {
    Model(Call),
    Plain { service: &'a str },
    Resume { id: &'a str },
    Health,
    Ready,
    Unknown,
}

impl Front {
    /// Answers one request; errors become error replies.
    pub async fn handle<B: RequestBody>(self: Arc<Self>, request: Request<B>) -> Reply {
        let result = self.dispatch(request).await;
        match result {
            Ok(reply) => reply,
            Err(error) => self.failed(error),
        }
    }

    /// Counts an error and converts it to a reply.
    fn failed(&self, error: CallerError) -> Reply {
        self.daemon.metrics.refused(error.code);
        error.into_reply()
    }

    async fn dispatch<B: RequestBody>(
        self: &Arc<Self>,
        request: Request<B>,
    ) -> Result<Reply, CallerError> {
        let path = request.uri().path().to_owned();
        match route(&path) {
            Route::Health => Ok(full_reply(StatusCode::OK, "text/plain", "ok\n")),
            Route::Ready => Ok(self.readiness().await),
            Route::Model(call) => {
                expect_method(&request, &Method::POST)?;
                model::handle(self, call, request).await
            }
            Route::Resume { id } => {
                expect_method(&request, &Method::GET)?;
                resume::handle(self, parse_id(id)?, request).await
            }
            Route::Plain { service } => plain::handle(self, service, request).await,
            Route::Unknown => Err(CallerError::client_error(
                StatusCode::NOT_FOUND,
                ErrorCode::NotFound,
                format!("There is no path `{path}`; see the README for the paths."),
            )),
        }
    }

    async fn readiness(&self) -> Reply {
        match self.daemon.readiness().await {
            Ok(()) => full_reply(StatusCode::OK, "text/plain", "ready\n"),
            Err(error) => error.into_reply(),
        }
    }
}

fn route(path: &str) -> Route<'_> {
    if let Some(rest) = path.strip_prefix("/services/") {
        let service = rest.split('/').next().unwrap_or_default();
        return Route::Plain { service };
    }
    if let Some(id) = path.strip_prefix("/v1/requests/") {
        return Route::Resume { id };
    }
    match path {
        "/v1/chat/completions" => Route::Model(Call::Chat),
        "/v1/completions" => Route::Model(Call::Completions),
        "/healthz" => Route::Health,
        "/readyz" => Route::Ready,
        _ => Route::Unknown,
    }
}

fn expect_method<B>(request: &Request<B>, method: &Method) -> Result<(), CallerError> {
    if request.method() == method {
        return Ok(());
    }
    Err(CallerError::client_error(
        StatusCode::METHOD_NOT_ALLOWED,
        ErrorCode::MethodNotAllowed,
        format!(
            "`{}` supports {method}, not {}.",
            request.uri().path(),
            request.method()
        ),
    ))
}

fn parse_id(text: &str) -> Result<RequestId, CallerError> {
    text.parse().map_err(|reason| {
        CallerError::client_error(
            StatusCode::BAD_REQUEST,
            ErrorCode::BadRequest,
            format!("The request id is malformed: {reason}."),
        )
    })
}

/// The id that the caller sent in `x-request-id`, or a new one.
fn request_id<B>(request: &Request<B>) -> Result<RequestId, CallerError> {
    match request.headers().get("x-request-id") {
        None => Ok(RequestId::random(&mut rand::rng())),
        Some(value) => parse_id(value.to_str().unwrap_or_default()),
    }
}

/// Adds the `x-request-id` header to a reply.
fn with_id(mut reply: Reply, id: RequestId) -> Reply {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        reply.headers_mut().insert("x-request-id", value);
    }
    reply
}
