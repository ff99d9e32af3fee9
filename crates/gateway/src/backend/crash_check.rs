//! Distinguishes a crashed server from a broken connection, and reports the requests that a crash
//! makes suspects.

use std::rc::Rc;
use std::time::Duration;

use policy::suspect::{Loss, RequestDigest};
use serde::Serialize;
use tokio::net::TcpStream;

use crate::belief::Server;
use crate::belief::registry::ServerState;
use crate::clock::unix_ms;
use crate::node::Node;

/// Connections to a server that break within this time are counted as one loss of the server.
const SAME_LOSS_WINDOW: Duration = Duration::from_millis(30);

/// A server that accepts no connection within this time is considered down.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Serialize)]
struct SuspectedFields<'a> {
    server: &'a str,
    requests: usize,
}

/// Records that the connection of a request broke. The first broken connection starts one check for
/// a crash, which covers all those that break within the same window.
pub fn note_broken_connection(node: &Rc<Node>, server: &Rc<Server>, digest: RequestDigest) {
    let mut broken = server.broken_requests.borrow_mut();
    broken.push(digest);
    if broken.len() > 1 {
        return;
    }
    drop(broken);
    let (node, server) = (node.clone(), server.clone());
    tokio::task::spawn_local(async move { check_server(&node, &server).await });
}

async fn check_server(node: &Node, server: &Server) {
    tokio::time::sleep(SAME_LOSS_WINDOW).await;
    let probe = TcpStream::connect(server.record.address);
    let up = tokio::time::timeout(PROBE_TIMEOUT, probe)
        .await
        .is_ok_and(|c| c.is_ok());
    let digests = server.broken_requests.take();
    if up {
        return;
    }
    let fields = SuspectedFields {
        server: &server.record.id,
        requests: digests.len(),
    };
    crate::log::emit(events::Code::RequestSuspected, &fields);
    let loss = match is_draining_or_gone(node, server) {
        true => Loss::Announced,
        false => Loss::Crash,
    };
    let record = &server.record;
    let mut suspects = node.suspects.borrow_mut();
    suspects.server_lost(
        &record.id,
        &record.failure_domain,
        loss,
        &digests,
        unix_ms(),
    );
}

fn is_draining_or_gone(node: &Node, server: &Server) -> bool {
    let registry = node.registry.borrow();
    let known = registry.server(&server.record.id);
    known.is_none_or(|known| known.record.state == ServerState::Draining)
}
