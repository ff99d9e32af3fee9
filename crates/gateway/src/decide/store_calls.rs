//! Whether the store answers this node.

use std::cell::Cell;

use base::units::Millisecond;
use outside::Topic;
use serde::{Deserialize, Serialize};

/// Time that an answer may take beyond the time for which the store may hold the call.
const ANSWER_LIMIT_MS: Millisecond = 600;

/// Outcome of a node's last call to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreAccess {
    /// The store answered, or the node had no need to call it.
    #[default]
    Served,
    /// The call failed, or has no answer yet when it should.
    Failing,
}

/// The calls for changes that are under way.
#[derive(Debug, Default)]
pub struct StoreCalls {
    /// When the answer about the directory is due; 0 if there is no call.
    directory_due_ms: Cell<Millisecond>,
    /// The same for the registry.
    servers_due_ms: Cell<Millisecond>,
    /// When the last call about the directory began; 0 if there was none.
    directory_begun_ms: Cell<Millisecond>,
    /// The same for the registry.
    servers_begun_ms: Cell<Millisecond>,
}

impl StoreCalls {
    /// Records a call that the store may hold for `wait_ms`.
    pub fn begin(&self, topic: Topic, wait_ms: Millisecond, now_ms: Millisecond) {
        self.due(topic).set(now_ms + wait_ms + ANSWER_LIMIT_MS);
        self.begun(topic).set(now_ms);
    }

    /// Time since the last call began; without limit if there was none.
    pub fn since_begun_ms(&self, topic: Topic, now_ms: Millisecond) -> Millisecond {
        match self.begun(topic).get() {
            0 => Millisecond::MAX,
            begun_ms => now_ms.saturating_sub(begun_ms),
        }
    }

    /// Records the end of a call.
    pub fn end(&self, topic: Topic) {
        self.due(topic).set(0);
    }

    /// Lets the next call of a topic begin at once.
    pub fn repeat(&self, topic: Topic) {
        self.begun(topic).set(0);
    }

    /// Whether the answer to some call is late.
    pub fn is_late(&self, now_ms: Millisecond) -> bool {
        let is_late = |due: &Cell<Millisecond>| due.get() > 0 && now_ms > due.get();
        is_late(&self.directory_due_ms) || is_late(&self.servers_due_ms)
    }

    fn begun(&self, topic: Topic) -> &Cell<Millisecond> {
        match topic {
            Topic::Servers => &self.servers_begun_ms,
            Topic::Directory | Topic::Nodes => &self.directory_begun_ms,
        }
    }

    fn due(&self, topic: Topic) -> &Cell<Millisecond> {
        match topic {
            Topic::Servers => &self.servers_due_ms,
            Topic::Directory | Topic::Nodes => &self.directory_due_ms,
        }
    }
}
