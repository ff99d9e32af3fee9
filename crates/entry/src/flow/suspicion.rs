//! Requests suspected of crashing backend servers, and the requests that run on each server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::units::Millisecond;
use base::{Map, Name};
use engine::{Attempt, Backend, Target};
use events::Code;
use fleet::piggyback::Fingerprint;
use http::{HeaderMap, Method};
use policy::suspect::{
    EntryRank, IncidentAge, Loss, Nature, RequestDigest, SuspectCandidate, SuspectRecord,
    SuspectRequests, Treatment,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::unix_ms;

/// Prefix of the key of a fingerprint that holds a [`Sighting`].
const KEY_PREFIX: &str = "suspect/";

/// How long a probe waits for an error. A server that is only slow counts as running.
const PROBE_TIMEOUT_MS: Millisecond = 250;

/// What one entry VM observed about a suspect request, in the form sent to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "saw")]
enum Sighting {
    /// The request ran on a server that crashed.
    Crash {
        digest: RequestDigest,
        server: Name,
        at_unix_ms: Millisecond,
    },
    /// The request completed without a crash.
    End {
        digest: RequestDigest,
        at_unix_ms: Millisecond,
    },
}

impl Sighting {
    fn fingerprint(&self) -> Fingerprint {
        let key = match self {
            Self::Crash { digest, server, .. } => format!("{KEY_PREFIX}{digest}/{server}"),
            Self::End { digest, .. } => format!("{KEY_PREFIX}{digest}"),
        };
        Fingerprint {
            key,
            blob: serde_json::to_string(self).unwrap_or_default(),
        }
    }

    fn record(self, now_ms: Millisecond) -> SuspectRecord {
        match self {
            Self::Crash {
                digest,
                server,
                at_unix_ms,
            } => SuspectRecord {
                digest,
                incidents: vec![IncidentAge {
                    server,
                    age_ms: now_ms.saturating_sub(at_unix_ms),
                    nature: Nature::Crash,
                }],
                cleared_age_ms: None,
            },
            Self::End { digest, at_unix_ms } => SuspectRecord {
                digest,
                incidents: Vec::new(),
                cleared_age_ms: Some(now_ms.saturating_sub(at_unix_ms)),
            },
        }
    }
}

#[derive(Serialize)]
struct SuspectLog<'a> {
    digest: String,
    server: &'a Name,
    treatment: Treatment,
}

struct Inner {
    suspects: SuspectRequests,
    running_by_server: Map<Name, Vec<RequestDigest>>,
    entry_rank: EntryRank,
    updates: Vec<Fingerprint>,
}

/// Suspect and running requests of one entry VM; clones share the same data.
#[derive(Clone)]
pub struct Suspicion {
    inner: Arc<Mutex<Inner>>,
    updates_ready: Arc<Notify>,
}

impl Default for Suspicion {
    fn default() -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                suspects: SuspectRequests::default(),
                running_by_server: Map::default(),
                entry_rank: EntryRank {
                    rank: 0,
                    entries: 1,
                },
                updates: Vec::new(),
            })),
            updates_ready: Arc::default(),
        }
    }
}

impl Suspicion {
    /// Whether no request is suspected. Callers then skip computing digests.
    pub fn has_no_suspects(&self) -> bool {
        self.lock().suspects.is_empty()
    }

    /// Removes suspects that are too old.
    pub fn expire(&self) {
        self.lock().suspects.expire(unix_ms());
    }

    /// How to run a request with this digest.
    pub fn treatment(&self, digest: RequestDigest) -> Treatment {
        self.lock().suspects.treatment(digest, unix_ms())
    }

    /// The servers, of a list sorted by name, that a suspect request must not use.
    pub fn servers_to_avoid(&self, servers: Vec<Name>) -> Vec<Name> {
        let inner = self.lock();
        let mut candidates = Vec::with_capacity(servers.len());
        for server in &servers {
            candidates.push(SuspectCandidate {
                server: server.clone(),
                digests: inner
                    .running_by_server
                    .get(server)
                    .cloned()
                    .unwrap_or_default(),
            });
        }
        let allowed = inner
            .suspects
            .servers_for_suspect(&candidates, inner.entry_rank, unix_ms());
        drop(inner);
        let mut avoided = servers;
        avoided.retain(|server| !allowed.contains(server));
        avoided
    }

    /// Records that a request runs on a server until the returned guard is dropped.
    pub fn track_running(&self, server: &Name, digest: RequestDigest) -> RunningRequest {
        let mut inner = self.lock();
        let digests = inner.running_by_server.entry(server.clone()).or_default();
        digests.push(digest);
        RunningRequest {
            suspicion: self.clone(),
            server: server.clone(),
            digest,
        }
    }

    /// Records that a server crashed while it ran the request.
    pub fn record_crash(&self, server: &Name, domain: &Name, digest: RequestDigest) {
        let now_ms = unix_ms();
        let mut inner = self.lock();
        let suspects = &mut inner.suspects;
        suspects.server_lost(server, domain, Loss::Crash, &[digest], now_ms);
        let treatment = suspects.treatment(digest, now_ms);
        let sighting = Sighting::Crash {
            digest,
            server: server.clone(),
            at_unix_ms: now_ms,
        };
        inner.updates.push(sighting.fingerprint());
        drop(inner);
        self.updates_ready.notify_one();
        let digest = digest.to_string();
        events::emit(
            Code::RequestSuspected,
            &SuspectLog {
                digest,
                server,
                treatment,
            },
        );
    }

    /// Records that the request completed; does nothing if it is not suspected.
    pub fn record_completion(&self, digest: RequestDigest) {
        let now_ms = unix_ms();
        let mut inner = self.lock();
        if inner.suspects.treatment(digest, now_ms) == Treatment::Normal {
            return;
        }
        inner.suspects.completed(digest, now_ms);
        let sighting = Sighting::End {
            digest,
            at_unix_ms: now_ms,
        };
        inner.updates.push(sighting.fingerprint());
        drop(inner);
        self.updates_ready.notify_one();
    }

    /// Records that a server left as announced. If its loss was counted as a crash, that is undone.
    pub fn mark_departed(&self, server: &Name) {
        let mut inner = self.lock();
        if !inner.suspects.is_empty() {
            inner.suspects.mark_departed(server, unix_ms());
        }
    }

    /// Sets the rank of this entry VM among all, which decides the servers its suspects may use.
    pub fn set_entry_rank(&self, entry_rank: EntryRank) {
        self.lock().entry_rank = entry_rank;
    }

    pub async fn updates_ready(&self) {
        self.updates_ready.notified().await;
    }

    /// Removes and returns the updates for the peers.
    pub fn take_updates(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.lock().updates)
    }

    /// Merges the sightings of peers. Merging a sighting twice has no further effect.
    pub fn merge_from_peers(&self, fingerprints: &[Fingerprint]) {
        let now_ms = unix_ms();
        let mut records = Vec::new();
        for fingerprint in fingerprints {
            if !fingerprint.key.starts_with(KEY_PREFIX) {
                continue;
            }
            if let Ok(sighting) = serde_json::from_str::<Sighting>(&fingerprint.blob) {
                records.push(sighting.record(now_ms));
            }
        }
        if !records.is_empty() {
            self.lock().suspects.merge(&records, now_ms);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of a request that runs on a server; dropping it ends the record.
pub struct RunningRequest {
    suspicion: Suspicion,
    server: Name,
    digest: RequestDigest,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = self.suspicion.lock();
        let Some(digests) = inner.running_by_server.get_mut(&self.server) else {
            return;
        };
        if let Some(at) = digests.iter().position(|digest| *digest == self.digest) {
            digests.swap_remove(at);
        }
        if digests.is_empty() {
            inner.running_by_server.remove(&self.server);
        }
    }
}

/// Whether a server whose connection broke still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The server answers, or did not answer in time.
    Running,
    /// The server refuses or breaks connections.
    Gone,
}

/// Probes whether a server still runs.
pub async fn probe_liveness(backend: &dyn Backend, target: &Target) -> Liveness {
    let probe = Attempt {
        method: Method::GET,
        path: "/healthz".to_owned(),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        head_timeout_ms: 2 * PROBE_TIMEOUT_MS,
    };
    let answer = backend.send(target, probe);
    match tokio::time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), answer).await {
        Ok(Err(_)) => Liveness::Gone,
        Ok(Ok(_)) | Err(_) => Liveness::Running,
    }
}
