//! A node without a network, with a dialect of minimal rows.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::Path;
use std::rc::Rc;

use gateway::belief::Directory;
use gateway::belief::directory::DirectoryParts;
use gateway::belief::registry::{ServerRecord, ServerState};
use gateway::dialect::{DecodeError, Dialect, HeaderNames, RolloutRow};
use gateway::node::Node;
use gateway::settings::Settings;
use outside::Purchase;

const NAMES: HeaderNames = HeaderNames {
    request_id: "id",
    time_left_ms: "left",
    expected_server: "server",
    workspace: "workspace",
    tokens: "tokens",
    prompt_parts: "parts",
    engine_priority: "priority",
    last_event: "event",
    resumes: "resumes",
    not_run: "not-run",
    leaving: "leaving",
    limit: "limit",
    brittle: "brittle",
    server_load: "server-load",
    signature: "signature",
    key: "key",
    key_scheme: "K",
    reserved: &[],
};

/// Runs a test on a paused clock, which advances only when no task is ready.
pub fn run_with_paused_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Creates a node of the given name.
pub fn node(name: &str) -> Rc<Node> {
    node_in(name, "a")
}

/// Creates a node in a failure domain.
pub fn node_in(name: &str, domain: &str) -> Rc<Node> {
    node_with(name, domain, "")
}

/// Creates a node with rollouts in force.
pub fn node_with_rollouts(name: &str) -> Rc<Node> {
    let section = "[rollout]\nexposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\n";
    node_with(name, "a", section)
}

fn node_with(name: &str, domain: &str, sections: &str) -> Rc<Node> {
    let text = format!(
        "[node]\nname = \"{name}\"\nfailure_domain = \"{domain}\"\n\
                [listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
                peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
                [store]\naddress = \"127.0.0.1:9\"\n[bounds]\n{sections}"
    );
    let settings = Settings::parse(&text, Path::new("test")).unwrap();
    let dialect = Dialect {
        names: NAMES,
        directory,
        directory_key: "directory",
        server,
        rollout_prefix: "rollout/",
        rollout,
    };
    Node::new(settings, dialect)
}

/// Decodes a directory row, which consists of its version.
fn directory(body: &[u8]) -> Result<Directory, DecodeError> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let version = text.parse().map_err(|_| DecodeError {
        reason: "no version".to_owned(),
    })?;
    Ok(Directory::new(DirectoryParts {
        version,
        ..DirectoryParts::default()
    }))
}

/// Decodes a server row: `ready` or `draining`, optionally followed by its start time.
fn server(id: &str, body: &[u8]) -> Result<ServerRecord, DecodeError> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let mut words = text.split(' ');
    let state = words.next().unwrap_or_default();
    let mut number = |default| words.next().map_or(default, |n| n.parse().unwrap_or(1));
    Ok(ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        version: "v1".into(),
        slots: 4,
        state: match state {
            "ready" => ServerState::Ready,
            "draining" => ServerState::Draining,
            other => {
                let reason = format!("{other} is no state");
                return Err(DecodeError { reason });
            }
        },
        purchase: Purchase::OnDemand,
        born_unix_ms: number(1),
        sequence: number(0),
    })
}

/// Decodes an order, which consists of the version and the duration in milliseconds.
fn rollout(_: &str, body: &[u8]) -> Result<RolloutRow, DecodeError> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let parts = text.split_once(' ');
    let parts = parts.and_then(|(to, ms)| Some((to, ms.parse().ok()?)));
    let (to, duration_ms) = parts.ok_or_else(|| DecodeError {
        reason: "no order".to_owned(),
    })?;
    Ok(RolloutRow {
        to: to.into(),
        duration_ms,
    })
}
