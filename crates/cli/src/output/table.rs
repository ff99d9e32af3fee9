//! Results as tables for people.

use std::time::{Duration, UNIX_EPOCH};

use conf::admin::{DrainReply, History, NodeState, RequestView, Status};
use conf::{Change, Fault};
use serde_json::Value;

use super::{Applied, Checked, Event, Laggard, Report};

/// Longest value that is shown of a change.
const MAX_VALUE_CHARS: usize = 80;

/// Renders a result.
pub fn render(report: &Report) -> String {
    match report {
        Report::Checked(checked) => check(checked),
        Report::Applied(applied) => apply(applied),
        Report::Config(view) => {
            let document = serde_json::to_string_pretty(&view.document);
            document.expect("a JSON value always has a text form")
        }
        Report::Diff { version, changes } => diff(*version, changes),
        Report::History(history) => list_history(history),
        Report::Status(view) => status(view),
        Report::Drain(reply) => drain(reply),
        Report::Request(view) => request(view),
        Report::Catalogue { events } => catalogue(events),
    }
}

fn check(checked: &Checked) -> String {
    if checked.faults.is_empty() {
        return format!("{} is valid.", checked.file);
    }
    let count = checked.faults.len();
    let lines: Vec<String> = checked.faults.iter().map(Fault::to_string).collect();
    let lines = lines.join("\n");
    plain(&format!("{lines}\n{} has {count} fault(s).", checked.file))
}

fn apply(applied: &Applied) -> String {
    match applied {
        Applied::InForce { version } => {
            format!("Version {version} is in force at every entry VM.")
        }
        Applied::Accepted { version } => format!("Version {version} is accepted."),
        Applied::Lagging {
            version,
            waited_ms,
            entry_vms,
        } if entry_vms.is_empty() => format!(
            "Version {version} is accepted, but no status could be read in {waited_ms} ms; \
             where it is in force is not known."
        ),
        Applied::Lagging {
            version,
            waited_ms,
            entry_vms,
        } => {
            let rows = laggards(entry_vms);
            format!(
                "Version {version} is accepted, but after {waited_ms} ms not in force at:\n{rows}"
            )
        }
        Applied::Conflict {
            current_version,
            diff,
        } => conflict(*current_version, diff.as_deref()),
    }
}

fn conflict(current_version: u64, diff: Option<&[Change]>) -> String {
    let differences = match diff {
        Some(diff) => format!("Your document differs from it by:\n{}\n", changes(diff)),
        None => "It could not be read for comparison. ".to_owned(),
    };
    format!(
        "Nothing was changed: version {current_version} came first. {differences}\
         Merge the two, then apply with --base {current_version}."
    )
}

fn laggards(entry_vms: &[Laggard]) -> String {
    let mut rows = Rows::new(&["entry VM", "state", "version"]);
    for vm in entry_vms {
        rows.push([
            vm.name.clone(),
            state(vm.state).to_owned(),
            vm.config_version.to_string(),
        ]);
    }
    rows.render()
}

fn diff(version: u64, list: &[Change]) -> String {
    if list.is_empty() {
        return format!("No change from version {version}.");
    }
    format!("Changes from version {version}:\n{}", changes(list))
}

fn changes(list: &[Change]) -> String {
    let mut rows = Rows::new(&["path", "old", "new"]);
    for change in list {
        rows.push([
            change.path.clone(),
            short(change.old.as_ref()),
            short(change.new.as_ref()),
        ]);
    }
    rows.render()
}

fn short(value: Option<&Value>) -> String {
    let Some(value) = value else {
        return "-".to_owned();
    };
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}…")
}

fn list_history(history: &History) -> String {
    let mut rows = Rows::new(&["version", "operator", "accepted", "digest", "summary"]);
    for entry in &history.entries {
        rows.push([
            entry.version.to_string(),
            entry.operator.to_string(),
            time(entry.at_ms),
            entry.digest.chars().take(12).collect(),
            entry.summary.clone(),
        ]);
    }
    rows.render()
}

fn status(status: &Status) -> String {
    let mut vms = Rows::new(&["entry VM", "incarnation", "state", "version"]);
    for vm in &status.entry_vms {
        vms.push([
            vm.name.to_string(),
            vm.incarnation.to_string(),
            state(vm.state).to_owned(),
            vm.config_version.to_string(),
        ]);
    }
    let header = [
        "backend server",
        "service",
        "address",
        "failure domain",
        "state",
        "running",
    ];
    let mut servers = Rows::new(&header);
    for server in &status.backend_servers {
        servers.push([
            server.id.to_string(),
            server.service.to_string(),
            server.address.to_string(),
            server.failure_domain.to_string(),
            state(server.state).to_owned(),
            server.running.to_string(),
        ]);
    }
    format!(
        "As {} (program {}) sees it: configuration version {}, {} request(s) in flight there.\n\n\
         {}\n\n{}",
        plain(&status.node),
        plain(&status.program_version),
        status.config_version,
        status.in_flight,
        vms.render(),
        servers.render()
    )
}

fn drain(reply: &DrainReply) -> String {
    format!(
        "{} drains: {} request(s) in flight, at most {} ms until it ends.",
        plain(&reply.node),
        reply.in_flight,
        reply.deadline_ms
    )
}

fn request(view: &RequestView) -> String {
    let attempts: Vec<&str> = view.attempts.iter().map(|name| &**name).collect();
    let run_state = serde_json::to_value(view.run_state).unwrap_or_default();
    let mut rows = Rows::new(&["field", "value"]);
    rows.push(["request".to_owned(), view.id.to_string()]);
    rows.push(["workspace".to_owned(), view.workspace.to_string()]);
    rows.push(["service".to_owned(), view.service.to_string()]);
    rows.push(["state".to_owned(), view.state.clone()]);
    rows.push([
        "run state".to_owned(),
        run_state.as_str().unwrap_or_default().to_owned(),
    ]);
    rows.push(["entry VM".to_owned(), view.entry_vm.to_string()]);
    rows.push(["backend servers tried".to_owned(), attempts.join(", ")]);
    rows.push(["accepted".to_owned(), time(view.accepted_at_ms)]);
    rows.push(["bytes relayed".to_owned(), view.relayed_bytes.to_string()]);
    rows.render()
}

fn catalogue(events: &[Event]) -> String {
    let mut rows = Rows::new(&["number", "name", "level", "meaning"]);
    for event in events {
        rows.push([
            format!("E{}", event.number),
            event.name.to_owned(),
            event.level.clone(),
            event.meaning.to_owned(),
        ]);
    }
    rows.render()
}

fn state(state: NodeState) -> &'static str {
    match state {
        NodeState::Live => "live",
        NodeState::Leaving => "leaving",
        NodeState::Suspect => "suspect",
    }
}

fn time(at_ms: u64) -> String {
    let Some(time) = UNIX_EPOCH.checked_add(Duration::from_millis(at_ms)) else {
        return at_ms.to_string();
    };
    // The library refuses years beyond 9999.
    const MAX_TIME_MS: u64 = 253_402_300_799_999;
    if at_ms > MAX_TIME_MS {
        return at_ms.to_string();
    }
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Text without control characters, which could act on the terminal; line ends stay.
fn plain(text: &str) -> String {
    text.chars()
        .map(|c| {
            if c.is_control() && c != '\n' {
                '\u{fffd}'
            } else {
                c
            }
        })
        .collect()
}

/// Rows of equally many cells, printed in aligned columns.
struct Rows<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Rows<N> {
    fn new(header: &[&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_owned)],
        }
    }

    fn push(&mut self, row: [String; N]) {
        self.rows
            .push(row.map(|cell| plain(&cell).replace('\n', " ")));
    }

    fn render(&self) -> String {
        let mut widths = [0; N];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut lines = Vec::new();
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            lines.push(line.trim_end().to_owned());
        }
        lines.join("\n")
    }
}
