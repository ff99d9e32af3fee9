//! Usage counts over several nodes and lives.

use base::Name;
use gateway::duty::usage::Usage;

const WINDOW_MS: u64 = 5_000;

#[test]
fn own_and_others_requests_are_summed() {
    let (a, b) = (Name::from("a"), Name::from("b"));
    let mut usage = Usage::new(WINDOW_MS);
    let window = usage.window(0);
    usage.count(&a, 0);
    usage.merge(
        &"n/1".into(),
        1,
        &[(window, vec![(a.clone(), 2), (b.clone(), 1)])],
    );
    // An older datagram that arrives late lowers no count.
    usage.merge(&"n/1".into(), 1, &[(window, vec![(a.clone(), 1)])]);
    usage.merge(&"n/2".into(), 1, &[(window, vec![(a.clone(), 4)])]);
    let total = usage.total(window);
    assert_eq!((total[&a], total[&b]), (7, 1));
}

#[test]
fn a_clock_that_is_off_counts_in_the_window_of_the_others() {
    let mut usage = Usage::new(WINDOW_MS);
    let ahead = usage.window(WINDOW_MS as i64);
    usage.count(&"a".into(), WINDOW_MS as i64);
    assert_eq!(usage.total(ahead).len(), 1);
    assert_eq!(usage.since_end_ms(ahead, 0), 0);
}

/// When all processes end, the next ones know only the checkpoint in the store.
#[test]
fn counts_of_ended_lives_are_restored_from_the_checkpoint() {
    let a = Name::from("a");
    let mut before = Usage::new(WINDOW_MS);
    let window = before.window(0);
    before.count(&a, 0);
    before.merge(&"n/1".into(), 1, &[(window, vec![(a.clone(), 5)])]);
    let kept = before.checkpoint(0);
    let at_ms = kept.at_unix_ms;
    let mut after = Usage::new(WINDOW_MS);
    after.restore(kept);
    let begun = vec![(window, vec![(a.clone(), 3)])];
    after.merge(&"n/2".into(), at_ms + 500, &begun);
    assert_eq!(after.total(window)[&a], 9);
    // The checkpoint already contains the counts of this life.
    after.merge(&"n/1".into(), 1, &[(window, vec![(a.clone(), 5)])]);
    assert_eq!(after.total(window)[&a], 9);
    // Only the increase since the checkpoint is added.
    after.merge(&"n/1".into(), 1, &[(window, vec![(a.clone(), 8)])]);
    assert_eq!(after.total(window)[&a], 11);
}
