//! The report of a bench run.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// The parts of a report that an account needs.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Worth of the day: the parts less the prices.
    #[serde(rename = "G")]
    pub worth: f64,
    pub parts: Vec<Part>,
    pub prices: Vec<Price>,
    /// Results by kind of request.
    pub classes: Vec<Results>,
    /// Results by the time at which requests were first sent.
    pub windows: Vec<Results>,
}

/// A part of the worth: its name, weight and value, both between 0 and 1.
#[derive(Clone, Debug, Deserialize)]
pub struct Part(pub String, pub f64, pub f64);

/// A price: what was paid for, how much of it, and the worth that it cost.
#[derive(Clone, Debug, Deserialize)]
pub struct Price(pub String, pub f64, pub f64);

/// Results of a group of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Results {
    /// Name of the kind, or start of the window in seconds.
    pub name: String,
    /// Requests in the group.
    #[serde(rename = "n")]
    pub asked: u64,
    /// Requests answered within their target.
    #[serde(rename = "in_aim")]
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    /// Requests that the configuration or an allowance does not permit.
    pub not_owed: u64,
    /// Worth of the answers as a share of the worth owed.
    pub worth: f64,
}

/// A report cannot be used.
#[derive(Debug, Snafu)]
pub enum ReportError {
    #[snafu(display("The report {} cannot be read: {source}. Check the path.", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display(
        "The report {} is not a report of a single day: {source}. Write one with `run --report`.",
        path.display()
    ))]
    Parse {
        path: PathBuf,
        source: serde_json::Error,
    },
}

impl Report {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or lacks a part that an account needs.
    pub fn open(path: &Path) -> Result<Self, ReportError> {
        let text = std::fs::read(path).context(ReadSnafu { path })?;
        serde_json::from_slice(&text).context(ParseSnafu { path })
    }
}
