//! Speeds of all services, as one node knows them from its own samples and those of other nodes.

use std::cell::Cell;

use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

use super::speed::{Sample, Speed};
use super::speed_estimate::{FIGURES, SpeedEstimate, WEIGHT_LIMIT, parameters, speed};

/// Evidence loses half of its weight in this time: a neighbour's load on the servers' machines and
/// new servers change a service's speed within some tens of seconds.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Evidence of another node is dropped after this time.
const AGE_LIMIT_MS: Millisecond = 60_000;

/// Combined figures are kept for this time at most, in which weights fall by less than 1%. The time
/// between events may be this old: it changes with each event of each stream.
const COMBINED_KEPT_MS: Millisecond = 100;

/// Most services in one report: heartbeats must fit into a datagram.
pub const SPEEDS_LIMIT: usize = 32;

/// What ends at the first byte. Speeds of the two are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FirstByte {
    /// The first event of a stream: the prompt has been read.
    #[default]
    Event,
    /// The head of another answer: the answer is complete.
    Answer,
}

/// Figures of one service from one node's own samples, for other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    pub service: Name,
    #[serde(default)]
    pub first_byte: FirstByte,
    pub start_us: u32,
    pub read_ns_per_token: u32,
    pub ahead_percent: u32,
    pub home_unread_percent: u32,
    /// Increase for each running request, in millionths.
    pub running_ppm: u32,
    pub queued_us: u32,
    pub gap_us: u32,
    /// Samples behind the figures.
    pub weight: u32,
    /// Time since the last sample.
    pub age_ms: Millisecond,
}

impl SpeedReport {
    /// Whether the figures are possible. A damaged report must not make a service look broken.
    pub fn is_plausible(&self) -> bool {
        (1..=10_000_000).contains(&self.start_us)
            && (1..=10_000_000).contains(&self.read_ns_per_token)
            && self.ahead_percent <= 150
            && self.home_unread_percent <= 100
            && self.running_ppm <= 100_000
            && (1..=10_000_000).contains(&self.queued_us)
            && self.gap_us <= 60_000_000
            && f64::from(self.weight) <= WEIGHT_LIMIT
    }

    fn speed(&self) -> Speed {
        Speed {
            start_ms: f64::from(self.start_us) / 1_000.0,
            read_ms_per_token: f64::from(self.read_ns_per_token) / 1_000_000.0,
            ahead_share: f64::from(self.ahead_percent) / 100.0,
            home_unread_share: f64::from(self.home_unread_percent) / 100.0,
            running_share: f64::from(self.running_ppm) / 1_000_000.0,
            queued_ms: f64::from(self.queued_us) / 1_000.0,
            gap_ms: f64::from(self.gap_us) / 1_000.0,
        }
    }
}

/// Figures of one node and when they were last measured.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    speed: Speed,
    weight: f64,
    measured_ms: Millisecond,
}

impl Evidence {
    fn weight_at(&self, now_ms: Millisecond) -> f64 {
        let age_ms = now_ms.saturating_sub(self.measured_ms) as f64;
        self.weight * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceSpeed {
    own: SpeedEstimate,
    own_measured_ms: Millisecond,
    others: Map<Name, Evidence>,
    /// The combined figures as last computed, until the evidence changes.
    kept: Cell<Option<Combined>>,
}

/// Figures from the evidence of all nodes.
#[derive(Clone, Copy, Debug)]
struct Combined {
    speed: Speed,
    at_ms: Millisecond,
}

impl ServiceSpeed {
    fn own(&self) -> Evidence {
        Evidence {
            speed: self.own.speed(),
            weight: self.own.weight(),
            measured_ms: self.own_measured_ms,
        }
    }

    /// Figures from the evidence of all nodes, at most [`COMBINED_KEPT_MS`] old.
    fn speed(&self, now_ms: Millisecond) -> Speed {
        let is_current = |kept: &Combined| now_ms.abs_diff(kept.at_ms) < COMBINED_KEPT_MS;
        if let Some(kept) = self.kept.get().filter(is_current) {
            return kept.speed;
        }
        let speed = self.combined(now_ms);
        self.kept.set(Some(Combined {
            speed,
            at_ms: now_ms,
        }));
        speed
    }

    fn combined(&self, now_ms: Millisecond) -> Speed {
        let own = self.own();
        if self.others.is_empty() {
            return own.speed;
        }
        let mut sums = [0.0; FIGURES];
        let (mut weights, mut gap_sum, mut gap_weights) = (0.0, 0.0, 0.0);
        for evidence in self.others.values().chain([&own]) {
            let weight = evidence.weight_at(now_ms);
            weights += weight;
            for (sum, value) in sums.iter_mut().zip(parameters(&evidence.speed)) {
                *sum += weight * value;
            }
            if evidence.speed.gap_ms > 0.0 {
                gap_sum += weight * evidence.speed.gap_ms;
                gap_weights += weight;
            }
        }
        if weights <= 0.0 {
            return own.speed;
        }
        Speed {
            gap_ms: match gap_weights > 0.0 {
                true => gap_sum / gap_weights,
                false => 0.0,
            },
            ..speed(sums.map(|sum| sum / weights))
        }
    }
}

/// Speeds by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSpeeds {
    by_service: Map<(Name, FirstByte), ServiceSpeed>,
}

impl ServiceSpeeds {
    /// Figures of a service, from the evidence of all nodes by weight and age.
    pub fn speed(&self, service: &Name, first_byte: FirstByte, now_ms: Millisecond) -> Speed {
        let known = self.by_service.get(&(service.clone(), first_byte));
        known.map_or_else(Speed::default, |s| s.speed(now_ms))
    }

    /// Share of the predicted time to the first event that is work of the server, by this node's own
    /// samples.
    pub fn work_share(&self, service: &Name) -> f64 {
        let known = self.by_service.get(&(service.clone(), FirstByte::Event));
        known.map_or(1.0, |s| s.own.work_share())
    }

    /// Records a sample of this node.
    pub fn record(
        &mut self,
        service: &Name,
        first_byte: FirstByte,
        sample: &Sample,
        now_ms: Millisecond,
    ) {
        let known = self.entry(service, first_byte);
        known.own.record(sample);
        known.own_measured_ms = now_ms;
        known.kept.set(None);
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(&mut self, service: &Name, gap_ms: f64) {
        self.entry(service, FirstByte::Event).own.record_gap(gap_ms);
    }

    /// This node's own evidence, for other nodes.
    pub fn reports(&self, now_ms: Millisecond) -> Vec<SpeedReport> {
        let measured = self.by_service.iter().filter(|(_, s)| s.own.weight() > 0.0);
        let reports = measured.map(|((service, first_byte), known)| {
            let speed = known.own.speed();
            SpeedReport {
                service: service.clone(),
                first_byte: *first_byte,
                start_us: (speed.start_ms * 1_000.0) as u32,
                read_ns_per_token: (speed.read_ms_per_token * 1_000_000.0) as u32,
                ahead_percent: (speed.ahead_share * 100.0).round() as u32,
                home_unread_percent: (speed.home_unread_share * 100.0).round() as u32,
                running_ppm: (speed.running_share * 1_000_000.0) as u32,
                queued_us: (speed.queued_ms * 1_000.0) as u32,
                gap_us: (speed.gap_ms * 1_000.0).min(60_000_000.0) as u32,
                weight: known.own.weight() as u32,
                age_ms: now_ms.saturating_sub(known.own_measured_ms),
            }
        });
        let is_current = |report: &SpeedReport| report.age_ms <= AGE_LIMIT_MS;
        let mut reports: Vec<SpeedReport> = reports.filter(is_current).collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(SPEEDS_LIMIT);
        reports
    }

    /// Takes in the evidence of another node, which replaces its earlier evidence.
    pub fn merge(&mut self, node: &Name, reports: &[SpeedReport], now_ms: Millisecond) {
        for report in reports {
            let measured_ms = now_ms.saturating_sub(report.age_ms);
            let evidence = Evidence {
                speed: report.speed(),
                weight: f64::from(report.weight),
                measured_ms,
            };
            let known = self.entry(&report.service, report.first_byte);
            known.others.insert(node.clone(), evidence);
            known.kept.set(None);
        }
    }

    /// Drops evidence of other nodes that is too old.
    pub fn expire(&mut self, now_ms: Millisecond) {
        for known in self.by_service.values_mut() {
            let is_current = |e: &Evidence| now_ms.saturating_sub(e.measured_ms) <= AGE_LIMIT_MS;
            let count = known.others.len();
            known.others.retain(|_, evidence| is_current(evidence));
            if known.others.len() < count {
                known.kept.set(None);
            }
        }
    }

    fn entry(&mut self, service: &Name, first_byte: FirstByte) -> &mut ServiceSpeed {
        let key = (service.clone(), first_byte);
        self.by_service.entry(key).or_default()
    }
}
