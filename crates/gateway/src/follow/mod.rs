//! Keeps the node's local view in step with the platform's store.

pub mod directory;
pub mod nodes;
mod row_changes;
pub mod servers;
pub mod streams;
pub mod turn;
pub mod versions;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use outside::{Feed, FeedBatch, FeedError, Topic};
use serde::Serialize;
use turn::{Turn, is_left_behind, listening_pause, poll_schedule, wait_for_turn};

use crate::decide::store_calls::StoreAccess;
use crate::log;
use crate::node::Node;
use crate::peer::pull;
use crate::peer::role::Role;

/// Pause after a query without an answer; other nodes query meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Whether a batch holds all rows, or only changed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchScope {
    All,
    Changes,
}

#[derive(Serialize)]
struct StoreFields<'a> {
    topic: &'a str,
    reason: Option<String>,
    silent_ms: Millisecond,
}

#[derive(Serialize)]
struct RestoredFields<'a> {
    topic: &'a str,
    before: u64,
    era: u64,
    asked_since: Option<u64>,
    answered: Option<u64>,
    history_gone: bool,
}

#[derive(Serialize)]
struct RoleFields {
    role: Role,
    directory_age_ms: Millisecond,
    registry_age_ms: Millisecond,
    access: StoreAccess,
}

#[derive(Serialize)]
struct LeftBehindFields<'a> {
    topic: &'a str,
    had: u64,
    newest: Option<u64>,
    behind_ms: Millisecond,
    position: usize,
    neighbours: usize,
}

/// Handler of a topic's rows.
type ApplyBatch = fn(&Rc<Node>, FeedBatch, BatchScope);

/// Follows a topic until the process ends.
pub async fn follow(node: Rc<Node>, feed: Arc<dyn Feed>, topic: Topic, apply_batch: ApplyBatch) {
    let mut revision = None;
    let mut era = None;
    let mut last_role = Role::default();
    loop {
        let role = node.role();
        if topic == Topic::Directory && role != last_role {
            report_role(&node, role);
        }
        last_role = role;
        if role == Role::Listens && !is_left_behind(&node, topic) {
            tokio::time::sleep(listening_pause(&node, topic)).await;
            continue;
        }
        if revision.is_some() && wait_for_turn(&node, topic).await == Turn::Listens {
            continue;
        }
        if is_left_behind(&node, topic) {
            report_left_behind(&node, topic);
        }
        let announced = node.announced_change.get();
        let queried_ms = node.now_ms();
        let outcome = match revision {
            None => {
                node.store_calls.begin(topic, 0, queried_ms);
                snapshot(&*feed, topic).await
            }
            Some(since) => {
                let wait_ms = match node.role() {
                    Role::Follows => poll_schedule(&node, topic).wait_ms(),
                    // The store has the change that this node lacks.
                    Role::Listens => 0,
                };
                node.store_calls.begin(topic, wait_ms, queried_ms);
                let since = known_revision(&node, topic, since);
                changes(&*feed, topic, since, wait_ms).await
            }
        };
        node.store_calls.end(topic);
        if let Some(before) = era
            && before != feed.era()
        {
            report_restored(topic, before, feed.era(), revision, &outcome);
        }
        era = Some(feed.era());
        match outcome {
            Ok((batch, scope)) => {
                record_store_answer(&node, topic);
                revision = Some(batch.revision);
                apply_batch(&node, batch, scope);
                settle_lag(&node, topic, queried_ms);
                if topic == Topic::Servers {
                    node.queried_change.set(announced);
                    node.registry_queried_ms.set(queried_ms);
                }
            }
            Err(FeedError::HistoryGone) => {
                record_store_answer(&node, topic);
                revision = None;
                node.store_calls.repeat(topic);
            }
            Err(FeedError::Unanswered { reason }) => {
                record_store_failure(&node, topic, reason);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Forgets the versions that were heard of before the store was queried: it has answered with what
/// there is.
fn settle_lag(node: &Node, topic: Topic, queried_ms: Millisecond) {
    let lag = match topic {
        Topic::Directory | Topic::Nodes => &node.directory_lag,
        Topic::Servers => &node.registry_lag,
    };
    lag.borrow_mut().settle(queried_ms);
}

/// Revision since which changes are queried. Other nodes may have sent newer rows than the last
/// query returned.
fn known_revision(node: &Node, topic: Topic, last_revision: u64) -> u64 {
    match topic {
        Topic::Servers => last_revision.max(node.registry.borrow().revision),
        Topic::Directory | Topic::Nodes => last_revision,
    }
}

async fn snapshot(feed: &dyn Feed, topic: Topic) -> Result<(FeedBatch, BatchScope), FeedError> {
    let batch = feed.snapshot(topic).await;
    let batch = batch.map_err(|e| FeedError::Unanswered { reason: e.reason })?;
    Ok((batch, BatchScope::All))
}

async fn changes(
    feed: &dyn Feed,
    topic: Topic,
    since: u64,
    wait_ms: Millisecond,
) -> Result<(FeedBatch, BatchScope), FeedError> {
    let batch = feed.changes(topic, since, wait_ms).await?;
    Ok((batch, BatchScope::Changes))
}

fn report_restored(
    topic: Topic,
    before: u64,
    era: u64,
    asked_since: Option<u64>,
    outcome: &Result<(FeedBatch, BatchScope), FeedError>,
) {
    let fields = RestoredFields {
        topic: topic_name(topic),
        before,
        era,
        asked_since,
        answered: outcome.as_ref().ok().map(|(batch, _)| batch.revision),
        history_gone: matches!(outcome, Err(FeedError::HistoryGone)),
    };
    log::emit(events::Code::StoreRestored, &fields);
}

fn report_role(node: &Node, role: Role) {
    let age_ms = |confirmed_ms: Millisecond| node.now_ms().saturating_sub(confirmed_ms);
    let fields = RoleFields {
        role,
        directory_age_ms: age_ms(node.directory_confirmed_ms.get()),
        registry_age_ms: age_ms(node.registry_confirmed_ms.get()),
        access: node.store_access(),
    };
    log::emit(events::Code::RoleChanged, &fields);
}

fn report_left_behind(node: &Node, topic: Topic) {
    let (had, lag) = match topic {
        Topic::Directory | Topic::Nodes => (node.directory_version(), &node.directory_lag),
        Topic::Servers => (node.known_change(), &node.registry_lag),
    };
    let standing = pull::standing(node, topic);
    let fields = LeftBehindFields {
        topic: topic_name(topic),
        had,
        newest: lag.borrow().newest(),
        behind_ms: standing.behind_ms,
        position: standing.position,
        neighbours: standing.neighbours,
    };
    log::emit(events::Code::LeftBehind, &fields);
}

fn record_store_answer(node: &Node, topic: Topic) {
    let now_ms = node.now_ms();
    if node.store_call_failed() {
        let fields = StoreFields {
            topic: topic_name(topic),
            reason: None,
            silent_ms: now_ms.saturating_sub(node.store_ok_ms.get()),
        };
        log::emit(events::Code::StoreRegained, &fields);
    }
    node.metrics.count_platform_call("store", "answered");
    node.store_ok_ms.set(now_ms);
}

fn record_store_failure(node: &Node, topic: Topic, reason: String) {
    let now_ms = node.now_ms();
    if !node.store_call_failed() {
        let fields = StoreFields {
            topic: topic_name(topic),
            reason: Some(reason),
            silent_ms: now_ms.saturating_sub(node.store_ok_ms.get()),
        };
        log::emit(events::Code::StoreLost, &fields);
    }
    node.metrics.count_platform_call("store", "unanswered");
    node.store_failed_ms.set(now_ms);
}

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Directory => "directory",
        Topic::Servers => "servers",
        Topic::Nodes => "nodes",
    }
}
