//! A request on its route: deadline, cost, and the state of its attempts.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;

use base::Name;
use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use policy::suspect::RequestDigest;

use super::request::Request;
use crate::backend::answer_summary::AnswerSummary;
use crate::backend::attempt::first_byte;
use crate::backend::crash_check::BrokenRequest;
use crate::belief::{Route, Server, Service, Workspace};
use crate::decide::delivery::Delivery;
use crate::decide::placement::Demand;
use crate::decide::prompt::Prompt;
use crate::decide::speed::Work;
use crate::http::HeadWriter;
use crate::node::Node;

/// Timeout of a request for which neither the caller nor the route gives one.
const DEFAULT_TIMEOUT_MS: Millisecond = 30_000;

/// Methods that are forwarded with a `Content-Length`, even if the body is empty.
const BODY_METHODS: [&str; 3] = ["POST", "PUT", "PATCH"];

/// A request on its route.
pub struct Job<'a> {
    pub node: &'a Node,
    /// The request as received.
    pub request: &'a Request,
    pub route: Arc<Route>,
    /// The service that was drawn from those of the route.
    pub service: Arc<Service>,
    /// The caller's workspace; `None` on a route that is open to anyone.
    pub workspace: Option<Arc<Workspace>>,
    pub prompt: Prompt,
    /// End of the time that the caller allows for the answer.
    pub caller_deadline_ms: Millisecond,
    /// The earlier of the caller's and the route's deadline.
    pub deadline_ms: Millisecond,
    /// Cost of the request in units of the workspace's allowance.
    pub cost: f64,
    pub may_have_run: Cell<MayHaveRun>,
    /// Summary of the answer to the latest attempt, if there is one.
    pub answer_summary: Cell<Option<AnswerSummary>>,
    /// When parts of the answer were passed to the caller.
    pub delivery: Cell<Delivery>,
    /// Software version of the servers that may run the request; unset if any may.
    version: OnceCell<Name>,
    digest: OnceCell<RequestDigest>,
    rollout_drawn: OnceCell<f64>,
    work_ms: OnceCell<Millisecond>,
}

/// Whether a server may have started to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MayHaveRun {
    /// A server received the request and didn't say that it was not run; its usage is counted.
    Yes,
    /// The request was never sent, or each server said that it did not run it.
    No,
}

/// The earlier of the caller's and the route's deadline.
pub fn deadline_ms(node: &Node, request: &Request, route: &Route) -> Millisecond {
    let caller_ms = request.head.fields.number(node.dialect.names.time_left_ms);
    let route_ms = route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let timeout_ms = caller_ms.map_or(route_ms, |ms| ms.min(route_ms));
    request.received_ms.saturating_add(timeout_ms)
}

impl<'a> Job<'a> {
    pub fn new(
        node: &'a Node,
        request: &'a Request,
        route: Arc<Route>,
        service: Arc<Service>,
        workspace: Option<Arc<Workspace>>,
    ) -> Self {
        let names = &node.dialect.names;
        let fields = &request.head.fields;
        let prompt = Prompt::parse(fields.text(names.prompt_parts), fields.text(names.tokens));
        let caller_ms = fields.number(names.time_left_ms);
        let deadline_ms = deadline_ms(node, request, &route);
        let caller_deadline_ms =
            caller_ms.map_or(deadline_ms, |ms| request.received_ms.saturating_add(ms));
        let cost = match &workspace {
            Some(workspace) => workspace.unit.cost(prompt.used_tokens()),
            None => 0.0,
        };
        Self {
            node,
            request,
            route,
            service,
            workspace,
            prompt,
            caller_deadline_ms,
            deadline_ms,
            cost,
            may_have_run: Cell::new(MayHaveRun::No),
            answer_summary: Cell::new(None),
            delivery: Cell::default(),
            version: OnceCell::new(),
            digest: OnceCell::new(),
            rollout_drawn: OnceCell::new(),
            work_ms: OnceCell::new(),
        }
    }

    /// The request identifier that the caller sent.
    pub fn id(&self) -> Option<&str> {
        let names = &self.node.dialect.names;
        self.request.head.fields.text(names.request_id)
    }

    /// Restricts the request to servers of a software version, unless it already is.
    pub fn pin_version(&self, version: &Name) {
        self.version.get_or_init(|| version.clone());
    }

    /// Software version of the servers that may run the request; `None` if any may.
    pub fn version(&self) -> Option<&Name> {
        self.version.get()
    }

    /// Random number from 0 to 1 by which the request goes to the old or the new version during a
    /// rollout. A request that waits keeps it.
    pub fn rollout_drawn(&self) -> f64 {
        let draw = || self.node.random_fraction();
        *self.rollout_drawn.get_or_init(draw)
    }

    /// Time that a server without other work takes for the request, by the figures of the service when
    /// it was first asked for.
    pub fn work_ms(&self) -> Millisecond {
        *self.work_ms.get_or_init(|| {
            let demand = Demand::of(&self.prompt, 0.0);
            let home_tokens = match self.service.engine {
                Some(_) => demand.shared_tokens.min(demand.read_tokens),
                None => 0,
            };
            let work = Work {
                own_tokens: demand.read_tokens - home_tokens,
                home_tokens,
                ..Work::default()
            };
            let speeds = self.node.speeds.borrow();
            let speed = speeds.speed(&self.service.name, first_byte(self), self.node.now_ms());
            speed.first_byte_ms(&work) as Millisecond
        })
    }

    /// Time until the deadline.
    pub fn left_ms(&self) -> Millisecond {
        self.deadline_ms.saturating_sub(self.node.now_ms())
    }

    /// Time until the deadline of the caller, which may be after that of the route.
    pub fn caller_left_ms(&self) -> Millisecond {
        self.caller_deadline_ms.saturating_sub(self.node.now_ms())
    }

    /// The request as one whose connection broke after it was sent at `started_ms`.
    pub fn broken(&self, started_ms: Millisecond) -> BrokenRequest {
        BrokenRequest {
            digest: self.digest(),
            workspace: self.workspace_name(),
            parts: self.prompt.shared_parts(),
            started_ms,
            broken_ms: self.node.now_ms(),
        }
    }

    /// Time for which requests with the parts of this prompt are refused; `None` if it may run.
    pub fn refused_for_ms(&self) -> Option<Millisecond> {
        let suspects = self.node.suspect_parts.borrow();
        if suspects.has_no_quarantine() {
            return None;
        }
        let parts = self.prompt.shared_parts();
        let workspace = self.workspace_name();
        suspects.refused_for_ms(&self.service.name, &workspace, &parts, self.node.now_ms())
    }

    /// Name of the caller's workspace; empty on a route that is open to anyone.
    pub fn workspace_name(&self) -> Name {
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(|| "".into(), |w| w.name.clone())
    }

    /// Digest by which a request that crashes servers is recognized when it is sent again.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let workspace = self.workspace.as_ref().map_or("", |w| &*w.name);
            RequestDigest::of(workspace, &self.request.head.target, &self.request.body)
        })
    }

    /// Records the summary of an attempt's answer, and counts an answer with an error status.
    pub fn note_answer(&self, summary: AnswerSummary) {
        self.answer_summary.set(Some(summary));
        self.node.metrics.count_signals(&summary.signals);
        if summary.status >= 400 {
            self.node.metrics.count_server_failure(&summary);
        }
    }

    /// Records that an event of a stream, or the answer as a whole, is passed to the caller now.
    pub fn record_part(&self) {
        let delivery = self.delivery.get();
        self.delivery.set(delivery.with_part(self.node.now_ms()));
    }

    /// Counts the request in the usage once, as started at `sent_ms` by the process's clock.
    pub fn mark_begun(&self, sent_ms: Millisecond) {
        if self.may_have_run.replace(MayHaveRun::Yes) == MayHaveRun::Yes {
            return;
        }
        if let Some(workspace) = &self.workspace {
            let since_ms = self.node.now_ms().saturating_sub(sent_ms) as i64;
            let offset_ms = self.node.clock_offset_ms();
            let mut usage = self.node.usage.borrow_mut();
            usage.count(&workspace.name, offset_ms - since_ms);
        }
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&self) {
        if let Some(workspace) = &self.workspace {
            self.node.refund(workspace, self.cost);
        }
    }

    /// Serialized request head for `server`, with the caller's fields and those of the gateway.
    /// `after` is the last event that has already been relayed to the caller.
    pub fn head_for(&self, server: &Server, after: Option<&str>) -> Bytes {
        let names = &self.node.dialect.names;
        let request = &self.request.head;
        let mut out = BytesMut::with_capacity(1_024);
        let mut head = HeadWriter::request(&mut out, &request.method, &request.target);
        for (name, value) in request.fields.iter() {
            if self.is_dropped(name, after) {
                continue;
            }
            head = head.field(name, value);
        }
        if self.has_body() {
            head = head.number("Content-Length", self.request.body.len() as u64);
        }
        head = head
            .number(names.time_left_ms, self.left_ms().max(1))
            .field(names.expected_server, server.record.id.as_bytes());
        if let Some(workspace) = &self.workspace {
            head = head.field(names.workspace, workspace.name.as_bytes());
        }
        if self.service.engine.is_some() {
            head = head.number(names.engine_priority, u64::from(self.priority()));
        }
        if let Some(event) = after {
            head = head.field(names.last_event, event.as_bytes());
        }
        head.end();
        out.freeze()
    }

    /// Priority from 0 to 9; the workspace's priority overrides the route's.
    pub fn priority(&self) -> u8 {
        let workspace_priority = self.workspace.as_ref().and_then(|w| w.priority);
        workspace_priority.unwrap_or(self.route.priority).min(9)
    }

    fn has_body(&self) -> bool {
        let request = &self.request.head;
        !self.request.body.is_empty() || BODY_METHODS.contains(&request.method.as_str())
    }

    fn is_dropped(&self, name: &str, after: Option<&str>) -> bool {
        let names = &self.node.dialect.names;
        let same = |other: &str| name.eq_ignore_ascii_case(other);
        let rewritten = same("content-length")
            || same("expect")
            || same(names.time_left_ms)
            || same(names.key)
            || (after.is_some() && same(names.last_event));
        rewritten
            || names.reserved.iter().any(|reserved| same(reserved))
            || self.request.head.fields.is_hop_by_hop(name)
    }
}
