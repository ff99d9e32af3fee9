//! Queue of one workspace, ordered by priority, then due time, then arrival. Both interfaces use it:
//! here for slots, and in the routed interface for requests that wait for a server.

use std::collections::BTreeMap;

use base::ids::RequestId;
use base::units::Millisecond;

use super::AdmissionRequest;
use crate::route::Priority;

/// Sort key of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    priority: Priority,
    due_ms: Millisecond,
    arrival: u64,
}

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<QueueKey, AdmissionRequest>,
    arrivals: u64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The queued requests in order.
    pub fn iter(&self) -> impl Iterator<Item = &AdmissionRequest> {
        self.waiting.values()
    }

    pub fn push(&mut self, request: AdmissionRequest) {
        self.arrivals += 1;
        let key = QueueKey {
            priority: request.priority,
            due_ms: request.first_token_due_ms,
            arrival: self.arrivals,
        };
        self.waiting.insert(key, request);
    }

    pub fn pop_first(&mut self) -> Option<AdmissionRequest> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    pub fn pop_last(&mut self) -> Option<AdmissionRequest> {
        self.waiting.pop_last().map(|(_, request)| request)
    }

    /// Removes a request by its identifier. Returns whether it was queued.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let key = self.waiting.iter().find(|(_, request)| request.id == id);
        let Some((key, _)) = key else {
            return false;
        };
        let key = *key;
        self.waiting.remove(&key).is_some()
    }

    /// Number of queued requests that go before a new request.
    pub fn ahead_of(&self, request: &AdmissionRequest) -> usize {
        let key = QueueKey {
            priority: request.priority,
            due_ms: request.first_token_due_ms,
            arrival: u64::MAX,
        };
        self.waiting.range(..key).count()
    }

    /// Removes the requests for which `is_late(position, request)` holds. The position counts only
    /// the requests that stay in the queue.
    pub fn remove_late(
        &mut self,
        is_late: impl Fn(usize, &AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut position = 0;
        let mut keys = Vec::new();
        for (key, request) in &self.waiting {
            if is_late(position, request) {
                keys.push(*key);
                continue;
            }
            position += 1;
        }
        let mut removed = Vec::with_capacity(keys.len());
        for key in keys {
            removed.extend(self.waiting.remove(&key));
        }
        removed
    }
}
