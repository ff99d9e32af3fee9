//! Non-idempotent calls.

use base::Map;

use super::{History, Promise, Violation};
use crate::history::{EffectSeen, Event, Outcome};

/// No key of a workspace has two effects, no effect is without a call, and every answer to a key
/// tells of an effect that was seen.
pub fn at_most_once(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut by_key: Map<(&str, &str), &EffectSeen> = Map::default();
    for effect in effects(history) {
        let key = history
            .by_request(&effect.request_id)
            .and_then(|operation| operation.key());
        let Some(key) = key else {
            violations.push(violation(format!("{effect:?} belongs to no call")));
            continue;
        };
        if let Some(earlier) = by_key.insert(key, effect) {
            violations.push(violation(format!(
                "{key:?} ran twice: {earlier:?} and {effect:?}"
            )));
        }
    }
    for operation in &history.operations {
        let Some(Outcome::Filing { request_id, .. }) = operation.outcome else {
            continue;
        };
        let ran = effects(history).any(|effect| effect.request_id == *request_id);
        if !ran {
            let id = operation.id;
            violations.push(violation(format!(
                "operation {id} was answered without an effect"
            )));
        }
    }
    violations
}

fn effects<'a>(history: &History<'a>) -> impl Iterator<Item = &'a EffectSeen> {
    history.events.iter().filter_map(|event| match event {
        Event::Effect(effect) => Some(effect),
        _ => None,
    })
}

fn violation(detail: String) -> Violation {
    Violation {
        promise: Promise::AtMostOnce,
        detail,
    }
}
