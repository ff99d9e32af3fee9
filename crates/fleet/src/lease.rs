//! A named lease in the platform's table, with a fencing token.
//!
//! The holder's right ends one term after it sent the write that granted it, less a margin. A
//! successor waits until it has seen the row unchanged for the whole term and the margin. Each node
//! uses its own clock; clocks of different nodes are never compared.

use std::collections::VecDeque;
use std::sync::{Arc, LazyLock};

use base::Name;
use base::units::Millisecond;
use chart::{Chart, Instance};
use outside::{CommitError, Condition, Key, ReadError, Row, Write};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock::ClockReading;

/// Partition of the lease rows.
pub const LEASE_PARTITION: &str = "lease";
/// Most recent writes of this node that are kept, to recognize them in the row if an answer was
/// lost.
const SENT_WRITES_MAX: usize = 8;

static CHART: LazyLock<Arc<Chart>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/lease.toml")).expect("charts/lease.toml is valid")
});

/// Difference between the fencing numbers of two tenures. The numbers between them belong to the
/// earlier holder, which may use a higher one to invalidate its own earlier calls.
pub const FENCE_STEP: u64 = 1_000;

/// Bits of a fencing number below the number of restorations of the store. A restored store may have
/// lost tenures, so the first tenure after a restoration exceeds all numbers given out before it.
const RESTORATION_SHIFT: u32 = 32;

/// Fencing token: higher for each tenure of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// An order with the fencing token of the holder that gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced<T> {
    pub fence: Fence,
    pub order: T,
}

/// Durations of a lease; the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of a grant, from the time when its write was sent.
    pub term_ms: Millisecond,
    /// Safety margin for clocks that run at different rates: the holder stops earlier by this time,
    /// and a successor waits longer.
    pub margin_ms: Millisecond,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            term_ms: 10_000,
            margin_ms: 1_000,
        }
    }
}

/// Number of one write of a lease row; no two writes of any process have the same one. It is drawn
/// here rather than from a generator of the caller, who might seed two of them alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(u64);

impl Nonce {
    fn unique() -> Self {
        Self(rand::rng().random())
    }
}

/// Body of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Absent after a release.
    pub holder: Option<Name>,
    /// Identifies the write of the row.
    pub nonce: Nonce,
    /// Fencing token of the tenure.
    pub fence: Fence,
    /// Duration of the grant.
    pub term_ms: Millisecond,
}

/// Permission to act as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasePermit {
    /// Fencing token to send with each order.
    pub fence: Fence,
    /// Time until the permission expires.
    pub remaining_ms: Millisecond,
}

/// How a node learned that the store has granted it the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantEvidence {
    /// The store answered the commit of the write with success.
    CommitAnswered,
    /// The row was read and holds the write, whose commit wasn't answered with success.
    RowRead {
        row_version: u64,
        row_fence: Fence,
        row_nonce: Nonce,
    },
}

/// The write that began a tenure, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acquisition {
    pub nonce: Nonce,
    pub sent_ms: Millisecond,
    pub evidence: GrantEvidence,
}

/// A call to the table, whose result the caller passes back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row, then call [`Lease::on_row`].
    Read(Key),
    /// Commit the write, then call [`Lease::on_commit`].
    Commit(Write),
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    fence: Fence,
    /// Known once the row has been read after the write that granted the tenure.
    row_version: Option<u64>,
    until_ms: Millisecond,
    renew_at_ms: Millisecond,
    acquisition: Acquisition,
}

#[derive(Clone, Debug)]
struct SentWrite {
    row: LeaseRow,
    sent_ms: Millisecond,
}

#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    row_version: u64,
    since_ms: Millisecond,
}

/// State machine of a lease on one node. It makes no calls itself.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    node: Name,
    terms: LeaseTerms,
    chart: Instance,
    tenure: Option<Tenure>,
    sent_writes: VecDeque<SentWrite>,
    observed_row: Option<ObservedRow>,
    /// Restorations of the store, as known before the next row is handled.
    restorations: u64,
}

impl Lease {
    /// Creates the state of a lease whose row has not been read yet.
    pub fn new(name: &str, node: Name, terms: LeaseTerms) -> Self {
        Self {
            key: Key::new(LEASE_PARTITION, name),
            node,
            terms,
            chart: CHART.start(),
            tenure: None,
            sent_writes: VecDeque::new(),
            observed_row: None,
            restorations: 0,
        }
    }

    /// Records how often the store was restored, before one of its answers is handled.
    pub fn note_restorations(&mut self, restorations: u64) {
        self.restorations = self.restorations.max(restorations);
    }

    /// The lowest fencing number that no tenure before the last restoration had.
    fn lowest_fence(&self) -> u64 {
        (self.restorations << RESTORATION_SHIFT) + 1
    }

    /// State of `charts/lease.toml`.
    pub fn state(&self) -> &str {
        self.chart.state()
    }

    /// Permission to act, if this node holds the lease at `now`. Call it directly before each order
    /// is sent, as the permission may expire during any wait.
    pub fn permit(&self, now: ClockReading) -> Option<LeasePermit> {
        let tenure = self.tenure?;
        let remaining_ms = tenure.until_ms.checked_sub(now.max_elapsed_ms)?;
        (remaining_ms > 0).then_some(LeasePermit {
            fence: tenure.fence,
            remaining_ms,
        })
    }

    /// The write that began the present tenure.
    pub fn acquisition(&self) -> Option<Acquisition> {
        Some(self.tenure?.acquisition)
    }

    /// Renews the lease when it is due, or checks whether it can be acquired.
    pub fn tick(&mut self, now: ClockReading) -> Option<LeaseAction> {
        if self.permit(now).is_none() {
            self.end_tenure("lapsed");
        }
        match self.tenure {
            None => Some(LeaseAction::Read(self.key.clone())),
            Some(tenure) if now.max_elapsed_ms < tenure.renew_at_ms => None,
            Some(tenure) => Some(match tenure.row_version {
                Some(version) => {
                    let condition = Condition::VersionIs(version);
                    self.write_grant(condition, tenure.fence, now)
                }
                None => LeaseAction::Read(self.key.clone()),
            }),
        }
    }

    /// Handles the result of [`LeaseAction::Read`].
    pub fn on_row(
        &mut self,
        row: Result<Option<Row>, ReadError>,
        now: ClockReading,
    ) -> Option<LeaseAction> {
        let Ok(row) = row else { return None };
        let Some(row) = row else {
            let fence = Fence(self.lowest_fence());
            return Some(self.write_grant(Condition::Absent, fence, now));
        };
        let Ok(body) = serde_json::from_str::<LeaseRow>(&row.body) else {
            return None;
        };
        let own_write = self.find_sent_write(&body);
        if let Some(sent_write) = &own_write {
            let evidence = GrantEvidence::RowRead {
                row_version: row.version,
                row_fence: body.fence,
                row_nonce: body.nonce,
            };
            self.grant(sent_write, Some(row.version), evidence);
            if self.permit(now).is_some() {
                return None;
            }
            self.end_tenure("lapsed");
        } else {
            self.end_tenure("refused");
        }
        let term_expired =
            self.unchanged_ms(row.version, now) >= body.term_ms + self.terms.margin_ms;
        // Only one process at a time uses a node's name and addresses, so an earlier process of this
        // name that held the lease has ended.
        let held_by_other =
            body.holder.is_some_and(|holder| holder != self.node) && own_write.is_none();
        if held_by_other && !term_expired {
            return None;
        }
        let fence = Fence((body.fence.0 + FENCE_STEP).max(self.lowest_fence()));
        Some(self.write_grant(Condition::VersionIs(row.version), fence, now))
    }

    /// Handles the result of [`LeaseAction::Commit`]. The row is read next to learn its version, as
    /// stores count versions differently.
    pub fn on_commit(&mut self, result: Result<(), CommitError>) -> Option<LeaseAction> {
        match result {
            Ok(()) => {
                let sent_write = self.sent_writes.back().cloned();
                if let Some(sent_write) = sent_write.filter(|w| self.may_grant(&w.row)) {
                    self.grant(&sent_write, None, GrantEvidence::CommitAnswered);
                }
                Some(LeaseAction::Read(self.key.clone()))
            }
            Err(CommitError::NotApplied { .. }) => None,
            Err(CommitError::Conflict | CommitError::Unknown { .. }) => {
                Some(LeaseAction::Read(self.key.clone()))
            }
        }
    }

    /// Gives up the lease; the write frees it for others at once.
    pub fn release(&mut self) -> Option<LeaseAction> {
        let tenure = self.tenure.take()?;
        self.chart.apply("released");
        self.sent_writes.clear();
        let body = LeaseRow {
            holder: None,
            nonce: Nonce::unique(),
            fence: tenure.fence,
            term_ms: self.terms.term_ms,
        };
        let condition = Condition::VersionIs(tenure.row_version?);
        Some(self.put_row(&body, condition))
    }

    fn write_grant(
        &mut self,
        condition: Condition,
        fence: Fence,
        now: ClockReading,
    ) -> LeaseAction {
        let row = LeaseRow {
            holder: Some(self.node.clone()),
            nonce: Nonce::unique(),
            fence,
            term_ms: self.terms.term_ms,
        };
        if self.sent_writes.len() == SENT_WRITES_MAX {
            self.sent_writes.pop_front();
        }
        let action = self.put_row(&row, condition);
        self.sent_writes.push_back(SentWrite {
            row,
            sent_ms: now.max_elapsed_ms,
        });
        action
    }

    fn put_row(&self, body: &LeaseRow, condition: Condition) -> LeaseAction {
        LeaseAction::Commit(Write::Put {
            key: self.key.clone(),
            body: serde_json::to_string(body).expect("a struct of plain fields serializes to JSON"),
            condition,
        })
    }

    fn grant(&mut self, sent_write: &SentWrite, row_version: Option<u64>, evidence: GrantEvidence) {
        let until_ms = sent_write.sent_ms + self.terms.term_ms - self.terms.margin_ms;
        let (event, acquisition) = match self.tenure {
            Some(tenure) => ("renewed", tenure.acquisition),
            None => {
                let acquisition = Acquisition {
                    nonce: sent_write.row.nonce,
                    sent_ms: sent_write.sent_ms,
                    evidence,
                };
                ("acquired", acquisition)
            }
        };
        self.chart.apply(event);
        self.tenure = Some(Tenure {
            fence: sent_write.row.fence,
            row_version,
            until_ms,
            renew_at_ms: sent_write.sent_ms + self.terms.term_ms / 3,
            acquisition,
        });
    }

    fn end_tenure(&mut self, event: &str) {
        if self.tenure.take().is_some() {
            self.chart.apply(event);
        }
    }

    /// Whether a row that is in the store grants a tenure. If the store was restored after the row's
    /// fencing number was chosen, a tenure that is lost may have had the same one.
    fn may_grant(&self, row: &LeaseRow) -> bool {
        row.fence.0 >= self.lowest_fence()
    }

    /// The write of this node that `row` holds. The nonce alone identifies it; the other fields are
    /// compared too, so that a node never acts under a fencing number that isn't in the row.
    fn find_sent_write(&self, row: &LeaseRow) -> Option<SentWrite> {
        let mut sent_writes = self.sent_writes.iter();
        sent_writes
            .find(|w| w.row == *row && self.may_grant(&w.row))
            .cloned()
    }

    fn unchanged_ms(&mut self, row_version: u64, now: ClockReading) -> Millisecond {
        let since_ms = match self.observed_row {
            Some(observed_row) if observed_row.row_version == row_version => observed_row.since_ms,
            _ => now.min_elapsed_ms,
        };
        self.observed_row = Some(ObservedRow {
            row_version,
            since_ms,
        });
        now.min_elapsed_ms - since_ms
    }
}
