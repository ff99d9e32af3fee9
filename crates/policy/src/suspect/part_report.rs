//! Exchange of evidence and quarantines between nodes.
//!
//! Instants are sent as ages, because the clocks of the nodes differ.

use std::cmp::Reverse;

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::part::{CrashRun, PartKey, PartRecord};
use super::part_id::PartId;
use super::parts::SuspectParts;
use super::quarantine::{Quarantine, QuarantineChange, QuarantineOutcome};

/// Most parts with evidence in one message.
const SENT_PARTS_LIMIT: usize = 64;

/// Most quarantines in one message: those of the latest crashes.
const SENT_QUARANTINES_LIMIT: usize = 16;

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

impl PartReport {
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.quarantines.is_empty()
    }
}

impl SuspectParts {
    /// Evidence that this node observed in the last `within_ms`, and the quarantines in force.
    pub fn export(&self, within_ms: Millisecond, now_ms: Millisecond) -> PartReport {
        PartReport {
            evidence: self.recent_evidence(within_ms, now_ms),
            quarantines: quarantine_records(self.quarantines.iter(), now_ms),
        }
    }

    /// Evidence and quarantines that are new at this node in the last `within_ms`.
    pub fn export_news(&self, within_ms: Millisecond, now_ms: Millisecond) -> PartReport {
        let is_new = |q: &&Quarantine| now_ms.saturating_sub(q.noted_ms) <= within_ms;
        PartReport {
            evidence: self.recent_evidence(within_ms, now_ms),
            quarantines: quarantine_records(self.quarantines.iter().filter(is_new), now_ms),
        }
    }

    fn recent_evidence(&self, within_ms: Millisecond, now_ms: Millisecond) -> Vec<PartRecord> {
        let parts = self.parts.iter();
        let fresh = |at_ms: Millisecond| at_ms > 0 && now_ms.saturating_sub(at_ms) <= within_ms;
        let mut recent: Vec<_> = parts.filter(|(_, e)| fresh(e.observed_ms)).collect();
        recent.sort_by_key(|(key, evidence)| {
            let runs = evidence.runs();
            let started_ms = runs.iter().map(|run| run.started_ms).max();
            Reverse((runs.len(), started_ms, *key))
        });
        let sent = recent.into_iter().take(SENT_PARTS_LIMIT);
        sent.map(|(key, e)| e.export(key, now_ms)).collect()
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
            noted_ms: now_ms,
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
}

/// The quarantines of the latest crashes in the form sent to peers.
fn quarantine_records<'a>(
    quarantines: impl Iterator<Item = &'a Quarantine>,
    now_ms: Millisecond,
) -> Vec<QuarantineRecord> {
    let mut latest: Vec<&Quarantine> = quarantines.collect();
    latest.sort_by_key(|quarantine| Reverse(quarantine.last_crash_ms));
    let sent = latest.into_iter().take(SENT_QUARANTINES_LIMIT);
    let records = sent.map(|quarantine| QuarantineRecord {
        service: quarantine.service.clone(),
        parts: quarantine.parts.clone(),
        workspaces: quarantine.workspaces.clone(),
        last_crash_age_ms: now_ms.saturating_sub(quarantine.last_crash_ms),
    });
    records.collect()
}
