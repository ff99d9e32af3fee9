//! Quarantine of parts of prompts that crash backend servers, as applied at this node.

use base::Name;
use base::units::Millisecond;
use policy::suspect::{PartId, PartReport, QuarantineChange, QuarantineOutcome};

use crate::clock::unix_ms;
use crate::node::Node;
use crate::peer::role::{HEARTBEAT_PERIOD_MS, period_ms};

/// Shortest time for which heartbeats repeat what this node observed of a part.
const SENDING_MS: Millisecond = 1_000;

/// Time for which pulses repeat what is new: a few pulses, as some may be lost.
const PULSE_SENDING_MS: Millisecond = 3 * HEARTBEAT_PERIOD_MS;

/// Most parts with evidence in a pulse, so that pulses stay small on slow links.
const PULSE_PARTS_LIMIT: usize = 16;

/// Logs changes of quarantines. Whole requests that ran on a server whose crash a part explains are
/// no longer suspected.
pub fn apply(node: &Node, changes: &[QuarantineChange]) {
    for change in changes {
        crate::log::emit(events::Code::PartQuarantined, change);
        match change.outcome {
            QuarantineOutcome::Began | QuarantineOutcome::Received => {}
            QuarantineOutcome::Narrowed | QuarantineOutcome::Released => continue,
        }
        let mut suspects = node.suspects.borrow_mut();
        for server in &change.servers {
            suspects.mark_departed(server, unix_ms());
        }
    }
}

/// Records that a request with these parts of its prompt completed.
pub fn record_completion(node: &Node, service: &Name, parts: impl FnOnce() -> Vec<PartId>) {
    if node.suspect_parts.borrow().is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let changes = node
        .suspect_parts
        .borrow_mut()
        .completed(service, &parts(), now_ms);
    apply(node, &changes);
}

/// Whether this node has observed something of a part that its pulses should tell.
pub fn has_fresh_evidence(node: &Node) -> bool {
    !fresh_report(node).evidence.is_empty()
}

/// What pulses tell other nodes of parts: what is new at this node.
pub fn fresh_report(node: &Node) -> PartReport {
    let suspects = node.suspect_parts.borrow();
    let mut report = suspects.export_news(PULSE_SENDING_MS, node.now_ms());
    report.evidence.truncate(PULSE_PARTS_LIMIT);
    report
}

/// What heartbeats tell other nodes of parts.
pub fn report(node: &Node) -> PartReport {
    let within_ms = SENDING_MS.max(2 * period_ms(node.node_count()));
    let suspects = node.suspect_parts.borrow();
    suspects.export(within_ms, node.now_ms())
}

/// Merges what another node tells of parts.
pub fn merge(node: &Node, report: &PartReport) {
    if report.is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let changes = node.suspect_parts.borrow_mut().merge(report, now_ms);
    apply(node, &changes);
}
