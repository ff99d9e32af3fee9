//! The time for which a node has known that it is behind, and the lines that tell of it.

use gateway::decide::lag::Lag;

#[test]
fn a_node_is_behind_from_the_first_version_that_it_lacks() {
    let mut lag = Lag::default();
    lag.record(5, 4, 100);
    lag.record(5, 4, 300);
    lag.record(7, 4, 400);
    assert_eq!((lag.behind_ms(1_000), lag.newest()), (Some(900), Some(7)));
    lag.advance(5);
    assert_eq!(lag.behind_ms(1_000), Some(600));
    lag.advance(7);
    assert_eq!((lag.behind_ms(1_000), lag.newest()), (None, None));
}

#[test]
fn an_older_version_that_is_heard_later_does_not_make_a_node_seem_less_behind() {
    let mut lag = Lag::default();
    lag.record(7, 4, 100);
    lag.record(6, 4, 500);
    lag.advance(6);
    assert_eq!(lag.behind_ms(1_000), Some(900));
}

#[test]
fn a_storm_of_versions_takes_no_more_room_and_keeps_its_beginning() {
    let mut lag = Lag::default();
    for version in 1..=100_000 {
        lag.record(version, 0, version);
    }
    assert_eq!(lag.behind_ms(100_001), Some(100_000));
    assert_eq!(lag.newest(), Some(100_000));
}

#[test]
fn what_the_store_was_asked_for_since_is_forgotten() {
    let mut lag = Lag::default();
    lag.record(5, 4, 100);
    lag.settle(101);
    assert_eq!(lag.behind_ms(1_000), None);
    lag.record(5, 4, 200);
    assert_eq!(lag.behind_ms(1_000), Some(800));
}
