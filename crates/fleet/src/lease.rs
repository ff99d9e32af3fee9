//! A named lease in the platform's table, with a fencing number.
//!
//! The holder's right ends by its own clock, counted from before the write that granted it, less a
//! margin. A successor waits until it has watched the row unchanged for the whole term and the
//! margin by its own clock; clocks of different nodes are never compared.

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
/// Own writes remembered, whose answers may have been lost.
const SENT_WRITES_MAX: usize = 8;

static CHART: LazyLock<Arc<Chart>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/lease.toml")).expect("charts/lease.toml is valid")
});

/// Fencing number: higher for each tenure of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// An order with the fencing number under which it is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced<T> {
    /// The number.
    pub fence: Fence,
    /// The order.
    pub order: T,
}

/// LeaseTerms of a lease; the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// A grant lasts for so long.
    pub term_ms: Millisecond,
    /// Taken off by the holder and added by a successor.
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

/// Body of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; absent after a release.
    pub holder: Option<Name>,
    /// Drawn anew for each write.
    pub nonce: u64,
    /// Fencing number of the tenure.
    pub fence: Fence,
    /// Term of the grant.
    pub term_ms: Millisecond,
}

/// Right to act as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasePermit {
    /// Number for the orders.
    pub fence: Fence,
    /// Time for which the right lasts yet.
    pub remaining_ms: Millisecond,
}

/// What is to be done next; each calls for one input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row, then call [`Lease::row_read`].
    Read(Key),
    /// Commit the write, then call [`Lease::committed`].
    Commit(Write),
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    fence: Fence,
    /// Known once the row was read after the write that granted it.
    row_version: Option<u64>,
    until_ms: Millisecond,
    renew_at_ms: Millisecond,
}

#[derive(Clone, Copy, Debug)]
struct SentWrite {
    nonce: u64,
    fence: Fence,
    sent_ms: Millisecond,
}

#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    row_version: u64,
    since_ms: Millisecond,
}

/// One node's view of one lease.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    node: Name,
    terms: LeaseTerms,
    chart: Instance,
    tenure: Option<Tenure>,
    sent_writes: VecDeque<SentWrite>,
    observed_row: Option<ObservedRow>,
}

impl Lease {
    /// A lease that this node has not looked at yet.
    pub fn new(name: &str, node: Name, terms: LeaseTerms) -> Self {
        Self {
            key: Key::new(LEASE_PARTITION, name),
            node,
            terms,
            chart: CHART.start(),
            tenure: None,
            sent_writes: VecDeque::new(),
            observed_row: None,
        }
    }

    /// The chart's state.
    pub fn state(&self) -> &str {
        self.chart.state()
    }

    /// The right to act, if this node holds the lease at `now`. To be asked for again after each
    /// wait, directly before an order is sent.
    pub fn permit(&self, now: ClockReading) -> Option<LeasePermit> {
        let tenure = self.tenure?;
        let remaining_ms = tenure.until_ms.checked_sub(now.max_elapsed_ms)?;
        (remaining_ms > 0).then_some(LeasePermit {
            fence: tenure.fence,
            remaining_ms,
        })
    }

    /// Starts a round: renews, or looks whether the lease can be had.
    pub fn tick(&mut self, now: ClockReading, rng: &mut impl Rng) -> Option<LeaseAction> {
        if self.permit(now).is_none() {
            self.end_tenure("lapsed");
        }
        match self.tenure {
            None => Some(LeaseAction::Read(self.key.clone())),
            Some(tenure) if now.max_elapsed_ms < tenure.renew_at_ms => None,
            Some(tenure) => Some(match tenure.row_version {
                Some(version) => {
                    let condition = Condition::VersionIs(version);
                    self.write_grant(condition, tenure.fence, now, rng)
                }
                None => LeaseAction::Read(self.key.clone()),
            }),
        }
    }

    /// Takes in the row.
    pub fn on_row(
        &mut self,
        row: Result<Option<Row>, ReadError>,
        now: ClockReading,
        rng: &mut impl Rng,
    ) -> Option<LeaseAction> {
        let Ok(row) = row else { return None };
        let Some(row) = row else {
            return Some(self.write_grant(Condition::Absent, Fence(1), now, rng));
        };
        let Ok(body) = serde_json::from_str::<LeaseRow>(&row.body) else {
            return None;
        };
        let own_write = self.find_sent_write(body.nonce);
        if let Some(sent_write) = own_write {
            self.grant(sent_write, Some(row.version));
            if self.permit(now).is_some() {
                return None;
            }
            self.end_tenure("lapsed");
        } else {
            self.end_tenure("refused");
        }
        let waited = self.unchanged_ms(row.version, now) >= body.term_ms + self.terms.margin_ms;
        // A node's name is used by one process at a time, and this one has its addresses: an earlier
        // life that held the lease has ended.
        let held_by_other =
            body.holder.is_some_and(|holder| holder != self.node) && own_write.is_none();
        if held_by_other && !waited {
            return None;
        }
        let fence = Fence(body.fence.0 + 1);
        Some(self.write_grant(Condition::VersionIs(row.version), fence, now, rng))
    }

    /// Takes in the result of the last commit. The row is read after it, as stores count versions
    /// in different ways.
    pub fn on_commit(&mut self, result: Result<(), CommitError>) -> Option<LeaseAction> {
        match result {
            Ok(()) => {
                if let Some(sent_write) = self.sent_writes.back().copied() {
                    self.grant(sent_write, None);
                }
                Some(LeaseAction::Read(self.key.clone()))
            }
            Err(CommitError::NotApplied { .. }) => None,
            Err(CommitError::Conflict | CommitError::Unknown { .. }) => {
                Some(LeaseAction::Read(self.key.clone()))
            }
        }
    }

    /// Gives the lease up; the write frees it for others at once.
    pub fn release(&mut self, rng: &mut impl Rng) -> Option<LeaseAction> {
        let tenure = self.tenure.take()?;
        self.chart.apply("released");
        self.sent_writes.clear();
        let body = LeaseRow {
            holder: None,
            nonce: rng.random(),
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
        rng: &mut impl Rng,
    ) -> LeaseAction {
        let body = LeaseRow {
            holder: Some(self.node.clone()),
            nonce: rng.random(),
            fence,
            term_ms: self.terms.term_ms,
        };
        if self.sent_writes.len() == SENT_WRITES_MAX {
            self.sent_writes.pop_front();
        }
        self.sent_writes.push_back(SentWrite {
            nonce: body.nonce,
            fence,
            sent_ms: now.max_elapsed_ms,
        });
        self.put_row(&body, condition)
    }

    fn put_row(&self, body: &LeaseRow, condition: Condition) -> LeaseAction {
        LeaseAction::Commit(Write::Put {
            key: self.key.clone(),
            body: serde_json::to_string(body).expect("plain data"),
            condition,
        })
    }

    fn grant(&mut self, sent_write: SentWrite, row_version: Option<u64>) {
        let until_ms = sent_write.sent_ms + self.terms.term_ms - self.terms.margin_ms;
        let event = match self.tenure {
            Some(_) => "renewed",
            None => "acquired",
        };
        self.chart.apply(event);
        self.tenure = Some(Tenure {
            fence: sent_write.fence,
            row_version,
            until_ms,
            renew_at_ms: sent_write.sent_ms + self.terms.term_ms / 3,
        });
    }

    fn end_tenure(&mut self, event: &str) {
        if self.tenure.take().is_some() {
            self.chart.apply(event);
        }
    }

    fn find_sent_write(&self, nonce: u64) -> Option<SentWrite> {
        self.sent_writes.iter().find(|t| t.nonce == nonce).copied()
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
