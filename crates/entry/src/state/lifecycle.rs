//! The lifecycle of the process, a state machine defined in `charts/process.toml`.

use std::sync::{Mutex, PoisonError};

use chart::{Chart, Instance};
use tokio::sync::watch;

/// A state of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// No configuration is in force, or it may be out of date; requests are refused.
    Starting,
    /// New requests are accepted.
    Serving,
    /// Requests in flight are finished before the process ends.
    Draining,
    /// Open streams are handed over to peers.
    HandingOver,
    Stopped,
}

/// An event that may change the state of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A configuration is in force.
    ConfigInForce,
    /// The configuration or membership may be out of date.
    Stale,
    /// A signal, an operator or a reclaim notice ends the process.
    Term,
    /// No request is in flight.
    Idle,
    /// The time to finish requests has run out.
    Cut,
}

impl LifecycleEvent {
    fn name(self) -> &'static str {
        match self {
            Self::ConfigInForce => "config_in_force",
            Self::Stale => "stale",
            Self::Term => "term",
            Self::Idle => "idle",
            Self::Cut => "cut",
        }
    }
}

/// The running state machine of the process.
pub struct Lifecycle {
    instance: Mutex<Instance>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// Starts the state machine.
    ///
    /// # Panics
    ///
    /// Panics if the chart built into the program is invalid.
    pub fn open() -> Self {
        let chart = Chart::parse(include_str!("../../charts/process.toml"));
        let instance = chart.expect("the built-in process chart is valid").start();
        Self {
            instance: Mutex::new(instance),
            state: watch::channel(LifecycleState::Starting).0,
        }
    }

    /// Applies an event and returns the resulting state.
    ///
    /// # Panics
    ///
    /// Panics if the chart reaches a state that [`LifecycleState`] lacks.
    pub fn apply(&self, event: LifecycleEvent) -> LifecycleState {
        let mut instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        let state = state_from_name(instance.apply(event.name()));
        self.state.send_replace(state);
        state
    }

    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }

    /// Returns a receiver of the state's changes.
    pub fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }
}

fn state_from_name(state: &str) -> LifecycleState {
    match state {
        "starting" => LifecycleState::Starting,
        "serving" => LifecycleState::Serving,
        "draining" => LifecycleState::Draining,
        "handing_over" => LifecycleState::HandingOver,
        "stopped" => LifecycleState::Stopped,
        other => panic!("the process chart has the state `{other}`, which the code doesn't handle"),
    }
}
