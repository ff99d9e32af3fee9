//! The order in which nodes poll the store, and the detection of pauses.

use base::Name;
use gateway::decide::pause::{Arrival, PauseDetector};
use gateway::decide::store_calls::StoreAccess;
use gateway::decide::store_poll::{PollMode, PollRank, poll_due_ms, poll_wait_ms};
use gateway::peer::role::{DrainState, PeerSummary, Presence, Role, rank};
use test_case::test_case;

const BOUND_MS: u64 = 2_000;

/// Time from a datagram until the registry that is pulled because of it has arrived.
const PULL_MS: u64 = 400;

#[test_case(PollMode::Periodic; "periodic polls")]
#[test_case(PollMode::LongPoll; "long polls")]
fn each_node_polls_after_the_one_before_and_in_time(mode: PollMode) {
    let due: Vec<u64> = (0..10)
        .map(|nodes| poll_due_ms(mode, PollRank::After(nodes), BOUND_MS))
        .collect();
    assert!(due.is_sorted(), "{due:?}");
    assert!(due[1] > due[0] && due[2] > due[1], "{due:?}");
    assert!(due.iter().all(|ms| ms + PULL_MS < BOUND_MS), "{due:?}");
    let unknown = poll_due_ms(mode, PollRank::Unknown, BOUND_MS);
    assert_eq!(due.last(), Some(&unknown));
}

/// While the long poll of the first node is held, no other node polls.
#[test]
fn a_long_poll_of_the_first_node_delays_the_second() {
    let second = poll_due_ms(PollMode::LongPoll, PollRank::After(1), BOUND_MS);
    assert!(second > poll_wait_ms(PollMode::LongPoll, BOUND_MS));
}

#[test]
fn a_longer_bound_takes_fewer_polls() {
    let of = |bound_ms| poll_due_ms(PollMode::Periodic, PollRank::After(0), bound_ms);
    assert_eq!(of(2 * BOUND_MS), 2 * of(BOUND_MS));
}

/// Ranks of nodes in three failure domains, where the nodes in `lost` are silent.
fn ranks(nodes: usize, lost: &[usize]) -> Vec<Option<usize>> {
    let names: Vec<Name> = (0..nodes).map(|n| format!("n{n:02}").into()).collect();
    let domains: Vec<Name> = (0..3).map(|d| format!("d{d}").into()).collect();
    let rank_of = |own: usize| {
        let others = (0..nodes).filter(|other| *other != own);
        let neighbours: Vec<PeerSummary<'_>> = others
            .map(|other| PeerSummary {
                name: &names[other],
                failure_domain: &domains[other % 3],
                role: Role::Follows,
                stay: DrainState::Stays,
                access: StoreAccess::Served,
                presence: match lost.contains(&other) {
                    true => Presence::Silent,
                    false => Presence::Fresh,
                },
            })
            .collect();
        rank(&names[own], &domains[own % 3], &neighbours)
    };
    (0..nodes)
        .map(|n| (!lost.contains(&n)).then(|| rank_of(n)))
        .collect()
}

#[test]
fn each_rank_is_held_once_and_domains_take_turns() {
    let ranks: Vec<usize> = ranks(9, &[]).into_iter().flatten().collect();
    assert_eq!(ranks, vec![0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn after_the_loss_of_a_domain_the_others_move_up() {
    let mut ranks: Vec<usize> = ranks(9, &[0, 3, 6]).into_iter().flatten().collect();
    ranks.sort_unstable();
    assert_eq!(ranks, vec![0, 1, 2, 3, 4, 5]);
}

#[test]
fn messages_read_after_a_pause_may_have_waited() {
    let mut detector = PauseDetector::default();
    assert_eq!(detector.check(10), Arrival::Immediate);
    for now_ms in (100..2_000).step_by(100) {
        detector.heartbeat(now_ms);
        assert_eq!(detector.check(now_ms + 50), Arrival::Immediate);
    }
    assert_eq!(detector.check(7_000), Arrival::MayHaveWaited);
    detector.heartbeat(7_100);
    assert_eq!(detector.check(7_150), Arrival::MayHaveWaited);
    detector.heartbeat(7_500);
    assert_eq!(detector.check(7_550), Arrival::Immediate);
}
