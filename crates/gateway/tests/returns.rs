//! `Retry-After`: refused callers are told a time at which there is capacity for them.

use gateway::belief::directory::Allowance;
use gateway::decide::allowance::{Admission, Bucket, Fleet, PriorUse};
use gateway::decide::returns::{Capacity, Return, Returns};

const ALLOWANCE: Allowance = Allowance {
    rate_per_s: 1_000.0,
    burst: 1_000.0,
};

const ALONE: Fleet = Fleet {
    heard: 1,
    listed: 1,
    period_ms: 120,
};

/// Guards against all refused callers returning at the same time, and finding room for one.
/// Load: twenty callers of 200 units at once, at an empty allowance.
#[test]
fn callers_of_a_used_up_allowance_return_in_turn_and_are_admitted() {
    let mut bucket = Bucket::new(ALLOWANCE, PriorUse::Unused, 0);
    assert_eq!(bucket.charge(1_000.0, ALONE, 0), Admission::Charged);
    let mut times_ms = Vec::new();
    for _ in 0..20 {
        assert_ne!(bucket.charge(200.0, ALONE, 0), Admission::Charged);
        times_ms.push(bucket.tell_return(200.0, 30_000, 0).unwrap());
    }
    for (turn, at_ms) in times_ms.iter().enumerate() {
        assert_eq!(*at_ms, 200 * (turn as u64 + 1));
        assert_eq!(bucket.charge(200.0, ALONE, *at_ms), Admission::Charged);
    }
}

/// Guards against a caller that is told to return after its deadline, and against one that does not
/// return for that reason but delays the others.
#[test]
fn a_caller_without_time_is_told_nothing_and_delays_none() {
    let mut returns = Returns::default();
    let capacity = Capacity {
        before: 500.0,
        per_s: 1_000.0,
        own_share: 1.0,
    };
    let caller = |left_ms| Return {
        needed: 100.0,
        left_ms,
    };
    assert_eq!(returns.tell(caller(600), capacity, 0), None);
    assert_eq!(returns.tell(caller(1_700), capacity, 0), Some(600));
    assert_eq!(returns.tell(caller(1_800), capacity, 0), Some(600));
    assert_eq!(returns.tell(caller(9_000), capacity, 0), Some(700));
}

/// Guards against each node promising the whole refill to its own callers.
#[test]
fn callers_of_other_nodes_count_by_their_share() {
    let mut returns = Returns::default();
    let capacity = Capacity {
        before: 0.0,
        per_s: 1_000.0,
        own_share: 0.25,
    };
    let caller = Return {
        needed: 100.0,
        left_ms: 9_000,
    };
    assert_eq!(returns.tell(caller, capacity, 0), Some(100));
    assert_eq!(returns.tell(caller, capacity, 0), Some(500));
    assert_eq!(returns.tell(caller, capacity, 550), Some(100));
}
