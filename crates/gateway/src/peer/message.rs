//! Messages between nodes, as JSON.

use base::Name;
use base::units::{Millisecond, TokenCount};
use policy::suspect::{PartReport, SuspectRecord};
use serde::{Deserialize, Serialize};

use super::NODES_LIMIT;
use super::role::{DrainState, Role, period_ms};
use crate::decide::backpressure::Notice;
use crate::decide::fault_report::{self, FaultReport};
use crate::decide::reach::Reach;
use crate::decide::server_factor::{FactorReport, SERVER_FACTORS_LIMIT};
use crate::decide::server_load::{SERVER_LOADS_LIMIT, SharedLoad};
use crate::decide::service_speeds::{SPEEDS_LIMIT, SpeedReport};
use crate::decide::store_calls::StoreAccess;
use crate::decide::version_history::VersionReport;
use crate::rollout::news::{self, RolloutCount, RolloutNews};

/// Most requests of one node at one server: each takes one of the node's ports.
const REQUESTS_LIMIT: u32 = u16::MAX as u32;

/// Most unread prompt tokens of one node at one server: a million for each request.
const TOKENS_LIMIT: TokenCount = 1_000_000 * REQUESTS_LIMIT as TokenCount;

/// State of one node, sent in one datagram.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// Name of the sender.
    pub node: Name,
    pub failure_domain: Name,
    /// Whether the sender follows the store itself.
    pub role: Role,
    pub stay: DrainState,
    /// Time until the sender's next heartbeat with its whole state.
    pub period_ms: Millisecond,
    /// Which part of the state this datagram holds.
    #[serde(default)]
    pub content: HeartbeatContent,
    /// Random number of the sender's life (one run of its process).
    pub boot: u64,
    /// Unix time at which the sender's process started.
    pub started_unix_ms: u64,
    /// Sequence number of the datagram within the life.
    pub number: u64,
    /// Unix time at the sender.
    pub unix_ms: u64,
    /// Version of the sender's directory; 0 if it has none.
    pub directory: u64,
    /// Time since the sender itself last read the directory in the store.
    #[serde(default)]
    pub directory_age_ms: Millisecond,
    /// How current the sender's registry is.
    pub registry: RegistryVersion,
    /// The sender's clock and the ages of its copies of the store. Builds that send none count the
    /// reads of other nodes in the ages above.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copies: Option<CopyAges>,
    /// Whether the store serves the sender.
    #[serde(default)]
    pub access: StoreAccess,
    /// Bandwidth of the sender's link, in Mbit/s; unset by older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<f64>,
    /// Whether the sender holds the lease on the duties.
    #[serde(default)]
    pub tenure: Tenure,
    /// The sender's running requests and unread prompt tokens, by backend server.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<(Name, u32, TokenCount)>,
    /// Backend servers that the sender's work keeps busy, by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub busy: Vec<(Name, f64)>,
    /// Units charged by workspace since the sender's process started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<(Name, f64)>,
    /// Requests begun by window and workspace, for nodes that may hold the duties.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub begun: WindowCounts,
    /// Final counts of recent windows, for nodes that may hold the duties.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settled: WindowCounts,
    /// Requests that the sender saw crash servers, and requests that it saw complete after all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRecord>,
    /// Parts of prompts that the sender saw crash servers, and those in quarantine.
    #[serde(default, skip_serializing_if = "PartReport::is_empty")]
    pub parts: PartReport,
    /// Services with several software versions, from nodes that know those before their start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<VersionReport>,
    /// Whether the sender reaches the backend servers.
    #[serde(default)]
    pub reach: Reach,
    /// Time since any backend server last sent a byte to the sender.
    #[serde(default)]
    pub server_silence_ms: Option<Millisecond>,
    /// Backpressure announced by backend servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<Notice>,
    /// Speeds of the services, from the sender's own samples.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedReport>,
    /// Faults of backend servers that the sender observed, and answers after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultReport>,
    /// Rollouts that the sender knows, with its decisions if it holds the duties.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNews>,
    /// Outcomes of the sender's requests while orders run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollout_counts: Vec<RolloutCount>,
    /// Load reports that servers sent to the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub server_loads: Vec<SharedLoad>,
    /// Speeds of servers relative to their services, from the sender's own samples.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub server_factors: Vec<FactorReport>,
}

impl NodeHeartbeat {
    /// Key of the sender's life.
    pub fn key(&self) -> Name {
        life_key(&self.node, self.boot)
    }

    /// Whether the values are possible for a node. A damaged datagram must not make a server look
    /// full, or keep a node listed that has ended.
    pub fn is_plausible(&self) -> bool {
        let pulse_ms = match self.content {
            HeartbeatContent::Pulse { period_ms } => period_ms,
            HeartbeatContent::Whole => 0,
        };
        let loads = self.loads.iter();
        self.period_ms.max(pulse_ms) <= period_ms(NODES_LIMIT)
            && self.registry.changed <= self.registry.revision
            && self
                .link_mbps
                .is_none_or(|mbps| mbps.is_finite() && mbps > 0.0)
            && loads
                .clone()
                .all(|(_, running, _)| *running <= REQUESTS_LIMIT)
            && loads.clone().all(|(_, _, tokens)| *tokens <= TOKENS_LIMIT)
            && self.notices.iter().all(Notice::is_plausible)
            && self.server_factors.len() <= SERVER_FACTORS_LIMIT
            && self.server_factors.iter().all(FactorReport::is_plausible)
            && self.server_loads.len() <= SERVER_LOADS_LIMIT
            && self.server_loads.iter().all(|l| l.report.is_plausible())
            && self.speeds.len() <= SPEEDS_LIMIT
            && self.speeds.iter().all(SpeedReport::is_plausible)
            && fault_report::are_plausible(&self.faults)
            && news::are_plausible(&self.rollouts, &self.rollout_counts)
    }

    /// Age of the sender's process, by the sender's own clock.
    pub fn age_ms(&self) -> Millisecond {
        self.unix_ms.saturating_sub(self.started_unix_ms)
    }
}

/// Key of one life (one run of the process) of a node.
pub fn life_key(node: &Name, boot: u64) -> Name {
    format!("{node}/{boot}").into()
}

/// Which part of the sender's state a heartbeat holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatContent {
    /// The whole state.
    #[default]
    Whole,
    /// Only versions and backpressure. The lists are left out; the receiver keeps those of the last
    /// whole heartbeat.
    Pulse {
        /// Time until the next pulse.
        period_ms: Millisecond,
    },
}

/// Whether a node holds the lease on the duties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tenure {
    Holds,
    #[default]
    None,
}

/// How current a node's registry is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryVersion {
    /// Revision of the store that the registry reflects; 0 if there is none.
    pub revision: u64,
    /// Revision of the last change, heartbeats of servers left out.
    pub changed: u64,
    /// Time since the sender itself last read the registry in the store.
    pub age_ms: Millisecond,
}

/// Ages of a node's copies of the store, by its own reads and those of other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyAges {
    /// The sender's process clock.
    pub clock_ms: Millisecond,
    pub directory_ms: Millisecond,
    pub registry_ms: Millisecond,
}

/// One node's registry, for nodes that can't reach the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistryCopy {
    /// Revision of the store that the registry reflects.
    pub revision: u64,
    /// Revision of the last change, heartbeats of servers left out; unset by older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changed: Option<u64>,
    pub listing: Listing,
    /// Entries that changed after the requested revision, as stored (JSON text).
    pub rows: Vec<(Name, String)>,
}

/// Which entries a registry has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listing {
    /// Exactly these entries.
    All(Vec<Name>),
    /// The entries of an earlier revision and the changed ones, without those removed since.
    Since {
        revision: u64,
        /// Identifiers of entries removed since.
        gone: Vec<Name>,
    },
}

/// Requests begun, by window and workspace.
pub type WindowCounts = Vec<(u64, Vec<(Name, u64)>)>;

/// Usage counts of all lives of nodes that a node knows, its own included.
pub type UsageCopy = Vec<LifeUsage>;

/// Usage counts of one life of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LifeUsage {
    pub life: Name,
    /// Unix time at which the life started.
    pub started_unix_ms: u64,
    /// Requests begun in the recent windows.
    pub begun: WindowCounts,
}

/// Answer of a node that sends as much as its link carries: nodes that it has sent its directory.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Referral {
    pub directory: u64,
    pub nodes: Vec<Name>,
}

/// Field of a pull with the name of the node that pulls.
pub const PULLED_BY: &str = "pulled-by";

/// Path of a node's usage counts.
pub const USAGE_PATH: &str = "/usage";

/// Path of a node's directory row.
pub const DIRECTORY_PATH: &str = "/directory";

/// Path prefix of a node's registry; the revision since which changes are wanted follows it.
pub const REGISTRY_PATH: &str = "/registry/";
