//! One request's crashes, as kept and as sent to peers.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::digest::RequestDigest;
use super::{CRASH_LIMIT, REFUSAL_MS, SUSPECT_TTL_MS, Treatment};

/// Incidents kept of one request.
const INCIDENT_LIMIT: usize = 4;

/// Reports on one server, or of one good end, within this time are of one event.
const SAME_EVENT_MS: Millisecond = 5_000;

/// What a loss turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Nature {
    /// A crash, as far as is known.
    Crash,
    /// A reclaim or the loss of a failure domain.
    Departure,
}

/// Loss of a server that ran the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incident {
    /// The server.
    pub server: Name,
    /// When it was seen.
    pub at_ms: Millisecond,
    /// What it was.
    pub nature: Nature,
}

/// An incident on its way to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncidentAge {
    /// The server.
    pub server: Name,
    /// Time since it was seen.
    pub age_ms: Millisecond,
    /// What it was.
    pub nature: Nature,
}

/// What is known of one request, on its way to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request's content.
    pub digest: RequestDigest,
    /// Losses of servers that ran it.
    pub incidents: Vec<IncidentAge>,
    /// Time since it last ended well.
    pub cleared_age_ms: Option<Millisecond>,
}

/// What is known of one request.
#[derive(Debug, Default)]
pub struct Entry {
    incidents: Vec<Incident>,
    cleared_ms: Option<Millisecond>,
    /// When this entry last changed here.
    pub touched_ms: Millisecond,
    /// When this entry VM last saw something of it itself.
    pub seen_ms: Millisecond,
}

impl Entry {
    /// How the request is to be run, if the entry has not expired.
    pub fn treatment(&self) -> Treatment {
        match self.crashes() {
            0 => Treatment::Normal,
            crashes if crashes < CRASH_LIMIT => Treatment::Apart,
            _ => Treatment::Refuse,
        }
    }

    /// Whether the entry may be forgotten.
    pub fn expired(&self, now_ms: Millisecond) -> bool {
        let ttl_ms = match self.treatment() {
            Treatment::Refuse => REFUSAL_MS,
            Treatment::Normal | Treatment::Apart => SUSPECT_TTL_MS,
        };
        self.touched_ms + ttl_ms < now_ms
    }

    /// Adds an incident, or what is new of one that is known.
    pub fn add(&mut self, incident: Incident, now_ms: Millisecond) {
        let known = self.incidents.iter_mut().find(|known| {
            known.server == incident.server && known.at_ms.abs_diff(incident.at_ms) <= SAME_EVENT_MS
        });
        if let Some(known) = known {
            if incident.nature > known.nature {
                known.nature = incident.nature;
                self.touched_ms = now_ms;
            }
            known.at_ms = known.at_ms.min(incident.at_ms);
            return;
        }
        self.incidents.push(incident);
        self.incidents.sort_by_key(|incident| incident.at_ms);
        if self.incidents.len() > INCIDENT_LIMIT {
            self.incidents.remove(0);
        }
        self.touched_ms = now_ms;
    }

    /// The losses of `server` since `since_ms` were no crashes.
    pub fn excuse(&mut self, server: &Name, since_ms: Millisecond, now_ms: Millisecond) {
        for incident in &mut self.incidents {
            let meant = incident.server == *server && incident.at_ms >= since_ms;
            if !meant || incident.nature == Nature::Departure {
                continue;
            }
            incident.nature = Nature::Departure;
            self.touched_ms = now_ms;
            self.seen_ms = now_ms;
        }
    }

    /// The request ended well at `at_ms`.
    pub fn clear(&mut self, at_ms: Millisecond) {
        let known_ms = self.cleared_ms;
        self.take_clearing(at_ms, at_ms);
        if self.cleared_ms != known_ms {
            self.seen_ms = at_ms;
        }
    }

    fn take_clearing(&mut self, at_ms: Millisecond, now_ms: Millisecond) {
        let known_ms = self.cleared_ms;
        if known_ms.is_some_and(|known_ms| at_ms <= known_ms + SAME_EVENT_MS) {
            return;
        }
        self.cleared_ms = Some(at_ms);
        self.touched_ms = now_ms;
    }

    /// The form for peers.
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

    /// Takes in what a peer knows.
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
            self.take_clearing(now_ms.saturating_sub(age_ms), now_ms);
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
