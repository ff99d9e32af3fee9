//! Which nodes follow the store, and how often nodes send heartbeats.

use base::Name;
use gateway::decide::store_calls::StoreAccess;
use gateway::peer::role::{DrainState, OwnCopies, PeerSummary, Presence, Role, period_ms, role};
use test_case::test_case;

fn names(nodes: usize) -> Vec<Name> {
    (0..nodes).map(|n| Name::from(format!("n{n:02}"))).collect()
}

/// Roles in a fleet of two failure domains after some rounds, starting with every node as a
/// follower.
fn settled_roles(nodes: usize, silent: &[usize], leaving: &[usize]) -> Vec<Role> {
    let names = names(nodes);
    let domains = [Name::from("a"), Name::from("b")];
    let mut roles = vec![Role::Follows; nodes];
    for _ in 0..5 {
        let last_roles = roles.clone();
        for own in 0..nodes {
            let others = (0..nodes).filter(|other| *other != own);
            let peers: Vec<PeerSummary<'_>> = others
                .map(|other| PeerSummary {
                    name: &names[other],
                    failure_domain: &domains[other % 2],
                    role: last_roles[other],
                    stay: match leaving.contains(&other) {
                        true => DrainState::Leaves,
                        false => DrainState::Stays,
                    },
                    access: StoreAccess::Served,
                    presence: match silent.contains(&other) {
                        true => Presence::Silent,
                        false => Presence::Fresh,
                    },
                })
                .collect();
            roles[own] = role(&names[own], &domains[own % 2], &peers, OwnCopies::Current);
        }
    }
    roles
}

fn followers(roles: &[Role], silent: &[usize]) -> usize {
    let live = roles
        .iter()
        .enumerate()
        .filter(|(n, _)| !silent.contains(n));
    live.filter(|(_, role)| **role == Role::Follows).count()
}

#[test]
fn all_nodes_of_a_small_fleet_follow_the_store() {
    assert_eq!(followers(&settled_roles(9, &[], &[]), &[]), 9);
}

#[test_case(&[]; "all are heard")]
#[test_case(&[0, 1, 2, 3]; "the first followers are lost")]
fn two_nodes_of_each_failure_domain_follow_the_store_in_a_large_fleet(silent: &[usize]) {
    assert_eq!(followers(&settled_roles(60, silent, &[]), silent), 4);
}

#[test]
fn others_take_over_as_soon_as_the_followers_drain() {
    let roles = settled_roles(60, &[], &[0, 1, 2, 3]);
    assert!((4..8).all(|node| roles[node] == Role::Follows), "{roles:?}");
}

#[test]
fn a_node_that_hears_no_node_of_its_domain_follows_the_store() {
    let near: Vec<usize> = (0..60).filter(|n| n % 2 == 0 && *n != 40).collect();
    assert_eq!(settled_roles(60, &near, &[])[40], Role::Follows);
}

#[test_case(1 => 120; "alone")]
#[test_case(12 => 120; "a small fleet")]
#[test_case(83 => 840; "a large fleet")]
fn heartbeats_become_rarer_as_the_fleet_grows(nodes: usize) -> u64 {
    period_ms(nodes)
}
