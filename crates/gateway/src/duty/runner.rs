//! Runs the duties while this node holds their lease.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Map, Name, Set};
use fleet::LeaseHolder;
use fleet::lease::LeaseTerms;
use outside::{CommitError, Condition, Duties, DutyError, Key, Table, UsageReport, Write};
use serde::Serialize;

use super::checkpoint::{self, USAGE_PARTITION};
use super::scaling::Scaler;
use super::tenure::DutyTenure;
use crate::decide::store_calls::StoreAccess;
use crate::decide::store_poll::PollRank;
use crate::log;
use crate::node::{Node, Phase};
use crate::peer::message::{Tenure, WindowCounts};
use crate::peer::pull;
use crate::peer::role::Role;
use crate::settings::{FirstStart, ms};

const LEASE_NAME: &str = "duties";

/// Time between two rounds, and between two checkpoints. If all processes are lost, a window of 5 s
/// misses at most this time and the age of the counts, about 5% of it, which is the error that
/// reports may have.
const ROUND_PERIOD: Duration = Duration::from_millis(250);

/// Share of the time limit for a report that passes before a window is summed. By then late answers
/// have arrived and all nodes have sent their counts, and a next holder still has time to report.
const SETTLE_SHARE: f64 = 0.2;

/// Nodes that compete for the lease while no holder is heard.
const CANDIDATE_NODES: usize = 3;

/// The lease's safety margin for clock drift and delays is its term divided by this.
const MARGIN_DIVISOR: u64 = 6;

#[derive(Serialize)]
struct UsageFields<'a> {
    window: u64,
    fence: u64,
    counts: &'a Map<Name, u64>,
    outcome: String,
}

/// Takes part in the duties while the node follows the store, until the process ends.
pub async fn run(node: Rc<Node>, table: Arc<dyn Table>, duties: Arc<dyn Duties>) {
    let term_ms = node.settings.bounds.lease_ms;
    let terms = LeaseTerms {
        term_ms,
        margin_ms: term_ms / MARGIN_DIVISOR,
    };
    let name = &node.settings.node.name;
    loop {
        if !takes_part(&node) || node.store_access() == StoreAccess::Failing {
            tokio::time::sleep(ROUND_PERIOD).await;
            continue;
        }
        let lease = LeaseHolder::spawn(LEASE_NAME, name.clone(), table.clone(), terms);
        // After a restart the node looks once whether its earlier life still holds the lease.
        lease.pause_acquisition(node.settings.node.first_start == FirstStart::Yes);
        let tenure = DutyTenure::new(lease.handle(), name.clone());
        let runner = DutyRunner {
            table: table.clone(),
            scaler: Rc::new(Scaler::new(node.clone(), duties.clone(), tenure.clone())),
            duties: duties.clone(),
            node: node.clone(),
            tenure,
        };
        node.rollouts.borrow_mut().tenure = Some(runner.tenure.clone());
        runner.run_while_taking_part(&lease).await;
        node.rollouts.borrow_mut().tenure = None;
        node.tenure.set(Tenure::None);
        lease.close().await;
    }
}

/// Whether the node may hold the duties. A draining node may not: it would be gone before it acts.
fn takes_part(node: &Node) -> bool {
    node.role() == Role::Follows && node.phase.get() == Phase::Serving
}

struct DutyRunner {
    node: Rc<Node>,
    table: Arc<dyn Table>,
    duties: Arc<dyn Duties>,
    scaler: Rc<Scaler>,
    tenure: DutyTenure,
}

impl DutyRunner {
    /// Runs rounds until the node no longer takes part in the duties.
    async fn run_while_taking_part(self, lease: &LeaseHolder) {
        let mut reported: Set<u64> = Set::default();
        let mut counts = CountsState::Missing;
        let mut written = WindowCounts::new();
        while takes_part(&self.node) {
            tokio::time::sleep(ROUND_PERIOD).await;
            self.scaler.observe();
            lease.pause_acquisition(self.leaves_lease_to_others());
            let tenure = match self.tenure.permit() {
                Some(_) => Tenure::Holds,
                None => Tenure::None,
            };
            self.node.tenure.set(tenure);
            if tenure == Tenure::None {
                self.scaler.forget_orders();
                counts = CountsState::Missing;
                continue;
            }
            if counts == CountsState::Missing && self.load_counts().await {
                counts = CountsState::Loaded;
            }
            if counts == CountsState::Loaded {
                self.write_checkpoint(&mut written).await;
            }
            self.scaler.round();
            let Some(window) = self.due_window(&reported) else {
                continue;
            };
            if counts == CountsState::Loaded && self.report(window).await == ReportOutcome::Done {
                reported.insert(window);
                reported.retain(|w| w + 2 * self.windows_back() > window);
            }
        }
    }

    /// Whether the node leaves the lease to others: it hears a holder, or enough other nodes that
    /// can hold the lease rank before it.
    fn leaves_lease_to_others(&self) -> bool {
        let now_ms = self.node.now_ms();
        let holder_is_heard = self.node.peers.borrow().holder_is_heard(now_ms);
        let ranks_late = match self.node.poll_rank() {
            PollRank::After(nodes) => nodes >= CANDIDATE_NODES,
            PollRank::Unknown => true,
        };
        holder_is_heard || ranks_late
    }

    /// Loads the counts from before this node held the lease. Returns false if the store didn't
    /// answer.
    async fn load_counts(&self) -> bool {
        pull::pull_usage(&self.node).await;
        let Ok(found) = checkpoint::read(&*self.table).await else {
            return false;
        };
        if let Some(checkpoint) = found {
            self.node.usage.borrow_mut().restore(checkpoint);
        }
        true
    }

    /// Stores the counts of the open windows if they have changed.
    async fn write_checkpoint(&self, written: &mut WindowCounts) {
        let offset_ms = self.node.clock_offset_ms();
        let mut checkpoint = self.node.usage.borrow().checkpoint(offset_ms);
        checkpoint.begun.sort_unstable();
        if checkpoint.begun == *written || self.tenure.permit().is_none() {
            return;
        }
        // If this write fails, the next round writes again.
        let write = checkpoint::write(&checkpoint);
        if self.table.commit(vec![write]).await.is_ok() {
            *written = checkpoint.begun;
        }
    }

    /// The oldest window whose report is due.
    fn due_window(&self, reported: &Set<u64>) -> Option<u64> {
        let offset_ms = self.node.clock_offset_ms();
        let usage = self.node.usage.borrow();
        let now = usage.window(offset_ms);
        let recent = now.saturating_sub(self.windows_back())..now;
        let settle_ms = ms(self.node.settings.bounds.usage_due_s * SETTLE_SHARE);
        let settled = |w: &u64| usage.since_end_ms(*w, offset_ms) >= settle_ms;
        recent.filter(settled).find(|w| !reported.contains(w))
    }

    /// Number of past windows whose reports may still be due.
    fn windows_back(&self) -> u64 {
        let bounds = &self.node.settings.bounds;
        1 + (bounds.usage_due_s / bounds.usage_window_s).ceil() as u64
    }

    async fn report(&self, window: u64) -> ReportOutcome {
        if self.tenure.permit().is_none() {
            return ReportOutcome::Pending;
        }
        let Some(counts) = self.final_counts(window).await else {
            return ReportOutcome::Pending;
        };
        // The lease is checked again, as the store may have taken long to answer.
        let Some(holder) = self.tenure.holder() else {
            return ReportOutcome::Pending;
        };
        let report = UsageReport { window, counts };
        let outcome = self.duties.report_usage(&holder, &report).await;
        let fields = UsageFields {
            window,
            fence: holder.fence,
            counts: &report.counts,
            outcome: match &outcome {
                Ok(()) => "taken".to_owned(),
                Err(error) => error.to_string(),
            },
        };
        log::emit(events::Code::UsageReported, &fields);
        match outcome {
            Ok(()) => ReportOutcome::Done,
            Err(DutyError::Refused | DutyError::NotExecuted { .. } | DutyError::Unknown { .. }) => {
                ReportOutcome::Pending
            }
        }
    }

    /// The counts of a window. They are stored before they are reported, so that every holder
    /// reports the same. Nodes also tell each other, as a restored
    /// store may have lost them.
    async fn final_counts(&self, window: u64) -> Option<Map<Name, u64>> {
        if let Some(settled) = self.node.usage.borrow().settled(window) {
            return Some(settled.clone());
        }
        let counts = self.stored_counts(window).await?;
        self.node.usage.borrow_mut().settle(window, &counts);
        Some(counts)
    }

    /// The counts of a window that the store has. Stores those of this node if it has none.
    async fn stored_counts(&self, window: u64) -> Option<Map<Name, u64>> {
        let key = Key::new(USAGE_PARTITION, window.to_string());
        let counts = self.node.usage.borrow().total(window);
        let body = serde_json::to_string(&counts).ok()?;
        let write = Write::Put {
            key: key.clone(),
            body,
            condition: Condition::Absent,
        };
        match self.table.commit(vec![write]).await {
            Ok(()) => Some(counts),
            Err(CommitError::Conflict | CommitError::Unknown { .. }) => {
                let row = self.table.get(&key).await.ok()??;
                serde_json::from_str(&row.body).ok()
            }
            Err(CommitError::NotApplied { .. }) => None,
        }
    }
}

/// Whether the counts from before this node held the lease are loaded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CountsState {
    Loaded,
    Missing,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportOutcome {
    Done,
    Pending,
}
