//! Leaving backend servers.

use base::Map;
use base::units::Millisecond;

use super::{History, Promise, Violation};
use crate::history::Event;

/// Nothing arrives at a backend server later than `grace_ms` after its notice.
pub fn no_work_after_notice(history: &History, grace_ms: Millisecond) -> Vec<Violation> {
    let notices = notices(history);
    let mut violations = Vec::new();
    for event in history.events {
        let Event::Arrived {
            vm,
            request_id,
            at_unix_ms,
        } = event
        else {
            continue;
        };
        let Some(notice) = notices.get(vm.as_str()) else {
            continue;
        };
        let late_ms = at_unix_ms.saturating_sub(*notice);
        if late_ms > grace_ms {
            violations.push(Violation {
                promise: Promise::NoWorkAfterNotice,
                detail: format!("{request_id} arrived at {vm} {late_ms} ms after its notice"),
            });
        }
    }
    violations
}

fn notices<'a>(history: &History<'a>) -> Map<&'a str, Millisecond> {
    let mut notices = Map::default();
    for event in history.events {
        if let Event::NoticeGiven { vm, at_unix_ms } = event {
            notices.entry(vm.as_str()).or_insert(*at_unix_ms);
        }
    }
    notices
}
