//! Log events of this crate.

use base::Name;
use base::ids::RequestId;
use events::{Code, emit};
use serde::Serialize;

use crate::apply::ApplyOutcome;
use crate::node::Report;
use crate::wire::Health;

#[derive(Serialize)]
struct HealthFields<'a> {
    peer: &'a str,
    from: Option<Health>,
    to: Health,
}

#[derive(Serialize)]
struct InForceFields<'a> {
    version: u64,
    digest: &'a str,
}

#[derive(Serialize)]
struct BackendFields<'a> {
    backend: &'a str,
}

#[derive(Serialize)]
struct GapFields {
    gap_ms: u64,
}

#[derive(Serialize)]
struct NoFields {}

#[derive(Serialize)]
struct DecidedFields<'a> {
    operator: &'a str,
    base_version: u64,
    outcome: &'static str,
    reason: Option<&'a str>,
}

#[derive(Serialize)]
struct StreamFields<'a> {
    request: RequestId,
    owner: Option<&'a str>,
    standby: Option<&'a str>,
    epoch: u32,
}

/// Logs a report of the node.
pub(crate) fn node(report: &Report) {
    match report {
        Report::Health(change) => {
            let fields = HealthFields {
                peer: &change.member,
                from: change.from,
                to: change.to,
            };
            let code = match change.to {
                Health::Alive => Code::PeerAlive,
                Health::Suspect => Code::PeerSuspected,
                Health::Gone | Health::Left => Code::PeerGone,
            };
            emit(code, &fields);
        }
        Report::InForce(document) => {
            let fields = InForceFields {
                version: document.version,
                digest: &document.digest,
            };
            emit(Code::ConfigInForce, &fields);
        }
        Report::Leaving(backend) => emit(Code::BackendLeaving, &BackendFields { backend }),
        Report::Paused(gap_ms) => emit(Code::NodeWoke, &GapFields { gap_ms: *gap_ms }),
        Report::Fresh => emit(Code::NodeFresh, &NoFields {}),
        Report::Degraded => emit(Code::NodeDegraded, &NoFields {}),
    }
}

/// Logs the outcome of an operator's proposal.
pub(crate) fn config_decided(outcome: &ApplyOutcome, base_version: u64, operator: &str) {
    let (outcome, reason) = match outcome {
        ApplyOutcome::Accepted => ("accepted", None),
        ApplyOutcome::Lost(_) => ("lost", None),
        ApplyOutcome::NotAccepted(reason) => ("not_accepted", Some(reason.as_str())),
        ApplyOutcome::Unknown(reason) => ("unknown", Some(reason.as_str())),
    };
    let fields = DecidedFields {
        operator,
        base_version,
        outcome,
        reason,
    };
    emit(Code::ConfigDecided, &fields);
}

pub(crate) fn stream(
    code: Code,
    request: RequestId,
    owner: Option<&Name>,
    standby: Option<&Name>,
    epoch: u32,
) {
    let fields = StreamFields {
        request,
        owner: owner.map(|name| &**name),
        standby: standby.map(|name| &**name),
        epoch,
    };
    emit(code, &fields);
}
