//! Whether a request leaves its node's failure domain.

use std::path::Path;
use std::rc::Rc;

use base::Name;
use gateway::belief::registry::{Server, ServerRecord, ServerState};
use gateway::config_file::ConfigFileError;
use gateway::decide::domain_exit::{
    DomainExit, Estimate, ExitDecision, ExitTerms, LeaveReason, MeasuredDelay, Other, OtherHealth,
    Own, Refusal, StayReason, surcharge_ms,
};
use gateway::decide::domain_share::ShareReport;
use gateway::decide::placement::Locality::{OtherDomain, SameDomain};
use gateway::decide::placement::{Choice, prefix_homes};
use gateway::decide::prompt::Prompt;
use gateway::decide::speed::Work;
use gateway::settings::Settings;
use outside::Purchase;
use test_case::test_case;

fn estimate(first_byte_ms: u64, wait_ms: u64) -> Estimate {
    Estimate {
        choice: Choice {
            index: 0,
            first_byte_ms,
            opens_in_ms: 0,
            wait_ms,
            tokens_to_read: 1_000,
            work: Work::default(),
        },
        surcharge_ms: 0.0,
    }
}

fn other(first_byte_ms: u64, wait_ms: u64) -> Option<Other> {
    Some(Other {
        best: estimate(first_byte_ms, wait_ms),
        health: OtherHealth::Healthy,
    })
}

const TERMS: ExitTerms = ExitTerms {
    target_ms: 1_000,
    traffic_kb: 40.0,
    cost_ms_per_kb: 0.1,
    now_ms: 10_000,
    load_age_ms: 60,
    refusal: Refusal::Possible,
};

const DEAR: ExitTerms = ExitTerms {
    cost_ms_per_kb: 10.0,
    ..TERMS
};

const MUST_SERVE: ExitTerms = ExitTerms {
    refusal: Refusal::Impossible,
    ..TERMS
};

fn best(first_byte_ms: u64) -> Own {
    Own::Best(estimate(first_byte_ms, first_byte_ms))
}

const STAYS: fn(StayReason) -> ExitDecision = ExitDecision::Stays;
const LEAVES: fn(LeaveReason) -> ExitDecision = ExitDecision::Leaves;

#[test_case(best(700), other(600, 500), &TERMS => STAYS(StayReason::InTime); "in time at home")]
#[test_case(best(700), other(300, 200), &TERMS => LEAVES(LeaveReason::Earlier); "noticeably earlier")]
#[test_case(best(700), other(300, 200), &DEAR => STAYS(StayReason::InTime); "traffic dearer than the saving")]
#[test_case(best(900), other(700, 600), &TERMS => LEAVES(LeaveReason::Late); "late at home")]
#[test_case(best(900), other(700, 600), &DEAR => STAYS(StayReason::TooDear); "late, and dear")]
#[test_case(best(2_000), other(900, 800), &TERMS => STAYS(StayReason::OthersShort); "both short")]
#[test_case(Own::NoRoom, other(900, 800), &TERMS => STAYS(StayReason::OthersShort); "full, and the other short")]
#[test_case(Own::NoRoom, other(900, 800), &MUST_SERVE => LEAVES(LeaveReason::NoRoom); "full, and it may have run")]
#[test_case(Own::NoRoom, other(700, 600), &DEAR => LEAVES(LeaveReason::NoRoom); "full")]
#[test_case(Own::NoServers, other(3_000, 2_900), &DEAR => LEAVES(LeaveReason::NoServers); "no server of its own")]
#[test_case(best(3_000), other(2_000, 50), &TERMS => LEAVES(LeaveReason::Late); "long everywhere, but only here behind others")]
#[test_case(best(900), None, &TERMS => STAYS(StayReason::NoOther); "no other")]
fn a_request_goes_where_its_caller_needs_it(
    own: Own,
    other: Option<Other>,
    terms: &ExitTerms,
) -> ExitDecision {
    DomainExit::default().decide(own, other, terms, 0.0)
}

/// Load: both domains at 95% of the target, each node deciding on its own. Guards against requests
/// that cross in both directions because of noise.
#[test]
fn equally_busy_domains_keep_their_requests() {
    let mut exits = [DomainExit::default(), DomainExit::default()];
    for n in 0..1_000_u64 {
        let noise = |k: u64| 800 + (n * (37 + k) + k * 11) % 80;
        let (a_ms, b_ms) = (noise(0), noise(5));
        let terms = ExitTerms {
            now_ms: TERMS.now_ms + n * 10,
            ..TERMS
        };
        let [a, b] = &mut exits;
        for (exit, own_ms, other_ms) in [(&mut *a, a_ms, b_ms), (&mut *b, b_ms, a_ms)] {
            let decision = exit.decide(best(own_ms), other(other_ms, other_ms), &terms, 0.0);
            assert!(matches!(decision, ExitDecision::Stays(_)), "{decision:?}");
        }
    }
}

/// Load: 300 ms of saving at first; each request that leaves lengthens the other domain's wait by
/// 2 ms, which is known 120 ms later. Guards against a share that goes on until the other domain is
/// the slower one.
#[test]
fn no_more_leave_than_equalise_the_waits() {
    let mut exit = DomainExit::default();
    let (mut sent, mut known) = (0_u64, Vec::new());
    for n in 0..400_u64 {
        let now_ms = TERMS.now_ms + n * 10;
        known.push(sent);
        let seen = known[known.len().saturating_sub(12)];
        let terms = ExitTerms {
            now_ms,
            load_age_ms: 120,
            ..TERMS
        };
        let there_ms = 400 + 2 * seen;
        let drawn = (n * 61 % 100) as f64 / 100.0;
        let decision = exit.decide(best(700), other(there_ms, there_ms), &terms, drawn);
        sent += u64::from(matches!(decision, ExitDecision::Leaves(_)));
    }
    assert!((90..=150).contains(&sent), "{sent} left");
    assert!(exit.share() < 0.02, "{}", exit.share());
}

/// Guards against a domain that is avoided for good after its link was slow, and against loads of
/// unknown age that count as new.
#[test]
fn slow_links_and_old_loads_add_to_the_wait() {
    let mut link = MeasuredDelay::default();
    for n in 0..20 {
        link.record(250.0, 1_000 + n * 50);
    }
    let now_ms = 2_000;
    assert!(link.ms(now_ms) > 200.0);
    assert!(link.ms(now_ms + 30_000) < 1.0);
    let added = |load_age_ms| surcharge_ms(OtherDomain, 0.0, link.ms(now_ms), load_age_ms);
    assert!(added(3_000) > added(100) + 250.0);
    // What is missed at home does not make the link look slow.
    assert_eq!(
        surcharge_ms(OtherDomain, 300.0, 250.0, 0),
        surcharge_ms(OtherDomain, 300.0, 0.0, 0)
    );
}

/// Load: 200 requests a second, of which a third leave from second 2 on. Guards against a line for
/// each request.
#[test]
fn a_change_of_the_share_is_reported_at_most_twice_a_second() {
    let mut report = ShareReport::default();
    let mut changes = Vec::new();
    for n in 0..1_200_u64 {
        let now_ms = 1_000 + n * 5;
        let crossing = match n >= 400 && n % 3 == 0 {
            true => OtherDomain,
            false => SameDomain,
        };
        changes.extend(report.count(crossing, now_ms));
    }
    assert!((1..=2).contains(&changes.len()), "{changes:?}");
    assert!(
        (changes.last().unwrap().share - 0.33).abs() < 0.05,
        "{changes:?}"
    );
}

/// Guards against a decision that is in force although no settings ask for it.
#[test]
fn domains_are_compared_only_by_the_settings() {
    assert!(parse("").unwrap().domains.is_none());
}

fn parse(section: &str) -> Result<Settings, ConfigFileError> {
    let text = format!(
        "[node]\nname = \"n\"\nfailure_domain = \"a\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
         peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
         [store]\naddress = \"127.0.0.1:9\"\n[bounds]\n{section}"
    );
    Settings::parse(&text, Path::new("test"))
}

/// Guards against a price that makes every request leave, or none without a word.
#[test_case("[domains]\n", Some(0.1); "default")]
#[test_case("[domains]\ncross_cost_ms_per_kb = 0.0\n", Some(0.0); "free")]
#[test_case("[domains]\ncross_cost_ms_per_kb = -1.0\n", None; "negative")]
#[test_case("[domains]\ncross_cost_ms_per_kb = inf\n", None; "infinite")]
fn the_price_of_traffic_is_checked(section: &str, price: Option<f64>) {
    match (parse(section), price) {
        (Ok(settings), price) => {
            assert_eq!(settings.domains.map(|d| d.cross_cost_ms_per_kb), price)
        }
        (Err(error), None) => {
            assert!(
                error.to_string().contains("domains.cross_cost_ms_per_kb"),
                "{error}"
            );
        }
        (Err(error), Some(_)) => panic!("{error}"),
    }
}

fn server(id: &str, domain: &str) -> Rc<Server> {
    Rc::new(Server::new(ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: domain.into(),
        version: Name::default(),
        slots: 4,
        state: ServerState::Ready,
        purchase: Purchase::OnDemand,
        born_unix_ms: 1,
        sequence: 0,
    }))
}

/// Load: a shared prefix asked for in domains a and b, of which b loses a server. Guards against a
/// prefix that all domains fetch from one, and against homes that move when others' servers change.
#[test]
fn each_domain_has_its_own_home_of_a_prefix() {
    let all = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("b3", "b"),
    ];
    let mut servers: Vec<Rc<Server>> = all.iter().map(|(id, d)| server(id, d)).collect();
    for n in 0..20 {
        let prompt = Prompt::parse(Some(&format!("p{n}:800,own:100")), None);
        let homes = prefix_homes(&prompt, &servers);
        let of = |domain: &str| homes.iter().filter(|id| id.starts_with(domain)).count();
        assert_eq!((of("a"), of("b")), (1, 1), "{homes:?}");
        let removed = servers.pop().unwrap();
        let after = prefix_homes(&prompt, &servers);
        for home in homes.iter().filter(|id| **id != removed.record.id) {
            assert!(after.contains(home), "{homes:?} {after:?}");
        }
        servers.push(removed);
    }
}
