//! Batch slots, given out by priority and then in order of arrival.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

/// The batch of one engine.
#[derive(Debug)]
pub struct Slots(Mutex<State>);

#[derive(Debug)]
struct State {
    free: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<Slot>>,
}

/// A place in the batch; freed when dropped.
#[derive(Debug)]
pub struct Slot(Option<Arc<Slots>>);

impl Slots {
    /// A batch with room for `count` sequences.
    pub fn new(count: usize) -> Arc<Self> {
        Arc::new(Self(Mutex::new(State {
            free: count,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        })))
    }

    /// Waits for a place; lower priorities go first.
    pub async fn take(self: &Arc<Self>, priority: i64) -> Slot {
        let queued = {
            let mut state = self.0.lock().expect("no holder panics");
            if state.free > 0 {
                state.free -= 1;
                state.running += 1;
                return Slot(Some(self.clone()));
            }
            state.arrivals += 1;
            let (sender, receiver) = oneshot::channel();
            let place = (priority, state.arrivals);
            state.waiting.insert(place, sender);
            receiver
        };
        queued
            .await
            .expect("a queued sender is never dropped unused")
    }

    /// Sequences in the batch.
    pub fn running(&self) -> usize {
        self.0.lock().expect("no holder panics").running
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        let state = self.0.lock().expect("no holder panics");
        state.waiting.values().filter(|s| !s.is_closed()).count()
    }

    fn release(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = self.0.lock().expect("no holder panics");
                let next = state.waiting.pop_first();
                if next.is_none() {
                    state.free += 1;
                    state.running -= 1;
                }
                next
            };
            let Some((_, sender)) = next else { return };
            match sender.send(Slot(Some(self.clone()))) {
                Ok(()) => return,
                Err(mut unwanted) => drop(unwanted.0.take()),
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}
