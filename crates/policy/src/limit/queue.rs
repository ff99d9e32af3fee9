//! Waiting requests of one workspace: highest priority first, then the earliest due.

use std::collections::BTreeMap;

use base::ids::RequestId;
use base::units::Millisecond;

use super::AdmissionRequest;
use crate::route::Priority;

/// Place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    priority: Priority,
    due_ms: Millisecond,
    arrival: u64,
}

/// The queue.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Place, AdmissionRequest>,
    arrivals: u64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn push(&mut self, request: AdmissionRequest) {
        self.arrivals += 1;
        let place = Place {
            priority: request.priority,
            due_ms: request.first_token_due_ms,
            arrival: self.arrivals,
        };
        self.waiting.insert(place, request);
    }

    pub fn pop_first(&mut self) -> Option<AdmissionRequest> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    pub fn pop_last(&mut self) -> Option<AdmissionRequest> {
        self.waiting.pop_last().map(|(_, request)| request)
    }

    /// Takes a request out by its number; true when it was here.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let place = self.waiting.iter().find(|(_, request)| request.id == id);
        let Some((place, _)) = place else {
            return false;
        };
        let place = *place;
        self.waiting.remove(&place).is_some()
    }

    /// Waiting requests that go before a new one of this priority and due time.
    pub fn ahead_of(&self, request: &AdmissionRequest) -> usize {
        let place = Place {
            priority: request.priority,
            due_ms: request.first_token_due_ms,
            arrival: u64::MAX,
        };
        self.waiting.range(..place).count()
    }

    /// Takes out the requests for which `hopeless(position, request)` holds; positions count only
    /// those that stay.
    pub fn take_hopeless(
        &mut self,
        hopeless: impl Fn(usize, &AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut position = 0;
        let mut places = Vec::new();
        for (place, request) in &self.waiting {
            if hopeless(position, request) {
                places.push(*place);
                continue;
            }
            position += 1;
        }
        let mut taken = Vec::with_capacity(places.len());
        for place in places {
            taken.extend(self.waiting.remove(&place));
        }
        taken
    }
}
