//! Flow control in front of the backend servers: each send obeys the backpressure signals of its
//! server.
//!
//! A request is sent with a [`Permit`], which only [`Gate::admit`] gives out. The permit is checked
//! again when a connection is open, as the server may have sent further signals meanwhile.

use std::cell::OnceCell;
use std::rc::Rc;

use base::Name;
use base::units::Millisecond;
use serde::Serialize;

use super::answer_summary::AnswerSummary;
use super::queues;
use crate::belief::Server;
use crate::belief::registry::FlowControl;
use crate::clock::{Clock, unix_ms};
use crate::decide::backpressure::{
    Availability, BackpressureChange, ChangeOrigin, Notice, Now, Timing, WithholdReason,
};
use crate::decide::turns::{Rendezvous, Turn};
use crate::node::Node;

/// Flow control as of one instant. The clock offset and the list of nodes are computed at most once
/// for all servers that are compared.
pub struct Gate<'a> {
    node: &'a Node,
    now_ms: Millisecond,
    offset_ms: OnceCell<i64>,
    rendezvous: OnceCell<Rendezvous>,
}

impl<'a> Gate<'a> {
    pub fn new(node: &'a Node) -> Self {
        Self {
            node,
            now_ms: node.now_ms(),
            offset_ms: OnceCell::new(),
            rendezvous: OnceCell::new(),
        }
    }

    /// Offset from the system clock to fleet time. Computed only if a server has sent a signal.
    fn offset_ms(&self) -> i64 {
        *self.offset_ms.get_or_init(|| self.node.clock_offset_ms())
    }

    /// When a server may next be sent a request.
    pub fn availability(&self, server: &Server) -> Availability {
        self.availability_and_turn(server).0
    }

    /// Gives out the right to send one request to a server, now or later; `None` if the server
    /// takes no further requests.
    pub fn admit(&self, server: &Server) -> Option<Permit> {
        let (availability, turn) = self.availability_and_turn(server);
        let wait_ms = availability.wait_ms()?;
        if let Some(turn) = &turn {
            server.flow.turns.borrow_mut().take(turn);
        }
        let any_backpressure = server.flow.backpressure.borrow().has_signals();
        Some(Permit {
            flow: server.flow.clone(),
            turn,
            wait_ms,
            clock: self.node.clock,
            offset_ms: if any_backpressure {
                self.offset_ms()
            } else {
                0
            },
        })
    }

    fn availability_and_turn(&self, server: &Server) -> (Availability, Option<Turn>) {
        let backpressure = server.flow.backpressure.borrow();
        if !backpressure.has_signals() {
            return (Availability::Now, None);
        }
        let now = Now {
            node_ms: self.now_ms,
            fleet_ms: unix_ms().saturating_add_signed(self.offset_ms()),
        };
        backpressure.availability(now, |per_s, from_ms| {
            let rendezvous = self.rendezvous.get_or_init(|| self.node.rendezvous());
            let mut turns = server.flow.turns.borrow_mut();
            turns.next(per_s, rendezvous, &server.record.id, from_ms)
        })
    }
}

/// The right to send one request to one server. Dropping an unused permit gives its turn back.
#[derive(Debug)]
pub struct Permit {
    flow: Rc<FlowControl>,
    turn: Option<Turn>,
    wait_ms: Millisecond,
    clock: Clock,
    offset_ms: i64,
}

impl Permit {
    /// Time from when the permit was given out until it may be used.
    pub fn wait_ms(&self) -> Millisecond {
        self.wait_ms
    }

    /// Checks that the request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the reason why the server may not be sent the request now.
    pub fn check(&self) -> Result<(), WithholdReason> {
        let backpressure = self.flow.backpressure.borrow();
        if backpressure.is_leaving() {
            return Err(WithholdReason::Leaving);
        }
        if backpressure.hold_off_until_ms() > self.clock.now_ms() {
            return Err(WithholdReason::HeldOff);
        }
        let fleet_ms = unix_ms().saturating_add_signed(self.offset_ms);
        if backpressure.limit_per_s(fleet_ms).is_none() {
            return Ok(());
        }
        let is_open = |turn: &Turn| (turn.opens_ms..turn.closes_ms).contains(&fleet_ms);
        match &self.turn {
            Some(turn) if is_open(turn) => Ok(()),
            Some(_) | None => Err(WithholdReason::Limited),
        }
    }

    /// Uses up the permit, directly before the request is sent.
    ///
    /// # Errors
    ///
    /// Returns the reason why the server may not be sent the request now.
    pub fn redeem(mut self) -> Result<(), WithholdReason> {
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
    change: BackpressureChange,
    origin: ChangeOrigin,
    age_ms: Millisecond,
}

/// Numbers of servers by the backpressure that is in force; a server may count more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WithheldCounts {
    /// Servers that are about to leave and take no new requests.
    pub leaving: u32,
    /// Servers that have asked this node to send nothing for a while.
    pub held_off: u32,
    /// Servers with a rate limit.
    pub limited: u32,
}

/// Counts servers by the backpressure that is in force.
pub fn count_withheld<'a>(
    node: &Node,
    servers: impl IntoIterator<Item = &'a Rc<Server>>,
) -> WithheldCounts {
    let (now_ms, fleet_ms) = (node.now_ms(), node.fleet_ms());
    let mut withheld = WithheldCounts::default();
    for server in servers {
        let backpressure = server.flow.backpressure.borrow();
        withheld.leaving += u32::from(backpressure.is_leaving());
        withheld.held_off += u32::from(backpressure.hold_off_until_ms() > now_ms);
        withheld.limited += u32::from(backpressure.limit_per_s(fleet_ms).is_some());
    }
    withheld
}

/// Servers with a rate limit, at most `NOTICES_LIMIT`: identifier, requests per second, and the
/// number of requests that this node has sent under the limit.
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

/// Applies the signals of an answer to a request that was sent at `sent_ms`, on the node's clock.
pub fn note_answer(node: &Node, server: &Server, summary: &AnswerSummary, sent_ms: Millisecond) {
    let signals = &summary.signals;
    let mut backpressure = server.flow.backpressure.borrow_mut();
    if signals.is_silent() && !backpressure.has_signals() {
        return;
    }
    let (now_ms, answered_ms) = (node.now_ms(), node.fleet_ms());
    let timing = Timing {
        sent_ms: answered_ms.saturating_sub(now_ms.saturating_sub(sent_ms)),
        answered_ms,
        now_ms,
    };
    let mut changes = backpressure.record_answer(signals, timing);
    if summary.is_refusal() {
        changes.extend(backpressure.record_refusal(node.node_count(), now_ms));
    }
    drop(backpressure);
    report(node, server, &changes, ChangeOrigin::OwnAnswer, 0);
}

/// Applies notices of another node about servers. A notice about an earlier life of a server is
/// ignored.
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
        let changes = (server.flow.backpressure.borrow_mut()).merge_notice(notice, fleet_ms);
        let age_ms = fleet_ms.saturating_sub(notice.latest_ms());
        report(node, &server, &changes, ChangeOrigin::Peer, age_ms);
    }
}

/// Most notices in one datagram.
const NOTICES_LIMIT: usize = 64;

/// The newest notices about servers, for other nodes.
pub fn notices(node: &Node) -> Vec<Notice> {
    let registry = node.registry.borrow();
    let fleet_ms = node.fleet_ms();
    let notices = registry.servers().filter_map(|server| {
        let record = &server.record;
        let backpressure = server.flow.backpressure.borrow();
        backpressure.notice(&record.id, record.born_unix_ms, fleet_ms)
    });
    let mut notices: Vec<Notice> = notices.collect();
    notices.sort_by_key(|notice| std::cmp::Reverse(notice.latest_ms()));
    notices.truncate(NOTICES_LIMIT);
    notices
}

fn report(
    node: &Node,
    server: &Server,
    changes: &[BackpressureChange],
    origin: ChangeOrigin,
    age_ms: Millisecond,
) {
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
        queues::wake(node, &server.record.service);
    }
}
