//! Bounded records that are piggybacked on heartbeats: demand by workspace, and fingerprints of
//! requests.

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

/// Most workspaces whose demand a heartbeat carries.
pub const DEMAND_ROWS_MAX: usize = 16;
/// Most fingerprints in one message.
pub const FINGERPRINTS_PER_MESSAGE: usize = 4;
/// Most fingerprints kept; the oldest is dropped for a new one.
const FINGERPRINTS_MAX: usize = 256;
/// Longest key and longest content of a fingerprint.
pub const FINGERPRINT_FIELD_MAX_BYTES: usize = 256;
/// Age beyond which a sample of a peer's demand is dropped.
const SAMPLE_MAX_AGE_MS: Millisecond = 10_000;

/// One node's demand for one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    #[serde(rename = "w")]
    pub workspace: Name,
    /// Demanded work, in a unit that this crate does not interpret.
    #[serde(rename = "u")]
    pub units: u32,
}

/// Fingerprint of a request. This crate only distributes it and does not interpret its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Identifies the fingerprint; a later one with the same key replaces the earlier.
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "b")]
    pub blob: String,
}

impl Fingerprint {
    /// Whether key and content are within [`FINGERPRINT_FIELD_MAX_BYTES`].
    pub fn is_bounded(&self) -> bool {
        self.key.len() <= FINGERPRINT_FIELD_MAX_BYTES
            && self.blob.len() <= FINGERPRINT_FIELD_MAX_BYTES
    }
}

/// Demand of this node, and the latest sample of each peer's demand.
#[derive(Debug, Default)]
pub struct DemandSamples {
    own_rows: Vec<Demand>,
    peer_samples: Map<Name, Sample>,
}

#[derive(Debug)]
struct Sample {
    at_ms: Millisecond,
    rows: Vec<Demand>,
}

impl DemandSamples {
    /// Replaces this node's demand; only the [`DEMAND_ROWS_MAX`] largest rows are kept.
    pub fn set_own_rows(&mut self, mut rows: Vec<Demand>) {
        rows.sort_by_key(|row| std::cmp::Reverse(row.units));
        rows.truncate(DEMAND_ROWS_MAX);
        self.own_rows = rows;
    }

    pub fn own_rows(&self) -> &[Demand] {
        &self.own_rows
    }

    /// Stores the demand that a peer reported in a heartbeat.
    pub fn record_peer_demand(&mut self, peer: &Name, mut rows: Vec<Demand>, now_ms: Millisecond) {
        rows.truncate(DEMAND_ROWS_MAX);
        let sample = Sample {
            at_ms: now_ms,
            rows,
        };
        self.peer_samples.insert(peer.clone(), sample);
    }

    pub fn expire(&mut self, now_ms: Millisecond) {
        self.peer_samples
            .retain(|_, sample| now_ms.saturating_sub(sample.at_ms) <= SAMPLE_MAX_AGE_MS);
    }

    /// Demand of a fleet of `alive` nodes: the sum over the nodes with a sample, scaled up to `alive`
    /// nodes if some have none.
    pub fn fleet_total(&self, alive: usize) -> Map<Name, u64> {
        let mut sums: Map<Name, u64> = Map::default();
        let peer_samples = self.peer_samples.values().flat_map(|sample| &sample.rows);
        for row in self.own_rows.iter().chain(peer_samples) {
            *sums.entry(row.workspace.clone()).or_default() += u64::from(row.units);
        }
        let nodes = self.peer_samples.len() as u64 + 1;
        let scale = (alive as u64).max(nodes);
        for sum in sums.values_mut() {
            *sum = *sum * scale / nodes;
        }
        sums
    }
}

/// Known fingerprints, each with the number of messages that carried it.
#[derive(Debug, Default)]
pub struct Fingerprints {
    entries: VecDeque<(Fingerprint, u32)>,
}

impl Fingerprints {
    /// Adds a fingerprint; returns false if it is known already or too long.
    pub fn add(&mut self, fingerprint: Fingerprint) -> bool {
        let repeat = self.entries.iter().any(|(known, _)| *known == fingerprint);
        if repeat || !fingerprint.is_bounded() {
            return false;
        }
        self.entries
            .retain(|(known, _)| known.key != fingerprint.key);
        if self.entries.len() == FINGERPRINTS_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back((fingerprint, 0));
        true
    }

    /// Takes the least-sent fingerprints for one message, of those sent less than `limit` times.
    pub fn take_least_sent(&mut self, limit: u32) -> Vec<Fingerprint> {
        let mut pending: Vec<_> = self
            .entries
            .iter_mut()
            .filter(|(_, n)| *n < limit)
            .collect();
        pending.sort_by_key(|(_, sent)| *sent);
        pending.truncate(FINGERPRINTS_PER_MESSAGE);
        let mut taken = Vec::new();
        for (fingerprint, sent) in pending {
            *sent += 1;
            taken.push(fingerprint.clone());
        }
        taken
    }

    /// Known fingerprints, oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Fingerprint> {
        self.entries.iter().map(|(fingerprint, _)| fingerprint)
    }
}
