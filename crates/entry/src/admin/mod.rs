//! HTTP endpoints for operators: status, configuration, requests, drain and metrics.

mod config;
mod status;

use std::sync::Arc;

use base::secret::Secret;
use base::units::Millisecond;
use conf::admin::{DrainReply, RequestView};
use http::{Method, Request, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::flow::{Flow, Progress, Record};
use crate::front::{CallerError, ErrorCode, Reply, RequestBody, full_reply};
use crate::metrics::Sample;
use crate::state::DaemonState;
use base::Name;
use base::outcome::RunState;

/// State shared by the handlers of the admin endpoints.
pub struct Admin {
    /// Daemon-wide state.
    pub daemon: Arc<DaemonState>,
    /// Model requests of this entry VM.
    pub flow: Arc<Flow>,
    /// Secret shared by the entry VMs. As an operator's key it allows reads always, and writes
    /// until the first configuration is in force.
    pub bootstrap_key: Secret,
    /// Starts the daemon's drain.
    pub drain: mpsc::Sender<()>,
    /// Time limit of a drain.
    pub drain_deadline_ms: Millisecond,
}

impl Admin {
    /// Answers one request; errors become error replies.
    pub async fn handle<B: RequestBody>(self: Arc<Self>, request: Request<B>) -> Reply {
        match self.dispatch(request).await {
            Ok(reply) => reply,
            Err(error) => error.into_reply(),
        }
    }

    async fn dispatch<B: RequestBody>(&self, request: Request<B>) -> Result<Reply, CallerError> {
        let operator = self.operator(&request)?;
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::GET, "/admin/status") => json(StatusCode::OK, &status::of(self).await),
            (&Method::GET, "/admin/config") => config::show(self),
            (&Method::GET, "/admin/config/history") => config::history(self).await,
            (&Method::POST, "/admin/config") => config::apply(self, &operator, request).await,
            (&Method::POST, "/admin/drain") => self.drain(),
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            (&Method::GET, path) if path.starts_with("/admin/requests/") => {
                self.request(&path["/admin/requests/".len()..])
            }
            _ => Err(CallerError::client_error(
                StatusCode::NOT_FOUND,
                ErrorCode::NotFound,
                format!("There is no {method} `{path}` on the admin address."),
            )),
        }
    }

    fn operator<B>(&self, request: &Request<B>) -> Result<Name, CallerError> {
        let key = crate::front::bearer(request.headers()).unwrap_or_default();
        let in_force = self.daemon.config.borrow().clone();
        if let Some(in_force) = &in_force
            && let Some(operator) = in_force.config.operator_by_key(key)
        {
            return Ok(operator.name.clone());
        }
        let only_reads = request.method() == Method::GET;
        if (in_force.is_none() || only_reads) && self.bootstrap_key.matches(key) {
            return Ok("bootstrap".into());
        }
        Err(CallerError::client_error(
            StatusCode::UNAUTHORIZED,
            ErrorCode::Unauthorized,
            "No operator has this key; send `Authorization: Bearer KEY` with an operator's key.",
        ))
    }

    fn drain(&self) -> Result<Reply, CallerError> {
        // A full channel means that a drain was requested already.
        let _ = self.drain.try_send(());
        json(
            StatusCode::ACCEPTED,
            &DrainReply {
                node: self.daemon.node.clone(),
                in_flight: self.daemon.gate.in_flight(),
                deadline_ms: self.drain_deadline_ms,
            },
        )
    }

    fn metrics(&self) -> Reply {
        let in_force = self.daemon.config.borrow().as_ref().map(|c| c.version);
        let text = self.daemon.metrics.to_text(Sample {
            in_flight: self.daemon.gate.in_flight(),
            records: self.flow.store.len(),
            config_version: in_force.unwrap_or(0),
        });
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        full_reply(StatusCode::OK, content_type, text)
    }

    fn request(&self, id: &str) -> Result<Reply, CallerError> {
        let record = id.parse().ok().and_then(|id| self.flow.store.find(id));
        let Some(record) = record else {
            return Err(CallerError::client_error(
                StatusCode::NOT_FOUND,
                ErrorCode::NotFound,
                format!(
                    "This entry VM has no request `{id}`; query the entry VM that the caller used."
                ),
            ));
        };
        let view = request_view(&self.daemon.node, &record.lock());
        json(StatusCode::OK, &view)
    }
}

fn request_view(node: &Name, record: &Record) -> RequestView {
    let (state, run_state) = match (&record.progress, record.attempts.is_empty()) {
        (Progress::Done { .. }, _) => ("done", RunState::Ran),
        (Progress::Open, true) => ("open", RunState::NotRun),
        (Progress::Open, false) => ("open", RunState::Unknown),
    };
    RequestView {
        id: record.id,
        workspace: record.workspace.clone(),
        service: record.service.clone(),
        state: state.to_owned(),
        run_state,
        entry_vm: node.clone(),
        attempts: record.attempts.clone(),
        accepted_at_ms: record.created_s * 1_000,
        relayed_bytes: record.text.len() as u64,
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Result<Reply, CallerError> {
    let text = serde_json::to_string(value).unwrap_or_default();
    Ok(full_reply(status, "application/json", text))
}
