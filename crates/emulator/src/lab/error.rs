//! What the tool could not do.

use std::path::PathBuf;

use emulator::account::report::ReportError;
use gateway::config_file::ConfigFileError;
use snafu::Snafu;

/// The tool could not do what was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LabError {
    /// An experiment cannot be played.
    #[snafu(transparent)]
    Experiment { source: ConfigFileError },
    /// A report of a bench run cannot be used.
    #[snafu(transparent)]
    Report { source: ReportError },
    /// A log cannot be read.
    #[snafu(display("The log {} cannot be read: {source}. Check the path.", path.display()))]
    Log {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file of figures cannot be read or written.
    #[snafu(display("The figures {} cannot be read or written: {source}.", path.display()))]
    Csv {
        /// The file.
        path: PathBuf,
        source: csv::Error,
    },
    /// A file has no such column, or nothing in it.
    #[snafu(display("--column: {} has no numbers under `{column}`.", path.display()))]
    Column {
        /// The file.
        path: PathBuf,
        /// The column.
        column: String,
    },
    /// A key cannot be varied.
    #[snafu(display("--key: `{key}` names no number of the experiment."))]
    Key {
        /// The key.
        key: String,
    },
    /// A picture cannot be drawn.
    #[snafu(display("--svg: {} cannot be drawn: {reason}.", path.display()))]
    Picture {
        /// The file.
        path: PathBuf,
        reason: String,
    },
}
