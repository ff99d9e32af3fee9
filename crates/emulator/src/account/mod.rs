//! Accounts for the worth of a day: what was lost, by kind of request, moment and reason.
//!
//! Reads the report of a bench run and the log of the same run.

pub mod lateness;
pub mod ledger;
pub mod log;
pub mod report;

pub use ledger::Ledger;
pub use log::LogSummary;
pub use report::Report;
