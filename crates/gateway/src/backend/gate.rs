//! The one way to a backend server: what it says of itself binds each send.
//!
//! A request is sent with a [`Permit`], which only [`Gate::admit`] gives out. It is looked at again when a
//! connection is open, as a server may have said more meanwhile.

use std::cell::OnceCell;
use std::rc::Rc;

use base::Name;
use base::units::Millisecond;
use serde::Serialize;

use crate::belief::Server;
use crate::belief::registry::FlowControl;
use crate::clock::{Clock, unix_ms};
use crate::decide::backpressure::{Change, Notice, Now, Opening, Origin, Reason, Timing};
use crate::decide::signal::Signals;
use crate::decide::turns::{Rendezvous, Turn};
use crate::node::Node;

/// What a node looks at when it weighs servers: nodes and instants, worked out once for all.
pub struct Gate<'a> {
    node: &'a Node,
    now_ms: Millisecond,
    offset_ms: OnceCell<i64>,
    rendezvous: OnceCell<Rendezvous>,
}

impl<'a> Gate<'a> {
    /// The gate as it is now.
    pub fn new(node: &'a Node) -> Self {
        Self {
            node,
            now_ms: node.now_ms(),
            offset_ms: OnceCell::new(),
            rendezvous: OnceCell::new(),
        }
    }

    /// From the calendar clock to fleet time; worked out only where a server has said something.
    fn offset_ms(&self) -> i64 {
        *self.offset_ms.get_or_init(|| self.node.clock_offset_ms())
    }

    /// When a server may get a request.
    pub fn opening(&self, server: &Server) -> Opening {
        self.open(server).0
    }

    /// Takes the right to send one request to a server, at once or when it opens; `None` if it does
    /// not.
    pub fn admit(&self, server: &Server) -> Option<Permit> {
        let (opening, turn) = self.open(server);
        let wait_ms = opening.wait_ms()?;
        if let Some(turn) = &turn {
            server.flow.turns.borrow_mut().take(turn);
        }
        let said = server.flow.backpressure.borrow().is_any();
        Some(Permit {
            flow: server.flow.clone(),
            turn,
            wait_ms,
            clock: self.node.clock,
            offset_ms: if said { self.offset_ms() } else { 0 },
        })
    }

    fn open(&self, server: &Server) -> (Opening, Option<Turn>) {
        let believed = server.flow.backpressure.borrow();
        if !believed.is_any() {
            return (Opening::Now, None);
        }
        let now = Now {
            node_ms: self.now_ms,
            fleet_ms: unix_ms().saturating_add_signed(self.offset_ms()),
        };
        believed.opening(now, |per_s, from_ms| {
            let rendezvous = self.rendezvous.get_or_init(|| self.node.rendezvous());
            let mut turns = server.flow.turns.borrow_mut();
            turns.next(per_s, rendezvous, &server.record.id, from_ms)
        })
    }
}

/// The right to send one request to one server. A turn that is not used is given back.
#[derive(Debug)]
pub struct Permit {
    flow: Rc<FlowControl>,
    turn: Option<Turn>,
    wait_ms: Millisecond,
    clock: Clock,
    offset_ms: i64,
}

impl Permit {
    /// Time until it may be used, from when it was given.
    pub fn wait_ms(&self) -> Millisecond {
        self.wait_ms
    }

    /// Whether it may be used now.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn check(&self) -> Result<(), Reason> {
        let believed = self.flow.backpressure.borrow();
        if believed.leaves() {
            return Err(Reason::Leaving);
        }
        if believed.held_until_ms() > self.clock.now_ms() {
            return Err(Reason::HeldOff);
        }
        let fleet_ms = unix_ms().saturating_add_signed(self.offset_ms);
        if believed.limit_per_s(fleet_ms).is_none() {
            return Ok(());
        }
        let open = |turn: &Turn| (turn.opens_ms..turn.closes_ms).contains(&fleet_ms);
        match &self.turn {
            Some(turn) if open(turn) => Ok(()),
            Some(_) | None => Err(Reason::Limited),
        }
    }

    /// Uses it up: the request is sent now.
    ///
    /// # Errors
    ///
    /// Why it may not be sent.
    pub fn redeem(mut self) -> Result<(), Reason> {
        self.check()?;
        if self.turn.take().is_some() {
            let sends = &self.flow.limited_sends;
            sends.set(sends.get() + 1);
        }
        Ok(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(turn) = &self.turn {
            self.flow.turns.borrow_mut().give_back(turn);
        }
    }
}

#[derive(Serialize)]
struct ChangedFields<'a> {
    server: &'a str,
    change: Change,
    origin: Origin,
    age_ms: Millisecond,
}

/// Servers by what they have said of themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WithheldCounts {
    /// They leave.
    pub leaving: u32,
    /// They want nothing from this node for a while.
    pub held_off: u32,
    /// They have a limit.
    pub limited: u32,
}

/// Counts servers by what they have said of themselves.
pub fn count_withheld<'a>(
    node: &Node,
    servers: impl IntoIterator<Item = &'a Rc<Server>>,
) -> WithheldCounts {
    let (now_ms, fleet_ms) = (node.now_ms(), node.fleet_ms());
    let mut withheld = WithheldCounts::default();
    for server in servers {
        let believed = server.flow.backpressure.borrow();
        withheld.leaving += u32::from(believed.leaves());
        withheld.held_off += u32::from(believed.held_until_ms() > now_ms);
        withheld.limited += u32::from(believed.limit_per_s(fleet_ms).is_some());
    }
    withheld
}

/// Servers with a limit, up to as many as one datagram tells of: requests a second, and those that this
/// node has sent under it.
pub fn limited_servers(node: &Node) -> Vec<(Name, f64, u64)> {
    let fleet_ms = node.fleet_ms();
    let registry = node.registry.borrow();
    let limited = registry.servers().filter_map(|server| {
        let per_s = server.flow.backpressure.borrow().limit_per_s(fleet_ms)?;
        let sends = server.flow.limited_sends.get();
        Some((server.record.id.clone(), per_s, sends))
    });
    limited.take(NOTICES_LIMIT).collect()
}

/// Takes in what a server says of itself in an answer to a request sent at `sent_ms`, on the node's
/// clock.
pub fn note_answer(node: &Node, server: &Server, signals: &Signals, sent_ms: Millisecond) {
    let mut believed = server.flow.backpressure.borrow_mut();
    if signals.is_silent() && !believed.is_any() {
        return;
    }
    let (now_ms, answered_ms) = (node.now_ms(), node.fleet_ms());
    let timing = Timing {
        sent_ms: answered_ms.saturating_sub(now_ms.saturating_sub(sent_ms)),
        answered_ms,
        now_ms,
    };
    let changes = believed.answered(signals, timing);
    drop(believed);
    report(node, server, &changes, Origin::OwnAnswer, 0);
}

/// Takes in what another node tells of servers.
pub fn apply_notices(node: &Node, notices: &[Notice]) {
    if notices.is_empty() {
        return;
    }
    let fleet_ms = node.fleet_ms();
    for notice in notices {
        let registry = node.registry.borrow();
        let server = registry.server(&notice.server);
        let same_life = server.filter(|s| s.record.born_unix_ms == notice.born_unix_ms);
        let Some(server) = same_life.cloned() else {
            continue;
        };
        drop(registry);
        let changes = (server.flow.backpressure.borrow_mut()).heard(notice, fleet_ms);
        let age_ms = fleet_ms.saturating_sub(notice.latest_ms());
        report(node, &server, &changes, Origin::Peer, age_ms);
    }
}

/// Most servers of which one datagram tells.
const NOTICES_LIMIT: usize = 64;

/// What other nodes should know of servers, the newest first.
pub fn notices(node: &Node) -> Vec<Notice> {
    let registry = node.registry.borrow();
    let fleet_ms = node.fleet_ms();
    let notices = registry.servers().filter_map(|server| {
        let record = &server.record;
        let believed = server.flow.backpressure.borrow();
        believed.notice(&record.id, record.born_unix_ms, fleet_ms)
    });
    let mut notices: Vec<Notice> = notices.collect();
    notices.sort_by_key(|notice| std::cmp::Reverse(notice.latest_ms()));
    notices.truncate(NOTICES_LIMIT);
    notices
}

fn report(node: &Node, server: &Server, changes: &[Change], origin: Origin, age_ms: Millisecond) {
    for change in changes {
        let fields = ChangedFields {
            server: &server.record.id,
            change: *change,
            origin,
            age_ms,
        };
        crate::log::emit(events::Code::BackendSignalled, &fields);
    }
    if !changes.is_empty() {
        node.capacity_changed.notify_one();
    }
}
