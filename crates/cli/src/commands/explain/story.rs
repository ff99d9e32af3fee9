//! The lines of one request in order of time, with what its nodes and servers went through.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use events::Code;
use serde_json::Value;

use super::line::Line;

/// How long before a request its surroundings matter.
const BEFORE: Duration = Duration::from_secs(3);

/// How long after its last line they matter.
const AFTER: Duration = Duration::from_millis(500);

/// Events of a node that bear on all its requests.
const OF_NODE: [Code; 7] = [
    Code::DaemonStarted,
    Code::DaemonDraining,
    Code::ConfigInForce,
    Code::BeliefPulled,
    Code::RowUnreadable,
    Code::StoreLost,
    Code::StoreRegained,
];

/// Events of a server that bear on the requests it ran.
const OF_SERVER: [Code; 5] = [
    Code::BackendAppeared,
    Code::BackendGone,
    Code::BackendLeaving,
    Code::BackendSignalled,
    Code::RequestSuspected,
];

/// The story of a request.
#[derive(Debug)]
pub struct Story {
    id: String,
    lines: Vec<Line>,
}

impl Story {
    /// Finds the lines that tell of a request; `None` if none names it.
    pub fn find(id: &str, mut lines: Vec<Line>) -> Option<Self> {
        lines.sort_by_key(|line| line.at);
        let own = |line: &&Line| line.text("request") == Some(id);
        let first = lines.iter().find(own)?.at;
        let last = lines.iter().rfind(own)?.at;
        let nodes: BTreeSet<String> = lines.iter().filter(own).map(|l| l.node.clone()).collect();
        let servers = lines.iter().filter(own).filter_map(|l| l.text("server"));
        let servers: BTreeSet<String> = servers.map(str::to_owned).collect();
        let near = |line: &Line| line.at + BEFORE >= first && line.at <= last + AFTER;
        let told = lines.iter().filter(|line| {
            let of_node = is_any(line, &OF_NODE) && nodes.contains(&line.node);
            let server = line.text("server").is_some_and(|s| servers.contains(s));
            let of_server = is_any(line, &OF_SERVER) && server && nodes.contains(&line.node);
            own(line) || (near(line) && (of_node || of_server))
        });
        let told: Vec<Line> = told.cloned().collect();
        Some(Self {
            id: id.to_owned(),
            lines: told,
        })
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let own = |line: &&Line| line.text("request") == Some(&self.id);
        let first = self.lines.iter().find(own).map_or(Duration::ZERO, |l| l.at);
        writeln!(f, "Request {}, times in ms from its first line", self.id)?;
        for line in &self.lines {
            let at_ms = line.at.as_millis() as i64 - first.as_millis() as i64;
            write!(f, "{at_ms:>+7}  {}  {}", line.node, line.name)?;
            if let Some(server) = line.text("server") {
                write!(f, " server={server}")?;
            }
            for (name, value) in &line.fields {
                let told = name == "request" || name == "server";
                if !told && !value.is_null() {
                    write!(f, " {name}={}", plain(value))?;
                }
            }
            writeln!(f)?;
        }
        let told: BTreeSet<u16> = self.lines.iter().map(|line| line.number).collect();
        writeln!(f, "Meaning:")?;
        for code in Code::ALL {
            if told.contains(&code.number()) {
                writeln!(f, "  {}: {}", code.name(), code.text())?;
            }
        }
        Ok(())
    }
}

fn is_any(line: &Line, codes: &[Code]) -> bool {
    codes.iter().any(|code| code.number() == line.number)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
