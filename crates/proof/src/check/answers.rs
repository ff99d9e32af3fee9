//! Whole answers, and one's own.

use base::Set;

use super::{History, Operation, Promise, Violation};
use crate::history::{Acceptance, Ask, Event, Outcome};

/// Unannounced losses under one request after which it may be given up.
const CRASHES: usize = 2;

/// Every accepted request is answered up to its end, and a whole answer is whole byte for byte.
///
/// Only a request under which [`CRASHES`] backend servers were lost without notice may be given up
/// as the one that crashes them; from outside, the two cannot be told apart.
pub fn whole_answer(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for operation in &history.operations {
        if is_quarantined(operation) && servers_lost(history, operation.request_id) >= CRASHES {
            continue;
        }
        if let Some(detail) = not_whole(operation) {
            violations.push(Violation {
                promise: Promise::WholeAnswer,
                detail: format!("operation {}: {detail}", operation.id),
            });
        }
    }
    violations
}

/// Whether an accepted request was given up for crashing its backend servers.
pub(super) fn is_quarantined(operation: &Operation) -> bool {
    matches!(
        operation.outcome,
        Some(Outcome::Broken { reason, .. }) if reason.contains("\"code\":\"quarantined\"")
    )
}

/// Backend servers lost without notice that the request had arrived at.
fn servers_lost(history: &History, request_id: &str) -> usize {
    let mut lost: Set<&str> = Set::default();
    let mut reached: Set<&str> = Set::default();
    for event in history.events {
        match event {
            Event::ServerLost { vm } => lost.insert(vm),
            Event::Arrived {
                vm, request_id: id, ..
            } if id == request_id => reached.insert(vm),
            _ => continue,
        };
    }
    lost.intersection(&reached).count()
}

fn not_whole(operation: &Operation) -> Option<String> {
    match (operation.ask, operation.outcome) {
        (_, None) => Some("never returned".to_owned()),
        (
            _,
            Some(Outcome::Broken {
                acceptance: Acceptance::Accepted,
                text,
                reason,
            }),
        ) => Some(format!(
            "accepted, then broken after {} bytes: {reason}",
            text.len()
        )),
        (Ask::Draft { expected }, Some(Outcome::Draft { text })) if text != expected => {
            Some(difference(expected, text))
        }
        _ => None,
    }
}

fn difference(expected: &str, text: &str) -> String {
    let same = expected
        .bytes()
        .zip(text.bytes())
        .take_while(|(left, right)| left == right)
        .count();
    format!(
        "{} bytes where {} were expected; they differ from byte {same}",
        text.len(),
        expected.len()
    )
}

/// No caller gets what belongs to another's request.
pub fn own_answer(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for operation in &history.operations {
        if let Some(detail) = not_own(history, operation) {
            violations.push(Violation {
                promise: Promise::OwnAnswer,
                detail: format!("operation {}: {detail}", operation.id),
            });
        }
    }
    violations
}

fn not_own(history: &History, operation: &Operation) -> Option<String> {
    match (operation.ask, operation.outcome?) {
        (Ask::Draft { expected }, Outcome::Draft { text } | Outcome::Broken { text, .. }) => {
            let foreign = !text.is_empty() && !expected.starts_with(first_word(text));
            foreign.then(|| "the text is the answer to another prompt".to_owned())
        }
        (
            Ask::Filing { body_hash, .. },
            Outcome::Filing {
                body_hash: answered,
                request_id,
                ..
            },
        ) => {
            if answered != body_hash {
                return Some("the answer is to another body".to_owned());
            }
            let Some(origin) = history.by_request(request_id) else {
                return Some(format!("the answer is to an unknown request {request_id}"));
            };
            let own = origin.key() == operation.key();
            (!own).then(|| format!("the answer is to operation {}", origin.id))
        }
        (Ask::Draft { .. }, Outcome::Filing { .. })
        | (Ask::Filing { .. }, Outcome::Draft { .. }) => {
            Some("the answer is of another kind".to_owned())
        }
        _ => None,
    }
}

fn first_word(text: &str) -> &str {
    let end = text.char_indices().skip(1).find(|(_, c)| *c == ' ');
    &text[..end.map_or(text.len(), |(at, _)| at)]
}
