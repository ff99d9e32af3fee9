//! Detection of poison requests: requests that crash every backend server that runs them.
//!
//! A crash makes every request on the lost server a suspect. A suspect runs on a server without
//! other suspects, and each entry VM uses its own share of the servers for its suspects. A suspect
//! that completes is cleared; one that is on a second crashed server is refused. A poison request
//! thus crashes two servers, and the requests that were on the first one are kept away from it
//! before the second crash. Announced departures and the loss of a whole failure domain do not
//! count as crashes.
//!
//! Entry VMs exchange records. Instants are sent as ages, because the clocks of the VMs differ.

mod digest;
mod part;
mod part_id;
mod part_report;
mod parts;
mod quarantine;
mod record;

pub use digest::RequestDigest;
pub use part::PartRecord;
pub use part_id::PartId;
pub use part_report::{PartReport, QuarantineRecord};
pub use parts::{PARTS_LIMIT, QUARANTINES_LIMIT, RunOnServer, SEQUENCE_LIMIT, SuspectParts};
pub use quarantine::{QuarantineChange, QuarantineOutcome, REFUSAL_MS as PART_REFUSAL_MS};
pub use record::{IncidentAge, Nature, SuspectRecord};

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Map, Name};
use serde::Serialize;

use record::{Entry, Incident};

/// Number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// Most records kept. The oldest records of requests that are not refused are evicted first.
pub const RECORD_LIMIT: usize = 4_096;

/// Time after the last change of its record at which a suspect is forgotten.
pub const SUSPECT_TTL_MS: Millisecond = 10 * 60 * 1_000;

/// Time after the last change of its record for which a request is refused.
pub const REFUSAL_MS: Millisecond = 60 * 60 * 1_000;

/// Servers of one failure domain that have to be lost within [`DOMAIN_LOSS_MS`] to count as the
/// loss of the domain. The number exceeds [`CRASH_LIMIT`] by two, so a poison request is refused
/// before its crashes look like a domain loss, even if one server crashes for another reason.
pub const DOMAIN_LOSS_SERVERS: usize = CRASH_LIMIT + 2;

/// Window in which lost servers of one failure domain are counted.
pub const DOMAIN_LOSS_MS: Millisecond = 5_000;

/// Longest delay between the loss of a server and the notice that announced it.
pub const LATE_NOTICE_MS: Millisecond = 120_000;

/// Restriction on the servers that a request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Treatment {
    /// Run like any other request.
    Normal,
    /// Run on one of [`SuspectRequests::servers_for_suspect`].
    Apart,
    /// Do not run: [`CRASH_LIMIT`] servers crashed with this request on them.
    Refuse,
}

/// Kind of loss of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The server disappeared without a notice.
    Crash,
    /// The server left after a notice, or the VM list showed it as leaving.
    Announced,
}

/// A backend server that can run a suspect.
#[derive(Clone, Debug)]
pub struct SuspectCandidate {
    pub server: Name,
    /// Requests that this entry VM runs on the server.
    pub digests: Vec<RequestDigest>,
}

/// Rank of this entry VM. It selects a share of the servers, so that two entry VMs seldom choose
/// the same server for their suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryRank {
    /// Index of this entry VM in the sorted list of entry VMs.
    pub rank: usize,
    pub entries: usize,
}

struct LostServer {
    server: Name,
    domain: Name,
    at_ms: Millisecond,
}

/// Records of suspect requests at one entry VM.
///
/// `now_ms` is Unix time, because records of peers can be older than this process.
#[derive(Default)]
pub struct SuspectRequests {
    entries: Map<RequestDigest, Entry>,
    lost: VecDeque<LostServer>,
}

impl SuspectRequests {
    pub fn treatment(&self, digest: RequestDigest, now_ms: Millisecond) -> Treatment {
        let Some(entry) = self.entries.get(&digest) else {
            return Treatment::Normal;
        };
        if entry.expired(now_ms) {
            return Treatment::Normal;
        }
        entry.treatment()
    }

    /// Returns the servers that a suspect may run on. Servers without another suspect are
    /// preferred, and among them this entry VM's share. If every server runs a suspect, all are
    /// returned. `candidates` must be sorted by name.
    pub fn servers_for_suspect(
        &self,
        candidates: &[SuspectCandidate],
        own_rank: EntryRank,
        now_ms: Millisecond,
    ) -> Vec<Name> {
        let mut without_suspect = Vec::new();
        let mut own_share = Vec::new();
        for (position, candidate) in candidates.iter().enumerate() {
            if self.runs_suspect(&candidate.digests, now_ms) {
                continue;
            }
            without_suspect.push(candidate.server.clone());
            if position % own_rank.entries.max(1) == own_rank.rank {
                own_share.push(candidate.server.clone());
            }
        }
        match (own_share.is_empty(), without_suspect.is_empty()) {
            (false, _) => own_share,
            (true, false) => without_suspect,
            (true, true) => candidates.iter().map(|c| c.server.clone()).collect(),
        }
    }

    fn runs_suspect(&self, on_server: &[RequestDigest], now_ms: Millisecond) -> bool {
        on_server
            .iter()
            .any(|digest| self.treatment(*digest, now_ms) != Treatment::Normal)
    }

    /// Records the loss of a server with the requests that this entry VM ran on it.
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
            entry.observed_ms = now_ms;
        }
        self.record_loss(server, domain, now_ms);
        self.evict(now_ms);
    }

    /// Withdraws the crashes recorded for a server in the last [`LATE_NOTICE_MS`]: the server was
    /// reclaimed.
    pub fn mark_departed(&mut self, server: &Name, now_ms: Millisecond) {
        for entry in self.entries.values_mut() {
            entry.mark_departed(server, now_ms.saturating_sub(LATE_NOTICE_MS), now_ms);
        }
    }

    /// Clears a request that completed.
    pub fn completed(&mut self, digest: RequestDigest, now_ms: Millisecond) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.clear(now_ms);
        }
    }

    /// Records changed in the last `within_ms`, for peers that forward them.
    pub fn export(&self, within_ms: Millisecond, now_ms: Millisecond) -> Vec<SuspectRecord> {
        self.records(|entry| entry.changed_ms, within_ms, now_ms)
    }

    /// Records that this entry VM's own observations changed in the last `within_ms`, for peers
    /// that receive every record from its observer.
    pub fn export_local(&self, within_ms: Millisecond, now_ms: Millisecond) -> Vec<SuspectRecord> {
        self.records(|entry| entry.observed_ms, within_ms, now_ms)
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

    /// Merges a peer's records. The result does not depend on order or repetition.
    pub fn merge(&mut self, records: &[SuspectRecord], now_ms: Millisecond) {
        for record in records.iter().take(RECORD_LIMIT) {
            let entry = self.entries.entry(record.digest).or_default();
            entry.merge(record, now_ms);
        }
        self.evict(now_ms);
    }

    /// Removes expired records.
    pub fn expire(&mut self, now_ms: Millisecond) {
        self.entries.retain(|_, entry| !entry.expired(now_ms));
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record_loss(&mut self, server: &Name, domain: &Name, now_ms: Millisecond) {
        self.lost
            .retain(|lost| lost.at_ms + DOMAIN_LOSS_MS > now_ms && lost.server != *server);
        self.lost.push_back(LostServer {
            server: server.clone(),
            domain: domain.clone(),
            at_ms: now_ms,
        });
        let lost_together: Vec<Name> = self
            .lost
            .iter()
            .filter(|lost| lost.domain == *domain)
            .map(|lost| lost.server.clone())
            .collect();
        if lost_together.len() < DOMAIN_LOSS_SERVERS {
            return;
        }
        for server in lost_together {
            self.mark_departed(&server, now_ms);
        }
    }

    fn evict(&mut self, now_ms: Millisecond) {
        if self.entries.len() <= RECORD_LIMIT {
            return;
        }
        self.expire(now_ms);
        let surplus = self.entries.len().saturating_sub(RECORD_LIMIT);
        let mut eviction_order: Vec<(bool, Millisecond, RequestDigest)> = self
            .entries
            .iter()
            .map(|(digest, entry)| {
                let refused = entry.treatment() == Treatment::Refuse;
                (refused, entry.changed_ms, *digest)
            })
            .collect();
        eviction_order.sort_unstable();
        for (_, _, digest) in eviction_order.into_iter().take(surplus) {
            self.entries.remove(&digest);
        }
    }
}
