//! Retry budgets: retries stay a share of a service's requests.

use base::units::Millisecond;
use gateway::decide::retry_budget::{RetryBudget, RetryPermit, RetryTerms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TERMS: RetryTerms = RetryTerms {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 52.0,
};

#[test]
fn a_few_retries_are_allowed_without_any_request() {
    let mut budget = RetryBudget::default();
    assert_eq!(budget.take(&TERMS, 6, 0), RetryPermit::Granted);
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.take(&TERMS, 6, 0) == RetryPermit::Granted {}
    assert_eq!(budget.take(&TERMS, 6, 5_000), RetryPermit::Exhausted);
    assert_eq!(budget.take(&TERMS, 6, 11_000), RetryPermit::Granted);
}

#[test]
fn all_nodes_together_keep_the_limit_if_every_send_fails() {
    const NODES: usize = 6;
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes = vec![RetryBudget::default(); NODES];
        let mut requests: Vec<Millisecond> = Vec::new();
        let mut retries: Vec<Millisecond> = Vec::new();
        for now_ms in (0..60_000).step_by(5) {
            // Traffic comes in bursts and is spread unevenly over the nodes.
            let busy = (now_ms / 10_000) % 2 == 0;
            if !busy && rng.random_bool(0.9) {
                continue;
            }
            let node = rng.random_range(0..NODES).min(rng.random_range(0..NODES));
            nodes[node].count_request(&TERMS, now_ms);
            requests.push(now_ms);
            for _ in 0..3 {
                if nodes[node].take(&TERMS, NODES, now_ms) == RetryPermit::Granted {
                    retries.push(now_ms);
                }
            }
        }
        for start_ms in (0..50_000).step_by(250) {
            let window = start_ms..start_ms + TERMS.window_ms;
            let asked = requests.iter().filter(|at| window.contains(at)).count();
            let retried = retries.iter().filter(|at| window.contains(at)).count();
            let bound = TERMS.ratio * asked as f64 + TERMS.slack;
            assert!(
                retried as f64 <= bound,
                "seed {seed}, {start_ms} ms: {retried} of {bound}"
            );
        }
    }
}
