//! The life of the process, as `charts/process.toml` has it.

use std::sync::{Mutex, PoisonError};

use chart::{Chart, Instance};
use tokio::sync::watch;

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeState {
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
pub enum LifeEvent {
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

impl LifeEvent {
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
pub struct Life {
    instance: Mutex<Instance>,
    state: watch::Sender<LifeState>,
}

impl Life {
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
            state: watch::channel(LifeState::Starting).0,
        }
    }

    /// Applies an event and returns the state reached.
    pub fn apply(&self, event: LifeEvent) -> LifeState {
        let mut instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        let state = named(instance.apply(event.name()));
        self.state.send_replace(state);
        state
    }

    /// The current state.
    pub fn state(&self) -> LifeState {
        *self.state.borrow()
    }

    /// Follows the state.
    pub fn subscribe(&self) -> watch::Receiver<LifeState> {
        self.state.subscribe()
    }
}

fn named(state: &str) -> LifeState {
    match state {
        "starting" => LifeState::Starting,
        "serving" => LifeState::Serving,
        "draining" => LifeState::Draining,
        "handing_over" => LifeState::HandingOver,
        "stopped" => LifeState::Stopped,
        other => panic!("the process chart has no state `{other}` that the code knows"),
    }
}
