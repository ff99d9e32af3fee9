//! The truth of "not run".

use base::Set;

use super::{History, Promise, Violation};
use crate::history::{Event, Outcome, RunStateSaid};

/// What was said not to have run arrived at no backend server.
pub fn not_run_is_true(history: &History) -> Vec<Violation> {
    let reached = reached(history);
    let mut violations = Vec::new();
    for operation in &history.operations {
        let said = matches!(
            operation.outcome,
            Some(Outcome::Refused {
                run_state: RunStateSaid::NotRun,
                ..
            })
        );
        if said && reached.contains(operation.request_id) {
            violations.push(Violation {
                promise: Promise::NotRunIsTrue,
                detail: format!("operation {} reached a backend server", operation.id),
            });
        }
    }
    violations
}

fn reached<'a>(history: &History<'a>) -> Set<&'a str> {
    let mut reached = Set::default();
    for event in history.events {
        match event {
            Event::Arrived { request_id, .. } => reached.insert(request_id.as_str()),
            Event::Effect(effect) => reached.insert(effect.request_id.as_str()),
            _ => continue,
        };
    }
    reached
}
