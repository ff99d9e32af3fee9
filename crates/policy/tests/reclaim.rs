//! Decisions about the streams on leaving servers.

use base::Name;
use base::ids::RequestId;
use policy::reclaim::{
    AffectedStream, BackupDecision, KvExport, LeavingServer, StreamDecision, StreamPlan, Survivor,
    UnreplicatedPrefix, decide_backup,
};
use policy::route::CostWeights;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

fn leaving(server: &str, remaining_ms: u64, export: KvExport) -> LeavingServer {
    LeavingServer {
        server: Name::from(server),
        failure_domain: Name::from("vake"),
        remaining_ms,
        export,
    }
}

fn stream(id: u128, server: &str, prompt_tokens: u64, expected_tokens: u64) -> AffectedStream {
    AffectedStream {
        id: RequestId::from(id),
        server: Name::from(server),
        priority: 1,
        prompt_tokens,
        relayed_tokens: 100,
        expected_tokens,
        decode_ms_per_token: 20.0,
        cached_at: Vec::new(),
    }
}

fn survivor(server: &str, failure_domain: &str, free_slots: u32) -> Survivor {
    Survivor {
        server: Name::from(server),
        failure_domain: Name::from(failure_domain),
        free_slots,
        free_kv_tokens: 50_000,
        prefill_tokens_per_ms: 2.0,
        slot_wait_ms: 1_000.0,
    }
}

fn plan(
    leaving: &[LeavingServer],
    streams: &[AffectedStream],
    survivors: &[Survivor],
) -> Vec<StreamPlan> {
    policy::reclaim::plan(leaving, streams, survivors, &CostWeights::default())
}

const FAST: KvExport = KvExport::Supported {
    tokens_per_ms: 50.0,
};
const SLOW: KvExport = KvExport::Supported { tokens_per_ms: 0.1 };

fn moved() -> StreamDecision {
    StreamDecision::MoveKv {
        to: Name::from("s"),
    }
}

fn recomputed(tokens: u64) -> StreamDecision {
    StreamDecision::Recompute {
        to: Name::from("s"),
        tokens,
    }
}

#[test_case(30_000, 100, FAST, StreamDecision::Finish; "2 s of decoding fit into 30 s")]
#[test_case(30_000, 2_000, FAST, moved(); "40 s of decoding do not, the transfer does")]
#[test_case(30_000, 2_000, SLOW, recomputed(8_100); "neither decoding nor the transfer fits")]
#[test_case(30_000, 2_000, KvExport::Unsupported, recomputed(8_100); "no export")]
#[test_case(600, 100, FAST, recomputed(8_100); "too late for the transfer")]
#[test_case(2_600, 100, FAST, moved(); "decoding would fill the reserve")]
#[test_case(0, 0, FAST, StreamDecision::Finish; "nothing is left to generate")]
fn time_left_decides(remaining_ms: u64, expected: u64, export: KvExport, want: StreamDecision) {
    let leaving = [leaving("a", remaining_ms, export)];
    let streams = [stream(1, "a", 8_000, expected)];
    let plans = plan(&leaving, &streams, &[survivor("s", "didube", 4)]);
    assert_eq!(plans[0].decision, want);
}

#[test]
fn cached_prefix_makes_recomputing_cheaper_than_moving() {
    let mut stream = stream(1, "a", 8_000, 2_000);
    stream.cached_at.push((Name::from("s"), 7_936));
    let plans = plan(
        &[leaving("a", 30_000, FAST)],
        &[stream],
        &[survivor("s", "didube", 4), survivor("t", "didube", 4)],
    );
    assert_eq!(plans[0].decision, recomputed(164));
}

#[test]
fn transfers_of_one_server_follow_one_another() {
    let export = KvExport::Supported { tokens_per_ms: 4.0 };
    let streams: Vec<AffectedStream> = (0..6).map(|id| stream(id, "a", 8_000, 2_000)).collect();
    let survivors: Vec<Survivor> = (0..6)
        .map(|n| survivor(&format!("s{n}"), "didube", 4))
        .collect();
    let plans = plan(&[leaving("a", 9_000, export)], &streams, &survivors);
    let moves = plans
        .iter()
        .filter(|p| matches!(p.decision, StreamDecision::MoveKv { .. }));
    // A transfer takes 2 s. A recomputation takes 4 s and its tokens add a cost of 1.6 s. The
    // third transfer would end after 6 s, which is worse.
    assert_eq!(moves.count(), 2);
}

#[test]
fn full_kv_cache_takes_no_transfer() {
    let mut full = survivor("s", "didube", 4);
    full.free_kv_tokens = 8_000;
    let plans = plan(
        &[leaving("a", 30_000, FAST)],
        &[stream(1, "a", 8_000, 2_000)],
        &[full],
    );
    assert_eq!(plans[0].decision, recomputed(8_100));
}

#[test]
fn moved_work_is_spread_by_headroom() {
    let streams: Vec<AffectedStream> = (0..12).map(|id| stream(id, "a", 1_000, 2_000)).collect();
    let survivors = [
        survivor("s1", "didube", 8),
        survivor("s2", "saburtalo", 4),
        survivor("s3", "didube", 0),
    ];
    let plans = plan(
        &[leaving("a", 5_000, KvExport::Unsupported)],
        &streams,
        &survivors,
    );
    let count = |name: &str| {
        let to_name = |decision: &StreamDecision| matches!(decision, StreamDecision::Recompute { to, .. } if &**to == name);
        plans.iter().filter(|p| to_name(&p.decision)).count()
    };
    assert!(count("s1") > count("s2") && count("s2") > count("s3"));
    assert!(count("s1") < 9, "{} of 12 went to s1", count("s1"));
}

#[test]
fn free_slots_are_filled_before_any_stream_waits() {
    let streams: Vec<AffectedStream> = (0..12).map(|id| stream(id, "a", 10, 2_000)).collect();
    let survivors = [survivor("s1", "didube", 8), survivor("s2", "saburtalo", 4)];
    let plans = plan(
        &[leaving("a", 5_000, KvExport::Unsupported)],
        &streams,
        &survivors,
    );
    let to_s1 = |decision: &StreamDecision| matches!(decision, StreamDecision::Recompute { to, .. } if &**to == "s1");
    assert_eq!(plans.iter().filter(|p| to_s1(&p.decision)).count(), 8);
}

#[test]
fn domain_under_reclaim_is_avoided() {
    let survivors = [survivor("s1", "vake", 8), survivor("s2", "didube", 1)];
    let plans = plan(
        &[leaving("a", 5_000, KvExport::Unsupported)],
        &[stream(1, "a", 1_000, 2_000)],
        &survivors,
    );
    let to = Name::from("s2");
    assert_eq!(
        plans[0].decision,
        StreamDecision::Recompute { to, tokens: 1_100 }
    );
}

#[test]
fn without_survivors_streams_stay() {
    let leaving = [leaving("a", 5_000, FAST), leaving("b", 5_000, FAST)];
    let plans = plan(
        &leaving,
        &[stream(1, "a", 1_000, 2_000)],
        &[survivor("b", "vake", 8)],
    );
    assert_eq!(plans[0].decision, StreamDecision::Stay);
}

#[test_case(20.0, 0.5, 0.05, BackupDecision::Copy; "hot prefix, frequent reclaims, cheap copy")]
#[test_case(20.0, 0.001, 0.05, BackupDecision::Leave; "rare reclaims")]
#[test_case(0.01, 0.5, 0.05, BackupDecision::Leave; "hardly used")]
#[test_case(20.0, 0.5, 0.9, BackupDecision::Leave; "expensive copy")]
fn backup_only_where_it_pays(
    uses_per_h: f64,
    reclaims_per_h: f64,
    copy_cost_ratio: f64,
    expected: BackupDecision,
) {
    let prefix = UnreplicatedPrefix {
        tokens: 10_000,
        uses_per_h,
        reclaims_per_h,
        lifetime_h: 1.0,
        copy_cost_ratio,
    };
    assert_eq!(decide_backup(&prefix), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each stream gets one plan, no target is a leaving server, transfers fit into the free KV
    /// caches, and the plans do not depend on the order of the streams.
    #[test]
    fn plans_are_sound(seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let leaving: Vec<LeavingServer> = (0..rng.random_range(1..4))
            .map(|n| leaving(&format!("l{n}"), rng.random_range(0..40_000), if rng.random_bool(0.5) { FAST } else { SLOW }))
            .collect();
        let mut survivors: Vec<Survivor> = (0..rng.random_range(0..6))
            .map(|n| survivor(&format!("s{n}"), if n % 2 == 0 { "vake" } else { "didube" }, rng.random_range(0..5)))
            .collect();
        survivors.push(survivor("l0", "vake", 8));
        let mut streams: Vec<AffectedStream> = (0..rng.random_range(0..40u128))
            .map(|id| stream(id, &leaving[rng.random_range(0..leaving.len())].server, rng.random_range(0..20_000), rng.random_range(0..3_000)))
            .collect();
        let plans = plan(&leaving, &streams, &survivors);
        prop_assert_eq!(plans.len(), streams.len());
        let mut moved_tokens = base::Map::<Name, u64>::default();
        for plan in &plans {
            let stream = streams.iter().find(|s| s.id == plan.id).unwrap();
            match &plan.decision {
                StreamDecision::MoveKv { to } => {
                    prop_assert!(to.starts_with('s'));
                    *moved_tokens.entry(to.clone()).or_default() += stream.context_tokens();
                }
                StreamDecision::Recompute { to, .. } => prop_assert!(to.starts_with('s')),
                StreamDecision::Stay => prop_assert_eq!(survivors.len(), 1),
                StreamDecision::Finish => {}
            }
        }
        prop_assert!(moved_tokens.values().all(|tokens| *tokens <= 50_000));
        streams.reverse();
        prop_assert_eq!(plan(&leaving, &streams, &survivors), plans);
    }
}
