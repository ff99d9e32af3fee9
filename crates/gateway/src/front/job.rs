//! One accepted request: what it may do, what it costs, and what has become of it.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;

use base::units::Millisecond;
use bytes::{Bytes, BytesMut};
use policy::suspect::RequestDigest;

use super::request::Request;
use crate::backend::seen::Seen;
use crate::belief::{Route, Server, Service, Workspace};
use crate::decide::prompt::Prompt;
use crate::http::HeadWriter;
use crate::node::Node;

/// Time that a request has where neither the caller nor the route names one.
const UNNAMED_TIME_MS: Millisecond = 30_000;

/// Methods whose requests have a body, be it empty.
const BODY_METHODS: [&str; 3] = ["POST", "PUT", "PATCH"];

/// One accepted request.
pub struct Job<'a> {
    /// The process.
    pub node: &'a Node,
    /// What the caller sent.
    pub request: &'a Request,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that the route gave it.
    pub service: Arc<Service>,
    /// Whose it is.
    pub workspace: Option<Arc<Workspace>>,
    /// Its prompt.
    pub prompt: Prompt,
    /// Until when the caller waits.
    pub caller_until_ms: Millisecond,
    /// Until when it is to be answered.
    pub until_ms: Millisecond,
    /// What the workspace was charged for it.
    pub cost: f64,
    /// Whether it may have begun to run at a server.
    pub begun: Cell<Begun>,
    /// Where the latest attempt's answer came from, if there is one.
    pub seen: Cell<Option<Seen>>,
    digest: OnceCell<RequestDigest>,
}

/// Whether a request may have begun to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begun {
    /// A server had it and did not say otherwise; it is counted.
    Yes,
    /// It was never sent, or each server said that it did not run it.
    No,
}

impl<'a> Job<'a> {
    /// A request on its route.
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
        let received_ms = request.received_ms;
        let caller_ms = fields.number(names.time_left_ms);
        let route_until_ms = received_ms + route.timeout_ms.unwrap_or(UNNAMED_TIME_MS);
        let caller_until_ms = match caller_ms {
            Some(ms) => received_ms + ms,
            None => route_until_ms,
        };
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
            caller_until_ms,
            until_ms: caller_until_ms.min(route_until_ms),
            cost,
            begun: Cell::new(Begun::No),
            seen: Cell::new(None),
            digest: OnceCell::new(),
        }
    }

    /// The caller's number of the request.
    pub fn id(&self) -> Option<&str> {
        let names = &self.node.dialect.names;
        self.request.head.fields.text(names.request_id)
    }

    /// Time that is left.
    pub fn left_ms(&self) -> Millisecond {
        self.until_ms.saturating_sub(self.node.now_ms())
    }

    /// Digest by which a request that crashes its servers is known again.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let workspace = self.workspace.as_ref().map_or("", |w| &*w.name);
            RequestDigest::of(workspace, &self.request.head.target, &self.request.body)
        })
    }

    /// Takes note of where an attempt's answer came from, and counts one that is a failure.
    pub fn answered(&self, seen: Seen) {
        self.seen.set(Some(seen));
        self.node.metrics.count_signals(&seen.signals);
        if seen.status >= 400 {
            self.node.metrics.count_server_failure(&seen);
        }
    }

    /// Counts the request, once, as begun at `sent_ms` by the process's clock.
    pub fn begin(&self, sent_ms: Millisecond) {
        if self.begun.replace(Begun::Yes) == Begun::Yes {
            return;
        }
        if let Some(workspace) = &self.workspace {
            let since_ms = self.node.now_ms().saturating_sub(sent_ms) as i64;
            let offset_ms = self.node.clock_offset_ms();
            let mut usage = self.node.usage.borrow_mut();
            usage.count(&workspace.name, offset_ms - since_ms);
        }
    }

    /// Gives back what was charged, for a request that did not run.
    pub fn refund(&self) {
        if let Some(workspace) = &self.workspace {
            self.node.refund(workspace, self.cost);
        }
    }

    /// Head for `server`, with the caller's fields and our own; `after` is the last event that the
    /// caller already has from us.
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

    /// Rank, 0 to 9: the workspace's goes before the route's.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|w| w.priority);
        own.unwrap_or(self.route.priority).min(9)
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
