//! Messages of the admin interface, shared by the daemon and the command-line tool.

use std::net::SocketAddr;

use base::Name;
use base::ids::RequestId;
use base::outcome::RunState;
use base::units::{ByteCount, Millisecond};
use serde::{Deserialize, Serialize};

use crate::{Change, Fault};

/// Whether a daemon or backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Takes new work.
    Live,
    /// Under notice or draining; finishes what it has.
    Leaving,
    /// Not heard from; gets no new work until it is.
    Suspect,
}

/// Answer of `GET /admin/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that answers.
    pub node: Name,
    /// Version of the daemon's program.
    pub program_version: String,
    /// Configuration version in force at the daemon that answers.
    pub config_version: u64,
    /// Requests in flight at the daemon that answers.
    pub in_flight: u64,
    /// Entry VMs, itself included, as this daemon sees them.
    pub entry_vms: Vec<EntryVm>,
    /// Backend servers as this daemon sees them.
    pub backend_servers: Vec<BackendServer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Its name.
    pub name: Name,
    /// Number of its current life; greater after each restart.
    pub incarnation: u64,
    /// Whether it accepts new requests.
    pub state: NodeState,
    /// Configuration version it last reported in force.
    pub config_version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The VM's identifier.
    pub id: Name,
    /// The service it offers.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: Name,
    /// Whether it accepts new requests.
    pub state: NodeState,
    /// Requests running there, by its last report.
    pub running: u64,
}

/// Answer of `GET /admin/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Version in force at the daemon that answers.
    pub version: u64,
    /// The document.
    pub document: serde_json::Value,
}

/// Answer of `POST /admin/config?base=VERSION`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyReply {
    /// The document is the new version.
    Accepted {
        /// Number of the new version.
        version: u64,
    },
    /// Another operator's change came first; nothing was changed.
    Conflict {
        /// The version that stands.
        current_version: u64,
        /// Changes from the version that stands to the document offered; absent when the former
        /// could not be read.
        #[serde(default)]
        diff: Option<Vec<Change>>,
    },
    /// The document has faults; nothing was changed.
    Invalid {
        /// Every fault.
        faults: Vec<Fault>,
    },
}

impl ApplyReply {
    /// HTTP status that goes with the answer.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Invalid { .. } => 422,
        }
    }
}

/// One accepted version, as in `GET /admin/config/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the version.
    pub version: u64,
    /// The operator who applied it.
    pub operator: Name,
    /// When it was accepted, since the Unix epoch.
    pub at_ms: Millisecond,
    /// SHA-256 of the document, in hexadecimal.
    pub digest: String,
    /// The change, in one line.
    pub summary: String,
}

/// Answer of `GET /admin/config/history`, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The versions.
    pub entries: Vec<HistoryEntry>,
}

/// Answer of `GET /admin/requests/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestView {
    /// The request's number.
    pub id: RequestId,
    /// The caller's workspace.
    pub workspace: Name,
    /// The service called.
    pub service: Name,
    /// State in the request's chart.
    pub state: String,
    /// Whether the request has run.
    pub run_state: RunState,
    /// The entry VM that holds it.
    pub entry_vm: Name,
    /// Backend servers tried, in order.
    pub attempts: Vec<Name>,
    /// When it was accepted, since the Unix epoch.
    pub accepted_at_ms: Millisecond,
    /// Bytes of the answer relayed to the caller.
    pub relayed_bytes: ByteCount,
}

/// Answer of `POST /admin/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    /// The daemon that drains.
    pub node: Name,
    /// Requests still in flight there.
    pub in_flight: u64,
    /// Longest time until the daemon ends.
    pub deadline_ms: Millisecond,
}

/// Body of an answer that reports a failure, to callers and operators alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Description of the failure.
    pub error: ErrorBody,
}

/// Description of the failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable code.
    pub code: String,
    /// A sentence for people.
    pub message: String,
    /// Whether the command was carried out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_state: Option<RunState>,
}
