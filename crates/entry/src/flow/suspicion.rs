//! Requests suspected of crashing their backend servers, and what this entry VM runs where.

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

/// Starts the key of a fingerprint that holds a [`Sighting`].
const KEY_PREFIX: &str = "suspect/";

/// How long a backend server may take to show that it still runs.
const PROBE_TIMEOUT_MS: Millisecond = 250;

/// What one entry VM saw of a request, as its peers get it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "saw")]
enum Sighting {
    /// It was on a server that crashed.
    Crash {
        digest: RequestDigest,
        server: Name,
        at_unix_ms: Millisecond,
    },
    /// It ended well.
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

/// Suspects and running requests of one entry VM; clones share the same data.
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
    /// Whether nothing is suspected, so that requests need not be looked at.
    pub fn has_no_suspects(&self) -> bool {
        self.lock().suspects.is_empty()
    }

    /// Forgets what is too old.
    pub fn expire(&self) {
        self.lock().suspects.expire(unix_ms());
    }

    /// How a request is to be run.
    pub fn treatment(&self, digest: RequestDigest) -> Treatment {
        self.lock().suspects.treatment(digest, unix_ms())
    }

    /// Of servers sorted by name, those that a suspect must not join.
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

    /// Notes that a request runs on a server until the guard is dropped.
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

    /// A server that ran the request crashed.
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

    /// The request ended well.
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

    /// A server leaves as announced; if it was lost already, that blames nobody.
    pub fn mark_departed(&self, server: &Name) {
        let mut inner = self.lock();
        if !inner.suspects.is_empty() {
            inner.suspects.mark_departed(server, unix_ms());
        }
    }

    /// Sets this entry VM's place among all.
    pub fn set_entry_rank(&self, entry_rank: EntryRank) {
        self.lock().entry_rank = entry_rank;
    }

    /// Waits until there are updates for the peers.
    pub async fn updates_ready(&self) {
        self.updates_ready.notified().await;
    }

    /// Removes and returns the updates for the peers.
    pub fn take_updates(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.lock().updates)
    }

    /// Takes in what peers saw; what is known already changes nothing.
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

/// A request on a server, until it is dropped.
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
    /// It answers, or is slow to.
    Running,
    /// Its connections are refused or cut.
    Gone,
}

/// Asks a server whether it still runs.
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
