//! What a node reports to others of the faults of backend servers, and how much its reports count.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use super::server_faults::EVIDENCE_LIMIT_MS;

/// Most reports in a heartbeat.
pub const REPORTS_LIMIT: usize = 32;

/// A node hears some server at least this often under load. One that has been silent for longer
/// before a fault may have lost its paths.
const HEARD_MS: Millisecond = 300;

/// What a node observed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It accepts no connection.
    Unreachable,
    /// Its address belongs to another server.
    Misdirected,
    /// It sent nothing for too long.
    Silent,
    /// It broke a connection, or sent no valid response.
    Failing,
    /// It answered after a fault.
    Answered,
}

impl FaultKind {
    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Misdirected => "misdirected",
            Self::Silent => "silent",
            Self::Failing => "failing",
            Self::Answered => "answered",
        }
    }

    /// Whether a request to the server is certain to fail while the fault lasts.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Unreachable | Self::Misdirected)
    }
}

/// What a node reports of one life of a server. It is encoded without names of fields, which would
/// double the size of a heartbeat with faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct FaultReport {
    pub server: Name,
    /// Unix time at which the server started.
    pub born_unix_ms: u64,
    pub kind: FaultKind,
    /// Time since the sender observed it.
    pub age_ms: Millisecond,
    /// Consecutive failures.
    pub failures: u32,
}

/// Whether a node can have sent these reports.
pub fn are_plausible(reports: &[FaultReport]) -> bool {
    let is_plausible = |r: &FaultReport| r.age_ms <= EVIDENCE_LIMIT_MS;
    reports.len() <= REPORTS_LIMIT && reports.iter().all(is_plausible)
}

/// What is known of the sender of reports.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// Whether it says that it reaches servers.
    pub reaches: bool,
    /// Time since a server last sent it a byte.
    pub server_silence_ms: Option<Millisecond>,
    /// Servers that its requests ran on, those with reported faults included.
    pub used: usize,
    /// Servers that it reports faults of.
    pub faulty: usize,
}

/// How much a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weight {
    Full,
    /// It counts once another node reports the same server.
    NeedsWitness,
    /// The sender may have lost its paths to all servers.
    Nothing,
}

impl Sender {
    /// Weight of a report of a fault that is `age_ms` old.
    pub fn weight(&self, age_ms: Millisecond) -> Weight {
        let heard = |silence_ms: Millisecond| silence_ms <= age_ms.saturating_add(HEARD_MS);
        if !self.reaches || !self.server_silence_ms.is_some_and(heard) {
            return Weight::Nothing;
        }
        match self.faulty * 2 > self.used {
            true => Weight::NeedsWitness,
            false => Weight::Full,
        }
    }
}
