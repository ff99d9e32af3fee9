//! Load reports of servers: taken from responses, shared with other nodes, and compared with real
//! times.

use base::Name;
use base::units::Millisecond;
use serde::Serialize;

use super::answer_summary::AnswerSummary;
use crate::belief::Server;
use crate::decide::server_factor::{self, FactorReport};
use crate::decide::server_load::{LoadReport, ReportCheck, SharedLoad, newest};
use crate::decide::signal::Reading;
use crate::decide::speed::Basis;
use crate::node::Node;
use crate::peer::role::period_ms;

#[derive(Serialize)]
struct RejectedFields<'a> {
    request: Option<&'a str>,
    server: &'a str,
    reason: &'static str,
    /// The newest readable report.
    report: Option<LoadReport>,
    report_age_ms: Option<Millisecond>,
    real_ms: Option<Millisecond>,
    with_report_ms: Option<Millisecond>,
    without_report_ms: Option<Millisecond>,
}

fn log_rejected(node: &Node, server: &Server, request: Option<&str>, check: Option<&ReportCheck>) {
    let now_ms = node.now_ms();
    let mut reported = server.reported.borrow_mut();
    if !reported.take_log_turn(now_ms) {
        return;
    }
    let newest = reported.newest(now_ms);
    let fields = RejectedFields {
        request,
        server: &server.record.id,
        reason: match check {
            Some(_) => "contradicted",
            None => "unreadable",
        },
        report: newest.map(|(report, _)| report),
        report_age_ms: newest.map(|(_, age_ms)| age_ms),
        real_ms: check.map(|c| c.real_ms as Millisecond),
        with_report_ms: check.map(|c| c.with_report_ms as Millisecond),
        without_report_ms: check.map(|c| c.without_report_ms as Millisecond),
    };
    crate::log::emit(events::Code::ServerLoadRejected, &fields);
}

/// Applies the load report of a response to `request`.
pub fn note_answer(node: &Node, server: &Server, request: Option<&str>, summary: &AnswerSummary) {
    node.metrics.count_load_report(&summary.load);
    match summary.load {
        Reading::Given(report) => {
            let mut reported = server.reported.borrow_mut();
            reported.record_own(report, node.now_ms());
        }
        Reading::Unreadable => log_rejected(node, server, request, None),
        Reading::Absent => {}
    }
}

/// Compares a real time to first byte with what the server's report let expect.
pub fn check(
    node: &Node,
    server: &Server,
    request: Option<&str>,
    basis: &Basis,
    after_ms: Millisecond,
) {
    let Some(check) = ReportCheck::of(basis, after_ms) else {
        return;
    };
    let is_contradicted = (server.reported.borrow_mut()).check(&check, node.now_ms());
    if is_contradicted {
        log_rejected(node, server, request, Some(&check));
    }
}

/// Records the server's speed relative to its service.
pub fn record_factor(server: &Server, basis: &Basis, after_ms: Millisecond, now_ms: Millisecond) {
    let multiple = basis.server_multiple(after_ms);
    server.factor.borrow_mut().record(multiple, now_ms);
}

/// Evidence of this node on the speed of servers, for other nodes.
pub fn factors(node: &Node) -> Vec<FactorReport> {
    let now_ms = node.now_ms();
    let registry = node.registry.borrow();
    let period_ms = period_ms(node.node_count());
    let reports = registry.servers().filter_map(|server| {
        let (record, factor) = (&server.record, server.factor.borrow());
        factor.report(&record.id, record.born_unix_ms, period_ms, now_ms)
    });
    server_factor::newest(reports.collect())
}

/// Applies another node's evidence on the speed of servers.
pub fn apply_factors(node: &Node, from: &Name, reports: &[FactorReport]) {
    let now_ms = node.now_ms();
    let registry = node.registry.borrow();
    for report in reports {
        let server = registry.server(&report.server);
        let same_life = server.filter(|s| s.record.born_unix_ms == report.born_unix_ms);
        if let Some(server) = same_life {
            server.factor.borrow_mut().merge(from, report, now_ms);
        }
    }
}

/// Reports that servers sent this node, for other nodes.
pub fn shared(node: &Node) -> Vec<SharedLoad> {
    let now_ms = node.now_ms();
    let registry = node.registry.borrow();
    let counts_age_ms = node.others_age_ms();
    let loads = registry.servers().filter_map(|server| {
        let reported = server.reported.borrow();
        reported.shared(&server.record.id, counts_age_ms, now_ms)
    });
    newest(loads.collect())
}

/// Applies reports that another node has received.
pub fn apply_shared(node: &Node, loads: &[SharedLoad]) {
    let now_ms = node.now_ms();
    let registry = node.registry.borrow();
    for load in loads {
        if let Some(server) = registry.server(&load.server) {
            server.reported.borrow_mut().record_shared(load, now_ms);
        }
    }
}
