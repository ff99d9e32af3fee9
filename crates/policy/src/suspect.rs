//! Recognises by its content a request that crashes the backend servers that run it.
//!
//! A crash makes every request on the lost server a suspect. A suspect is run apart from other
//! suspects, and each entry VM keeps its own to other servers; one that ends well is cleared, one seen in a second crash is refused. So the request
//! that crashes its servers takes two of them, and the innocents that shared the first are parted
//! from it before the second. Departures that were announced, or that took a failure domain, are
//! no crashes. Entry VMs exchange records; instants travel as ages, as their clocks differ.

mod digest;
mod record;

pub use digest::RequestDigest;
pub use record::{IncidentAge, Nature, SuspectRecord};

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Map, Name};
use serde::Serialize;

use record::{Entry, Incident};

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// Most records kept; the oldest that are not refused go first.
pub const RECORD_LIMIT: usize = 4_096;

/// Time after which a suspect is forgotten.
pub const SUSPECT_TTL_MS: Millisecond = 10 * 60 * 1_000;

/// Time for which a request is refused after its last crash.
pub const REFUSAL_MS: Millisecond = 60 * 60 * 1_000;

/// Servers of one failure domain lost within [`DOMAIN_LOSS_MS`] that make it the domain's loss. A
/// request is refused before it takes as many, even beside a crash of another cause.
pub const DOMAIN_LOSS: usize = CRASH_LIMIT + 2;

/// Time within which losses in a failure domain count together.
pub const DOMAIN_LOSS_MS: Millisecond = 5_000;

/// How long after a loss its announcement may still come to light.
pub const LATE_NOTICE_MS: Millisecond = 120_000;

/// How a request is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Treatment {
    /// As any other.
    Normal,
    /// On one of [`Suspects::servers_apart`].
    Apart,
    /// Not at all: it crashed [`CRASH_LIMIT`] servers.
    Refuse,
}

/// How a backend server was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Without a word.
    Crash,
    /// After a notice, or while the VM list had it as leaving.
    Announced,
}

/// A backend server that could take a suspect.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server.
    pub server: Name,
    /// What this entry VM runs on it.
    pub digests: Vec<RequestDigest>,
}

/// This entry VM's place among all, so that two seldom pick one server for their suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryRank {
    /// Place in the sorted list of entry VMs, from 0.
    pub rank: usize,
    /// Number of entry VMs.
    pub entries: usize,
}

struct LostServer {
    server: Name,
    domain: Name,
    at_ms: Millisecond,
}

/// What one entry VM knows of suspects.
///
/// `now_ms` counts from 1970, so that ages of a peer's records reach back beyond this process.
#[derive(Default)]
pub struct SuspectRequests {
    entries: Map<RequestDigest, Entry>,
    lost: VecDeque<LostServer>,
}

impl SuspectRequests {
    /// How a request is to be run.
    pub fn treatment(&self, digest: RequestDigest, now_ms: Millisecond) -> Treatment {
        let Some(entry) = self.entries.get(&digest) else {
            return Treatment::Normal;
        };
        if entry.expired(now_ms) {
            return Treatment::Normal;
        }
        entry.treatment()
    }

    /// Servers on which to run a suspect: of those without another, this entry VM's own share if
    /// there are any; all if every one has another. `candidates` are sorted by name.
    pub fn servers_for_suspect(
        &self,
        candidates: &[Candidate],
        share: EntryRank,
        now_ms: Millisecond,
    ) -> Vec<Name> {
        let mut clean = Vec::new();
        let mut own = Vec::new();
        for (place, candidate) in candidates.iter().enumerate() {
            if self.any_suspect(&candidate.digests, now_ms) {
                continue;
            }
            clean.push(candidate.server.clone());
            if place % share.entries.max(1) == share.rank {
                own.push(candidate.server.clone());
            }
        }
        match (own.is_empty(), clean.is_empty()) {
            (false, _) => own,
            (true, false) => clean,
            (true, true) => candidates.iter().map(|c| c.server.clone()).collect(),
        }
    }

    fn any_suspect(&self, on_server: &[RequestDigest], now_ms: Millisecond) -> bool {
        on_server
            .iter()
            .any(|digest| self.treatment(*digest, now_ms) != Treatment::Normal)
    }

    /// Takes note of a lost server and of the requests that this entry VM had on it.
    pub fn server_lost(
        &mut self,
        server: &Name,
        domain: &Name,
        loss: Loss,
        on_server: &[RequestDigest],
        now_ms: Millisecond,
    ) {
        if loss == Loss::Announced {
            return;
        }
        for digest in on_server {
            let incident = Incident {
                server: server.clone(),
                at_ms: now_ms,
                nature: Nature::Crash,
            };
            let entry = self.entries.entry(*digest).or_default();
            entry.add(incident, now_ms);
            entry.seen_ms = now_ms;
        }
        self.note_loss(server, domain, now_ms);
        self.shrink(now_ms);
    }

    /// A server lost a short while ago turns out to have been reclaimed: it blames nobody.
    pub fn mark_departed(&mut self, server: &Name, now_ms: Millisecond) {
        for entry in self.entries.values_mut() {
            entry.excuse(server, now_ms.saturating_sub(LATE_NOTICE_MS), now_ms);
        }
    }

    /// A request ended well: it is no suspect any more.
    pub fn completed(&mut self, digest: RequestDigest, now_ms: Millisecond) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.clear(now_ms);
        }
    }

    /// Records touched within the last `within_ms`, for a peer that tells them on.
    pub fn export(&self, within_ms: Millisecond, now_ms: Millisecond) -> Vec<SuspectRecord> {
        self.records(|entry| entry.touched_ms, within_ms, now_ms)
    }

    /// Records of what this entry VM itself saw within the last `within_ms`, for peers that each
    /// hear it from the one that saw it.
    pub fn export_local(&self, within_ms: Millisecond, now_ms: Millisecond) -> Vec<SuspectRecord> {
        self.records(|entry| entry.seen_ms, within_ms, now_ms)
    }

    fn records(
        &self,
        at_ms: impl Fn(&Entry) -> Millisecond,
        within_ms: Millisecond,
        now_ms: Millisecond,
    ) -> Vec<SuspectRecord> {
        let entries = self.entries.iter();
        let fresh = entries.filter(|(_, e)| now_ms.saturating_sub(at_ms(e)) <= within_ms);
        fresh
            .map(|(digest, entry)| entry.export(*digest, now_ms))
            .collect()
    }

    /// Takes in a peer's records. The result does not depend on their order or number.
    pub fn merge(&mut self, records: &[SuspectRecord], now_ms: Millisecond) {
        for record in records.iter().take(RECORD_LIMIT) {
            let entry = self.entries.entry(record.digest).or_default();
            entry.merge(record, now_ms);
        }
        self.shrink(now_ms);
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now_ms: Millisecond) {
        self.entries.retain(|_, entry| !entry.expired(now_ms));
    }

    /// Records kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn note_loss(&mut self, server: &Name, domain: &Name, now_ms: Millisecond) {
        self.lost
            .retain(|lost| lost.at_ms + DOMAIN_LOSS_MS > now_ms && lost.server != *server);
        self.lost.push_back(LostServer {
            server: server.clone(),
            domain: domain.clone(),
            at_ms: now_ms,
        });
        let together: Vec<Name> = self
            .lost
            .iter()
            .filter(|lost| lost.domain == *domain)
            .map(|lost| lost.server.clone())
            .collect();
        if together.len() < DOMAIN_LOSS {
            return;
        }
        for server in together {
            self.mark_departed(&server, now_ms);
        }
    }

    fn shrink(&mut self, now_ms: Millisecond) {
        if self.entries.len() <= RECORD_LIMIT {
            return;
        }
        self.expire(now_ms);
        let surplus = self.entries.len().saturating_sub(RECORD_LIMIT);
        let mut by_worth: Vec<(bool, Millisecond, RequestDigest)> = self
            .entries
            .iter()
            .map(|(digest, entry)| {
                let refused = entry.treatment() == Treatment::Refuse;
                (refused, entry.touched_ms, *digest)
            })
            .collect();
        by_worth.sort_unstable();
        for (_, _, digest) in by_worth.into_iter().take(surplus) {
            self.entries.remove(&digest);
        }
    }
}
