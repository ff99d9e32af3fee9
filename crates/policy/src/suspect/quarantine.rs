//! Quarantine of parts of prompts.

use base::Name;
use base::units::Millisecond;
use serde::Serialize;

use super::part::{CrashRun, PartKey};
use super::part_id::PartId;
use super::parts::{QUARANTINES_LIMIT, SuspectParts};

/// Time after the last crash for which requests with a quarantined part are refused.
pub const REFUSAL_MS: Millisecond = 10 * 60 * 1_000;

/// Most workspaces that a quarantine lists; from two on it holds for all.
const WORKSPACES_LIMIT: usize = 2;

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
    /// When this node came to know the quarantine.
    pub noted_ms: Millisecond,
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
            noted_ms: now_ms,
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

    /// Adds a quarantine, in place of those that it contains or that contain it.
    pub(super) fn insert(&mut self, mut quarantine: Quarantine) {
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
            if known.parts.len() == quarantine.parts.len() {
                quarantine.noted_ms = known.noted_ms;
            }
        }
        if self.quarantines.len() >= QUARANTINES_LIMIT {
            self.quarantines.sort_by_key(|known| known.last_crash_ms);
            self.quarantines.remove(0);
        }
        self.quarantines.push(quarantine);
    }

    pub(super) fn change(
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
