//! When it is a node's turn to query the store.

use std::time::Duration;

use base::units::Millisecond;
use outside::Topic;

use super::RETRY_DELAY;
use crate::decide::stand_in::overdue_age_ms;
use crate::decide::store_poll::{PollMode, poll_due_ms, poll_wait_ms};
use crate::node::Node;
use crate::peer::pull;
use crate::peer::role::Role;

/// How often a node checks whether it is its turn to query the store: half of the time between the
/// turns of two nodes.
const TURN_CHECK_PERIOD: Duration = Duration::from_millis(75);

/// Time after a failed call after which a node that others have replaced asks once more.
const RECHECK_MS: Millisecond = 2_000;

/// Poll mode of a topic, its age limit, and the time at which its rows were last confirmed.
pub struct PollSchedule {
    mode: PollMode,
    /// Greatest age that the known rows of the topic may reach.
    bound_ms: Millisecond,
    confirmed_ms: Millisecond,
}

impl PollSchedule {
    /// Longest time that the store may hold a query.
    pub fn wait_ms(&self) -> Millisecond {
        poll_wait_ms(self.mode, self.bound_ms)
    }

    fn left_ms(&self, node: &Node) -> Millisecond {
        let due_ms = poll_due_ms(self.mode, node.poll_rank(), self.bound_ms);
        (self.confirmed_ms + due_ms).saturating_sub(node.now_ms())
    }
}

/// The poll schedule of a topic.
pub fn poll_schedule(node: &Node, topic: Topic) -> PollSchedule {
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

/// Whether this node asks the store itself, as it has known for long that others have a newer
/// version, and none has passed it on.
pub fn is_left_behind(node: &Node, topic: Topic) -> bool {
    let since_call_ms = node.store_calls.since_begun_ms(topic, node.now_ms());
    pull::is_behind(node, topic) && pull::standing(node, topic).asks_store(since_call_ms)
}

/// Time until a listening node checks its role again.
pub fn listening_pause(node: &Node, topic: Topic) -> Duration {
    if pull::is_behind(node, topic) {
        return TURN_CHECK_PERIOD;
    }
    let left_ms = overdue_from_ms(node).saturating_sub(node.now_ms());
    Duration::from_millis(left_ms).clamp(TURN_CHECK_PERIOD, RETRY_DELAY)
}

/// Why the wait for a node's turn ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// The node queries the store.
    Queries,
    /// Others do.
    Listens,
}

/// Waits until it is this node's turn to query a topic, or another node announces a change.
pub async fn wait_for_turn(node: &Node, topic: Topic) -> Turn {
    loop {
        let is_left_behind = is_left_behind(node, topic);
        if node.role() == Role::Listens && !is_left_behind {
            return Turn::Listens;
        }
        let left_ms = poll_schedule(node, topic).left_ms(node);
        if left_ms == 0 || is_left_behind || recheck_is_due(node) {
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
    node.store_call_failed() && since_ms >= RECHECK_MS
}
