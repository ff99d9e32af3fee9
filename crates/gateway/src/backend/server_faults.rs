//! Faults of backend servers that nodes report to each other, as applied at this node.

use std::rc::Rc;

use base::units::Millisecond;
use base::{Map, Name};
use serde::Serialize;

use crate::backend::{queues, reach};
use crate::belief::Server;
use crate::belief::registry::ServerState;
use crate::decide::fault_report::REPORTS_LIMIT;
use crate::decide::outcome::FailureCause;
use crate::decide::reach::Reach;
use crate::decide::server_faults::{
    FaultChange, FaultKind, FaultReport, Sender, ServerFaults, Standing, drawn_node, has_room,
    is_outweighed,
};
use crate::node::Node;
use crate::peer::message::NodeHeartbeat;
use crate::peer::role::{DrainState, Presence};

#[derive(Serialize)]
struct ReportedFields<'a> {
    server: &'a str,
    service: &'a str,
    outcome: &'static str,
    kind: FaultKind,
    reporter: &'a str,
    age_ms: Millisecond,
    failures: u32,
    /// Time since the reporter last heard any server.
    reporter_silence_ms: Option<Millisecond>,
}

/// Records a failed attempt at a server.
pub fn note_failure(node: &Node, server: &Server, cause: FailureCause) {
    let kind = match cause {
        FailureCause::Unreachable => FaultKind::Unreachable,
        FailureCause::Misdirected => FaultKind::Misdirected,
        FailureCause::Broken | FailureCause::Garbled => FaultKind::Failing,
        FailureCause::Withheld(_)
        | FailureCause::Refused
        | FailureCause::BareRefusal
        | FailureCause::Failed
        | FailureCause::Unheld
        // Recorded when the search for another server began.
        | FailureCause::Silent => return,
    };
    record(node, server, kind);
}

/// Records that a server was silent for too long.
pub fn note_silence(node: &Node, server: &Server) {
    record(node, server, FaultKind::Silent);
}

/// Records that a server whose connections broke accepts no new one.
pub fn note_down(node: &Node, server: &Server) {
    record(node, server, FaultKind::Unreachable);
}

fn record(node: &Node, server: &Server, kind: FaultKind) {
    if node.reach.borrow().reach() == Reach::Lost {
        return;
    }
    let mut faults = server.faults.borrow_mut();
    faults.record_own(kind, node.now_ms());
    let id = server.record.id.clone();
    node.faulty_servers.borrow_mut().insert(id);
}

/// Drops this node's own observations, as it had lost its paths to all servers.
pub fn drop_own(node: &Node) {
    for server in faulty(node) {
        server.faults.borrow_mut().drop_own();
    }
}

/// The servers without those that are gone, or all if each one is.
pub fn without_gone(node: &Node, servers: Vec<Rc<Server>>) -> Vec<Rc<Server>> {
    if node.faulty_servers.borrow().is_empty() {
        return servers;
    }
    let now_ms = node.now_ms();
    let is_gone = |s: &Rc<Server>| s.faults.borrow().is_gone(now_ms);
    let left: Vec<Rc<Server>> = servers.iter().filter(|s| !is_gone(s)).cloned().collect();
    match left.is_empty() {
        true => servers,
        false => left,
    }
}

/// Number of servers that are avoided on the reports of other nodes alone.
pub fn avoided_count(node: &Node) -> usize {
    let now_ms = node.now_ms();
    let servers = faulty(node);
    let avoided = |s: &&Rc<Server>| s.faults.borrow().is_avoided_on_reports(now_ms);
    servers.iter().filter(avoided).count()
}

fn faulty(node: &Node) -> Vec<Rc<Server>> {
    let names = node.faulty_servers.borrow();
    let registry = node.registry.borrow();
    let servers = names.iter().filter_map(|id| registry.server(id));
    servers.cloned().collect()
}

/// This node's observations for other nodes, newest first.
pub fn reports(node: &Node) -> Vec<FaultReport> {
    reports_of(node, |_, _| true)
}

/// The observations that pulses report now, newest first.
pub fn fresh_reports(node: &Node) -> Vec<FaultReport> {
    reports_of(node, ServerFaults::is_fresh)
}

fn reports_of(
    node: &Node,
    is_wanted: impl Fn(&ServerFaults, Millisecond) -> bool,
) -> Vec<FaultReport> {
    if node.reach.borrow().reach() == Reach::Lost {
        return Vec::new();
    }
    let now_ms = node.now_ms();
    let servers = faulty(node);
    let reports = servers.iter().filter_map(|server| {
        let faults = server.faults.borrow();
        if !is_wanted(&faults, now_ms) {
            return None;
        }
        let (kind, age_ms, failures) = faults.report(server.last_byte_ms.get(), now_ms)?;
        let report = FaultReport {
            server: server.record.id.clone(),
            born_unix_ms: server.record.born_unix_ms,
            kind,
            age_ms,
            failures,
        };
        Some(report)
    });
    let mut reports: Vec<FaultReport> = reports.collect();
    reports.sort_by_key(|report| report.age_ms);
    reports.truncate(REPORTS_LIMIT);
    reports
}

/// Whether pulses report some observation of this node now.
pub fn has_fresh(node: &Node) -> bool {
    let now_ms = node.now_ms();
    let is_fresh = |s: &Rc<Server>| s.faults.borrow().is_fresh(now_ms);
    node.reach.borrow().reach() == Reach::Reached && faulty(node).iter().any(is_fresh)
}

/// Applies the reports in another node's heartbeat.
pub fn apply(node: &Node, heartbeat: &NodeHeartbeat) {
    if heartbeat.faults.is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let sender = sender(node, heartbeat);
    let mut avoided = Map::default();
    for report in &heartbeat.faults {
        let known = node.registry.borrow().server(&report.server).cloned();
        // An entry that names no start can't be told from that of another life.
        let same_life = |s: &Rc<Server>| {
            s.record.born_unix_ms > 0 && s.record.born_unix_ms == report.born_unix_ms
        };
        let Some(server) = known.filter(same_life) else {
            continue;
        };
        let may_avoid = || may_avoid(node, &server, &mut avoided, now_ms);
        let mut faults = server.faults.borrow_mut();
        let change = faults.apply(
            &heartbeat.node,
            report,
            sender.weight(report.age_ms),
            server.last_byte_ms.get(),
            now_ms,
            may_avoid,
        );
        let is_over = faults.is_over(now_ms);
        drop(faults);
        if !is_over {
            let id = server.record.id.clone();
            node.faulty_servers.borrow_mut().insert(id);
        }
        note_change(node, &server, heartbeat, report, &change);
    }
}

fn note_change(
    node: &Node,
    server: &Server,
    heartbeat: &NodeHeartbeat,
    report: &FaultReport,
    change: &FaultChange,
) {
    let (outcome, kind) = match change {
        FaultChange::None => return,
        FaultChange::Avoided => ("avoided", report.kind),
        FaultChange::Returned { kind } => ("returned", *kind),
        FaultChange::AwaitsWitness => ("awaits_witness", report.kind),
        FaultChange::Ignored => ("ignored", report.kind),
    };
    node.metrics.count_fault_report(kind, outcome);
    if let FaultChange::Returned { kind } = change {
        if is_outweighed(*kind, server.failures.get()) {
            server.end_avoidance();
        }
        queues::wake(node, &server.record.service);
    }
    if !matches!(change, FaultChange::Avoided | FaultChange::Returned { .. }) {
        return;
    }
    let fields = ReportedFields {
        server: &server.record.id,
        service: &server.record.service,
        outcome,
        kind,
        reporter: &heartbeat.node,
        age_ms: report.age_ms,
        failures: report.failures,
        reporter_silence_ms: heartbeat.server_silence_ms,
    };
    crate::log::emit(events::Code::BackendReported, &fields);
}

/// What is known of the sender of a heartbeat. The loads of a pulse are those of its last whole
/// heartbeat.
fn sender(node: &Node, heartbeat: &NodeHeartbeat) -> Sender {
    let peers = node.peers.borrow();
    let known = peers.get(&heartbeat.node);
    let loads = known.map_or(&heartbeat.loads, |peer| &peer.heartbeat.loads);
    let faults = heartbeat.faults.iter();
    let faulty: Vec<&Name> = faults
        .filter(|report| report.kind != FaultKind::Answered)
        .map(|report| &report.server)
        .collect();
    let others = loads.iter().filter(|(id, ..)| !faulty.contains(&id));
    Sender {
        reaches: heartbeat.reach == Reach::Reached,
        server_silence_ms: heartbeat.server_silence_ms,
        used: others.count() + faulty.len(),
        faulty: faulty.len(),
    }
}

/// Whether a server may be avoided on reports. `avoided` counts the servers that are, by service.
fn may_avoid(
    node: &Node,
    server: &Server,
    avoided: &mut Map<Name, usize>,
    now_ms: Millisecond,
) -> bool {
    let registry = node.registry.borrow();
    let service = &server.record.service;
    let of_service = registry.of_service(service);
    let ready = of_service
        .iter()
        .filter(|s| s.record.state == ServerState::Ready);
    let is_avoided = |s: &&Rc<Server>| {
        // The server in question is borrowed, and not avoided yet.
        let faults = s.faults.try_borrow();
        faults.is_ok_and(|faults| faults.is_avoided_on_reports(now_ms))
    };
    let count = avoided
        .entry(service.clone())
        .or_insert_with(|| of_service.iter().filter(is_avoided).count());
    let has_room = has_room(*count, ready.count());
    *count += usize::from(has_room);
    has_room
}

/// Tries the servers whose avoidance has ended and that this node was drawn to try, and forgets old
/// faults.
pub fn try_servers(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    for server in faulty(node) {
        let mut faults = server.faults.borrow_mut();
        if faults.is_over(now_ms) {
            continue;
        }
        let Standing::OnTrial { kind, failures } = faults.standing(now_ms) else {
            continue;
        };
        if faults.is_drawn() || !is_drawn(node, &server, &faults, failures) {
            continue;
        }
        faults.set_drawn();
        // A server whose address belongs to another one accepts connections: only a request shows
        // who answers.
        if kind == FaultKind::Unreachable {
            let (node, server) = (node.clone(), server.clone());
            tokio::task::spawn_local(async move { probe(&node, &server).await });
        }
    }
    forget_old(node, now_ms);
}

fn forget_old(node: &Node, now_ms: Millisecond) {
    let registry = node.registry.borrow();
    let is_recent = |id: &Name| {
        let server = registry.server(id);
        server.is_some_and(|s| !s.faults.borrow().is_over(now_ms))
    };
    node.faulty_servers.borrow_mut().retain(is_recent);
}

/// Whether this node is drawn among those that reach servers.
fn is_drawn(node: &Node, server: &Server, faults: &ServerFaults, failures: u32) -> bool {
    if node.reach.borrow().reach() == Reach::Lost {
        return false;
    }
    let now_ms = node.now_ms();
    let own = &node.settings.node.name;
    let peers = node.peers.borrow();
    let able = peers.iter().filter(|(name, peer)| {
        let heartbeat = &peer.heartbeat;
        heartbeat.reach == Reach::Reached
            && heartbeat.stay == DrainState::Stays
            && peer.presence(now_ms) == Presence::Fresh
            && faults.sole_reporter() != Some(name)
    });
    let nodes = able.map(|(name, _)| name).chain([own]);
    drawn_node(&server.record.id, failures, nodes) == Some(own)
}

async fn probe(node: &Node, server: &Server) {
    if !reach::accepts_connection(server.record.address).await {
        record(node, server, FaultKind::Unreachable);
        return;
    }
    let ended = server.faults.borrow_mut().record_own_answer(node.now_ms());
    if ended.is_some() {
        server.end_avoidance();
        queues::wake(node, &server.record.service);
    }
}
