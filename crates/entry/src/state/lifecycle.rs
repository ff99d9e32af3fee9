//! The life of the process, as `charts/process.toml` has it.

use std::sync::{Mutex, PoisonError};

use chart::{Chart, Instance};
use tokio::sync::watch;

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It may not serve yet, or not now.
    Starting,
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It gives its streams to peers.
    HandingOver,
    /// It has ended.
    Stopped,
}

/// What moves the process on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A configuration is in force.
    ConfigInForce,
    /// Knowledge may be out of date.
    Stale,
    /// The process is to end.
    Term,
    /// Nothing is in flight.
    Idle,
    /// No more time to finish.
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

/// The process's running chart.
pub struct Lifecycle {
    instance: Mutex<Instance>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// Starts the chart.
    ///
    /// # Panics
    ///
    /// Panics if the chart built into the program is faulty.
    pub fn open() -> Self {
        let chart = Chart::parse(include_str!("../../charts/process.toml"));
        let instance = chart.expect("the built-in process chart is valid").start();
        Self {
            instance: Mutex::new(instance),
            state: watch::channel(LifecycleState::Starting).0,
        }
    }

    /// Applies an event and returns the state reached.
    pub fn apply(&self, event: LifecycleEvent) -> LifecycleState {
        let mut instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        let state = state_from_name(instance.apply(event.name()));
        self.state.send_replace(state);
        state
    }

    /// The current state.
    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }

    /// Follows the state.
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
        other => panic!("the process chart has no state `{other}` that the code knows"),
    }
}
