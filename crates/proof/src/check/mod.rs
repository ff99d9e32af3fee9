//! One checker for each promise; each is a plain function over a history.

mod answers;
mod configuration;
mod leaving;
mod not_run;
mod once;

pub use answers::{own_answer, whole_answer};
pub use configuration::configuration_never_reverts;
pub use leaving::no_work_after_notice;
pub use not_run::not_run_is_true;
pub use once::at_most_once;

use std::fmt;

use base::Map;
use base::units::Millisecond;

use crate::history::{Ask, Event, OperationId, Outcome};

/// Time a leaving backend server may still get new work.
pub const LEAVING_GRACE_MS: Millisecond = 5_000;

/// A promise that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// What broke the invariant.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// Invariants that each run is checked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
    /// An accepted request is answered whole.
    WholeAnswer,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// What was said not to have run has not run.
    NotRunIsTrue,
    /// A leaving backend server gets no new work.
    NoWorkAfterNotice,
    /// A configuration never goes back.
    ConfigurationNeverReverts,
}

/// Runs every checker.
pub fn all(events: &[Event]) -> Vec<Violation> {
    let history = History::of(events);
    let mut violations = whole_answer(&history);
    violations.extend(own_answer(&history));
    violations.extend(at_most_once(&history));
    violations.extend(not_run_is_true(&history));
    violations.extend(no_work_after_notice(&history, LEAVING_GRACE_MS));
    violations.extend(configuration_never_reverts(&history));
    violations
}

/// Counts of a history, for the report of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Operations started.
    pub operations: usize,
    /// Operations with a whole answer.
    pub answered: usize,
    /// Of these, streamed drafts.
    pub drafts_answered: usize,
    /// Accepted operations given up for crashing their backend servers.
    pub quarantined: usize,
    /// Operations refused before acceptance.
    pub refused: usize,
    /// Effects at plain services.
    pub effects: usize,
    /// Arrivals at backend servers.
    pub arrivals: usize,
}

impl Counts {
    /// Counts a history.
    pub fn of(events: &[Event]) -> Self {
        let mut counts = Self::default();
        for event in events {
            match event {
                Event::Called { .. } => counts.operations += 1,
                Event::Returned { outcome, .. } => match outcome {
                    Outcome::Draft { .. } => {
                        counts.answered += 1;
                        counts.drafts_answered += 1;
                    }
                    Outcome::Filing { .. } => counts.answered += 1,
                    Outcome::Refused { .. } => counts.refused += 1,
                    Outcome::Broken { .. } => {}
                },
                Event::Effect(_) => counts.effects += 1,
                Event::Arrived { .. } => counts.arrivals += 1,
                _ => {}
            }
        }
        let history = History::of(events);
        let quarantined = |operation: &&Operation| answers::is_quarantined(operation);
        counts.quarantined = history.operations.iter().filter(quarantined).count();
        counts
    }
}

/// One operation from its call to its return.
#[derive(Clone, Copy, Debug)]
pub struct Operation<'a> {
    /// Its number in the history.
    pub id: OperationId,
    /// Name of the caller.
    pub workspace: &'a str,
    /// The request's number.
    pub request_id: &'a str,
    /// The request.
    pub ask: &'a Ask,
    /// Outcome; `None` if it has not ended.
    pub outcome: Option<&'a Outcome>,
}

impl Operation<'_> {
    /// The workspace and key of a non-idempotent call.
    pub fn key(&self) -> Option<(&str, &str)> {
        match self.ask {
            Ask::Filing { key, .. } => Some((self.workspace, key)),
            Ask::Draft { .. } => None,
        }
    }
}

/// A history with its operations put together.
#[derive(Debug)]
pub struct History<'a> {
    /// Events in order of time.
    pub events: &'a [Event],
    /// All operations, in order of call.
    pub operations: Vec<Operation<'a>>,
}

impl<'a> History<'a> {
    /// Puts calls and returns together.
    pub fn of(events: &'a [Event]) -> Self {
        let mut operations: Vec<Operation> = Vec::new();
        let mut index: Map<OperationId, usize> = Map::default();
        for event in events {
            match event {
                Event::Called {
                    operation,
                    workspace,
                    request_id,
                    ask,
                } => {
                    index.insert(*operation, operations.len());
                    operations.push(Operation {
                        id: *operation,
                        workspace,
                        request_id,
                        ask,
                        outcome: None,
                    });
                }
                Event::Returned { operation, outcome } => {
                    if let Some(at) = index.get(operation) {
                        operations[*at].outcome = Some(outcome);
                    }
                }
                _ => {}
            }
        }
        Self { events, operations }
    }

    /// Finds the operation with a request's number.
    pub fn by_request(&self, request_id: &str) -> Option<&Operation<'a>> {
        let mut operations = self.operations.iter();
        operations.find(|operation| operation.request_id == request_id)
    }
}
