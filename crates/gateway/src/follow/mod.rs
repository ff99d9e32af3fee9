//! Keeps the node's beliefs in step with the platform's store.

pub mod directory;
pub mod nodes;
pub mod servers;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use outside::{Batch, Feed, FeedError, Topic};
use serde::Serialize;

use crate::log;
use crate::node::Node;
use crate::peer::role::Role;

/// Longest wait of one question for changes: a connection that has gone silent is noticed soon
/// after it.
pub const WAIT_MS: Millisecond = 1_000;

/// Heartbeats change the registry all the time: it is asked for so often, and at once when another
/// node tells of a change that matters. Well below the shortest drain bound of the pages (2 s).
const PACE: Duration = Duration::from_millis(500);

/// Pause after a question without an answer.
const PAUSE: Duration = Duration::from_millis(200);

/// Whether rows are all there are, or what has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// All rows.
    All,
    /// Rows that have changed.
    Changes,
}

#[derive(Serialize)]
struct StoreFields<'a> {
    topic: &'a str,
    reason: Option<String>,
    silent_ms: Millisecond,
}

/// What a topic's rows are given to.
type TakeIn = fn(&Rc<Node>, Batch, Extent);

/// Follows a topic for as long as the process lives.
pub async fn follow(node: Rc<Node>, feed: Arc<dyn Feed>, topic: Topic, take_in: TakeIn) {
    let mut revision = None;
    loop {
        if node.role() == Role::Listens {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let outcome = match revision {
            None => snapshot(&*feed, topic).await,
            Some(since) => changes(&*feed, topic, known(&node, topic, since)).await,
        };
        match outcome {
            Ok((batch, extent)) => {
                answered(&node, topic);
                revision = Some(batch.revision);
                take_in(&node, batch, extent);
                pace(&node, topic).await;
            }
            Err(FeedError::HistoryGone) => {
                answered(&node, topic);
                revision = None;
            }
            Err(FeedError::Unanswered { reason }) => {
                unanswered(&node, topic, reason);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits until a topic is worth asking for again.
async fn pace(node: &Node, topic: Topic) {
    if topic == Topic::Servers {
        // The time runs out if there is no news.
        let _ = tokio::time::timeout(PACE, node.registry_news.notified()).await;
    }
}

/// Revision up to which a topic is known: others may have told more than the store has.
fn known(node: &Node, topic: Topic, asked: u64) -> u64 {
    match topic {
        Topic::Servers => asked.max(node.registry.borrow().revision),
        Topic::Directory | Topic::Nodes => asked,
    }
}

async fn snapshot(feed: &dyn Feed, topic: Topic) -> Result<(Batch, Extent), FeedError> {
    let batch = feed.snapshot(topic).await;
    let batch = batch.map_err(|e| FeedError::Unanswered { reason: e.reason })?;
    Ok((batch, Extent::All))
}

async fn changes(feed: &dyn Feed, topic: Topic, since: u64) -> Result<(Batch, Extent), FeedError> {
    let batch = feed.changes(topic, since, WAIT_MS).await?;
    Ok((batch, Extent::Changes))
}

fn answered(node: &Node, topic: Topic) {
    let now_ms = node.now_ms();
    let was_failing = node.store_failed_ms.get() > node.store_ok_ms.get();
    if was_failing {
        let fields = StoreFields {
            topic: label(topic),
            reason: None,
            silent_ms: now_ms.saturating_sub(node.store_ok_ms.get()),
        };
        log::emit(events::Code::StoreRegained, &fields);
    }
    node.metrics.called("store", "answered");
    node.store_ok_ms.set(now_ms);
}

fn unanswered(node: &Node, topic: Topic, reason: String) {
    let now_ms = node.now_ms();
    let first = node.store_failed_ms.get() <= node.store_ok_ms.get();
    if first {
        let fields = StoreFields {
            topic: label(topic),
            reason: Some(reason),
            silent_ms: now_ms.saturating_sub(node.store_ok_ms.get()),
        };
        log::emit(events::Code::StoreLost, &fields);
    }
    node.metrics.called("store", "unanswered");
    node.store_failed_ms.set(now_ms);
}

fn label(topic: Topic) -> &'static str {
    match topic {
        Topic::Directory => "directory",
        Topic::Servers => "servers",
        Topic::Nodes => "nodes",
    }
}
