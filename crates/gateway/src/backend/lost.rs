//! Tells a crashed server from a broken connection, and whom the crash makes a suspect.

use std::rc::Rc;
use std::time::Duration;

use policy::suspect::{Loss, RequestDigest};
use serde::Serialize;
use tokio::net::TcpStream;

use crate::belief::Server;
use crate::belief::registry::ServerState;
use crate::clock::unix_ms;
use crate::node::Node;

/// Connections that break within so long belong to one loss.
const TOGETHER: Duration = Duration::from_millis(30);

/// A server that takes no connection for so long is down.
const KNOCK: Duration = Duration::from_millis(400);

#[derive(Serialize)]
struct SuspectedFields<'a> {
    server: &'a str,
    requests: usize,
}

/// Takes note that a request's connection broke; a crash is looked for once for all that break
/// together.
pub fn note(node: &Rc<Node>, server: &Rc<Server>, digest: RequestDigest) {
    let mut broken = server.broken_requests.borrow_mut();
    broken.push(digest);
    if broken.len() > 1 {
        return;
    }
    drop(broken);
    let (node, server) = (node.clone(), server.clone());
    tokio::task::spawn_local(async move { look(&node, &server).await });
}

async fn look(node: &Node, server: &Server) {
    tokio::time::sleep(TOGETHER).await;
    let knock = TcpStream::connect(server.record.address);
    let up = tokio::time::timeout(KNOCK, knock)
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
    let loss = match leaves(node, server) {
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

fn leaves(node: &Node, server: &Server) -> bool {
    let registry = node.registry.borrow();
    let known = registry.server(&server.record.id);
    known.is_none_or(|known| known.record.state == ServerState::Draining)
}
