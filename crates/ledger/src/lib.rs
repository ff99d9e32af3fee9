//! At-most-once execution of non-idempotent calls, recorded in the platform's table service.
//!
//! Each call has one row. A conditional write creates the row in state *sending* before any byte is
//! sent to a backend server; a second write records the outcome (the call is settled). Only the
//! request whose owner token is in the row may send the call. This decision depends on no clock and
//! on no age of the row, so a paused or slow owner cannot cause a second run.
//!
//! The modules [`opening`], [`settling`], [`health`] and [`concurrency`] decide without I/O;
//! [`Ledger`] performs their actions.

pub mod concurrency;
pub mod fingerprint;
pub mod health;
mod ledger;
pub mod opening;
mod permit;
pub mod record;
mod scope;
mod settler;
pub mod settling;
mod store;
pub mod sweep;

pub use fingerprint::Fingerprint;
pub use ledger::{BeginResult, Ledger, Options};
pub use permit::{OutcomeStatus, Permit, RunningCall};
pub use record::{Header, Owner, Progress, Record, StoredResult};
pub use scope::{IdempotencyKey, KeyError, Scope};
