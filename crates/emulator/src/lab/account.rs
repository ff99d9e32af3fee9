//! Accounts for the worth of a day of a bench run.

use std::fs::File;
use std::io::BufReader;

use emulator::account::{Ledger, LogSummary, Report, ledger};
use snafu::ResultExt;

use crate::error::{LabError, LogSnafu};
use crate::options::Account;

/// Prints the account of a day.
///
/// # Errors
///
/// Returns an error if the report or the log cannot be read.
pub fn run(options: &Account) -> Result<(), LabError> {
    let report = Report::open(&options.report)?;
    let path = &options.log;
    let log = File::open(path).context(LogSnafu { path })?;
    let log = LogSummary::read(BufReader::new(log)).context(LogSnafu { path })?;
    let account = Ledger::new(&report, &log, options.reclaimable_price);
    print!("{}", ledger::text(&report, &log, &account));
    Ok(())
}
