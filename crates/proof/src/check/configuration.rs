//! Configuration versions.

use base::{Map, Set};

use super::{History, Promise, Violation};
use crate::history::Event;

/// A version is accepted once, versions at one entry VM only grow, and none is in force that was
/// not accepted.
pub fn configuration_never_reverts(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut accepted: Set<u64> = Set::default();
    let mut in_force: Map<&str, u64> = Map::default();
    let all_accepted = accepted_versions(history);
    for event in history.events {
        match event {
            Event::ConfigAccepted { version } if !accepted.insert(*version) => {
                violations.push(violation(format!("version {version} was accepted twice")));
            }
            Event::ConfigInForce { node, version } => {
                if !all_accepted.contains(version) {
                    let detail = format!("{node} has version {version}, which was not accepted");
                    violations.push(violation(detail));
                }
                let earlier = in_force.insert(node, *version).unwrap_or(0);
                if earlier > *version {
                    let detail = format!("{node} went from version {earlier} back to {version}");
                    violations.push(violation(detail));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Versions accepted at any time; an entry VM may have one in force before its operator hears.
fn accepted_versions(history: &History) -> Set<u64> {
    let version = |event: &Event| match event {
        Event::ConfigAccepted { version } => Some(*version),
        _ => None,
    };
    history.events.iter().filter_map(version).collect()
}

fn violation(detail: String) -> Violation {
    Violation {
        promise: Promise::ConfigurationNeverReverts,
        detail,
    }
}
