//! Results of commands, and the shapes they are printed in.

mod json;
mod table;

use std::io::{ErrorKind, Write};

use base::units::Millisecond;
use bpaf::Bpaf;
use conf::admin::{ConfigView, DrainReply, History, RequestView, Status};
use conf::{Change, Fault};
use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, OutputSnafu};

/// Shape of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(fallback(Format::Table))]
pub enum Format {
    /// Tables for people
    #[bpaf(skip)]
    Table,
    /// Print JSON for scripts
    #[bpaf(long("json"))]
    Json,
}

/// Result of a command.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Report {
    /// A document was checked.
    Checked(Checked),
    /// A document was applied, or not.
    Applied(Applied),
    /// The configuration in force.
    Config(ConfigView),
    /// Changes that a document would make.
    Diff {
        /// Version compared with.
        version: u64,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Accepted versions.
    History(History),
    /// The deployment as one daemon sees it.
    Status(Status),
    /// A daemon drains.
    Drain(DrainReply),
    Request(RequestView),
    /// The catalogue of log events.
    Catalogue {
        /// The events, in order of number.
        events: Vec<Event>,
    },
}

/// Outcome of checking a document.
#[derive(Debug, Serialize)]
pub struct Checked {
    /// The document.
    pub file: String,
    /// Every fault; none for a valid document.
    pub faults: Vec<Fault>,
}

/// Outcome of applying a document.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Applied {
    /// In force at every entry VM.
    InForce {
        /// The new version.
        version: u64,
    },
    /// Accepted; some entry VMs lag.
    Lagging {
        /// The new version.
        version: u64,
        /// Time waited.
        waited_ms: Millisecond,
        /// The entry VMs that lag.
        entry_vms: Vec<Laggard>,
    },
    /// Accepted; nobody waited for it to be in force.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// Another change came first.
    Conflict {
        /// The version that stands.
        current_version: u64,
        /// Changes from it to the document offered.
        diff: Option<Vec<Change>>,
    },
}

/// An entry VM where a version is not in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// Its name.
    pub name: String,
    /// Whether it accepts new requests.
    pub state: conf::admin::NodeState,
    /// The version in force there.
    pub config_version: u64,
}

#[derive(Debug, Serialize)]
pub struct Event {
    /// Its number.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
    /// Its severity.
    pub level: String,
    /// Meaning of the event.
    pub meaning: &'static str,
}

/// Prints a result to standard output.
pub fn print(report: &Report, format: Format) -> Result<(), CliError> {
    let text = match format {
        Format::Table => table::render(report),
        Format::Json => json::render(report),
    };
    write(&text)
}

/// Writes text to standard output; a reader that has left is no error.
pub fn write(text: &str) -> Result<(), CliError> {
    let written = writeln!(std::io::stdout(), "{}", text.trim_end());
    match written {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written.context(OutputSnafu),
    }
}
