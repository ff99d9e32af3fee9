//! Evidence against one part of a prompt: requests with it that ran on servers that crashed.

use base::units::Millisecond;
use base::{Name, Set};
use serde::{Deserialize, Serialize};

use super::part_id::PartId;
use super::record::SAME_EVENT_MS;

/// Most crashes kept for one part.
const CRASH_RUNS_LIMIT: usize = 8;

/// Most crashes of one part in a message.
const SENT_RUNS_LIMIT: usize = 4;

/// Ages that are sent again differ by the time on the way.
const CLOCK_TOLERANCE_MS: Millisecond = 20;

/// A part of the prompts that requests to a service hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    pub service: Name,
    pub part: PartId,
}

/// A server crashed while it ran requests with the part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRun {
    pub server: Name,
    /// Workspace of the request that started last.
    pub workspace: Name,
    /// Requests with the part that one node had on the server.
    pub requests: u32,
    /// When the last of them was sent.
    pub started_ms: Millisecond,
    pub crashed_ms: Millisecond,
}

/// A [`CrashRun`] in the form sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRunAge {
    pub server: Name,
    pub workspace: Name,
    pub requests: u32,
    pub started_age_ms: Millisecond,
    pub crashed_age_ms: Millisecond,
}

/// Evidence about one part in the form sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
    pub service: Name,
    pub part: PartId,
    pub runs: Vec<CrashRunAge>,
    /// Time since a request with the part last completed.
    pub completed_age_ms: Option<Millisecond>,
}

/// Evidence about one part as stored at this node.
#[derive(Debug, Default)]
pub struct PartEvidence {
    /// Crashes since a request with the part last completed, in order of time.
    runs: Vec<CrashRun>,
    completed_ms: Option<Millisecond>,
    /// Last change of this evidence by an observation of this node.
    pub observed_ms: Millisecond,
    /// Last change of this evidence.
    pub changed_ms: Millisecond,
}

impl PartEvidence {
    pub fn runs(&self) -> &[CrashRun] {
        &self.runs
    }

    /// Adds a crash, or updates the known one if both report the same crash. Returns whether
    /// anything changed.
    pub fn add(&mut self, run: CrashRun, now_ms: Millisecond) -> bool {
        if self.completed_ms >= Some(run.crashed_ms) {
            return false;
        }
        let known = self.runs.iter_mut().find(|known| {
            known.server == run.server && known.crashed_ms.abs_diff(run.crashed_ms) <= SAME_EVENT_MS
        });
        if let Some(known) = known {
            let changed = known.unite(run);
            self.runs.sort_by_key(|run| run.crashed_ms);
            return changed;
        }
        self.runs.push(run);
        self.runs.sort_by_key(|run| run.crashed_ms);
        if self.runs.len() > CRASH_RUNS_LIMIT {
            self.runs.remove(0);
        }
        self.changed_ms = now_ms;
        true
    }

    /// Records that a request with the part completed at `at_ms`: what crashed before then had
    /// another cause. Returns whether that removed crashes.
    pub fn complete(&mut self, at_ms: Millisecond, now_ms: Millisecond) -> bool {
        if self.completed_ms >= Some(at_ms) {
            return false;
        }
        self.completed_ms = Some(at_ms);
        let before = self.runs.len();
        self.runs.retain(|run| run.crashed_ms > at_ms);
        let removed = self.runs.len() < before;
        if removed {
            self.changed_ms = now_ms;
        }
        removed
    }

    /// Whether a request with the part completed at `at_ms` or later.
    pub fn completed_since(&self, at_ms: Millisecond) -> bool {
        self.completed_ms >= Some(at_ms)
    }

    /// Removes the crashes of servers that another part explains.
    pub fn remove_servers(&mut self, servers: &Set<Name>) {
        self.runs.retain(|run| !servers.contains(&run.server));
    }

    /// Length of the longest sequence of crashes in which each request was sent after the crash
    /// before. Servers that are lost at the same moment count once.
    pub fn crashes_in_sequence(&self) -> usize {
        let mut count = 0;
        let mut last_ms = 0;
        for run in &self.runs {
            if count > 0 && run.started_ms < last_ms {
                continue;
            }
            count += 1;
            last_ms = run.crashed_ms;
        }
        count
    }

    /// How well the part alone explains its crashes: the more crashes, and the fewer requests with
    /// it on each of the servers, the better.
    pub fn score(&self) -> f64 {
        let crashes = self.runs.len() as f64;
        let requests: u32 = self.runs.iter().map(|run| run.requests.max(1)).sum();
        crashes * crashes / f64::from(requests.max(1))
    }

    /// Whether both parts occurred in the same crashes.
    pub fn same_crashes(&self, other: &Self) -> bool {
        let is_in_other = |run: &CrashRun| other.runs.iter().any(|o| o.server == run.server);
        self.runs.len() == other.runs.len() && self.runs.iter().all(is_in_other)
    }

    pub fn servers(&self) -> Set<Name> {
        self.runs.iter().map(|run| run.server.clone()).collect()
    }

    pub fn export(&self, key: &PartKey, now_ms: Millisecond) -> PartRecord {
        let age = |at_ms: Millisecond| now_ms.saturating_sub(at_ms);
        let skipped = self.runs.len().saturating_sub(SENT_RUNS_LIMIT);
        let runs = self.runs.iter().skip(skipped).map(|run| CrashRunAge {
            server: run.server.clone(),
            workspace: run.workspace.clone(),
            requests: run.requests,
            started_age_ms: age(run.started_ms),
            crashed_age_ms: age(run.crashed_ms),
        });
        PartRecord {
            service: key.service.clone(),
            part: key.part,
            runs: runs.collect(),
            completed_age_ms: self.completed_ms.map(age),
        }
    }
}

impl CrashRun {
    /// The crash in a peer's message that arrived at `now_ms`.
    pub fn received(run: &CrashRunAge, now_ms: Millisecond) -> Self {
        Self {
            server: run.server.clone(),
            workspace: run.workspace.clone(),
            requests: run.requests,
            started_ms: now_ms.saturating_sub(run.started_age_ms),
            crashed_ms: now_ms.saturating_sub(run.crashed_age_ms),
        }
    }

    /// Takes over what another report of the same crash adds. Returns whether it added anything.
    fn unite(&mut self, other: CrashRun) -> bool {
        let later = other.started_ms > self.started_ms + CLOCK_TOLERANCE_MS;
        let more = other.requests > self.requests;
        self.requests = self.requests.max(other.requests);
        self.crashed_ms = self.crashed_ms.min(other.crashed_ms);
        if later {
            self.started_ms = other.started_ms;
            self.workspace = other.workspace;
        }
        later || more
    }
}
