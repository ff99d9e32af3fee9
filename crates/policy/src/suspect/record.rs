//! Crash records of one request, as stored and as sent to peers.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::digest::RequestDigest;
use super::{CRASH_LIMIT, REFUSAL_MS, SUSPECT_TTL_MS, Treatment};

/// Most incidents kept for one request.
const INCIDENT_LIMIT: usize = 4;

/// Reports of the same loss, or of the same completion, differ by no more than this time.
pub const SAME_EVENT_MS: Millisecond = 5_000;

/// Known cause of a loss. The order matters: a departure replaces a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Nature {
    /// A crash, unless a late notice shows a departure.
    Crash,
    /// An announced reclaim or the loss of a failure domain.
    Departure,
}

/// Loss of a server while it ran the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incident {
    pub server: Name,
    pub at_ms: Millisecond,
    pub nature: Nature,
}

/// An incident in the form sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncidentAge {
    pub server: Name,
    /// Time since the loss was observed.
    pub age_ms: Millisecond,
    pub nature: Nature,
}

/// Record of one request in the form sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Digest that identifies the request.
    pub digest: RequestDigest,
    /// Losses of servers while they ran the request.
    pub incidents: Vec<IncidentAge>,
    /// Time since the request last completed.
    pub cleared_age_ms: Option<Millisecond>,
}

/// Record of one request as stored at this entry VM.
#[derive(Debug, Default)]
pub struct Entry {
    incidents: Vec<Incident>,
    cleared_ms: Option<Millisecond>,
    /// Last change of this entry, by an observation or by a peer's record.
    pub changed_ms: Millisecond,
    /// Last change of this entry by an observation of this entry VM.
    pub observed_ms: Millisecond,
}

impl Entry {
    /// Treatment of the request, provided that the entry has not expired.
    pub fn treatment(&self) -> Treatment {
        match self.crashes() {
            0 => Treatment::Normal,
            crashes if crashes < CRASH_LIMIT => Treatment::Apart,
            _ => Treatment::Refuse,
        }
    }

    pub fn expired(&self, now_ms: Millisecond) -> bool {
        let ttl_ms = match self.treatment() {
            Treatment::Refuse => REFUSAL_MS,
            Treatment::Normal | Treatment::Apart => SUSPECT_TTL_MS,
        };
        self.changed_ms + ttl_ms < now_ms
    }

    /// Adds an incident, or updates the known one if both report the same loss.
    pub fn add(&mut self, incident: Incident, now_ms: Millisecond) {
        let known = self.incidents.iter_mut().find(|known| {
            known.server == incident.server && known.at_ms.abs_diff(incident.at_ms) <= SAME_EVENT_MS
        });
        if let Some(known) = known {
            if incident.nature > known.nature {
                known.nature = incident.nature;
                self.changed_ms = now_ms;
            }
            known.at_ms = known.at_ms.min(incident.at_ms);
            return;
        }
        self.incidents.push(incident);
        self.incidents.sort_by_key(|incident| incident.at_ms);
        if self.incidents.len() > INCIDENT_LIMIT {
            self.incidents.remove(0);
        }
        self.changed_ms = now_ms;
    }

    /// Changes the losses of `server` since `since_ms` from crashes to departures.
    pub fn mark_departed(&mut self, server: &Name, since_ms: Millisecond, now_ms: Millisecond) {
        for incident in &mut self.incidents {
            let affected = incident.server == *server && incident.at_ms >= since_ms;
            if !affected || incident.nature == Nature::Departure {
                continue;
            }
            incident.nature = Nature::Departure;
            self.changed_ms = now_ms;
            self.observed_ms = now_ms;
        }
    }

    /// Records that the request completed at `at_ms`.
    pub fn clear(&mut self, at_ms: Millisecond) {
        let known_ms = self.cleared_ms;
        self.merge_clearing(at_ms, at_ms);
        if self.cleared_ms != known_ms {
            self.observed_ms = at_ms;
        }
    }

    fn merge_clearing(&mut self, at_ms: Millisecond, now_ms: Millisecond) {
        let known_ms = self.cleared_ms;
        if known_ms.is_some_and(|known_ms| at_ms <= known_ms + SAME_EVENT_MS) {
            return;
        }
        self.cleared_ms = Some(at_ms);
        self.changed_ms = now_ms;
    }

    pub fn export(&self, digest: RequestDigest, now_ms: Millisecond) -> SuspectRecord {
        let age = |at_ms: Millisecond| now_ms.saturating_sub(at_ms);
        let incidents = self.incidents.iter().map(|incident| IncidentAge {
            server: incident.server.clone(),
            age_ms: age(incident.at_ms),
            nature: incident.nature,
        });
        SuspectRecord {
            digest,
            incidents: incidents.collect(),
            cleared_age_ms: self.cleared_ms.map(age),
        }
    }

    /// Merges a peer's record.
    pub fn merge(&mut self, record: &SuspectRecord, now_ms: Millisecond) {
        for incident in record.incidents.iter().take(INCIDENT_LIMIT) {
            let incident = Incident {
                server: incident.server.clone(),
                at_ms: now_ms.saturating_sub(incident.age_ms),
                nature: incident.nature,
            };
            self.add(incident, now_ms);
        }
        if let Some(age_ms) = record.cleared_age_ms {
            self.merge_clearing(now_ms.saturating_sub(age_ms), now_ms);
        }
    }

    fn crashes(&self) -> usize {
        let since_ms = self.cleared_ms.unwrap_or(0);
        let crashes = self.incidents.iter().filter(|incident| {
            incident.nature == Nature::Crash
                && (self.cleared_ms.is_none() || incident.at_ms > since_ms)
        });
        crashes.count()
    }
}
