//! From a request to the outcome: who may call, whether it can be served, and by whom.

use std::rc::Rc;
use std::sync::Arc;

use base::units::Millisecond;
use bytes::BytesMut;
use policy::suspect::Treatment;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::job::Job;
use super::reply::{Afterwards, Reply};
use super::request::Request;
use super::running::Running;
use super::{stream, whole};
use crate::belief::directory::Caller;
use crate::belief::{Directory, Route, Service, Workspace};
use crate::clock::unix_ms;
use crate::decide::allowance::Verdict;
use crate::decide::promise::NotRun;
use crate::node::{Node, Phase};

/// When a caller may come back to a node that does not know the directory yet.
const NO_DIRECTORY_MS: Millisecond = 500;

/// When a caller may come back, to another node, if this one ends.
const CLOSING_MS: Millisecond = 50;

/// When a caller may come back if no server of its service is known.
const NO_SERVER_MS: Millisecond = 700;

/// What was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Served {
    /// A server's answer, whole.
    Passed {
        /// Its status.
        status: u16,
    },
    /// An answer of our own.
    Own(Reply),
    /// A part of an answer; the connection must be closed.
    BrokenOff,
    /// The caller takes no more.
    CallerGone,
}

/// How an answer begins at a caller.
pub struct Out<'a> {
    /// The caller's connection.
    pub write: &'a mut OwnedWriteHalf,
    /// Whether the connection serves further requests.
    pub afterwards: Afterwards,
}

#[derive(Serialize)]
struct RefusedFields<'a> {
    request: Option<&'a str>,
    route: Option<&'a str>,
    workspace: Option<&'a str>,
    code: &'static str,
    status: u16,
    retry_after_ms: Option<Millisecond>,
    directory_version: u64,
    directory_age_ms: Millisecond,
    registry_age_ms: Millisecond,
    store_silent_ms: Millisecond,
}

/// Serves one request.
pub async fn serve(node: &Rc<Node>, request: &Request, out: &mut Out<'_>) -> Served {
    let admitted = admit(node, request);
    let served = match admitted {
        Ok(admitted) => run(node, request, admitted, out).await,
        Err(refusal) => {
            let route = refusal.route.as_deref().map(|r| &*r.name);
            refuse(
                node,
                request,
                route,
                refusal.workspace.as_deref(),
                refusal.reply,
            )
        }
    };
    if let Served::Own(reply) = &served {
        let names = &node.dialect.names;
        let id = request.head.fields.text(names.request_id);
        let mut bytes = BytesMut::with_capacity(512);
        reply.write(
            &mut bytes,
            id.map(|id| (names.request_id, id)),
            out.afterwards,
        );
        if out.write.write_all(&bytes).await.is_err() {
            return Served::CallerGone;
        }
    }
    served
}

/// A request that may run.
struct Admitted {
    route: Arc<Route>,
    service: Arc<Service>,
    workspace: Option<Arc<Workspace>>,
}

/// A request that may not.
struct Refusal {
    route: Option<Arc<Route>>,
    workspace: Option<Arc<Workspace>>,
    reply: Reply,
}

impl From<Reply> for Refusal {
    fn from(reply: Reply) -> Self {
        Self {
            route: None,
            workspace: None,
            reply,
        }
    }
}

fn admit(node: &Rc<Node>, request: &Request) -> Result<Admitted, Refusal> {
    if node.phase.get() == Phase::Closing {
        let text = "This node ends; another one takes the request.";
        return Err(Reply::later(NotRun::unsent(), 503, "closing", text, CLOSING_MS).into());
    }
    let Some(directory) = node.directory() else {
        let text = "This node does not know the configuration yet.";
        return Err(Reply::later(
            NotRun::unsent(),
            503,
            "no_configuration",
            text,
            NO_DIRECTORY_MS,
        )
        .into());
    };
    let route = route(&directory, request)?;
    let workspace = caller(node, &directory, &route, request)?;
    let service = route
        .service(node.random_fraction())
        .and_then(|s| directory.services.get(s));
    let Some(service) = service.cloned() else {
        let text = "The configuration names no such service.";
        return Err(Refusal {
            route: Some(route),
            workspace,
            reply: Reply::later(NotRun::unsent(), 503, "no_service", text, NO_SERVER_MS),
        });
    };
    Ok(Admitted {
        route,
        service,
        workspace,
    })
}

fn route(directory: &Directory, request: &Request) -> Result<Arc<Route>, Reply> {
    let head = &request.head;
    if head.fields.count("host") != 1 {
        return Err(Reply::rejection(
            400,
            "bad_host",
            "Send exactly one Host field.",
        ));
    }
    let host = head.fields.text("host").unwrap_or_default();
    let found = directory.route(host, head.path()).cloned();
    found.ok_or_else(|| Reply::rejection(404, "no_route", "No route matches this host and path."))
}

fn caller(
    node: &Node,
    directory: &Directory,
    route: &Route,
    request: &Request,
) -> Result<Option<Arc<Workspace>>, Reply> {
    let names = &node.dialect.names;
    let sent = request.head.fields.text(names.key);
    let key = sent.and_then(|text| key_of(text, names.key_scheme));
    match directory.caller(route, key) {
        Caller::Anyone => Ok(None),
        Caller::Workspace(workspace) => Ok(Some(workspace)),
        Caller::Unknown => Err(Reply::rejection(
            401,
            "unknown_key",
            "Send a workspace's key.",
        )),
    }
}

/// The key in `SCHEME KEY`.
fn key_of<'a>(text: &'a str, scheme: &str) -> Option<&'a str> {
    let (sent, key) = text.split_once(' ')?;
    sent.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

async fn run(node: &Rc<Node>, request: &Request, admitted: Admitted, out: &mut Out<'_>) -> Served {
    let Admitted {
        route,
        service,
        workspace,
    } = admitted;
    let job = Job::new(node, request, route, service, workspace);
    if let Some(reply) = beyond_allowance(&job).or_else(|| crashes_servers(&job)) {
        let workspace = job.workspace.as_deref();
        return refuse(node, request, Some(&job.route.name), workspace, reply);
    }
    node.count_first_send(&job.service.name);
    let guard = Running::begin(&job);
    let served = match job.route.kind.streams() {
        true => stream::serve(node, &job, out).await,
        false => whole::serve(node, &job, out).await,
    };
    guard.end(&served);
    served
}

fn beyond_allowance(job: &Job<'_>) -> Option<Reply> {
    let workspace = job.workspace.as_ref()?;
    match job.node.charge(workspace, job.cost) {
        Verdict::Within => None,
        Verdict::Beyond { wait_ms } => {
            let text = "The workspace has used up its allowance.";
            Some(Reply::later(
                NotRun::unsent(),
                429,
                "allowance_used",
                text,
                wait_ms.max(100),
            ))
        }
    }
}

fn crashes_servers(job: &Job<'_>) -> Option<Reply> {
    let suspects = job.node.suspects.borrow();
    if suspects.is_empty() {
        return None;
    }
    let treatment = suspects.treatment(job.digest(), unix_ms());
    if treatment != Treatment::Refuse {
        return None;
    }
    job.refund();
    let text = "This request has crashed the servers that ran it and is not run again.";
    Some(Reply::later(
        NotRun::unsent(),
        503,
        "crashes_servers",
        text,
        60_000,
    ))
}

fn refuse(
    node: &Node,
    request: &Request,
    route: Option<&str>,
    workspace: Option<&Workspace>,
    reply: Reply,
) -> Served {
    let now_ms = node.now_ms();
    let directory = node.directory();
    let fields = RefusedFields {
        request: request.head.fields.text(node.dialect.names.request_id),
        route,
        workspace: workspace.map(|w| &*w.name),
        code: reply.code,
        status: reply.status,
        retry_after_ms: reply.retry_after_ms,
        directory_version: directory.map_or(0, |d| d.version),
        directory_age_ms: now_ms.saturating_sub(node.directory_since_ms.get()),
        registry_age_ms: now_ms.saturating_sub(node.registry_confirmed_ms.get()),
        store_silent_ms: now_ms.saturating_sub(node.store_ok_ms.get()),
    };
    node.metrics.count_refusal(reply.code);
    crate::log::emit(events::Code::RequestRefused, &fields);
    Served::Own(reply)
}

/// Whether a connection serves further requests after this one.
pub fn afterwards(node: &Node, request: &Request) -> Afterwards {
    match node.phase.get() {
        Phase::Serving if request.head.keeps_alive() => Afterwards::Keep,
        Phase::Serving | Phase::Draining | Phase::Closing => Afterwards::Close,
    }
}
