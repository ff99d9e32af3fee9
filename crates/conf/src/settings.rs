//! Settings of one daemon, read from a TOML file.

mod check;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use base::Name;
use base::secret::Secret;
use base::units::{ByteCount, Millisecond};
use snafu::{ResultExt, Snafu};

pub use crate::settings_document::{
    LogSectionFormat as LogFormat, LogSectionLevel as LogLevel,
    PlacementSectionMode as PlacementMode, RoutingSection as Routing,
    RoutingSectionPolicy as RoutingPolicy,
};

use crate::fault::Fault;
use crate::schema;
use crate::settings_document::{LimitsSection, SettingsDocument, TimeoutsSection};

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of the daemon.
    pub node: Node,
    /// Address on which it listens.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// The other entry VMs.
    pub peers: Peers,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Time limits.
    pub timeouts: Timeouts,
    /// Choice of backend servers.
    pub routing: Routing,
    /// Whether this daemon takes part in buying VMs.
    pub placement: PlacementMode,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Shape of log lines.
    pub log_format: LogFormat,
}

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The VM's identifier in the platform's VM list.
    pub name: Name,
    /// The failure domain the VM stands in.
    pub failure_domain: Name,
    /// Processor cores of the VM; the daemon runs as many threads, rounded up.
    pub cores: f64,
}

/// Where a daemon listens; port 0 takes a free port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// Address at which peers reach the daemon; the bound address where absent.
    pub advertised_peers: Option<SocketAddr>,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL, as `http://IP:PORT`.
    pub url: String,
    /// Bucket in the object store.
    pub bucket: String,
}

/// The other entry VMs.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Secret that all entry VMs share.
    pub secret: Secret,
    /// Peers to ask first; may name the daemon itself.
    pub seeds: Vec<SocketAddr>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest request body.
    pub max_body_bytes: ByteCount,
    /// Longest request head.
    pub max_header_bytes: ByteCount,
    /// Requests in flight at once.
    pub max_streams: u64,
}

/// Time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Reading a request's head.
    pub header_read_ms: Millisecond,
    /// Reading a request's body.
    pub body_read_ms: Millisecond,
    /// Waiting for a caller that does not read its answer.
    pub caller_stall_ms: Millisecond,
    /// Connecting to a backend server.
    pub connect_ms: Millisecond,
    /// Timeout of one call to the platform.
    pub platform_ms: Millisecond,
    /// From the start of a drain to the end of the process.
    pub drain_deadline_ms: Millisecond,
}

/// Settings could not be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A file could not be read.
    #[snafu(display("The file {} could not be read: {source}. Check its path and permissions.", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The text is not TOML.
    #[snafu(display("{}: The file is not TOML at line {line}: {problem}. Correct that line.", file.display()))]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The parser's complaint, without the line's text, which may hold the secret.
        problem: String,
    },
    /// Some keys are faulty.
    #[snafu(display("{}", list_faults(file, faults)))]
    Faulty {
        /// The settings file.
        file: PathBuf,
        /// Every fault; paths are keys such as `limits.max_streams`.
        faults: Vec<Fault>,
    },
}

fn malformed(file: &Path, text: &str, error: &toml::de::Error) -> SettingsError {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.get(..start).unwrap_or_default();
    SettingsError::Malformed {
        file: file.to_owned(),
        line: before.matches('\n').count() + 1,
        problem: error.message().trim_end_matches('.').to_owned(),
    }
}

fn list_faults(file: &Path, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", file.display()))
        .collect();
    lines.join("\n")
}

impl Settings {
    /// Reads settings, and the secret's file if they name one.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, or if the text is not TOML or has faulty keys.
    pub fn open(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(UnreadableSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Reads settings from text; `file` is named in errors and anchors relative paths.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML or has faulty keys, or if the secret's file cannot
    /// be read.
    ///
    /// # Panics
    ///
    /// Panics if the TOML table has no JSON form; every table has one.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let table: toml::Table =
            toml::from_str(text).map_err(|error| malformed(file, text, &error))?;
        let value = serde_json::to_value(&table).expect("a TOML table always has a JSON form");
        let mut faults = schema::settings().violations(&value);
        let checked = check::check(&value, &mut faults);
        for fault in &mut faults {
            fault.path = key_of(&fault.path);
        }
        let secret = check::secret(file, &value, &mut faults)?;
        let (Some(checked), Some(secret), true) = (checked, secret, faults.is_empty()) else {
            return FaultySnafu { file, faults }.fail();
        };
        match serde_json::from_value(value) {
            Ok(document) => Ok(assemble(document, checked, secret)),
            Err(error) => {
                let mend = "Write whole numbers without a decimal point.";
                let faults = vec![Fault::new("settings", format!("{error}."), mend)];
                FaultySnafu { file, faults }.fail()
            }
        }
    }
}

fn key_of(path: &str) -> String {
    match path.strip_prefix("$.") {
        Some(key) => key.to_owned(),
        None => path.replace('$', "top level"),
    }
}

fn assemble(document: SettingsDocument, checked: check::Addresses, secret: Secret) -> Settings {
    let log = document.log.unwrap_or_default();
    Settings {
        node: Node {
            name: Name::from(document.node.name.as_str()),
            failure_domain: Name::from(document.node.failure_domain.as_str()),
            cores: document.node.cores,
        },
        listen: checked.listen,
        platform: Platform {
            url: checked.platform_url,
            bucket: document.platform.bucket.to_string(),
        },
        peers: Peers {
            secret,
            seeds: checked.seeds,
        },
        limits: limits(&document.limits.unwrap_or_default()),
        timeouts: timeouts(&document.timeouts.unwrap_or_default()),
        routing: document.routing.unwrap_or_default(),
        placement: document.placement.unwrap_or_default().mode,
        log_level: log.level,
        log_format: log.format,
    }
}

fn limits(section: &LimitsSection) -> Limits {
    Limits {
        max_body_bytes: section.max_body_bytes,
        max_header_bytes: section.max_header_bytes,
        max_streams: section.max_streams.get(),
    }
}

fn timeouts(section: &TimeoutsSection) -> Timeouts {
    Timeouts {
        header_read_ms: section.header_read_ms.get(),
        body_read_ms: section.body_read_ms.get(),
        caller_stall_ms: section.caller_stall_ms.get(),
        connect_ms: section.connect_ms.get(),
        platform_ms: section.platform_ms.get(),
        drain_deadline_ms: section.drain_deadline_ms.get(),
    }
}
