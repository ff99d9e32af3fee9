//! Errors of the tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::exit::Exit;

/// A run failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file could not be read.
    #[snafu(display("The file {} could not be read: {source}. Check its path and permissions.", file.display()))]
    UnreadableFile {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// Standard input could not be read.
    #[snafu(display("Standard input could not be read: {source}. Name the logs as files."))]
    Input {
        /// The system's error.
        source: std::io::Error,
    },
    /// No key was given.
    #[snafu(display(
        "No operator key was given. Set APRICOTLEDGE_KEY or name a file with --key-file."
    ))]
    NoKey,
    /// The key cannot stand in a header.
    #[snafu(display(
        "The operator key holds characters that a header cannot carry. Check where it comes from."
    ))]
    BadKey,
    /// A command that acts on one daemon got several addresses.
    #[snafu(display("This command acts on one daemon. Give --admin exactly once."))]
    OneDaemon,
    /// The runtime could not be started.
    #[snafu(display("The tool could not start: {source}."))]
    Runtime {
        /// The system's error.
        source: std::io::Error,
    },
    /// No daemon answered.
    #[snafu(display("No daemon answered: {}. Check --admin, and that the daemons run.", reasons.join("; ")))]
    Unreachable {
        /// Result at each address.
        reasons: Vec<String>,
    },
    /// The key was not taken.
    #[snafu(display(
        "{address} did not take the operator key. Check that its digest is among `operators` in the configuration in force."
    ))]
    Unauthorized {
        /// The daemon.
        address: SocketAddr,
    },
    /// The thing asked for does not exist.
    #[snafu(display("{address} knows no such thing: {message}"))]
    NotFound {
        /// The daemon.
        address: SocketAddr,
        /// Its words.
        message: String,
    },
    /// The daemon answered with an error.
    #[snafu(display("{address} answered with status {status}: {message}"))]
    Answered {
        /// The daemon.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// Its words.
        message: String,
    },
    /// The daemon cannot tell whether the change took effect.
    #[snafu(display("{address} cannot tell whether the change took effect: {message}"))]
    OutcomeUnknown {
        /// The daemon.
        address: SocketAddr,
        /// Its words.
        message: String,
    },
    /// The answer could not be read.
    #[snafu(display(
        "The answer of {address} could not be read: {source}. The tool and the daemon may be of different versions."
    ))]
    Unreadable {
        /// The daemon.
        address: SocketAddr,
        /// Description of the problem.
        source: serde_json::Error,
    },
    /// The result could not be written.
    #[snafu(display("The result could not be written: {source}."))]
    Output {
        /// The system's error.
        source: std::io::Error,
    },
}

impl CliError {
    /// The exit code that goes with the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoKey | Self::BadKey | Self::OneDaemon => Exit::Usage,
            Self::Unreachable { .. } | Self::OutcomeUnknown { .. } => Exit::Unreachable,
            Self::Unauthorized { .. } => Exit::Unauthorized,
            Self::NotFound { .. } => Exit::NotFound,
            Self::UnreadableFile { .. }
            | Self::Input { .. }
            | Self::Runtime { .. }
            | Self::Answered { .. }
            | Self::Unreadable { .. }
            | Self::Output { .. } => Exit::Failed,
        }
    }
}
