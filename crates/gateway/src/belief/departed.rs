//! Last writes of removed entries, by which late writes of them are recognized.

use std::collections::VecDeque;

use base::{Map, Name};

use super::server::Written;

/// Most removed entries that are remembered: more than the servers of the largest planned fleet,
/// which may all be replaced within the seconds that a write can be late.
const DEPARTED_LIMIT: usize = 16_384;

/// Last writes of removed entries. A late write or a restored store may list them again.
#[derive(Debug, Default)]
pub struct Departed {
    written: Map<Name, Written>,
    /// Identifiers in the order of their first removal.
    order: VecDeque<Name>,
}

impl Departed {
    /// Records the last known write of a removed entry.
    pub fn record(&mut self, id: &Name, written: Written) {
        if let Some(known) = self.written.get_mut(id) {
            *known = written.max(*known);
            return;
        }
        if self.order.len() >= DEPARTED_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.written.remove(&oldest);
        }
        self.order.push_back(id.clone());
        self.written.insert(id.clone(), written);
    }

    /// Whether a write is not newer than the last one before the entry was removed. Writes without a
    /// sequence number have no order.
    pub fn has_newer(&self, id: &str, written: Written) -> bool {
        let last = self.written.get(id);
        written.sequence > 0 && last.is_some_and(|last| *last >= written)
    }
}
