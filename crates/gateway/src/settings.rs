//! Settings of a gateway process, read from a TOML file.

use std::net::SocketAddr;
use std::path::Path;

use base::Name;
use base::units::Millisecond;
use serde::Deserialize;

use crate::config_file::{self, ConfigFileError};
use crate::decide::rollout::ExposureBounds;
use crate::decide::rule::Rule;
use crate::decide::scale::UtilizationShares;
use crate::decide::shed::WAIT_SHARE;
use crate::decide::source::DEFAULT_LINK_MBPS;
use crate::follow::streams::Partitioning;

/// The prompt of 9,200 tokens that the largest kind of request sends has about 40 KB, for which this
/// gives the 4 ms that earlier versions added for another domain whatever the size.
const DEFAULT_CROSS_COST_MS_PER_KB: f64 = 0.1;

/// Kind of the file, as named in error messages.
const FILE_KIND: &str = "settings file";

/// Settings of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub node: Node,
    pub listen: Listen,
    #[serde(default)]
    pub peers: Peers,
    pub store: Store,
    /// Choice of servers for requests.
    #[serde(default)]
    pub placing: Placing,
    /// Traffic between failure domains; without it, servers of other domains cost a fixed penalty.
    #[serde(default)]
    pub domains: Option<Domains>,
    /// Target utilizations, by which the number of servers is chosen.
    #[serde(default)]
    pub buying: UtilizationShares,
    #[serde(default)]
    pub duties: Duties,
    pub bounds: Bounds,
    #[serde(default)]
    pub limits: Limits,
    /// Rollouts of new server versions; none are done without it.
    pub rollout: Option<Rollout>,
}

/// Bounds on rollouts of new server versions.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Greatest share of a service's requests, from the order to its deadline, that a bad version
    /// may get.
    pub exposure_share: f64,
    /// Requests beyond that share.
    pub exposure_slack: f64,
    /// Time after the 50th bad response in which requests to a bad version must end.
    pub rollback_ms: Millisecond,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory of the process, in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 256.0,
            link_mbps: DEFAULT_LINK_MBPS,
        }
    }
}

impl Limits {
    /// Memory budget for the bodies of requests and answers: a quarter of the memory.
    pub fn held_bytes(&self) -> usize {
        const HELD_SHARE: f64 = 0.25;
        const BYTES_PER_MB: f64 = 1_000_000.0;
        (self.memory_mb * BYTES_PER_MB * HELD_SHARE) as usize
    }
}

/// Identity of the process.
#[derive(Clone, Debug, Deserialize)]
pub struct Node {
    /// Name of the entry VM.
    pub name: Name,
    /// Failure domain of the entry VM.
    pub failure_domain: Name,
    #[serde(default)]
    pub first_start: FirstStart,
}

/// Whether the whole system starts for the first time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FirstStart {
    /// First start: no allowance has been used yet.
    Yes,
    /// The system may have run before.
    #[default]
    No,
}

/// Addresses on which the process listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// For other nodes, both UDP and TCP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Settings for the discovery of other nodes.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Peers {
    /// Addresses of a few other nodes to contact first; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Port on which nodes listen for each other; overrides the ports of the seeds.
    pub seed_port: Option<u16>,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Store {
    pub address: SocketAddr,
    /// Whether one commit may write rows of several partitions.
    #[serde(default)]
    pub across: bool,
    /// Writes that the store takes from all nodes together, per second.
    #[serde(default = "Store::default_writes_per_s")]
    pub writes_per_s: f64,
}

impl Store {
    fn default_writes_per_s() -> f64 {
        400.0
    }

    /// How rows are divided among partitions.
    pub fn partitioning(&self) -> Partitioning {
        match self.across {
            true => Partitioning::Spread,
            false => Partitioning::Single,
        }
    }
}

/// Choice of servers for requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Placing {
    /// The placement rule; all but the default are baselines for comparison.
    pub rule: Rule,
    /// Fraction of the shortest response-time target among a service's routes that queued work may
    /// take before a new request is refused.
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

/// Traffic between failure domains.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Domains {
    /// Milliseconds of a caller's wait that a kilobyte between failure domains is worth.
    pub cross_cost_ms_per_kb: f64,
}

impl Default for Domains {
    fn default() -> Self {
        Self {
            cross_cost_ms_per_kb: DEFAULT_CROSS_COST_MS_PER_KB,
        }
    }
}

/// Duties that one node performs for all, such as usage reports.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Duties {
    /// Address of the platform's calls for duties; without it, no duties are performed.
    pub address: Option<SocketAddr>,
    #[serde(default)]
    pub kinds: Vec<DutyKind>,
}

/// A duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reports the usage of the workspaces.
    Usage,
    /// Orders backend servers.
    Scaling,
    /// A duty that this version does not support.
    #[serde(other)]
    Unknown,
}

/// Limits and deadlines that the operators' rules set.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time from SIGTERM until the process must have ended.
    pub shutdown_s: f64,
    /// Most retries as a fraction of a service's requests, over all nodes.
    pub retry_ratio: f64,
    /// Window over which the ratio is measured.
    pub retry_window_s: f64,
    /// Retries per window that are allowed in addition to the ratio, over all nodes.
    pub retry_slack: f64,
    /// Time after which a server that has announced that it leaves must get no new request.
    pub drain_ms: Millisecond,
    /// Time after which a new directory must be in force at all nodes.
    pub directory_ms: Millisecond,
    /// Shortest time between the actions of two different holders of a duty.
    pub lease_ms: Millisecond,
    /// Length of the windows of the usage reports.
    pub usage_window_s: f64,
    /// Time from the end of a window until its report is due.
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
    /// Returns an error if the file cannot be read, is not TOML with these settings, or has a value
    /// out of range.
    pub fn open(path: &Path) -> Result<Self, ConfigFileError> {
        Self::parse(&config_file::read(FILE_KIND, path)?, path)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML with these settings, or has a value out of range.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigFileError> {
        let settings: Self = config_file::parse(FILE_KIND, text, path)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigFileError> {
        let bounds = &self.bounds;
        config_file::check_positive(&[
            ("store.writes_per_s", self.store.writes_per_s),
            ("limits.memory_mb", self.limits.memory_mb),
            ("limits.link_mbps", self.limits.link_mbps),
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
        let domains = self.domains.unwrap_or_default();
        config_file::check_not_negative(
            "domains.cross_cost_ms_per_kb",
            domains.cross_cost_ms_per_kb,
        )?;
        config_file::check_fraction("bounds.retry_ratio", bounds.retry_ratio)?;
        self.rollout.as_ref().map_or(Ok(()), Rollout::check)
    }
}

impl Rollout {
    /// Shortest time for a roll-back: counts and decisions take 1.2 s between 67 nodes, and a fault
    /// must last for some rounds to be told from a crash.
    const ROLLBACK_LEAST_MS: f64 = 3_000.0;

    fn check(&self) -> Result<(), ConfigFileError> {
        config_file::check_positive(&[("rollout.exposure_share", self.exposure_share)])?;
        config_file::check_fraction("rollout.exposure_share", self.exposure_share)?;
        config_file::check_least(
            "rollout.exposure_slack",
            self.exposure_slack,
            0.0,
            "0 or more",
        )?;
        config_file::check_least(
            "rollout.rollback_ms",
            self.rollback_ms as f64,
            Self::ROLLBACK_LEAST_MS,
            "3000 or more",
        )
    }

    pub fn exposure(&self) -> ExposureBounds {
        ExposureBounds {
            share: self.exposure_share,
            slack: self.exposure_slack,
        }
    }
}

/// Converts seconds to whole milliseconds.
pub fn ms(seconds: f64) -> Millisecond {
    (seconds * 1_000.0) as Millisecond
}
