//! A workspace's `max_slots` holds for the whole fleet, even if more slots are free.

use base::Name;
use base::ids::RequestId;
use policy::limit::{
    Admission, AdmissionAction, AdmissionConfig, AdmissionRequest, WorkspaceDemand, WorkspaceShare,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const SLOTS: f64 = 100.0;
const REQUESTS: u32 = 20;

fn share(max_slots: Option<u32>) -> WorkspaceShare {
    WorkspaceShare {
        workspace: Name::from("archive"),
        weight: 1.0,
        max_slots,
    }
}

fn admission(entry: &str, max_slots: Option<u32>) -> Admission {
    let config = AdmissionConfig::default();
    let mut admission = Admission::new(Name::from(entry), config, &[share(max_slots)]);
    admission.on_capacity(SLOTS);
    admission
}

fn request(id: u128) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId::from(id),
        workspace: Name::from("archive"),
        priority: 0,
        first_token_due_ms: 1_000_000,
        expected_first_token_ms: 0,
    }
}

fn started(actions: &[AdmissionAction]) -> u32 {
    let starts = actions
        .iter()
        .filter(|a| matches!(a, AdmissionAction::Start { .. }));
    starts.count() as u32
}

/// Sends the requests to the admission control and returns how many start.
fn offer(admission: &mut Admission) -> u32 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut count = 0;
    for id in 0..REQUESTS {
        count += started(&admission.on_request(request(u128::from(id)), 0, &mut rng));
    }
    count
}

#[test_case(None, 20; "no limit")]
#[test_case(Some(4), 4; "a limit below the share")]
#[test_case(Some(50), 20; "a limit above the demand")]
fn one_entry_vm(max_slots: Option<u32>, expected: u32) {
    assert_eq!(offer(&mut admission("entry-1", max_slots)), expected);
}

#[test]
fn two_entry_vms_keep_one_limit() {
    let peer_demand = WorkspaceDemand {
        workspace: Name::from("archive"),
        running: 0,
        queued: REQUESTS,
    };
    let mut total = 0;
    for (entry, peer) in [("entry-1", "entry-2"), ("entry-2", "entry-1")] {
        let mut admission = admission(entry, Some(5));
        admission.on_peer_demand(&Name::from(peer), 0, std::slice::from_ref(&peer_demand));
        total += offer(&mut admission);
    }
    assert_eq!(total, 5);
}

#[test]
fn a_raised_limit_lets_the_waiting_start() {
    let mut admission = admission("entry-1", Some(4));
    assert_eq!(offer(&mut admission), 4);
    assert!(admission.on_shares(&[share(Some(6))]).is_empty());
    let mut rng = SmallRng::seed_from_u64(7);
    assert_eq!(started(&admission.on_tick(1, &mut rng)), 2);
}
