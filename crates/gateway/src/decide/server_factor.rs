//! Speed of a server relative to its service: how many times as long as usual it takes.

use base::units::Millisecond;
use base::{Map, Name};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Samples that weigh as much as the assumption that a server is as fast as its service. With 3, the
/// factors of equal servers were so uncertain that a tenth of the predictions were off by 2.08.
const PRIOR_WEIGHT: f64 = 8.0;

/// The most that a node's evidence weighs, in samples.
const WEIGHT_LIMIT: f64 = 30.0;

/// Longest deviation of a sample that counts, as a logarithm. Most longer ones are requests that
/// waited.
const DEVIATION_LIMIT: f64 = 0.3;

/// Evidence loses half of its weight in this time.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Most other nodes whose evidence on one server is kept, the newest.
const NODES_LIMIT: usize = 16;

/// Most factors in a heartbeat.
pub const SERVER_FACTORS_LIMIT: usize = 32;

/// Factors of servers differ by less than this.
const FACTOR_LIMIT: f64 = 4.0;

/// One node's evidence on a server, for other nodes. It is encoded without names of fields, which
/// would double its size.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct FactorReport {
    pub server: Name,
    /// When the server started: its next life may be on another machine.
    pub born_unix_ms: u64,
    pub factor_percent: u32,
    pub weight: u32,
    pub age_ms: Millisecond,
}

impl FactorReport {
    pub fn is_plausible(&self) -> bool {
        let factor = f64::from(self.factor_percent) / 100.0;
        (1.0 / FACTOR_LIMIT..=FACTOR_LIMIT).contains(&factor)
            && f64::from(self.weight) <= WEIGHT_LIMIT
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// Logarithm of the factor.
    log: f64,
    weight: f64,
    measured_ms: Millisecond,
}

/// Evidence of all nodes on one life of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerFactor {
    own: Evidence,
    others: Map<Name, Evidence>,
}

impl ServerFactor {
    /// Records a real time to first byte, as a multiple of what the service's figures let expect.
    pub fn record(&mut self, multiple: f64, now_ms: Millisecond) {
        let own = &mut self.own;
        own.weight = (own.weight + 1.0).min(WEIGHT_LIMIT);
        let deviation = multiple.ln() - own.log;
        own.log += deviation.clamp(-DEVIATION_LIMIT, DEVIATION_LIMIT) / own.weight;
        own.log = own.log.clamp(-FACTOR_LIMIT.ln(), FACTOR_LIMIT.ln());
        own.measured_ms = now_ms;
    }

    /// Takes in the evidence of another node, which replaces its earlier evidence.
    pub fn merge(&mut self, node: &Name, report: &FactorReport, now_ms: Millisecond) {
        if self.others.len() >= NODES_LIMIT && !self.others.contains_key(node) {
            let oldest = self.others.iter().min_by_key(|(_, e)| e.measured_ms);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.others.remove(&oldest);
            }
        }
        let evidence = Evidence {
            log: (f64::from(report.factor_percent) / 100.0).ln(),
            weight: f64::from(report.weight),
            measured_ms: now_ms.saturating_sub(report.age_ms),
        };
        self.others.insert(node.clone(), evidence);
    }

    /// How many times as long as its service the server takes.
    pub fn factor(&self, now_ms: Millisecond) -> f64 {
        let (mut sum, mut weights) = (0.0, PRIOR_WEIGHT);
        for evidence in self.others.values().chain([&self.own]) {
            let age_ms = now_ms.saturating_sub(evidence.measured_ms) as f64;
            let weight = evidence.weight * (-age_ms / HALF_LIFE_MS).exp2();
            sum += weight * evidence.log;
            weights += weight;
        }
        (sum / weights).exp()
    }

    /// This node's own evidence, for other nodes, if it has a sample since the last whole heartbeat to
    /// them: they keep what they have received, and repeating it would fill links of 10 Mbit/s.
    pub fn report(
        &self,
        server: &Name,
        born_unix_ms: u64,
        period_ms: Millisecond,
        now_ms: Millisecond,
    ) -> Option<FactorReport> {
        let age_ms = now_ms.saturating_sub(self.own.measured_ms);
        let is_current = self.own.weight > 0.0 && age_ms <= period_ms;
        is_current.then(|| FactorReport {
            server: server.clone(),
            born_unix_ms,
            factor_percent: (self.own.log.exp() * 100.0).round() as u32,
            weight: self.own.weight as u32,
            age_ms,
        })
    }
}

/// The newest of a node's reports.
pub fn newest(mut reports: Vec<FactorReport>) -> Vec<FactorReport> {
    reports.sort_by_key(|report| report.age_ms);
    reports.truncate(SERVER_FACTORS_LIMIT);
    reports
}
