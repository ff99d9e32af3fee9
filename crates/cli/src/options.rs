//! The command line as one typed value.

use std::net::SocketAddr;
use std::path::PathBuf;

use base::ids::RequestId;
use base::units::Millisecond;
use bpaf::{Bpaf, ShellComp};

use crate::output::{Format, format};

/// What the exit codes mean, at the end of the help text.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 usage, 3 unreachable, 4 unauthorized, \
    5 conflict, 6 invalid, 7 not in force, 8 not found";

/// Operates an apricotledge deployment
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub struct Options {
    /// What to do.
    #[bpaf(external(command))]
    pub command: Command,
}

/// Commands:
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Check, apply and look at the configuration
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Show entry VMs, backend servers and the configuration version in force
    #[bpaf(command("status"))]
    Status {
        /// How to reach the daemons.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
    },
    /// Make one daemon leave readiness, finish its requests and end
    #[bpaf(command("drain"))]
    Drain {
        /// How to reach the daemon.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
    },
    /// Look at requests
    #[bpaf(command("request"))]
    Request(#[bpaf(external(request_command))] RequestCommand),
    /// Tell the story of one request from the logs of all nodes
    #[bpaf(command("explain"))]
    Explain {
        /// Number of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs; standard input if none is given
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
        files: Vec<PathBuf>,
    },
    /// Print the catalogue of log events
    #[bpaf(command("catalogue"))]
    Catalogue {
        /// Shape of the result.
        #[bpaf(external)]
        catalogue_format: CatalogueFormat,
    },
}

/// A command on the configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Check a document and report every fault
    #[bpaf(command("check"))]
    Check {
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
        /// The document
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
    },
    /// Apply a document and wait until it is in force everywhere
    #[bpaf(command("apply"))]
    Apply {
        /// How to reach the daemons.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
        /// Version that the document changes; without it, the version in force now
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// Longest wait for the document to be in force everywhere; 0 does not wait
        #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
        wait_ms: Millisecond,
        /// The document
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
    },
    /// Print the configuration in force
    #[bpaf(command("show"))]
    Show {
        /// How to reach the daemons.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
    },
    /// List what a document would change
    #[bpaf(command("diff"))]
    Diff {
        /// How to reach the daemons.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
        /// The document
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
    },
    /// List the accepted versions, newest first
    #[bpaf(command("history"))]
    History {
        /// How to reach the daemons.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
    },
}

/// A command on requests.
#[derive(Clone, Debug, Bpaf)]
pub enum RequestCommand {
    /// Show one request
    #[bpaf(command("show"))]
    Show {
        /// How to reach the daemons.
        #[bpaf(external)]
        connection: Connection,
        /// Shape of the result.
        #[bpaf(external)]
        format: Format,
        /// Number of the request, as in `x-request-id`
        #[bpaf(positional("ID"))]
        id: RequestId,
    },
}

/// How to reach the daemons.
#[derive(Clone, Debug, Bpaf)]
pub struct Connection {
    /// Admin address of a daemon; given several times, the next is asked when one does not answer
    #[bpaf(
        long("admin"),
        argument("IP:PORT"),
        some("give --admin IP:PORT at least once")
    )]
    pub admin: Vec<SocketAddr>,
    /// File with the operator's key; otherwise the key is taken from APRICOTLEDGE_KEY
    #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: None }))]
    pub key_file: Option<PathBuf>,
    /// Longest wait for one answer
    #[bpaf(argument("MS"), fallback(5_000), display_fallback)]
    pub timeout_ms: Millisecond,
}

/// Shape of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(fallback(CatalogueFormat::Table))]
pub enum CatalogueFormat {
    /// A table for people
    #[bpaf(skip)]
    Table,
    /// Print the table of docs/EVENTS.md
    #[bpaf(long("markdown"))]
    Markdown,
    /// Print JSON
    #[bpaf(long("json"))]
    Json,
}
