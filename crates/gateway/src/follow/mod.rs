//! Keeps the node's local view in step with the platform's store.

pub mod directory;
pub mod nodes;
mod row_changes;
pub mod servers;
pub mod streams;
pub mod versions;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use outside::{Feed, FeedBatch, FeedError, Topic};
use serde::Serialize;

use crate::decide::stand_in::overdue_age_ms;
use crate::decide::store_calls::StoreAccess;
use crate::decide::store_poll::{PollMode, poll_due_ms, poll_wait_ms};
use crate::log;
use crate::node::Node;
use crate::peer::role::Role;

/// How often a node checks whether it is its turn to query the store: half of the time between the
/// turns of two nodes.
const TURN_CHECK_PERIOD: Duration = Duration::from_millis(75);

/// Pause after a query without an answer; other nodes query meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after a failed call after which a node that others have replaced asks once more.
const RECHECK_MS: Millisecond = 2_000;

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
        if role == Role::Listens {
            tokio::time::sleep(listening_pause(&node)).await;
            continue;
        }
        if revision.is_some() && wait_for_turn(&node, topic).await == Turn::Listens {
            continue;
        }
        let announced = node.announced_change.get();
        let queried_ms = node.now_ms();
        let outcome = match revision {
            None => {
                node.store_calls.begin(topic, 0, queried_ms);
                snapshot(&*feed, topic).await
            }
            Some(since) => {
                let wait_ms = poll_schedule(&node, topic).wait_ms();
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
                if topic == Topic::Servers {
                    node.queried_change.set(announced);
                    node.registry_queried_ms.set(queried_ms);
                }
            }
            Err(FeedError::HistoryGone) => {
                record_store_answer(&node, topic);
                revision = None;
            }
            Err(FeedError::Unanswered { reason }) => {
                record_store_failure(&node, topic, reason);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Poll mode of a topic, its age limit, and the time at which its rows were last confirmed.
struct PollSchedule {
    mode: PollMode,
    /// Greatest age that the known rows of the topic may reach.
    bound_ms: Millisecond,
    confirmed_ms: Millisecond,
}

impl PollSchedule {
    fn wait_ms(&self) -> Millisecond {
        poll_wait_ms(self.mode, self.bound_ms)
    }

    fn left_ms(&self, node: &Node) -> Millisecond {
        let due_ms = poll_due_ms(self.mode, node.poll_rank(), self.bound_ms);
        (self.confirmed_ms + due_ms).saturating_sub(node.now_ms())
    }
}

fn poll_schedule(node: &Node, topic: Topic) -> PollSchedule {
    let bounds = &node.settings.bounds;
    match topic {
        Topic::Servers => PollSchedule {
            mode: PollMode::Periodic,
            bound_ms: bounds.drain_ms,
            confirmed_ms: node.registry_confirmed_ms.get(),
        },
        Topic::Directory | Topic::Nodes => PollSchedule {
            mode: PollMode::LongPoll,
            bound_ms: bounds.directory_ms,
            confirmed_ms: node.directory_confirmed_ms.get(),
        },
    }
}

/// When a copy of a topic that was confirmed at `confirmed_ms` becomes overdue.
pub fn overdue_after_ms(node: &Node, topic: Topic, confirmed_ms: Millisecond) -> Millisecond {
    let schedule = poll_schedule(node, topic);
    confirmed_ms + overdue_age_ms(schedule.mode, schedule.bound_ms)
}

/// When this node's copies become overdue, which they don't while some follower is served.
pub fn overdue_from_ms(node: &Node) -> Millisecond {
    let topics = [Topic::Directory, Topic::Servers];
    let due_ms = topics.map(|topic| {
        let confirmed_ms = poll_schedule(node, topic).confirmed_ms;
        overdue_after_ms(node, topic, confirmed_ms)
    });
    due_ms[0].min(due_ms[1])
}

/// Time until a listening node checks its role again.
fn listening_pause(node: &Node) -> Duration {
    let left_ms = overdue_from_ms(node).saturating_sub(node.now_ms());
    Duration::from_millis(left_ms).clamp(TURN_CHECK_PERIOD, RETRY_DELAY)
}

/// Why the wait for a node's turn ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// The node queries the store.
    Queries,
    /// Others do.
    Listens,
}

/// Waits until it is this node's turn to query a topic, or another node announces a change.
async fn wait_for_turn(node: &Node, topic: Topic) -> Turn {
    loop {
        if node.role() == Role::Listens {
            return Turn::Listens;
        }
        let left_ms = poll_schedule(node, topic).left_ms(node);
        if left_ms == 0 || recheck_is_due(node) {
            return Turn::Queries;
        }
        let pause = TURN_CHECK_PERIOD.min(Duration::from_millis(left_ms));
        if topic != Topic::Servers {
            tokio::time::sleep(pause).await;
            continue;
        }
        let changed = tokio::time::timeout(pause, node.peer_registry_changed.notified()).await;
        if changed.is_ok() {
            return Turn::Queries;
        }
    }
}

/// Whether a node whose last call failed asks again, although others have read the store since.
/// They leave it out until the store serves it.
fn recheck_is_due(node: &Node) -> bool {
    let since_ms = node.now_ms().saturating_sub(node.store_failed_ms.get());
    node.store_access() == StoreAccess::Failing && since_ms >= RECHECK_MS
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

fn record_store_answer(node: &Node, topic: Topic) {
    let now_ms = node.now_ms();
    let was_failing = node.store_failed_ms.get() > node.store_ok_ms.get();
    if was_failing {
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
    let first = node.store_failed_ms.get() <= node.store_ok_ms.get();
    if first {
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
