//! Choice of a backend server.

use base::Name;
use base::ids::RequestId;
use policy::route::{
    AttemptUsage, LoadReport, NoServer, RouteReason, RouteRequest, RouteState, RouteStateConfig,
    Routing, ServerState, ServerView, blocks, choose, expected_first_token_ms,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

fn server(name: &str, running: u32, age_ms: u64) -> ServerView {
    ServerView {
        server: Name::from(name),
        service: Name::from("drafting"),
        failure_domain: Name::from("vake"),
        load: Some(LoadReport {
            running,
            waiting: 0,
            kv_used_tokens: 0,
            kv_total_tokens: 100_000,
            tokens_per_s: 400.0,
            slots: 8,
            age_ms,
        }),
        price_micros_per_h: 500_000,
        state: ServerState::Live,
        latency_us: 1_500,
    }
}

fn request(prompt: &str) -> RouteRequest {
    RouteRequest {
        service: Name::from("drafting"),
        blocks: blocks(prompt),
        prompt_tokens: prompt.split_whitespace().count() as u64,
        output_tokens: 100,
        ..RouteRequest::default()
    }
}

fn prompt(words: usize) -> String {
    let words: Vec<String> = (0..words).map(|n| format!("w{n}")).collect();
    words.join(" ")
}

fn state() -> RouteState {
    RouteState::new(RouteStateConfig::default())
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

#[test]
fn blocks_chain_over_all_that_came_before() {
    let long = prompt(200);
    let hashes = blocks(&long);
    assert_eq!(hashes.len(), 3);
    assert_eq!(blocks(&prompt(130)), hashes[..2]);
    assert_ne!(blocks(&format!("x{long}"))[1..], hashes[1..]);
}

#[test]
fn cached_prefix_wins_over_an_equal_server() {
    let view = [
        server("a", 1, 100),
        server("b", 1, 100),
        server("c", 1, 100),
    ];
    let mut local = state();
    let request = request(&prompt(2_000));
    let first = choose(Routing::Cost, &view, &request, &local, 0, &mut rng()).unwrap();
    local.on_sent(RequestId::from(1), &request, &first, 0);
    let usage = AttemptUsage {
        output_tokens: 100,
        cached_tokens: Some(0),
    };
    local.on_first_token(RequestId::from(1), 500);
    local.on_ended(RequestId::from(1), Some(usage), 2_500);
    let second = choose(Routing::Cost, &view, &request, &local, 3_000, &mut rng()).unwrap();
    assert_eq!(second.server, first.server);
    assert_eq!(second.reason, RouteReason::PrefixCached);
    assert_eq!(second.cached_tokens, 31 * 64);
}

#[test_case(2_000; "the wait outweighs the prefix")]
#[test_case(20_000; "the bound holds though the prefix outweighs the wait")]
fn full_holder_of_the_prefix_is_passed_over(words: usize) {
    let mut view = [server("a", 0, 100), server("b", 0, 100)];
    let mut local = state();
    let request = request(&prompt(words));
    let first = choose(Routing::Cost, &view, &request, &local, 0, &mut rng()).unwrap();
    local.on_sent(RequestId::from(1), &request, &first, 0);
    for server in &mut view {
        if server.server == first.server {
            server.load.as_mut().unwrap().running = 10;
        }
    }
    let second = choose(Routing::Cost, &view, &request, &local, 3_000, &mut rng()).unwrap();
    assert_ne!(second.server, first.server);
}

#[test_case(Routing::Random; "random")]
#[test_case(Routing::RoundRobin; "round_robin")]
#[test_case(Routing::LeastOutstanding; "least_outstanding")]
#[test_case(Routing::PrefixHash; "prefix_hash")]
#[test_case(Routing::Cost; "cost")]
fn leaving_foreign_and_tried_servers_are_never_chosen(routing: Routing) {
    let mut leaving = server("a", 0, 0);
    leaving.state = ServerState::Leaving;
    let mut other_service = server("b", 0, 0);
    other_service.service = Name::from("filing-desk");
    let view = [leaving, other_service, server("c", 7, 0), server("d", 0, 0)];
    let mut request = request(&prompt(100));
    request.excluded.push(Name::from("d"));
    let mut rng = rng();
    for now_ms in 0..50 {
        let decision = choose(routing, &view, &request, &state(), now_ms, &mut rng).unwrap();
        assert_eq!(&*decision.server, "c");
    }
}

#[test]
fn suspect_is_the_last_resort() {
    let mut suspect = server("a", 0, 0);
    suspect.state = ServerState::Suspect;
    let view = [suspect.clone(), server("b", 40, 0)];
    let request = request(&prompt(100));
    let decision = choose(Routing::Cost, &view, &request, &state(), 0, &mut rng()).unwrap();
    assert_eq!(&*decision.server, "b");
    let decision = choose(Routing::Cost, &view[..1], &request, &state(), 0, &mut rng()).unwrap();
    assert_eq!(&*decision.server, "a");
}

#[test_case(None, "NoneKnown"; "unknown service")]
#[test_case(Some(ServerState::Leaving), "AllLeaving"; "all leaving")]
#[test_case(Some(ServerState::Live), "AllExcluded"; "all tried")]
fn no_server_error_gives_the_reason(state_of_a: Option<ServerState>, expected: &str) {
    let mut view = Vec::new();
    if let Some(state) = state_of_a {
        view.push(server("a", 0, 0));
        view[0].state = state;
    }
    let mut request = request(&prompt(10));
    request.excluded.push(Name::from("a"));
    let none = choose(Routing::Cost, &view, &request, &state(), 0, &mut rng()).unwrap_err();
    let actual = match none {
        NoServer::NoneKnown { .. } => "NoneKnown",
        NoServer::AllLeaving { .. } => "AllLeaving",
        NoServer::AllExcluded { .. } => "AllExcluded",
    };
    assert_eq!(actual, expected);
}

/// Six entry VMs have the same old load report, which shows one idle server, and decide 5 times
/// each.
#[test]
fn entries_do_not_herd_to_one_idle_server() {
    let mut view: Vec<ServerView> = Vec::new();
    for n in 0..20 {
        view.push(server(&format!("s{n:02}"), 6, 500));
    }
    view[7].load.as_mut().unwrap().running = 0;
    let request = request(&prompt(60));
    let mut sent_to_idle = 0;
    for entry in 0..6 {
        let mut rng = SmallRng::seed_from_u64(entry);
        let mut local = state();
        for n in 0..5 {
            let id = RequestId::from(u128::from(entry * 100 + n));
            let decision = choose(Routing::Cost, &view, &request, &local, 1_000, &mut rng).unwrap();
            sent_to_idle += u32::from(&*decision.server == "s07");
            local.on_sent(id, &request, &decision, 1_000);
        }
    }
    assert!(
        sent_to_idle <= 12,
        "{sent_to_idle} of 30 went to the idle server of 8 slots"
    );
}

#[test]
fn faster_server_is_learned() {
    let view = [server("fast", 0, 0), server("slow", 0, 0)];
    let mut local = state();
    let request = request(&prompt(60));
    let mut rng = rng();
    let mut now_ms = 0;
    let mut to_fast = 0;
    for n in 0..60 {
        let decision = choose(Routing::Cost, &view, &request, &local, now_ms, &mut rng).unwrap();
        let is_fast = &*decision.server == "fast";
        if n >= 20 {
            to_fast += u32::from(is_fast);
        }
        let id = RequestId::from(n);
        local.on_sent(id, &request, &decision, now_ms);
        local.on_first_token(id, now_ms + 10);
        now_ms += 10 + if is_fast { 1_000 } else { 4_000 };
        let usage = AttemptUsage {
            output_tokens: 100,
            cached_tokens: None,
        };
        local.on_ended(id, Some(usage), now_ms);
    }
    assert!(to_fast >= 38, "{to_fast} of 40 went to the fast server");
}

#[test]
fn first_token_is_expected_sooner_where_the_prefix_is_cached() {
    let view = [server("a", 0, 0), server("b", 0, 0)];
    let mut local = state();
    let request = request(&prompt(2_000));
    let before = expected_first_token_ms(&view, &request, &local, &mut rng()).unwrap();
    let decision = choose(Routing::Cost, &view, &request, &local, 0, &mut rng()).unwrap();
    local.on_sent(RequestId::from(1), &request, &decision, 0);
    let after = expected_first_token_ms(&view, &request, &local, &mut rng()).unwrap();
    assert_eq!((before, after), (503, 7));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// In small and large views, the chosen server is never a leaving one, and the counts of
    /// requests in flight return to zero whatever the order of events.
    #[test]
    fn counts_return_to_zero(seed: u64, size in 1usize..200, steps in 1u128..60) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut view = Vec::new();
        for n in 0..size {
            let mut server = server(&format!("s{n:04}"), rng.random_range(0..12), rng.random_range(0..900));
            if rng.random_bool(0.3) {
                server.state = ServerState::Leaving;
            }
            view.push(server);
        }
        let mut local = state();
        for step in 0..steps {
            let request = request(&prompt(rng.random_range(0..400)));
            let now_ms = step as u64 * 10;
            let Ok(decision) = choose(Routing::Cost, &view, &request, &local, now_ms, &mut rng) else {
                prop_assert!(view.iter().all(|s| s.state == ServerState::Leaving));
                continue;
            };
            let chosen = view.iter().find(|s| s.server == decision.server).unwrap();
            prop_assert_eq!(chosen.state, ServerState::Live);
            local.on_sent(RequestId::from(step), &request, &decision, now_ms);
            if rng.random_bool(0.5) {
                local.on_ended(RequestId::from(rng.random_range(0..steps)), Some(AttemptUsage::default()), now_ms + 5);
            }
        }
        for step in 0..steps {
            local.on_ended(RequestId::from(step), None, 10_000);
        }
        for server in &view {
            prop_assert_eq!(local.in_flight(&server.server), 0);
        }
    }
}
