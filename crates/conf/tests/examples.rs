//! The shipped examples validate and say what the deployments need.

use conf::{Config, Effect, Priority, ServiceKind};
use test_case::test_case;

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.json");
const CONSORTIUM: &str = include_str!("../../../examples/consortium.json");

#[test_case(COOPERATIVE, &["vake", "saburtalo", "didube"], 1.5, 3.0; "cooperative")]
#[test_case(CONSORTIUM, &["agadir-port", "inezgane", "ait-melloul"], 0.5, 1.0; "consortium")]
fn example_is_valid(text: &str, domains: &[&str], between_ms: f64, client_ms: f64) {
    let config = Config::parse(text).expect("valid");
    assert_eq!(config.failure_domains.len(), domains.len());
    for from in domains {
        assert_eq!(
            config.failure_domains[*from].client_one_way_latency_ms,
            client_ms
        );
        for to in domains {
            let expected_ms = if from == to { 0.0 } else { between_ms };
            assert_eq!(config.one_way_latency_ms(from, to), Some(expected_ms));
        }
    }
    assert_eq!(config.services.len(), 2);
    assert_eq!(config.workspaces.len(), 5);
}

#[test_case("coop-village-schools-demo-key", Some("village-schools"); "workspace key")]
#[test_case("coop-operator-demo-key", None; "operator key opens no workspace")]
#[test_case("coop-village-schools-demo-kez", None; "unknown key")]
#[test_case("", None; "empty key")]
fn workspace_is_found_by_key(key: &str, expected: Option<&str>) {
    let config = Config::parse(COOPERATIVE).expect("valid");
    let found = config.workspace_by_key(key);
    assert_eq!(found.map(|workspace| &*workspace.name), expected);
}

#[test_case("coop-operator-demo-key", Some("nino"); "operator key")]
#[test_case("coop-archive-demo-key", None; "workspace key opens no admin interface")]
fn operator_is_found_by_key(key: &str, expected: Option<&str>) {
    let config = Config::parse(COOPERATIVE).expect("valid");
    let found = config.operator_by_key(key);
    assert_eq!(found.map(|operator| &*operator.name), expected);
}

#[test_case("drafting", "POST", "/anything", Effect::Idempotent; "model service")]
#[test_case("filing-desk", "POST", "/check", Effect::Idempotent; "exact")]
#[test_case("filing-desk", "POST", "/check/7?x=1", Effect::Idempotent; "below")]
#[test_case("filing-desk", "POST", "/checks", Effect::NonIdempotent; "not a whole segment")]
#[test_case("filing-desk", "POST", "/check/../filings", Effect::NonIdempotent; "dot segments")]
#[test_case("filing-desk", "POST", "/check/%2e%2e/filings", Effect::NonIdempotent; "encoded dots")]
#[test_case("filing-desk", "POST", "/filings", Effect::NonIdempotent; "listed as non idempotent")]
#[test_case("filing-desk", "PUT", "/receipts/a", Effect::Idempotent; "put listed")]
#[test_case("filing-desk", "DELETE", "/receipts/a", Effect::NonIdempotent; "method not listed")]
#[test_case("filing-desk", "GET", "/filings", Effect::Idempotent; "get by default")]
#[test_case("filing-desk", "post", "/check", Effect::NonIdempotent; "methods are case sensitive")]
#[test_case("nowhere", "GET", "/", Effect::NonIdempotent; "unknown service")]
fn effect_of_a_call(service: &str, method: &str, path: &str, expected: Effect) {
    let config = Config::parse(COOPERATIVE).expect("valid");
    assert_eq!(config.effect_of(service, method, path), expected);
}

#[test]
fn parts_are_resolved() {
    let config = Config::parse(CONSORTIUM).expect("valid");
    let atelier = config.service("atelier-llm").expect("present");
    let ServiceKind::Model { model } = &atelier.kind else {
        panic!("atelier-llm is a model service");
    };
    assert_eq!(&**model, "fit-notes-8b");
    assert_eq!(config.workspaces["export-desk"].priority, Priority::Batch);
    assert_eq!(
        config.workspaces["export-desk"].limits["atelier-llm"].max_concurrent,
        20
    );
}

#[test]
fn equal_documents_have_equal_text_and_digest() {
    let config = Config::parse(COOPERATIVE).expect("valid");
    let again = Config::parse(&config.to_text()).expect("valid");
    assert_eq!(again, config);
    assert_eq!(again.digest_hex(), config.digest_hex());
    let other = Config::parse(CONSORTIUM).expect("valid");
    assert_ne!(other.digest_hex(), config.digest_hex());
}
