//! Each checker passes a good history and sees a bad one fail.

use proof::check::{LEAVING_GRACE_MS, Promise, all};
use proof::history::{Acceptance, Ask, EffectSeen, Event, Outcome, Recorder, RunStateSaid};
use test_case::test_case;

fn draft(request_id: &str, expected: &str, outcome: Option<Outcome>) -> Vec<Event> {
    let ask = Ask::Draft {
        expected: expected.into(),
    };
    operation(request_id, "schools", ask, outcome)
}

fn filing(request_id: &str, workspace: &str, key: &str, outcome: Option<Outcome>) -> Vec<Event> {
    let ask = Ask::Filing {
        key: key.into(),
        body_hash: format!("hash-{key}"),
    };
    operation(request_id, workspace, ask, outcome)
}

fn operation(request_id: &str, workspace: &str, ask: Ask, outcome: Option<Outcome>) -> Vec<Event> {
    let recorder = Recorder::default();
    recorder.called(workspace, request_id, ask);
    let number = request_id.bytes().map(u64::from).sum();
    let mut events = recorder.events();
    let Some(Event::Called { operation, .. }) = events.first_mut() else {
        unreachable!("a call was just recorded");
    };
    *operation = number;
    if let Some(outcome) = outcome {
        events.push(Event::Returned {
            operation: number,
            outcome,
        });
    }
    events
}

fn text(text: &str) -> Option<Outcome> {
    Some(Outcome::Draft { text: text.into() })
}

fn broken(acceptance: Acceptance, text: &str) -> Option<Outcome> {
    Some(Outcome::Broken {
        acceptance,
        text: text.into(),
        reason: "cut".into(),
    })
}

fn quarantined() -> Option<Outcome> {
    Some(Outcome::Broken {
        acceptance: Acceptance::Accepted,
        text: " w1".into(),
        reason: "{\"error\":{\"code\":\"quarantined\"}}".into(),
    })
}

fn lost(vm: &str) -> Event {
    Event::ServerLost { vm: vm.into() }
}

fn refused(run_state: RunStateSaid) -> Option<Outcome> {
    Some(Outcome::Refused {
        code: "overloaded".into(),
        run_state,
    })
}

fn filed(request_id: &str, key: &str) -> Option<Outcome> {
    Some(Outcome::Filing {
        seq: 1,
        request_id: request_id.into(),
        body_hash: format!("hash-{key}"),
    })
}

fn effect(request_id: &str, key: &str) -> Event {
    Event::Effect(EffectSeen {
        vm: "desk-1".into(),
        seq: 1,
        request_id: request_id.into(),
        body_hash: format!("hash-{key}"),
    })
}

fn arrival(request_id: &str, vm: &str, at_unix_ms: u64) -> Event {
    Event::Arrived {
        vm: vm.into(),
        request_id: request_id.into(),
        at_unix_ms,
    }
}

fn notice(vm: &str, at_unix_ms: u64) -> Event {
    Event::NoticeGiven {
        vm: vm.into(),
        at_unix_ms,
    }
}

fn accepted(version: u64) -> Event {
    Event::ConfigAccepted { version }
}

fn in_force(node: &str, version: u64) -> Event {
    Event::ConfigInForce {
        node: node.into(),
        version,
    }
}

#[test_case(draft("a", " w1 w2", text(" w1 w2")); "a whole draft")]
#[test_case(draft("a", " w1 w2", refused(RunStateSaid::NotRun)); "a refused draft")]
#[test_case(draft("a", " w1 w2", broken(Acceptance::NotAccepted, "")); "broken before acceptance")]
#[test_case([filing("a", "schools", "k", filed("a", "k")), vec![effect("a", "k")]].concat(); "a filing")]
#[test_case([filing("a", "schools", "k", filed("a", "k")), filing("b", "schools", "k", filed("a", "k")), vec![effect("a", "k")]].concat(); "a replayed filing")]
#[test_case([filing("a", "schools", "k", filed("a", "k")), filing("b", "clinics", "k", filed("b", "k")), vec![effect("a", "k"), effect("b", "k")]].concat(); "one key value in two workspaces")]
#[test_case([filing("a", "schools", "k", refused(RunStateSaid::Unknown)), vec![effect("a", "k")]].concat(); "unknown, and it ran")]
#[test_case(vec![notice("runner-1", 1000), arrival("a", "runner-1", 1000 + LEAVING_GRACE_MS), arrival("b", "runner-2", 99_000)]; "work soon after the notice")]
#[test_case(vec![accepted(1), in_force("entry-1", 1), in_force("entry-1", 2), accepted(2), in_force("entry-2", 1)]; "growing versions")]
#[test_case([draft("a", " w1 w2", quarantined()), vec![arrival("a", "runner-1", 1), lost("runner-1"), arrival("a", "runner-2", 2), lost("runner-2")]].concat(); "given up after two unannounced losses")]
fn a_good_history_passes(events: Vec<Event>) {
    assert_eq!(all(&events), []);
}

#[test_case(draft("a", " w1 w2", None), Promise::WholeAnswer; "no return")]
#[test_case(draft("a", " w1 w2", text(" w1")), Promise::WholeAnswer; "a truncated draft that looks complete")]
#[test_case(draft("a", " w1 w2", text(" w1 w2 w2")), Promise::WholeAnswer; "a repeated token")]
#[test_case(draft("a", " w1 w2 w3", text(" w1 w3")), Promise::WholeAnswer; "a gap")]
#[test_case(draft("a", " w1 w2", broken(Acceptance::Accepted, " w1")), Promise::WholeAnswer; "broken after acceptance")]
#[test_case(draft("a", " w1 w2", text(" w7 w8")), Promise::OwnAnswer; "another's draft")]
#[test_case(draft("a", " w1 w2", broken(Acceptance::NotAccepted, " w7")), Promise::OwnAnswer; "the start of another's draft")]
#[test_case([filing("a", "schools", "k", filed("a", "other")), vec![effect("a", "k")]].concat(), Promise::OwnAnswer; "the answer to another body")]
#[test_case([filing("a", "schools", "k", filed("b", "k")), filing("b", "clinics", "k", filed("b", "k")), vec![effect("b", "k")]].concat(), Promise::OwnAnswer; "another workspace's answer to the same key")]
#[test_case([filing("a", "schools", "k", filed("a", "k")), filing("b", "schools", "k", filed("b", "k")), vec![effect("a", "k"), effect("b", "k")]].concat(), Promise::AtMostOnce; "two effects of one key")]
#[test_case([filing("a", "schools", "k", refused(RunStateSaid::Unknown)), vec![effect("a", "k"), effect("a", "k")]].concat(), Promise::AtMostOnce; "two effects of one request")]
#[test_case(filing("a", "schools", "k", filed("a", "k")), Promise::AtMostOnce; "an answer without an effect")]
#[test_case(vec![effect("a", "k")], Promise::AtMostOnce; "an effect without a call")]
#[test_case([filing("a", "schools", "k", refused(RunStateSaid::NotRun)), vec![effect("a", "k")]].concat(), Promise::NotRunIsTrue; "not run, and it had an effect")]
#[test_case([draft("a", " w1", refused(RunStateSaid::NotRun)), vec![arrival("a", "runner-1", 5)]].concat(), Promise::NotRunIsTrue; "not run, and it arrived")]
#[test_case(vec![notice("runner-1", 1000), arrival("a", "runner-1", 1001 + LEAVING_GRACE_MS)], Promise::NoWorkAfterNotice; "work late after the notice")]
#[test_case(vec![notice("runner-1", 1000), notice("runner-1", 90_000), arrival("a", "runner-1", 90_001)], Promise::NoWorkAfterNotice; "a second notice grants no second grace")]
#[test_case(vec![accepted(1), accepted(2), in_force("entry-1", 2), in_force("entry-1", 1)], Promise::ConfigurationNeverReverts; "an older version")]
#[test_case(vec![accepted(1), accepted(1)], Promise::ConfigurationNeverReverts; "one version accepted twice")]
#[test_case(vec![accepted(1), in_force("entry-1", 7)], Promise::ConfigurationNeverReverts; "a version that was never accepted")]
#[test_case([draft("a", " w1 w2", quarantined()), vec![arrival("a", "runner-1", 1), lost("runner-1"), arrival("a", "runner-2", 2)]].concat(), Promise::WholeAnswer; "given up after one loss")]
#[test_case([draft("a", " w1 w2", quarantined()), vec![arrival("a", "runner-1", 1), lost("runner-1"), arrival("b", "runner-2", 2), lost("runner-2")]].concat(), Promise::WholeAnswer; "given up after a loss elsewhere")]
#[test_case([draft("a", " w1 w2", quarantined()), vec![arrival("a", "runner-1", 1), notice("runner-1", 1), arrival("a", "runner-2", 2), lost("runner-2")]].concat(), Promise::WholeAnswer; "given up after a reclaim and a loss")]
fn a_bad_history_fails(events: Vec<Event>, promise: Promise) {
    let violations = all(&events);
    let promises: Vec<Promise> = violations.iter().map(|v| v.promise).collect();
    assert!(promises.contains(&promise), "{violations:?}");
}
