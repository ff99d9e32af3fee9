//! Quarantine of parts of prompts, and its exchange between nodes.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::part::{CrashRun, PartKey, PartRecord};
use super::part_id::PartId;
use super::parts::{QUARANTINES_LIMIT, SuspectParts};

/// Time after the last crash for which requests with a quarantined part are refused.
pub const REFUSAL_MS: Millisecond = 10 * 60 * 1_000;

/// Most workspaces that a quarantine lists; from two on it holds for all.
const WORKSPACES_LIMIT: usize = 2;

/// Most parts with evidence in one message.
const SENT_PARTS_LIMIT: usize = 64;

/// Most quarantines in one message: those of the latest crashes.
const SENT_QUARANTINES_LIMIT: usize = 16;

/// Parts of prompts with which requests are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    pub service: Name,
    /// Parts that occurred in the same crashes, in order. A request that holds all of them is
    /// refused.
    pub parts: Vec<PartId>,
    /// Workspaces whose requests crashed servers.
    pub workspaces: Vec<Name>,
    pub last_crash_ms: Millisecond,
}

/// A [`Quarantine`] in the form sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    pub service: Name,
    pub parts: Vec<PartId>,
    pub workspaces: Vec<Name>,
    pub last_crash_age_ms: Millisecond,
}

/// Evidence and quarantines in the form sent to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<PartRecord>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantines: Vec<QuarantineRecord>,
}

/// A change of the quarantines, with its inputs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuarantineChange {
    pub outcome: QuarantineOutcome,
    pub service: Name,
    /// Parts in quarantine after the change, or those that were released.
    pub parts: Vec<PartId>,
    pub workspaces: Vec<Name>,
    /// Servers that crashed with them, as far as this node knows.
    pub servers: Vec<Name>,
    pub crashes_in_sequence: usize,
    pub last_crash_age_ms: Millisecond,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineOutcome {
    /// By the evidence at this node.
    Began,
    /// By the decision of another node.
    Received,
    /// A request with some of the parts completed.
    Narrowed,
    /// A request with the only part left completed.
    Released,
}

impl PartReport {
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.quarantines.is_empty()
    }
}

impl Quarantine {
    /// Whether requests of `workspace` with these parts are refused.
    pub fn covers(&self, service: &str, workspace: &str, parts: &[PartId]) -> bool {
        let is_bound = self.workspaces.len() >= WORKSPACES_LIMIT
            || self.workspaces.iter().any(|w| &**w == workspace);
        is_bound && &*self.service == service && self.parts.iter().all(|p| parts.contains(p))
    }

    pub fn names(&self, key: &PartKey) -> bool {
        self.service == key.service && self.parts.contains(&key.part)
    }

    fn add_workspace(&mut self, workspace: &Name) {
        if self.workspaces.len() < WORKSPACES_LIMIT && !self.workspaces.contains(workspace) {
            self.workspaces.push(workspace.clone());
        }
    }
}

impl SuspectParts {
    /// Quarantines `culprit` with the parts that occurred in the same crashes.
    pub(super) fn quarantine(
        &mut self,
        culprit: &PartKey,
        now_ms: Millisecond,
    ) -> QuarantineChange {
        let parts = self.parts_in_same_crashes(culprit);
        let mut quarantine = Quarantine {
            service: culprit.service.clone(),
            parts: parts.clone(),
            workspaces: Vec::new(),
            last_crash_ms: 0,
        };
        let evidence = self.parts.get(culprit);
        for run in evidence.map_or(&[][..], |e| e.runs()) {
            quarantine.add_workspace(&run.workspace);
            quarantine.last_crash_ms = quarantine.last_crash_ms.max(run.crashed_ms);
        }
        let servers = evidence.map(|e| e.servers()).unwrap_or_default();
        self.explain(&culprit.service, &parts, &servers);
        let change = self.change(&quarantine, QuarantineOutcome::Began, now_ms);
        self.insert(quarantine);
        change
    }

    /// Records another crash with a part in quarantine, if it happened with all parts of the
    /// quarantine.
    pub(super) fn prolong(&mut self, key: &PartKey, run: &CrashRun) {
        let mut parts = Vec::new();
        let evidence = &self.parts;
        let is_in_crash = |service: &Name, part: PartId| {
            let service = service.clone();
            let evidence = evidence.get(&PartKey { service, part });
            evidence.is_some_and(|e| e.runs().iter().any(|r| r.server == run.server))
        };
        for quarantine in self.quarantines.iter_mut().filter(|q| q.names(key)) {
            let mut named = quarantine.parts.iter();
            if !named.all(|part| is_in_crash(&quarantine.service, *part)) {
                continue;
            }
            quarantine.last_crash_ms = quarantine.last_crash_ms.max(run.crashed_ms);
            quarantine.add_workspace(&run.workspace);
            parts.extend_from_slice(&quarantine.parts);
        }
        if !parts.is_empty() {
            let servers = [run.server.clone()].into_iter().collect();
            self.explain(&key.service, &parts, &servers);
        }
    }

    /// Takes a part with which a request has completed out of quarantine.
    pub(super) fn acquit(&mut self, key: &PartKey, now_ms: Millisecond) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let quarantines = std::mem::take(&mut self.quarantines);
        for mut quarantine in quarantines {
            let evidence = self.parts.get(key);
            let completed = evidence.is_some_and(|e| e.completed_since(quarantine.last_crash_ms));
            if !completed || !quarantine.names(key) {
                self.quarantines.push(quarantine);
                continue;
            }
            if quarantine.parts.len() == 1 {
                changes.push(self.change(&quarantine, QuarantineOutcome::Released, now_ms));
                continue;
            }
            quarantine.parts.retain(|part| *part != key.part);
            changes.push(self.change(&quarantine, QuarantineOutcome::Narrowed, now_ms));
            self.insert(quarantine);
        }
        changes
    }

    /// Evidence that this node observed in the last `within_ms`, and the quarantines in force.
    pub fn export(&self, within_ms: Millisecond, now_ms: Millisecond) -> PartReport {
        let parts = self.parts.iter();
        let fresh = |at_ms: Millisecond| at_ms > 0 && now_ms.saturating_sub(at_ms) <= within_ms;
        let mut recent: Vec<_> = parts.filter(|(_, e)| fresh(e.observed_ms)).collect();
        recent.sort_by_key(|(key, evidence)| {
            let runs = evidence.runs();
            let started_ms = runs.iter().map(|run| run.started_ms).max();
            std::cmp::Reverse((runs.len(), started_ms, *key))
        });
        let evidence = recent.into_iter().take(SENT_PARTS_LIMIT);
        let mut latest: Vec<&Quarantine> = self.quarantines.iter().collect();
        latest.sort_by_key(|quarantine| std::cmp::Reverse(quarantine.last_crash_ms));
        PartReport {
            evidence: evidence.map(|(key, e)| e.export(key, now_ms)).collect(),
            quarantines: quarantine_records(&latest, now_ms),
        }
    }

    /// Merges a peer's report. The result does not depend on order or repetition.
    pub fn merge(&mut self, report: &PartReport, now_ms: Millisecond) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let mut services: Vec<Name> = Vec::new();
        for record in report.evidence.iter().take(SENT_PARTS_LIMIT) {
            let key = PartKey {
                service: record.service.clone(),
                part: record.part,
            };
            if let Some(age_ms) = record.completed_age_ms
                && let Some(evidence) = self.parts.get_mut(&key)
            {
                evidence.complete(now_ms.saturating_sub(age_ms), now_ms);
                changes.extend(self.acquit(&key, now_ms));
            }
            for run in record.runs.iter().take(SENT_PARTS_LIMIT) {
                let changed = self.add_run(&key, CrashRun::received(run, now_ms), now_ms);
                if changed && !services.contains(&key.service) {
                    services.push(key.service.clone());
                }
            }
        }
        for record in report.quarantines.iter().take(SENT_QUARANTINES_LIMIT) {
            changes.extend(self.receive(record, now_ms));
        }
        self.evict(now_ms);
        for service in services {
            changes.extend(self.judge(&service, now_ms));
        }
        changes
    }

    fn receive(
        &mut self,
        record: &QuarantineRecord,
        now_ms: Millisecond,
    ) -> Option<QuarantineChange> {
        let last_crash_ms = now_ms.saturating_sub(record.last_crash_age_ms);
        let mut quarantine = Quarantine {
            service: record.service.clone(),
            parts: record.parts.clone(),
            workspaces: record.workspaces.clone(),
            last_crash_ms,
        };
        for part in &record.parts {
            let service = record.service.clone();
            let key = PartKey {
                service,
                part: *part,
            };
            let Some(evidence) = self.parts.get_mut(&key) else {
                continue;
            };
            if evidence.completed_since(last_crash_ms) {
                quarantine.parts.retain(|kept| kept != part);
                // The sender hasn't heard of it.
                evidence.observed_ms = now_ms;
            }
        }
        if quarantine.parts.is_empty() {
            return None;
        }
        let same = |known: &&Quarantine| {
            known.service == quarantine.service
                && known
                    .parts
                    .iter()
                    .all(|part| quarantine.parts.contains(part))
        };
        if let Some(known) = self.quarantines.iter().find(same) {
            quarantine.parts = known.parts.clone();
            self.insert(quarantine);
            return None;
        }
        let change = self.change(&quarantine, QuarantineOutcome::Received, now_ms);
        let servers = change.servers.iter().cloned().collect();
        self.explain(&quarantine.service, &quarantine.parts, &servers);
        self.insert(quarantine);
        Some(change)
    }

    /// Adds a quarantine, in place of those that it contains or that contain it.
    fn insert(&mut self, mut quarantine: Quarantine) {
        let quarantines = std::mem::take(&mut self.quarantines);
        for known in quarantines {
            let is_part_of_known = quarantine.parts.iter().all(|p| known.parts.contains(p));
            if known.service != quarantine.service || !is_part_of_known {
                self.quarantines.push(known);
                continue;
            }
            for workspace in &known.workspaces {
                quarantine.add_workspace(workspace);
            }
            quarantine.last_crash_ms = quarantine.last_crash_ms.max(known.last_crash_ms);
        }
        if self.quarantines.len() >= QUARANTINES_LIMIT {
            self.quarantines.sort_by_key(|known| known.last_crash_ms);
            self.quarantines.remove(0);
        }
        self.quarantines.push(quarantine);
    }

    fn change(
        &self,
        quarantine: &Quarantine,
        outcome: QuarantineOutcome,
        now_ms: Millisecond,
    ) -> QuarantineChange {
        let service = quarantine.service.clone();
        let part = quarantine.parts.first().copied();
        let evidence = part.and_then(|part| self.parts.get(&PartKey { service, part }));
        let mut servers: Vec<Name> = evidence
            .map(|e| e.servers())
            .into_iter()
            .flatten()
            .collect();
        servers.sort_unstable();
        QuarantineChange {
            outcome,
            service: quarantine.service.clone(),
            parts: quarantine.parts.clone(),
            workspaces: quarantine.workspaces.clone(),
            servers,
            crashes_in_sequence: evidence.map_or(0, |e| e.crashes_in_sequence()),
            last_crash_age_ms: now_ms.saturating_sub(quarantine.last_crash_ms),
        }
    }
}

fn quarantine_records(latest: &[&Quarantine], now_ms: Millisecond) -> Vec<QuarantineRecord> {
    let sent = latest.iter().take(SENT_QUARANTINES_LIMIT);
    let records = sent.map(|quarantine| QuarantineRecord {
        service: quarantine.service.clone(),
        parts: quarantine.parts.clone(),
        workspaces: quarantine.workspaces.clone(),
        last_crash_age_ms: now_ms.saturating_sub(quarantine.last_crash_ms),
    });
    records.collect()
}
