//! The row of a lease after the store was restored from an earlier copy of itself.

use fleet::clock::ClockReading;
use fleet::lease::{FENCE_STEP, Fence, Lease, LeaseAction, LeaseRow, LeaseTerms};
use outside::revision::pack;
use outside::{CommitError, Condition, Key, Row, Write};
use serde_json::json;
use test_case::test_case;

const TERMS: LeaseTerms = LeaseTerms {
    term_ms: 3_000,
    margin_ms: 500,
};

fn at(ms: u64) -> ClockReading {
    ClockReading {
        min_elapsed_ms: ms,
        max_elapsed_ms: ms,
    }
}

fn row(holder: Option<&str>, fence: u64, version: u64) -> Row {
    let term_ms = TERMS.term_ms;
    let body = json!({ "holder": holder, "nonce": 7, "fence": fence, "term_ms": term_ms });
    Row {
        key: Key::new("lease", "duties"),
        body: body.to_string(),
        version,
    }
}

/// The grant that the node `b` writes when it finds `found` in the store of `era`.
fn grant(found: Option<Row>, era: u64) -> (LeaseRow, Condition) {
    let mut lease = Lease::new("duties", "b".into(), TERMS);
    lease.note_restorations(outside::revision::restorations(era));
    let first = lease.on_row(Ok(found.clone()), at(0));
    let action = first.or_else(|| lease.on_row(Ok(found), at(10_000)));
    let Some(LeaseAction::Commit(Write::Put {
        body, condition, ..
    })) = action
    else {
        panic!("{action:?}");
    };
    (serde_json::from_str(&body).unwrap(), condition)
}

#[test_case(Some(row(None, 1, pack(2, 40))); "an older tenure")]
#[test_case(Some(row(Some("a"), 1, pack(2, 40))); "an older tenure of another node")]
#[test_case(Some(row(Some("b"), 1, pack(2, 40))); "an older tenure of this node")]
#[test_case(None; "no tenure")]
fn a_tenure_that_the_restored_store_lost_had_the_fencing_number_of_the_next(found: Option<Row>) {
    // Before, the lease changed hands five times.
    let lost_fence = 1 + 5 * FENCE_STEP;
    let (granted, _) = grant(found, 2);
    assert!(granted.fence.0 > lost_fence + FENCE_STEP, "{granted:?}");
    let again = row(Some("a"), granted.fence.0, pack(2, 60));
    let (next, _) = grant(Some(again), 2);
    assert_eq!(next.fence.0, granted.fence.0 + FENCE_STEP);
}

#[test]
fn fencing_numbers_of_a_store_that_was_not_restored_begin_at_one() {
    assert_eq!(grant(None, 1).0.fence, Fence(1));
    let (next, condition) = grant(Some(row(None, 1, pack(1, 40))), 1);
    assert_eq!(next.fence, Fence(1 + FENCE_STEP));
    assert_eq!(condition, Condition::VersionIs(40));
}

/// Guards against two tenures with one fencing token: the write was sent before the restoration, after
/// which another node may have had the token that it carries.
#[test_case(Err(CommitError::Unknown { reason: "no answer".to_owned() }); "its answer was lost")]
#[test_case(Ok(()); "it was answered")]
fn a_grant_from_before_a_restoration_gives_no_right(answer: Result<(), CommitError>) {
    let mut lease = Lease::new("duties", "b".into(), TERMS);
    let Some(LeaseAction::Commit(Write::Put { key, body, .. })) = lease.on_row(Ok(None), at(0))
    else {
        panic!("a free lease is not acquired");
    };
    lease.note_restorations(1);
    let action = lease.on_commit(answer);
    assert_eq!(lease.permit(at(10)), None);
    assert_eq!(action, Some(LeaseAction::Read(key.clone())));
    let version = pack(2, 1);
    let row = Row { key, body, version };
    let action = lease.on_row(Ok(Some(row)), at(10));
    assert_eq!(lease.permit(at(10)), None);
    let Some(LeaseAction::Commit(Write::Put { body, .. })) = action else {
        panic!("{action:?}");
    };
    let next: LeaseRow = serde_json::from_str(&body).unwrap();
    assert!(next.fence > Fence(1 + FENCE_STEP));
}
