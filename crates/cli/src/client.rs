//! HTTP client of the daemons' admin interface.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::outcome::RunState;
use base::secret::Secret;
use bytes::Bytes;
use conf::admin::ErrorReply;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{
    AnsweredSnafu, BadKeySnafu, CliError, NoKeySnafu, NotFoundSnafu, OneDaemonSnafu,
    OutcomeUnknownSnafu, UnauthorizedSnafu, UnreachableSnafu, UnreadableFileSnafu, UnreadableSnafu,
};
use crate::options::Connection;

/// Environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "APRICOTLEDGE_KEY";

/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of one or more daemons.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    authorization: HeaderValue,
    timeout: Duration,
}

/// What became of a request at the daemons asked before the one that answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Earlier {
    /// No daemon was asked.
    None,
    /// Some were asked; the request may have taken effect there.
    Unanswered,
}

/// A complete answer.
pub struct Answer {
    /// What became of the request at daemons asked before.
    pub earlier: Earlier,
    address: SocketAddr,
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// Prepares a client; the key is read, and nothing is sent yet.
    pub fn open(connection: &Connection) -> Result<Self, CliError> {
        let key = read_key(connection.key_file.as_deref())?;
        let bearer = format!("Bearer {}", key.expose());
        let Ok(mut authorization) = HeaderValue::from_str(&bearer) else {
            return BadKeySnafu.fail();
        };
        authorization.set_sensitive(true);
        Ok(Self {
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
            addresses: connection.admin.clone(),
            authorization,
            timeout: Duration::from_millis(connection.timeout_ms),
        })
    }

    /// Fails unless the client knows exactly one daemon.
    pub fn require_one(&self) -> Result<(), CliError> {
        ensure!(self.addresses.len() == 1, OneDaemonSnafu);
        Ok(())
    }

    /// Reads something from the first daemon that answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.send(Method::GET, path, Bytes::new()).await?.read()
    }

    /// Sends to each daemon in turn until one answers. A request without an answer may have taken
    /// effect, so only requests that may be repeated are sent this way.
    pub async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, CliError> {
        let mut reasons = Vec::new();
        for address in &self.addresses {
            let attempt = self.attempt(*address, &method, path, body.clone());
            match tokio::time::timeout(self.timeout, attempt).await {
                Ok(Ok(mut answer)) => {
                    if !reasons.is_empty() {
                        answer.earlier = Earlier::Unanswered;
                    }
                    return answer.accept();
                }
                Ok(Err(reason)) => reasons.push(format!("{address}: {reason}")),
                Err(_) => reasons.push(format!("{address}: no answer in time")),
            }
        }
        UnreachableSnafu { reasons }.fail()
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, &self.authorization)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = self.http.request(request).await.map_err(root_cause)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        Ok(Answer {
            earlier: Earlier::None,
            address,
            status,
            body,
        })
    }
}

impl Answer {
    /// Reads the body.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, CliError> {
        serde_json::from_slice(&self.body).context(UnreadableSnafu {
            address: self.address,
        })
    }

    /// Turns statuses that report a failure into errors; 409 and 422 carry a reply to read.
    fn accept(self) -> Result<Self, CliError> {
        let address = self.address;
        match self.status {
            StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => Ok(self),
            status if status.is_success() => Ok(self),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                UnauthorizedSnafu { address }.fail()
            }
            status => self.fail(status),
        }
    }

    fn fail(self, status: StatusCode) -> Result<Self, CliError> {
        let address = self.address;
        let reply = serde_json::from_slice::<ErrorReply>(&self.body).ok();
        let run_state = reply.as_ref().and_then(|reply| reply.error.run_state);
        let message = match reply {
            Some(reply) => reply.error.message,
            None => "no explanation was given.".to_owned(),
        };
        if status == StatusCode::NOT_FOUND {
            return NotFoundSnafu { address, message }.fail();
        }
        if run_state == Some(RunState::Unknown) {
            return OutcomeUnknownSnafu { address, message }.fail();
        }
        AnsweredSnafu {
            address,
            status: status.as_u16(),
            message,
        }
        .fail()
    }
}

fn read_key(file: Option<&Path>) -> Result<Secret, CliError> {
    let text = match file {
        Some(file) => std::fs::read_to_string(file).context(UnreadableFileSnafu { file })?,
        None => std::env::var(KEY_VARIABLE).ok().context(NoKeySnafu)?,
    };
    let key = text.trim();
    ensure!(!key.is_empty(), NoKeySnafu);
    Ok(Secret::new(key))
}

/// The innermost cause, which names what the system said.
fn root_cause(error: hyper_util::client::legacy::Error) -> String {
    let mut cause: &dyn std::error::Error = &error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
