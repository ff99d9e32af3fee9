//! Experiments, read from TOML files.

use std::path::Path;

use base::Name;
use gateway::config_file::{self, ConfigFileError};
use gateway::decide::rule::Rule;
use serde::Deserialize;

/// Their files' kind in sentences.
const WHAT: &str = "experiment";

/// One experiment: the same seeds for each rule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in tables.
    pub name: String,
    /// Seeds; each is played once for each rule.
    pub seeds: Vec<u64>,
    /// Length of one play.
    pub length_s: f64,
    /// Requests that come before are served but not counted.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Rules of choice, side by side.
    pub rules: Vec<Rule>,
    /// Nodes and servers.
    pub fleet: Fleet,
    /// The servers' engines.
    pub engine: EngineSheet,
    /// Orders of servers; without it their number stays.
    pub scaling: Option<ScalingSheet>,
    /// Part of the shortest time owed that the work of others may take before a new request.
    #[serde(default = "wait_share")]
    pub wait_share: f64,
    /// Whether nodes keep the limits that servers name.
    #[serde(default)]
    pub limits: LimitsRule,
    /// Requests that leave their node's failure domain.
    #[serde(default)]
    pub crossing: Crossing,
    /// Arrival pattern of the callers.
    #[serde(default)]
    pub traffic: Traffic,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Faults that occur.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// What nodes do about the limits that servers name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitsRule {
    /// Nodes keep a server's limit together.
    #[default]
    Kept,
    /// A baseline: they do not read them.
    Ignored,
}

/// Requests that leave their node's failure domain.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Crossing {
    pub rule: CrossingRule,
    /// Milliseconds of wait that a kilobyte between failure domains is worth.
    pub cost_ms_per_kb: f64,
    /// Round trip between failure domains, beyond that within one.
    pub round_trip_ms: f64,
}

impl Default for Crossing {
    fn default() -> Self {
        Self {
            rule: CrossingRule::default(),
            cost_ms_per_kb: 0.1,
            round_trip_ms: 1.8,
        }
    }
}

/// When a request leaves its node's failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrossingRule {
    /// The gateway's rule.
    #[default]
    Decided,
    /// Baseline: 4 ms are added for a server of another domain, and a prefix has one home.
    FixedPenalty,
    /// Baseline: requests stay while their domain has a server.
    Stay,
}

/// Nodes and servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Time between two words of one node to another.
    pub hello_ms: f64,
    /// Price of a second of a server on demand where the price is 1.
    #[serde(default)]
    pub server_price_per_s: f64,
    /// Failure domains.
    pub domains: Vec<Domain>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: Name,
    /// Nodes in it.
    pub nodes: usize,
    /// Servers on demand at the start.
    pub on_demand: u32,
    /// Reclaimable servers at the start.
    #[serde(default)]
    pub reclaimable: u32,
    /// Price of a server, as a part of the usual one.
    #[serde(default = "one")]
    pub price: f64,
}

/// Speed and capacity of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSheet {
    /// Requests at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Time of a step.
    pub step_ms: f64,
    /// Added to a step for each request that it gives a token.
    pub step_ms_per_slot: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk_tokens: u64,
    /// Memory for prompts.
    pub memory_tokens: u64,
    /// Time that the servers, in turn, take for a step, as a part of the usual one.
    pub step_parts: Vec<f64>,
}

/// Limits and prices of orders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScalingSheet {
    /// Fewest servers in a failure domain.
    pub min: u32,
    /// Most.
    pub max: u32,
    /// Time from an order to a server.
    pub boot_s: f64,
    /// Price of a reclaimable server, as a part of one on demand.
    pub reclaimable_price: Option<f64>,
}

/// How callers come: a wave, in clumps.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Traffic {
    /// Height of the wave, as a part of the mean.
    pub swing: f64,
    /// Length of the wave.
    pub period_s: f64,
    /// Mean number of requests that come together.
    pub clump: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            swing: 0.0,
            period_s: 40.0,
            clump: 1.0,
        }
    }
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Mean number a second, over all failure domains.
    pub per_s: f64,
    /// Time owed to the first token.
    pub target_ms: u64,
    /// Time that callers wait.
    pub deadline_ms: u64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Worth of an answer that comes later.
    pub late_worth: f64,
    /// Rank; 0 is the most urgent and goes first at an engine.
    #[serde(default)]
    pub rank: u8,
    /// Times that a refused caller comes back.
    #[serde(default)]
    pub retries: u32,
    /// Most servers that may run one request.
    #[serde(default = "one_run")]
    pub runs: u32,
    /// Mean tokens of the shared parts.
    pub shared_tokens: f64,
    /// Different shared parts.
    pub prompts: u64,
    /// Mean tokens of the caller's own part.
    pub own_tokens: f64,
    /// Mean tokens of the answer.
    pub answer_tokens: f64,
}

/// Faults that occur.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// All reclaimable servers of a failure domain leave, and none is to be had for a while.
    Reclaim {
        at_s: f64,
        domain: Name,
        /// Time from the notice to the end.
        notice_s: f64,
        /// Time in which no reclaimable server is to be had anywhere.
        dry_s: f64,
    },
    /// Servers crash and are back later, knowing nothing.
    Crash {
        at_s: f64,
        /// Part of all servers.
        share: f64,
        /// Time to their return.
        for_s: f64,
    },
    /// Servers are in need: their steps take longer, and their answers name a limit.
    Limit {
        at_s: f64,
        /// Part of all servers.
        share: f64,
        /// The limit, as a part of what each server would get if the requests of all kinds were spread
        /// evenly.
        part: f64,
        /// Times as long as a step takes.
        times: f64,
        /// For how long.
        for_s: f64,
    },
    /// Callers move to a failure domain from the others.
    Move {
        at_s: f64,
        domain: Name,
        /// Times as many as usual come there.
        times: f64,
        for_s: f64,
    },
    /// The links of a failure domain to the others are slow.
    SlowLink {
        at_s: f64,
        domain: Name,
        /// Added to each round trip.
        delay_ms: f64,
        for_s: f64,
    },
    /// More callers come.
    Burst {
        at_s: f64,
        /// Times as many.
        times: f64,
        /// For how long.
        for_s: f64,
    },
}

fn one() -> f64 {
    1.0
}

fn wait_share() -> f64 {
    gateway::decide::shed::WAIT_SHARE
}

fn one_run() -> u32 {
    1
}

impl Experiment {
    /// Reads and checks an experiment.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not TOML of this shape, or holds a value out of range.
    pub fn open(path: &Path) -> Result<Self, ConfigFileError> {
        Self::parse(&Self::read(path)?, path)
    }

    /// Reads an experiment's text.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn read(path: &Path) -> Result<String, ConfigFileError> {
        config_file::read(WHAT, path)
    }

    /// Reads and checks the text of an experiment.
    ///
    /// # Errors
    ///
    /// The text is not TOML of this shape, or holds a value out of range.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ConfigFileError> {
        let experiment: Self = config_file::parse(WHAT, text, path)?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Servers at the start.
    pub fn servers(&self) -> u32 {
        let domains = self.fleet.domains.iter();
        domains.map(|d| d.on_demand + d.reclaimable).sum()
    }

    fn check(&self) -> Result<(), ConfigFileError> {
        let domains = &self.fleet.domains;
        let nodes: usize = domains.iter().map(|d| d.nodes).sum();
        let servers = self.servers();
        config_file::check_positive(&[
            ("length_s", self.length_s),
            ("seeds", self.seeds.len() as f64),
            ("rules", self.rules.len() as f64),
            ("kinds", self.kinds.len() as f64),
            ("fleet.domains.nodes", nodes as f64),
            ("fleet.domains.on_demand", f64::from(servers)),
            ("fleet.hello_ms", self.fleet.hello_ms),
            ("engine.slots", f64::from(self.engine.slots)),
            ("engine.step_ms", self.engine.step_ms),
            ("engine.read_tokens_per_ms", self.engine.read_tokens_per_ms),
            ("engine.chunk_tokens", self.engine.chunk_tokens as f64),
            ("engine.step_parts", self.engine.step_parts.len() as f64),
            ("traffic.period_s", self.traffic.period_s),
            ("traffic.clump", self.traffic.clump),
        ])?;
        config_file::check_not_negative("crossing.cost_ms_per_kb", self.crossing.cost_ms_per_kb)?;
        config_file::check_not_negative("crossing.round_trip_ms", self.crossing.round_trip_ms)?;
        config_file::check_fraction("traffic.swing", self.traffic.swing)
    }
}
