//! Non-idempotent calls at most once, over the platform's table service.
//!
//! One row stands for one call. The row is created in state *sending* by a conditional write before
//! a byte leaves for a backend server, and is settled afterwards. Only the writer whose owner token
//! is in the row may send; no clock and no age takes part in that decision. The decisions are the
//! plain functions of [`opening`], [`settling`], [`health`] and [`gate`]; [`Ledger`] carries them out.

pub mod fingerprint;
pub mod gate;
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
pub use permit::{Permit, RunningCall, Settled};
pub use record::{Header, Owner, Progress, Record, StoredResult};
pub use scope::{IdempotencyKey, KeyError, Scope};
