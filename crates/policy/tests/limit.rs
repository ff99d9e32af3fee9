//! Admission control: shares, waits and refusals.

use base::Name;
use base::ids::RequestId;
use policy::limit::{
    Admission, AdmissionAction, AdmissionConfig, AdmissionRequest, Claim, RefusalReason,
    WorkspaceDemand, WorkspaceShare, allot, local_share,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

fn share(workspace: &str, weight: f64) -> WorkspaceShare {
    WorkspaceShare {
        max_slots: None,
        workspace: Name::from(workspace),
        weight,
    }
}

fn demand(workspace: &str, running: u32, queued: u32) -> WorkspaceDemand {
    WorkspaceDemand {
        workspace: Name::from(workspace),
        running,
        queued,
    }
}

fn request(id: u128, workspace: &str, priority: u8, due_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId::from(id),
        workspace: Name::from(workspace),
        priority,
        first_token_due_ms: due_ms,
        expected_first_token_ms: 100,
    }
}

fn admission(slots: f64, shares: &[WorkspaceShare]) -> Admission {
    let config = AdmissionConfig {
        prior_hold_ms: 1_000,
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(Name::from("entry-1"), config, shares);
    admission.on_capacity(slots);
    admission
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

fn started(actions: &[AdmissionAction]) -> usize {
    let is_start = |action: &&AdmissionAction| matches!(action, AdmissionAction::Start { .. });
    actions.iter().filter(is_start).count()
}

fn refused(actions: &[AdmissionAction]) -> Vec<(RequestId, RefusalReason)> {
    let mut found = Vec::new();
    for action in actions {
        if let AdmissionAction::Refuse { id, reason, .. } = action {
            found.push((*id, *reason));
        }
    }
    found
}

#[test_case(&[(1.0, 50.0), (1.0, 50.0)], &[15.0, 15.0]; "equal weights")]
#[test_case(&[(2.0, 50.0), (1.0, 50.0)], &[20.0, 10.0]; "by weight")]
#[test_case(&[(2.0, 5.0), (1.0, 50.0)], &[5.0, 25.0]; "unused share goes to the other")]
#[test_case(&[(2.0, 5.0), (1.0, 4.0)], &[5.0, 4.0]; "no more than the demand")]
#[test_case(&[(0.0, 5.0), (1.0, 50.0)], &[0.0, 30.0]; "no weight, no share")]
fn thirty_slots_are_divided(claims: &[(f64, f64)], expected: &[f64]) {
    let claims: Vec<Claim> = claims
        .iter()
        .map(|(weight, demand)| Claim {
            weight: *weight,
            demand: *demand,
        })
        .collect();
    assert_eq!(allot(30.0, &claims), expected);
}

#[test]
fn share_follows_the_peers_demand() {
    let mut rng = rng();
    let mut admission = admission(20.0, &[share("a", 1.0), share("b", 1.0)]);
    admission.on_peer_demand(
        &Name::from("entry-2"),
        0,
        &[demand("a", 5, 5), demand("b", 10, 30)],
    );
    let mut count = 0;
    for id in 0..10 {
        count += started(&admission.on_request(request(id, "a", 0, 60_000), 0, &mut rng));
    }
    // `a` has 10 slots, and half of its demand of 20 is at this entry VM.
    assert_eq!(count, 5);
}

#[test]
fn share_follows_an_estimate_of_the_fleet_until_it_is_stale() {
    let mut rng = rng();
    let mut admission = admission(20.0, &[share("a", 1.0)]);
    admission.on_fleet_demand(0, &[(Name::from("a"), 40)], 1, 3);
    let mut count = 0;
    for id in 0..10 {
        let actions = admission.on_request(request(id, "a", 0, 60_000), 0, &mut rng);
        count += started(&actions);
    }
    // 10 of a total demand of 50 are at this entry VM.
    assert_eq!(count, 4);
    assert_eq!(started(&admission.on_tick(6_000, &mut rng)), 6);
}

#[test]
fn borrowed_share_is_returned_at_once() {
    let mut rng = rng();
    let mut admission = admission(8.0, &[share("a", 1.0), share("b", 1.0)]);
    let mut count = 0;
    for id in 0..12 {
        count += started(&admission.on_request(request(id, "a", 0, 60_000), 0, &mut rng));
    }
    assert_eq!(count, 8, "`a` borrows the whole capacity");
    let mut started_b = 0;
    for id in 100..104 {
        started_b += started(&admission.on_request(request(id, "b", 0, 60_000), 1, &mut rng));
    }
    assert_eq!(
        started_b, 4,
        "`b` gets its own share although `a` has not finished"
    );
    let actions = admission.on_finish(RequestId::from(0), 500, &mut rng);
    assert_eq!(started(&actions), 0, "`a` starts nothing above its share");
}

#[test]
fn request_that_would_be_late_is_refused_at_once() {
    let mut rng = rng();
    let mut admission = admission(2.0, &[share("a", 1.0)]);
    for id in 0..2 {
        admission.on_request(request(id, "a", 0, 60_000), 0, &mut rng);
    }
    // Two slots are held for 1 s each, so the first queued request starts after about 500 ms.
    let actions = admission.on_request(request(2, "a", 0, 300), 0, &mut rng);
    assert_eq!(
        refused(&actions),
        [(RequestId::from(2), RefusalReason::TargetOutOfReach)]
    );
    let actions = admission.on_request(request(3, "a", 0, 2_000), 0, &mut rng);
    assert_eq!(actions, []);
}

#[test_case(0, 0; "top priority may wait")]
#[test_case(1, 0; "middle priority may wait")]
#[test_case(2, 1; "low priority is refused while it could still be on time")]
fn low_priority_is_refused_early(priority: u8, expected: usize) {
    let mut rng = rng();
    let mut admission = admission(2.0, &[share("a", 1.0)]);
    for id in 0..2 {
        admission.on_request(request(id, "a", 0, 60_000), 0, &mut rng);
    }
    // The expected wait is 500 ms and the slack 1,000 ms.
    let actions = admission.on_request(request(2, "a", priority, 1_100), 0, &mut rng);
    assert_eq!(refused(&actions).len(), expected);
}

#[test_case(0, 0; "alone")]
#[test_case(3, 1; "half of the slots are wanted elsewhere")]
fn expected_wait_counts_the_peers(wanted_by_peer: u32, expected: usize) {
    let mut rng = rng();
    let mut admission = admission(4.0, &[share("a", 1.0)]);
    for id in 0..2 {
        admission.on_request(request(id, "a", 0, 60_000), 0, &mut rng);
    }
    let wanted = [demand("a", wanted_by_peer, 0)];
    admission.on_peer_demand(&Name::from("entry-2"), 0, &wanted);
    let actions = admission.on_request(request(2, "a", 0, 400), 0, &mut rng);
    assert_eq!(refused(&actions).len(), expected);
}

#[test]
fn loss_of_capacity_refuses_on_the_next_tick() {
    let mut rng = rng();
    let mut admission = admission(10.0, &[share("a", 1.0)]);
    for id in 0..20 {
        admission.on_request(request(id, "a", 0, 3_000), 0, &mut rng);
    }
    assert_eq!(admission.demand(), [demand("a", 10, 10)]);
    admission.on_capacity(2.0);
    let actions = admission.on_tick(10, &mut rng);
    assert_eq!(refused(&actions).len(), 10);
    for action in &actions {
        let AdmissionAction::Refuse { retry_after_ms, .. } = action else {
            panic!("started without capacity");
        };
        assert!(*retry_after_ms >= 1_000, "{retry_after_ms} ms is too soon");
    }
}

#[test]
fn lowest_priority_is_refused_first() {
    let mut rng = rng();
    let mut admission = admission(4.0, &[share("a", 1.0)]);
    let mut refused_by_priority = [0; 3];
    for id in 0..30 {
        let priority = (id % 3) as u8;
        let actions = admission.on_request(request(id, "a", priority, 2_500), 0, &mut rng);
        for (id, _) in refused(&actions) {
            refused_by_priority[(id.bits() % 3) as usize] += 1;
        }
    }
    let [top, middle, low] = refused_by_priority;
    assert!(top < middle && middle <= low, "{refused_by_priority:?}");
}

#[test]
fn full_queue_makes_room_for_a_higher_priority() {
    let mut rng = rng();
    let config = AdmissionConfig {
        max_queued_per_workspace: 2,
        prior_hold_ms: 10,
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(Name::from("entry-1"), config, &[share("a", 1.0)]);
    admission.on_capacity(1.0);
    for id in 0..3 {
        admission.on_request(request(id, "a", 1, 60_000 + id as u64), 0, &mut rng);
    }
    let actions = admission.on_request(request(3, "a", 0, 60_000), 0, &mut rng);
    assert_eq!(
        refused(&actions),
        [(RequestId::from(2), RefusalReason::QueueFull)]
    );
    let actions = admission.on_request(request(4, "a", 2, 60_000), 0, &mut rng);
    assert_eq!(
        refused(&actions),
        [(RequestId::from(4), RefusalReason::QueueFull)]
    );
}

#[test]
fn workspace_without_a_share_is_refused() {
    let mut admission = admission(4.0, &[share("a", 1.0)]);
    let actions = admission.on_request(request(1, "x", 0, 9_000), 0, &mut rng());
    assert_eq!(
        refused(&actions),
        [(RequestId::from(1), RefusalReason::UnknownWorkspace)]
    );
}

#[test]
fn demand_of_a_silent_peer_expires() {
    let mut rng = rng();
    let mut admission = admission(10.0, &[share("a", 1.0)]);
    admission.on_peer_demand(&Name::from("entry-2"), 0, &[demand("a", 10, 30)]);
    let mut count = 0;
    for id in 0..10 {
        count += started(&admission.on_request(request(id, "a", 0, 90_000), 0, &mut rng));
    }
    assert_eq!(count, 2, "a fifth of the demand is at this entry VM");
    assert_eq!(started(&admission.on_tick(5_000, &mut rng)), 0);
    assert_eq!(started(&admission.on_tick(6_000, &mut rng)), 8);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// The shares of entry VMs that use the same figures add up to the allotted slots.
    #[test]
    fn local_shares_add_up(demands in prop::collection::vec(0u32..50, 1..12), allotted in 0u32..200, now_ms in 0u64..100_000) {
        let total: u32 = demands.iter().sum();
        let allotted = allotted.min(total);
        let mut before = 0;
        let mut sum = 0;
        for own in &demands {
            sum += local_share(f64::from(allotted), f64::from(before), f64::from(*own), f64::from(total), now_ms);
            before += own;
        }
        prop_assert_eq!(sum, allotted);
    }

    /// Weighted max-min fairness: the capacity is used up while there is demand, no claim gets more
    /// than its demand, and no unmet claim gets less than its weighted share.
    #[test]
    fn division_is_fair(claims in prop::collection::vec((1u32..10, 0u32..40), 1..12), capacity in 0u32..100) {
        let claims: Vec<Claim> = claims.iter().map(|(w, d)| Claim { weight: f64::from(*w), demand: f64::from(*d) }).collect();
        let capacity = f64::from(capacity);
        let amounts = allot(capacity, &claims);
        let wanted: f64 = claims.iter().map(|c| c.demand).sum();
        let weights: f64 = claims.iter().map(|c| c.weight).sum();
        prop_assert!((amounts.iter().sum::<f64>() - wanted.min(capacity)).abs() < 1e-6);
        for (claim, amount) in claims.iter().zip(&amounts) {
            prop_assert!(*amount <= claim.demand + 1e-9);
            prop_assert!(*amount >= claim.demand.min(capacity * claim.weight / weights) - 1e-6);
        }
    }

    /// Under random events, every request is started or refused exactly once, queues stay bounded,
    /// and no request starts too late for its due time.
    #[test]
    fn one_final_answer_each(seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let config = AdmissionConfig { max_queued_per_workspace: 5, prior_hold_ms: 300, ..AdmissionConfig::default() };
        let mut admission = Admission::new(Name::from("m"), config, &[share("a", 3.0), share("b", 1.0)]);
        admission.on_capacity(6.0);
        let mut answers = vec![0; 200];
        let mut dues = vec![0; 200];
        let mut running: Vec<u128> = Vec::new();
        let mut now_ms = 0;
        for id in 0..200u128 {
            now_ms += rng.random_range(0..80);
            let workspace = if rng.random_bool(0.7) { "a" } else { "b" };
            dues[id as usize] = now_ms + rng.random_range(50..2_000);
            let item = request(id, workspace, rng.random_range(0..4), dues[id as usize]);
            let mut actions = admission.on_request(item, now_ms, &mut rng);
            match rng.random_range(0..5) {
                0 => admission.on_capacity(rng.random_range(0.0..8.0)),
                1 => admission.on_peer_demand(&Name::from("p"), now_ms, &[demand("a", 2, rng.random_range(0..9))]),
                2 => actions.extend(admission.on_tick(now_ms, &mut rng)),
                _ => {}
            }
            if !running.is_empty() && rng.random_bool(0.6) {
                let ended = running.swap_remove(rng.random_range(0..running.len()));
                actions.extend(admission.on_finish(RequestId::from(ended), now_ms, &mut rng));
            }
            for action in actions {
                let (AdmissionAction::Start { id } | AdmissionAction::Refuse { id, .. }) = action;
                let at = id.bits() as usize;
                answers[at] += 1;
                if matches!(action, AdmissionAction::Start { .. }) {
                    prop_assert!(now_ms + 100 <= dues[at]);
                    running.push(id.bits());
                }
            }
            for item in admission.demand() {
                prop_assert!(item.queued <= 5);
            }
        }
        for action in admission.on_tick(now_ms + 10_000, &mut rng) {
            let (AdmissionAction::Start { id } | AdmissionAction::Refuse { id, .. }) = action;
            answers[id.bits() as usize] += 1;
        }
        prop_assert!(answers.iter().all(|count| *count == 1), "{:?}", answers);
    }
}
