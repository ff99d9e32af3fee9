//! Detection of parts of prompts that crash every backend server that begins to answer them.
//!
//! The parts of all requests on a crashed server are suspects until a request with them completes.
//! A part is quarantined once several servers crashed with it one after the other, nothing with it
//! completed in between, and no other part explains the crashes better. Parts that occurred in
//! exactly the same crashes are quarantined together: only requests that hold all of them are
//! refused. While all crashes come from requests of one workspace, only its requests are refused.

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Map, Name, Set};

use super::part::{CrashRun, PartEvidence, PartKey};
use super::part_id::PartId;
use super::quarantine::{Quarantine, QuarantineChange, REFUSAL_MS};
use super::record::SAME_EVENT_MS;

/// Crashes in sequence after which a part is quarantined.
pub const SEQUENCE_LIMIT: usize = 3;

/// A part has to explain at least one in this number of the unexplained crashes.
const EXPLAINED_SHARE: usize = 3;

/// Most parts with evidence.
pub const PARTS_LIMIT: usize = 1_024;

/// Most crashes that are kept, to tell how many of them a part explains.
const CRASHES_LIMIT: usize = 128;

/// Most parts in quarantine.
pub const QUARANTINES_LIMIT: usize = 64;

/// Time after its last change at which evidence is forgotten.
const EVIDENCE_TTL_MS: Millisecond = 10 * 60 * 1_000;

/// Time after its last crash at which a quarantine is forgotten. After [`REFUSAL_MS`] requests run
/// again, and one crash prolongs the quarantine.
const QUARANTINE_TTL_MS: Millisecond = 60 * 60 * 1_000;

/// A request that a node had on a server when it crashed.
#[derive(Clone, Debug)]
pub struct RunOnServer<'a> {
    pub workspace: &'a Name,
    /// Parts of its prompt that other requests may share.
    pub parts: &'a [PartId],
    pub started_ms: Millisecond,
}

/// Crash of a server.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub service: Name,
    pub server: Name,
    pub at_ms: Millisecond,
    /// Whether a quarantined part explains it.
    pub explained: bool,
}

/// What this node knows of parts of prompts that crash servers.
///
/// `now_ms` is a monotonic clock of the process.
#[derive(Default)]
pub struct SuspectParts {
    pub(super) parts: Map<PartKey, PartEvidence>,
    pub(super) crashes: VecDeque<Crash>,
    pub(super) quarantines: Vec<Quarantine>,
}

impl SuspectParts {
    /// Whether no request can be refused.
    pub fn has_no_quarantine(&self) -> bool {
        self.quarantines.is_empty()
    }

    /// Whether nothing is suspected, so that completed requests clear nothing.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.quarantines.is_empty()
    }

    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Time for which requests with these parts are refused; `None` if they may run.
    pub fn refused_for_ms(
        &self,
        service: &str,
        workspace: &str,
        parts: &[PartId],
        now_ms: Millisecond,
    ) -> Option<Millisecond> {
        let hit = self
            .quarantines
            .iter()
            .filter(|quarantine| quarantine.covers(service, workspace, parts));
        let until_ms = hit.map(|quarantine| quarantine.last_crash_ms + REFUSAL_MS);
        until_ms.max()?.checked_sub(now_ms).filter(|left| *left > 0)
    }

    /// Records the crash of a server with the requests that this node had on it. Returns what that
    /// changes.
    pub fn server_crashed(
        &mut self,
        service: &Name,
        server: &Name,
        runs: &[RunOnServer<'_>],
        crashed_ms: Millisecond,
        now_ms: Millisecond,
    ) -> Vec<QuarantineChange> {
        let mut by_part: Map<PartId, CrashRun> = Map::default();
        for run in runs {
            for part in run.parts {
                let known = by_part.entry(*part).or_insert_with(|| CrashRun {
                    server: server.clone(),
                    workspace: run.workspace.clone(),
                    requests: 0,
                    started_ms: run.started_ms,
                    crashed_ms,
                });
                known.requests += 1;
                if run.started_ms > known.started_ms {
                    known.started_ms = run.started_ms;
                    known.workspace = run.workspace.clone();
                }
            }
        }
        for (part, run) in by_part {
            let service = service.clone();
            let key = PartKey { service, part };
            if self.add_run(&key, run, now_ms)
                && let Some(evidence) = self.parts.get_mut(&key)
            {
                evidence.observed_ms = now_ms;
            }
        }
        self.evict(now_ms);
        self.judge(service, now_ms)
    }

    /// Records that a request with these parts completed. Returns the quarantines that this ends or
    /// narrows.
    pub fn completed(
        &mut self,
        service: &Name,
        parts: &[PartId],
        now_ms: Millisecond,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for part in parts {
            let service = service.clone();
            let key = PartKey {
                service,
                part: *part,
            };
            let Some(evidence) = self.parts.get_mut(&key) else {
                continue;
            };
            if evidence.complete(now_ms, now_ms) {
                evidence.observed_ms = now_ms;
            }
            changes.extend(self.acquit(&key, now_ms));
        }
        changes
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now_ms: Millisecond) {
        let quarantines = &mut self.quarantines;
        quarantines.retain(|quarantine| quarantine.last_crash_ms + QUARANTINE_TTL_MS > now_ms);
        let quarantines = &self.quarantines;
        self.parts.retain(|key, evidence| {
            let is_kept = quarantines.iter().any(|q| q.names(key));
            is_kept || evidence.changed_ms + EVIDENCE_TTL_MS > now_ms
        });
    }

    /// Adds one part's run on a crashed server. Returns whether it counts against the part.
    pub(super) fn add_run(&mut self, key: &PartKey, run: CrashRun, now_ms: Millisecond) -> bool {
        let quarantined = self.quarantines.iter().any(|q| q.names(key));
        let crash = self.crash(&key.service, &run);
        let explained = crash.explained;
        if explained && !quarantined {
            return false;
        }
        let changed = self
            .parts
            .entry(key.clone())
            .or_default()
            .add(run.clone(), now_ms);
        if changed && quarantined {
            self.prolong(key, &run);
        }
        changed
    }

    /// The known crash that `run` was part of; a new one if there is none.
    fn crash(&mut self, service: &Name, run: &CrashRun) -> &mut Crash {
        let same = |crash: &Crash| {
            crash.server == run.server && crash.at_ms.abs_diff(run.crashed_ms) <= SAME_EVENT_MS
        };
        let index = self.crashes.iter().position(same).unwrap_or_else(|| {
            if self.crashes.len() == CRASHES_LIMIT {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                service: service.clone(),
                server: run.server.clone(),
                at_ms: run.crashed_ms,
                explained: false,
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    /// Quarantines parts until the evidence against none suffices.
    pub(super) fn judge(&mut self, service: &Name, now_ms: Millisecond) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for _ in 0..QUARANTINES_LIMIT {
            let Some(culprit) = self.best_explanation(service) else {
                break;
            };
            changes.push(self.quarantine(&culprit, now_ms));
        }
        changes
    }

    /// The part with sufficient evidence that explains its crashes best.
    fn best_explanation(&self, service: &Name) -> Option<PartKey> {
        let mut best: Option<(f64, &PartKey)> = None;
        for (key, evidence) in &self.parts {
            if key.service != *service || evidence.crashes_in_sequence() < SEQUENCE_LIMIT {
                continue;
            }
            let crashes = evidence.runs().len();
            if crashes * EXPLAINED_SHARE < self.unexplained_since(key, evidence) {
                continue;
            }
            if self.is_decided(key) {
                continue;
            }
            let candidate = (evidence.score(), key);
            // Equal scores are ordered by the part, so that all nodes choose the same.
            if best.is_none_or(|best| candidate > best) {
                best = Some(candidate);
            }
        }
        best.map(|(_, key)| key.clone())
    }

    /// Crashes of the service that no quarantined part explains, from the part's first one on.
    fn unexplained_since(&self, key: &PartKey, evidence: &PartEvidence) -> usize {
        let since_ms = evidence.runs().first().map_or(0, |run| run.crashed_ms);
        let crashes = self.crashes.iter();
        crashes
            .filter(|c| c.service == key.service && !c.explained && c.at_ms >= since_ms)
            .count()
    }

    /// Whether the part is in quarantine together with all parts that occurred in the same crashes,
    /// and no others.
    fn is_decided(&self, key: &PartKey) -> bool {
        if !self.quarantines.iter().any(|q| q.names(key)) {
            return false;
        }
        let together = self.parts_in_same_crashes(key);
        let mut naming = self.quarantines.iter().filter(|q| q.names(key));
        naming.any(|q| q.parts.iter().all(|part| together.contains(part)))
    }

    pub(super) fn parts_in_same_crashes(&self, key: &PartKey) -> Vec<PartId> {
        let Some(evidence) = self.parts.get(key) else {
            return Vec::new();
        };
        let mut together: Vec<PartId> = self
            .parts
            .iter()
            .filter(|(other, e)| other.service == key.service && e.same_crashes(evidence))
            .map(|(other, _)| other.part)
            .collect();
        together.sort_unstable();
        together
    }

    /// Removes the evidence against other parts that the crashes of `parts` give.
    pub(super) fn explain(&mut self, service: &Name, parts: &[PartId], servers: &Set<Name>) {
        for crash in &mut self.crashes {
            crash.explained |= crash.service == *service && servers.contains(&crash.server);
        }
        for (key, evidence) in &mut self.parts {
            if key.service == *service && !parts.contains(&key.part) {
                evidence.remove_servers(servers);
            }
        }
    }

    pub(super) fn evict(&mut self, now_ms: Millisecond) {
        if self.parts.len() <= PARTS_LIMIT {
            return;
        }
        self.expire(now_ms);
        let surplus = self.parts.len().saturating_sub(PARTS_LIMIT);
        let mut order: Vec<(bool, usize, Millisecond, PartKey)> = self
            .parts
            .iter()
            .map(|(key, evidence)| {
                let quarantined = self.quarantines.iter().any(|q| q.names(key));
                let crashes = evidence.runs().len();
                (quarantined, crashes, evidence.changed_ms, key.clone())
            })
            .collect();
        order.sort_unstable();
        for (_, _, _, key) in order.into_iter().take(surplus) {
            self.parts.remove(&key);
        }
    }
}
