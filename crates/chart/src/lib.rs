//! Interpreter for state charts written in TOML.
//!
//! A chart lists its states and events. Each state has a transition for an event or names the
//! event in `ignores`. A chart that omits a pair is rejected when it is parsed, so every event is
//! handled in every state.

use std::sync::Arc;

use base::Map;
use serde::Deserialize;
use snafu::Snafu;

/// Reason why a chart is rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum ChartError {
    /// The text is not valid TOML, or lacks the fields of a chart.
    #[snafu(display("The chart cannot be read: {reason}."))]
    Syntax {
        /// Message of the TOML parser.
        reason: String,
    },
    /// A transition or `initial` names a state that the chart does not list.
    #[snafu(display("The chart `{chart}` names the state `{state}`, which it does not define."))]
    UnknownState { chart: String, state: String },
    /// A state names an event that the chart does not list.
    #[snafu(display(
        "The chart `{chart}` uses the event `{event}`, which is not in its `events`."
    ))]
    UnknownEvent { chart: String, event: String },
    /// A state neither handles nor ignores an event.
    #[snafu(display(
        "The chart `{chart}` leaves `{event}` unhandled in the state `{state}`; add a transition or list it in `ignores`."
    ))]
    Unhandled {
        chart: String,
        state: String,
        event: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    initial: String,
    events: Vec<String>,
    states: Map<String, StateFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    #[serde(default)]
    on: Map<String, String>,
    #[serde(default)]
    ignores: Vec<String>,
}

/// A validated chart, shared by all its instances.
#[derive(Debug)]
pub struct Chart {
    name: String,
    initial: Arc<str>,
    transitions: Map<(Arc<str>, String), Arc<str>>,
}

impl Chart {
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Fails if the text is no chart, if it names an unlisted state or event, or if it leaves an
    /// event unhandled.
    pub fn parse(text: &str) -> Result<Arc<Self>, ChartError> {
        let file: ChartFile = toml::from_str(text).map_err(|e| ChartError::Syntax {
            reason: e.to_string(),
        })?;
        let mut states: Map<String, Arc<str>> = Map::default();
        for state in file.states.keys() {
            states.insert(state.clone(), state.as_str().into());
        }
        let mut transitions = Map::default();
        for (state, body) in &file.states {
            check_events(&file, state, body)?;
            for event in &file.events {
                let to = body.on.get(event).unwrap_or(state);
                let to = find_state(&file, &states, to)?;
                transitions.insert((states[state].clone(), event.clone()), to);
            }
        }
        let initial = find_state(&file, &states, &file.initial)?;
        Ok(Arc::new(Self {
            name: file.name,
            initial,
            transitions,
        }))
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Creates an instance in the initial state.
    pub fn start(self: &Arc<Self>) -> Instance {
        Instance {
            chart: self.clone(),
            state: self.initial.clone(),
        }
    }
}

fn find_state(
    file: &ChartFile,
    states: &Map<String, Arc<str>>,
    state: &str,
) -> Result<Arc<str>, ChartError> {
    states
        .get(state)
        .cloned()
        .ok_or_else(|| ChartError::UnknownState {
            chart: file.name.clone(),
            state: state.to_owned(),
        })
}

fn check_events(file: &ChartFile, state: &str, body: &StateFile) -> Result<(), ChartError> {
    for event in body.on.keys().chain(&body.ignores) {
        if !file.events.contains(event) {
            return Err(ChartError::UnknownEvent {
                chart: file.name.clone(),
                event: event.clone(),
            });
        }
    }
    for event in &file.events {
        if body.on.contains_key(event) || body.ignores.contains(event) {
            continue;
        }
        return Err(ChartError::Unhandled {
            chart: file.name.clone(),
            state: state.to_owned(),
            event: event.clone(),
        });
    }
    Ok(())
}

/// A chart with its current state.
#[derive(Clone, Debug)]
pub struct Instance {
    chart: Arc<Chart>,
    state: Arc<str>,
}

impl Instance {
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Applies an event and returns the name of the state that follows.
    ///
    /// # Panics
    ///
    /// Panics if the chart does not list `event`: charts and the code that raises their events are
    /// compiled together.
    pub fn apply(&mut self, event: &str) -> &str {
        let key = (self.state.clone(), event.to_owned());
        let Some(next) = self.chart.transitions.get(&key) else {
            panic!("chart `{}` has no event `{event}`", self.chart.name);
        };
        self.state = next.clone();
        &self.state
    }
}
