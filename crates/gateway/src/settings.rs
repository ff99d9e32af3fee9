//! Settings of one gateway process, read from a TOML file.

use std::net::SocketAddr;
use std::path::Path;

use base::Name;
use base::units::Millisecond;
use serde::Deserialize;

use crate::config_file::{self, ConfigFileError};
use crate::decide::rule::Rule;
use crate::decide::scale::Shares;
use crate::decide::shed::WAIT_SHARE;

/// Their file's kind in sentences.
const WHAT: &str = "settings file";

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Who the process is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// Other nodes that may be asked first.
    #[serde(default)]
    pub peers: Peers,
    /// The platform's store.
    pub store: Store,
    /// How servers are chosen.
    #[serde(default)]
    pub placing: Placing,
    /// How many servers are held.
    #[serde(default)]
    pub buying: Shares,
    /// The platform's calls for duties.
    #[serde(default)]
    pub duties: Duties,
    /// What the operators' rules allow.
    pub bounds: Bounds,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
}

/// What a process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory of the process, in megabytes.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256.0 }
    }
}

impl Limits {
    /// Bytes that may be held for requests: a quarter of the memory.
    pub fn held_bytes(&self) -> usize {
        const HELD_SHARE: f64 = 0.25;
        const BYTES_PER_MB: f64 = 1_000_000.0;
        (self.memory_mb * BYTES_PER_MB * HELD_SHARE) as usize
    }
}

/// Who a process is.
#[derive(Clone, Debug, Deserialize)]
pub struct Node {
    /// Name of the entry VM.
    pub name: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: FirstStart,
}

/// Whether the whole system starts for the first time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FirstStart {
    /// It does: nothing has been used of any allowance.
    Yes,
    /// It may have run before.
    #[default]
    No,
}

/// Where a process listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question.
    pub ready: SocketAddr,
    /// For other nodes: datagrams and streams.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Other nodes.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Peers {
    /// Addresses of a few other nodes; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Port at which nodes listen for each other, in place of the seeds' own ports.
    pub seed_port: Option<u16>,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
}

/// How servers are chosen.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Placing {
    /// By which rule; the others are baselines for comparison.
    pub rule: Rule,
    /// Part of the shortest time owed by a service's routes that the work of others may take before
    /// a new request is refused.
    pub wait_share: f64,
}

impl Default for Placing {
    fn default() -> Self {
        Self {
            rule: Rule::default(),
            wait_share: WAIT_SHARE,
        }
    }
}

/// The platform's calls for duties.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Duties {
    /// Where they are taken; no duties without it.
    pub address: Option<SocketAddr>,
    /// Which there are.
    #[serde(default)]
    pub kinds: Vec<DutyKind>,
}

/// A duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reports what workspaces used.
    Usage,
    /// Orders backend servers.
    Scaling,
    /// One that this program does not know.
    #[serde(other)]
    Unknown,
}

/// What the operators' rules allow; defaults are those of the rules' example.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time to leave after SIGTERM.
    pub shutdown_s: f64,
    /// Repeated sends as a part of a service's requests, over all nodes.
    pub retry_ratio: f64,
    /// Window of that ratio.
    pub retry_window_s: f64,
    /// Repeated sends in a window beside the ratio, over all nodes.
    pub retry_slack: f64,
    /// A server that has said that it leaves gets no new request after so long.
    pub drain_ms: Millisecond,
    /// A new directory is in force everywhere after so long.
    pub directory_ms: Millisecond,
    /// Two nodes never act as holder of a duty within so long of each other.
    pub lease_ms: Millisecond,
    /// Window of the usage reports.
    pub usage_window_s: f64,
    /// A window's report is due so long after its end.
    pub usage_due_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            shutdown_s: 8.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 52.0,
            drain_ms: 2_000,
            directory_ms: 2_000,
            lease_ms: 3_000,
            usage_window_s: 5.0,
            usage_due_s: 10.0,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not TOML of this shape, or holds a value out of range.
    pub fn open(path: &Path) -> Result<Self, ConfigFileError> {
        Self::parse(&config_file::read(WHAT, path)?, path)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// The text is not TOML of this shape, or holds a value out of range.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigFileError> {
        let settings: Self = config_file::parse(WHAT, text, path)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigFileError> {
        let bounds = &self.bounds;
        config_file::check_positive(&[
            ("limits.memory_mb", self.limits.memory_mb),
            ("placing.wait_share", self.placing.wait_share),
            ("buying.comfort_share", self.buying.comfort_share),
            ("buying.tight_share", self.buying.tight_share),
            ("buying.alone_share", self.buying.alone_share),
            ("bounds.shutdown_s", bounds.shutdown_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
            ("bounds.drain_ms", bounds.drain_ms as f64),
            ("bounds.directory_ms", bounds.directory_ms as f64),
            ("bounds.lease_ms", bounds.lease_ms as f64),
            ("bounds.usage_window_s", bounds.usage_window_s),
            ("bounds.usage_due_s", bounds.usage_due_s),
        ])?;
        config_file::check_fraction("bounds.retry_ratio", bounds.retry_ratio)
    }
}

/// Whole milliseconds of a time in seconds.
pub fn ms(seconds: f64) -> Millisecond {
    (seconds * 1_000.0) as Millisecond
}
