//! Distinguishes a crashed server from a broken connection, and reports the requests that a crash
//! makes suspects.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use base::{Map, Name, Set};
use policy::suspect::{Loss, PartId, RequestDigest, RunOnServer};
use serde::Serialize;

use super::{quarantine, reach, server_faults};
use crate::belief::Server;
use crate::belief::registry::ServerState;
use crate::clock::unix_ms;
use crate::decide::reach::Reach;
use crate::node::Node;

/// Connections to a server that break within this time are counted as one loss of the server.
const SAME_LOSS_WINDOW: Duration = Duration::from_millis(30);

/// Most parts of prompts in a log line.
const LOGGED_PARTS: usize = 6;

/// A request whose connection broke.
#[derive(Debug)]
pub struct BrokenRequest {
    pub digest: RequestDigest,
    pub workspace: Name,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// When it was sent to the server.
    pub started_ms: Millisecond,
    /// When its connection broke.
    pub broken_ms: Millisecond,
}

#[derive(Serialize)]
struct SuspectedFields<'a> {
    server: &'a str,
    service: &'a str,
    requests: usize,
    workspaces: usize,
    /// Age of the request that was sent last.
    youngest_ms: Millisecond,
    /// Parts that most of the prompts share, and how many have them.
    parts: Vec<(PartId, usize)>,
    loss: Loss,
}

/// Records that the connection of a request broke. The first broken connection starts one check for
/// a crash, which covers all those that break within the same window.
pub fn note_broken_connection(node: &Rc<Node>, server: &Rc<Server>, request: BrokenRequest) {
    let mut broken = server.broken_requests.borrow_mut();
    broken.push(request);
    if broken.len() > 1 {
        return;
    }
    drop(broken);
    let (node, server) = (node.clone(), server.clone());
    tokio::task::spawn_local(async move { check_server(&node, &server).await });
}

async fn check_server(node: &Rc<Node>, server: &Server) {
    tokio::time::sleep(SAME_LOSS_WINDOW).await;
    let up = reach::accepts_connection(server.record.address).await;
    let broken = server.broken_requests.take();
    if up || reach::verify(node).await == Reach::Lost {
        return;
    }
    server_faults::note_down(node, server);
    let loss = match is_draining_or_gone(node, server) {
        true => Loss::Announced,
        false => Loss::Crash,
    };
    report(node, server, &broken, loss);
    let digests: Vec<RequestDigest> = broken.iter().map(|request| request.digest).collect();
    let record = &server.record;
    node.suspects.borrow_mut().server_lost(
        &record.id,
        &record.failure_domain,
        loss,
        &digests,
        unix_ms(),
    );
    if loss == Loss::Crash {
        suspect_parts(node, server, &broken);
    }
}

fn suspect_parts(node: &Node, server: &Server, broken: &[BrokenRequest]) {
    let now_ms = node.now_ms();
    let crashed_ms = broken.iter().map(|request| request.broken_ms).min();
    let runs: Vec<RunOnServer<'_>> = broken
        .iter()
        .map(|request| RunOnServer {
            workspace: &request.workspace,
            parts: &request.parts,
            started_ms: request.started_ms,
        })
        .collect();
    let changes = node.suspect_parts.borrow_mut().server_crashed(
        &server.record.service,
        &server.record.id,
        &runs,
        crashed_ms.unwrap_or(now_ms),
        now_ms,
    );
    quarantine::apply(node, &changes);
}

fn report(node: &Node, server: &Server, broken: &[BrokenRequest], loss: Loss) {
    let started_ms = broken.iter().map(|request| request.started_ms).max();
    let workspaces: Set<&Name> = broken.iter().map(|request| &request.workspace).collect();
    let fields = SuspectedFields {
        server: &server.record.id,
        service: &server.record.service,
        requests: broken.len(),
        workspaces: workspaces.len(),
        youngest_ms: node.now_ms().saturating_sub(started_ms.unwrap_or(0)),
        parts: most_shared_parts(broken),
        loss,
    };
    crate::log::emit(events::Code::RequestSuspected, &fields);
}

fn most_shared_parts(broken: &[BrokenRequest]) -> Vec<(PartId, usize)> {
    let mut counts: Map<PartId, usize> = Map::default();
    for part in broken.iter().flat_map(|request| &request.parts) {
        *counts.entry(*part).or_default() += 1;
    }
    let mut counts: Vec<(PartId, usize)> = counts.into_iter().collect();
    counts.sort_unstable_by_key(|(part, count)| (Reverse(*count), *part));
    counts.truncate(LOGGED_PARTS);
    counts
}

fn is_draining_or_gone(node: &Node, server: &Server) -> bool {
    let registry = node.registry.borrow();
    let known = registry.server(&server.record.id);
    known.is_none_or(|known| known.record.state == ServerState::Draining)
}
