//! What nodes tell each other, as JSON.

use base::Name;
use base::units::{Millisecond, TokenCount};
use policy::suspect::SuspectRecord;
use serde::{Deserialize, Serialize};

use super::NODES_LIMIT;
use super::role::{DrainState, Role, period_ms};
use crate::decide::backpressure::Notice;

/// Most requests of one node at one server: each has a port of the node's own.
const REQUESTS_LIMIT: u32 = u16::MAX as u32;

/// Most prompt tokens of one node that wait at one server: a million for each request.
const TOKENS_LIMIT: TokenCount = 1_000_000 * REQUESTS_LIMIT as TokenCount;

/// State of one node, sent in one datagram.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// The node.
    pub node: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// Whether it follows the store itself.
    pub role: Role,
    /// Whether it ends.
    pub stay: DrainState,
    /// Time to its next datagram with all of its state.
    pub period_ms: Millisecond,
    /// What this datagram holds.
    #[serde(default)]
    pub content: HeartbeatContent,
    /// Number of its life.
    pub boot: u64,
    /// Unix time of its start.
    pub started_unix_ms: u64,
    /// Number of the datagram in this life.
    pub number: u64,
    /// Its calendar clock.
    pub unix_ms: u64,
    /// Version of its directory; 0 without one.
    pub directory: u64,
    /// Time since that version was last known to be the newest.
    #[serde(default)]
    pub directory_age_ms: Millisecond,
    /// How new its registry is.
    pub registry: RegistryVersion,
    /// Whether it holds the duties.
    #[serde(default)]
    pub tenure: Tenure,
    /// Its requests at each backend server.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<(Name, u32, TokenCount)>,
    /// Backend servers that its work keeps busy, by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub busy: Vec<(Name, f64)>,
    /// Units used by workspace since it started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<(Name, f64)>,
    /// Requests begun by window and workspace, for nodes that may hold the duties.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub begun: WindowCounts,
    /// Requests that this node saw to crash servers, or to end well after all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRecord>,
    /// What backend servers said of themselves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<Notice>,
}

impl NodeHeartbeat {
    /// Key of this life of the node.
    pub fn key(&self) -> Name {
        life_key(&self.node, self.boot)
    }

    /// Whether its figures can be a node's: one datagram that was damaged must not fill a server or
    /// keep a node that has ended.
    pub fn is_plausible(&self) -> bool {
        let pulse_ms = match self.content {
            HeartbeatContent::Pulse { period_ms } => period_ms,
            HeartbeatContent::Whole => 0,
        };
        let loads = self.loads.iter();
        self.period_ms.max(pulse_ms) <= period_ms(NODES_LIMIT)
            && loads
                .clone()
                .all(|(_, running, _)| *running <= REQUESTS_LIMIT)
            && loads.clone().all(|(_, _, tokens)| *tokens <= TOKENS_LIMIT)
            && self.notices.iter().all(Notice::is_plausible)
    }

    /// Time since the start of this life, by its own calendar clock.
    pub fn age_ms(&self) -> Millisecond {
        self.unix_ms.saturating_sub(self.started_unix_ms)
    }
}

/// Key of one life of a node.
pub fn life_key(node: &Name, boot: u64) -> Name {
    format!("{node}/{boot}").into()
}

/// What a datagram holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatContent {
    /// All of the sender's state.
    #[default]
    Whole,
    /// What it knows of the store; the lists are left out, and come again after `period_ms`.
    Pulse {
        /// Time to the next one.
        period_ms: Millisecond,
    },
}

/// Whether a node holds the duties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tenure {
    /// It does.
    Holds,
    /// It does not.
    #[default]
    None,
}

/// How new a node's registry is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryVersion {
    /// Revision of the store up to which it is known; 0 without one.
    pub revision: u64,
    /// Revision at which it last changed in more than heartbeats.
    pub changed: u64,
    /// Time since it was last known to be current.
    pub age_ms: Millisecond,
}

/// A registry as one node knows it, for nodes that the store turns away.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistryCopy {
    /// Revision of the store up to which it is known.
    pub revision: u64,
    /// Which entries there are.
    pub listing: Listing,
    /// The entries that changed after the revision that was asked for, as stored: JSON text.
    pub rows: Vec<(Name, String)>,
}

/// Which entries a registry has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listing {
    /// These and no others.
    All(Vec<Name>),
    /// Those that it had at a revision, the changed ones, and not those that are gone since.
    Since {
        /// The revision.
        revision: u64,
        /// Identifiers of entries that are gone since.
        gone: Vec<Name>,
    },
}

/// Requests begun, by window and workspace.
pub type WindowCounts = Vec<(u64, Vec<(Name, u64)>)>;

/// What a node knows to have begun at each life of a node, its own included.
pub type UsageCopy = Vec<LifeUsage>;

/// What is known to have begun at one life of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LifeUsage {
    /// Key of the life.
    pub life: Name,
    /// Unix time of its start.
    pub started_unix_ms: u64,
    /// Requests begun.
    pub begun: WindowCounts,
}

/// Path at which a node gives what it knows of requests begun.
pub const USAGE_PATH: &str = "/usage";

/// Path at which a node gives its directory's row.
pub const DIRECTORY_PATH: &str = "/directory";

/// Path below which a node gives its registry: the revision after which it is wanted follows.
pub const REGISTRY_PATH: &str = "/registry/";
