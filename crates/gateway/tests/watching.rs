//! Whose turn it is to ask the store, and what waited in a socket.

use base::Name;
use gateway::decide::standstill::{Arrival, Standstill};
use gateway::decide::watch::{Question, Rank, due_ms, wait_ms};
use gateway::peer::role::{DrainState, PeerSummary, Presence, Role, rank};
use test_case::test_case;

const BOUND_MS: u64 = 2_000;

/// Time from a datagram to the registry that was asked for because of it.
const TOLD_MS: u64 = 400;

#[test_case(Question::Paced; "that changes all the time")]
#[test_case(Question::Held; "that changes seldom")]
fn each_node_asks_after_the_one_before_and_in_time(question: Question) {
    let due: Vec<u64> = (0..10)
        .map(|nodes| due_ms(question, Rank::After(nodes), BOUND_MS))
        .collect();
    assert!(due.is_sorted(), "{due:?}");
    assert!(due[1] > due[0] && due[2] > due[1], "{due:?}");
    assert!(due.iter().all(|ms| ms + TOLD_MS < BOUND_MS), "{due:?}");
    let unknown = due_ms(question, Rank::Unknown, BOUND_MS);
    assert_eq!(due.last(), Some(&unknown));
}

/// While the first one's question waits, nobody else asks.
#[test]
fn a_question_that_waits_is_waited_for() {
    let second = due_ms(Question::Held, Rank::After(1), BOUND_MS);
    assert!(second > wait_ms(Question::Held, BOUND_MS));
}

#[test]
fn a_longer_bound_takes_fewer_questions() {
    let of = |bound_ms| due_ms(Question::Paced, Rank::After(0), bound_ms);
    assert_eq!(of(2 * BOUND_MS), 2 * of(BOUND_MS));
}

/// Ranks of nodes in three failure domains, `lost` of them silent.
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
fn what_is_read_after_a_stand_still_may_have_waited() {
    let mut standstill = Standstill::default();
    assert_eq!(standstill.look(10), Arrival::Prompt);
    for now_ms in (100..2_000).step_by(100) {
        standstill.beat(now_ms);
        assert_eq!(standstill.look(now_ms + 50), Arrival::Prompt);
    }
    assert_eq!(standstill.look(7_000), Arrival::MayHaveWaited);
    standstill.beat(7_100);
    assert_eq!(standstill.look(7_150), Arrival::MayHaveWaited);
    standstill.beat(7_500);
    assert_eq!(standstill.look(7_550), Arrival::Prompt);
}
