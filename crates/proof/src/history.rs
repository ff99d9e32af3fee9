//! What happened in a run: calls, returns, effects, notices and configurations, in order.

use std::sync::{Arc, Mutex};

use base::units::Millisecond;
use serde::{Deserialize, Serialize};

/// Number of an operation within one history.
pub type OperationId = u64;

/// Event of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A caller started an operation.
    Called {
        /// The operation.
        operation: OperationId,
        /// Name of the caller.
        workspace: String,
        /// Its number, sent as `x-request-id`.
        request_id: String,
        /// The request.
        ask: Ask,
    },
    /// The operation ended for its caller.
    Returned {
        /// The operation.
        operation: OperationId,
        outcome: Outcome,
    },
    /// A request arrived at a backend server.
    Arrived {
        /// The backend server's VM.
        vm: String,
        /// The request's number.
        request_id: String,
        /// Time since the Unix epoch.
        at_unix_ms: Millisecond,
    },
    /// A call to a plain service took effect.
    Effect(EffectSeen),
    /// A backend server was given notice.
    NoticeGiven {
        /// Its VM.
        vm: String,
        /// Time since the Unix epoch.
        at_unix_ms: Millisecond,
    },
    /// A backend server was lost, or cut off, without notice.
    ServerLost {
        /// Its VM.
        vm: String,
    },
    /// The console accepted a configuration.
    ConfigAccepted {
        /// Its version.
        version: u64,
    },
    /// An entry VM was seen to have a configuration in force.
    ConfigInForce {
        /// The entry VM.
        node: String,
        /// The version.
        version: u64,
    },
}

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Ask {
    /// A model's answer, which is known beforehand.
    Draft {
        /// The answer's whole text.
        expected: String,
    },
    /// A call of a plain service that may not be repeated.
    Filing {
        /// The idempotency key.
        key: String,
        /// Digest of the body.
        body_hash: String,
    },
}

/// An effect, as the service or its answer tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectSeen {
    /// The backend server's VM.
    pub vm: String,
    /// Its position in that server's log.
    pub seq: u64,
    /// Number of the request that had it.
    pub request_id: String,
    /// Digest of the body that had it.
    pub body_hash: String,
}

/// Outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Outcome {
    /// A model's answer up to its end.
    Draft {
        /// Its text.
        text: String,
    },
    /// A plain service's answer.
    Filing {
        /// Position in the server's log, as the answer tells it.
        seq: u64,
        /// Number of the request, as the answer tells it.
        request_id: String,
        /// Digest of the body, as the answer tells it.
        body_hash: String,
    },
    /// An error before the request was accepted.
    Refused {
        /// Stable code.
        code: String,
        /// What the system says about running.
        run_state: RunStateSaid,
    },
    /// The answer did not end.
    Broken {
        /// Whether the request had been accepted.
        acceptance: Acceptance,
        /// Outcome.
        text: String,
        /// Observation.
        reason: String,
    },
}

/// Run state that an error states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStateSaid {
    NotRun,
    Ran,
    Unknown,
    /// Nothing was said.
    Nothing,
}

impl RunStateSaid {
    /// Reads the field of an error.
    pub fn parse(text: Option<&str>) -> Self {
        match text {
            Some("not_run") => Self::NotRun,
            Some("ran") => Self::Ran,
            Some("unknown") => Self::Unknown,
            _ => Self::Nothing,
        }
    }
}

/// Whether a request was accepted before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acceptance {
    /// The head of its answer had come.
    Accepted,
    NotAccepted,
}

/// Collects a history from many tasks.
#[derive(Clone, Debug, Default)]
pub struct Recorder(Arc<Mutex<Recording>>);

#[derive(Debug, Default)]
struct Recording {
    operations: OperationId,
    events: Vec<Event>,
}

impl Recorder {
    /// Records the start of an operation.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn called(&self, workspace: &str, request_id: &str, ask: Ask) -> OperationId {
        let mut recording = self.0.lock().expect("no holder panics");
        recording.operations += 1;
        let operation = recording.operations;
        recording.events.push(Event::Called {
            operation,
            workspace: workspace.to_owned(),
            request_id: request_id.to_owned(),
            ask,
        });
        operation
    }

    /// Records anything else.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn record(&self, event: Event) {
        self.0.lock().expect("no holder panics").events.push(event);
    }

    /// The history so far.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn events(&self) -> Vec<Event> {
        self.0.lock().expect("no holder panics").events.clone()
    }
}
