//! Events in order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Virtual time.
pub type Microsecond = u64;

/// Microseconds of a millisecond.
pub const MS: Microsecond = 1_000;

/// Microseconds of a second.
pub const S: Microsecond = 1_000_000;

/// Events by time; those of one instant in the order in which they were added.
#[derive(Debug)]
pub struct Schedule<E> {
    heap: BinaryHeap<Reverse<(Microsecond, u64, Slot)>>,
    events: Vec<Option<E>>,
    free: Vec<usize>,
    added: u64,
    now_us: Microsecond,
}

type Slot = usize;

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            added: 0,
            now_us: 0,
        }
    }
}

impl<E> Schedule<E> {
    /// Now.
    pub fn now_us(&self) -> Microsecond {
        self.now_us
    }

    /// Adds an event `after_us` from now.
    pub fn add(&mut self, after_us: Microsecond, event: E) {
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.events.push(None);
                self.events.len() - 1
            }
        };
        self.events[slot] = Some(event);
        self.added += 1;
        let at_us = self.now_us + after_us;
        self.heap.push(Reverse((at_us, self.added, slot)));
    }

    /// The next event until `until_us`; time goes on to it, or to then if there is none.
    pub fn take_next(&mut self, until_us: Microsecond) -> Option<E> {
        let Reverse((at_us, _, _)) = self.heap.peek()?;
        if *at_us > until_us {
            self.now_us = until_us;
            return None;
        }
        let Reverse((at_us, _, slot)) = self.heap.pop()?;
        self.now_us = at_us;
        self.free.push(slot);
        self.events[slot].take()
    }
}
