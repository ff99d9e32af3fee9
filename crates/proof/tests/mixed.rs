//! All faults mixed at random, with fixed seeds.

use proof::mixed::{MixedPlan, run};
use test_case::test_case;

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[tokio::test(flavor = "multi_thread")]
async fn mixed_faults_break_no_promise(seed: u64) {
    let report = run(MixedPlan {
        seed,
        duration_ms: 8_000,
    })
    .await;
    println!("{report}");
    assert_eq!(report.violations, []);
    assert!(report.counts.drafts_answered > 20, "{report}");
    assert!(report.counts.effects > 20, "{report}");
    assert!(report.faults.values().sum::<u32>() > 5, "{report}");
}
