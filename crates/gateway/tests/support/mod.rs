//! A node without a network, in a dialect whose rows hold little.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::Path;
use std::rc::Rc;

use gateway::belief::Directory;
use gateway::belief::directory::DirectoryParts;
use gateway::belief::registry::{ServerRecord, ServerState};
use gateway::dialect::{DecodeError, Dialect, HeaderNames};
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
    not_run: "not-run",
    leaving: "leaving",
    limit: "limit",
    signature: "signature",
    key: "key",
    key_scheme: "K",
    reserved: &[],
};

/// A node of that name.
pub fn node(name: &str) -> Rc<Node> {
    let text = format!(
        "[node]\nname = \"{name}\"\nfailure_domain = \"a\"\n\
                [listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
                peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
                [store]\naddress = \"127.0.0.1:9\"\n[bounds]\n"
    );
    let settings = Settings::parse(&text, Path::new("test")).unwrap();
    let dialect = Dialect {
        names: NAMES,
        directory,
        directory_key: "directory",
        server,
    };
    Node::new(settings, dialect)
}

/// A directory's row is its version.
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

/// A server's row is `ready` or `draining`, and may name the time of its start.
fn server(id: &str, body: &[u8]) -> Result<ServerRecord, DecodeError> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let (state, born) = text.split_once(' ').unwrap_or((text, "1"));
    Ok(ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
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
        born_unix_ms: born.parse().unwrap_or(1),
    })
}
