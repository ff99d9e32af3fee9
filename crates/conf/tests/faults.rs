//! Faulty documents: each fault is reported with its path and mend, and none hides another.

use conf::{Config, Fault};
use serde_json::{Value, json};
use test_case::test_case;

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.json");

fn with(pointer: &str, value: Value) -> String {
    let mut document: Value = serde_json::from_str(COOPERATIVE).expect("JSON");
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    match document.pointer_mut(parent).expect("parent exists") {
        Value::Object(fields) => {
            fields.insert(key.to_owned(), value);
        }
        Value::Array(items) => items[key.parse::<usize>().expect("index")] = value,
        _ => panic!("{parent} holds nothing"),
    }
    document.to_string()
}

fn faults(text: &str) -> Vec<Fault> {
    Config::parse(text).expect_err("faulty")
}

#[test_case("/services/0/kind", json!("llm"), "$.services[0].kind", "Use one of"; "unknown kind")]
#[test_case("/services/0/timeout_s", json!(60), "$.services[0]", "Write `timeout_ms`"; "unknown key")]
#[test_case("/services/0/timeout_ms", json!("60s"), "$.services[0].timeout_ms", "Write a whole number"; "wrong type")]
#[test_case("/services/0/timeout_ms", json!(0), "$.services[0].timeout_ms", "Use 1 or more"; "too small")]
#[test_case("/services/0/timeout_ms", json!(1000), "$.services[0].latency_target.first_token_ms", "raise `timeout_ms`"; "target beyond timeout")]
#[test_case("/workspaces/0/name", json!("Schools!"), "$.workspaces[0].name", "Write text that matches"; "bad name")]
#[test_case("/services/0/routes", json!([{"method":"GET","path_prefix":"/","effect":"idempotent"}]), "$.services[0].routes", "Remove `routes`"; "routes of a model service")]
#[test_case("/services/1/model", json!("m"), "$.services[1].model", "Remove `model`"; "model of a plain service")]
#[test_case("/services/1/latency_target/first_token_ms", json!(9), "$.services[1].latency_target.first_token_ms", "Remove `first_token_ms`"; "target of the other kind")]
#[test_case("/services/1/latency_target", json!({}), "$.services[1].latency_target.total_ms", "Add `total_ms`"; "target missing")]
#[test_case("/services/1/routes/1", json!({"method":"POST","path_prefix":"/check","effect":"non_idempotent"}), "$.services[1].routes[1]", "Remove one"; "route listed twice")]
#[test_case("/services/1/routes/0/path_prefix", json!("/a/../b"), "$.services[1].routes[0].path_prefix", "Remove empty"; "dot segments in a route")]
#[test_case("/services/0/placement/classes/0", json!("runner-huge"), "$.services[0].placement.classes[0]", "Name a VM class"; "dangling class")]
#[test_case("/services/0/placement/classes/0", json!("app-small"), "$.services[0].placement.classes[0]", "Name a class with accelerators"; "class without accelerator")]
#[test_case("/services/0/placement/classes/0", json!("runner-small"), "$.services[0].placement.classes[2]", "Remove one"; "class listed twice")]
#[test_case("/services/0/placement/min_vms", json!(31), "$.services[0].placement.min_vms", "raise `max_vms`"; "bounds cross")]
#[test_case("/workspaces/1/name", json!("archive"), "$.workspaces[4].name", "Choose another name"; "duplicate workspace")]
#[test_case("/workspaces/0/limits/printing", json!({"max_concurrent":1}), "$.workspaces[0].limits.printing", "Name a service"; "dangling limit")]
#[test_case("/workspaces/0/key_digests", json!([]), "$.workspaces[0].key_digests", "List 1 or more"; "no key")]
#[test_case("/failure_domains/0/one_way_latency_ms/gldani", json!(1), "$.failure_domains[0].one_way_latency_ms.gldani", "Name a failure domain"; "dangling latency")]
#[test_case("/failure_domains/0/one_way_latency_ms/vake", json!(1), "$.failure_domains[0].one_way_latency_ms.vake", "Remove the entry"; "latency to itself")]
#[test_case("/failure_domains/1/one_way_latency_ms/vake", json!(1), "$.failure_domains[1].one_way_latency_ms.vake", "State it at one"; "latency stated twice")]
#[test_case("/failure_domains/0/one_way_latency_ms", json!({"didube":1}), "$.failure_domains[0].one_way_latency_ms", "Add `saburtalo`"; "latency missing")]
#[test_case("/vm_classes/0/prices/gldani", json!({"on_demand_per_hour":1}), "$.vm_classes[0].prices.gldani", "Name a failure domain"; "dangling price")]
#[test_case("/vm_classes/0/prices/vake", json!({}), "$.vm_classes[0].prices.vake", "Add `reclaimable_per_hour`"; "empty price")]
#[test_case("/vm_classes/0/relative_speed", json!(0), "$.vm_classes[0].relative_speed", "Use more than 0"; "no speed")]
#[test_case("/format", json!(2), "$.format", "Use 1 or less"; "later format")]
fn fault_is_reported_with_path_and_mend(pointer: &str, value: Value, path: &str, mend: &str) {
    let found = faults(&with(pointer, value));
    let hit = found
        .iter()
        .any(|f| f.path == path && f.mend.contains(mend));
    assert!(hit, "{found:#?}");
    assert_eq!(found.len(), 1, "{found:#?}");
}

#[test_case("", "not JSON"; "empty")]
#[test_case("{\"format\":1,\"format\":1}", "stands twice"; "key stands twice")]
#[test_case("{\"format\":1} x", "not JSON"; "trailing text")]
fn text_that_is_no_document(text: &str, problem: &str) {
    let found = faults(text);
    assert_eq!(found.len(), 1);
    assert!(found[0].problem.contains(problem), "{found:#?}");
}

#[test]
fn nesting_and_length_are_bounded() {
    let deep = "[".repeat(100_000);
    assert!(faults(&deep)[0].problem.contains("not JSON"));
    let long = " ".repeat(conf::MAX_DOCUMENT_SIZE_BYTES + 1);
    assert!(faults(&long)[0].mend.contains("Shorten"));
}

#[test]
fn one_fault_does_not_hide_another() {
    let mut document: Value = serde_json::from_str(COOPERATIVE).expect("JSON");
    document["services"][0]["kind"] = json!("llm");
    document["services"][1]["placement"]["classes"] = json!(["nothing"]);
    document["workspaces"][0]["limits"] = json!({"printing": {"max_concurrent": 1}});
    document["vm_classes"][2]["name"] = json!("runner-large");
    document["extra"] = json!(true);
    let found = faults(&document.to_string());
    let paths: Vec<&str> = found.iter().map(|fault| fault.path.as_str()).collect();
    for path in [
        "$",
        "$.services[0].kind",
        "$.services[1].placement.classes[0]",
        "$.workspaces[0].limits.printing",
        "$.vm_classes[2].name",
    ] {
        assert!(paths.contains(&path), "{path} is missing from {found:#?}");
    }
}

#[test]
fn a_key_shared_by_two_holders_is_refused() {
    let document: Value = serde_json::from_str(COOPERATIVE).expect("JSON");
    let digest = document["operators"][0]["key_digest"].clone();
    let found = faults(&with("/workspaces/2/key_digests/0", digest));
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].path, "$.operators[0].key_digest");
}

#[test]
fn a_key_given_for_its_digest_is_not_repeated() {
    let found = faults(&with(
        "/workspaces/0/key_digests/0",
        json!("my-plain-secret"),
    ));
    assert_eq!(found[0].path, "$.workspaces[0].key_digests[0]");
    assert!(!format!("{found:?}").contains("my-plain-secret"));
}

#[test]
fn a_service_named_twice_leaves_references_to_its_old_name_dangling() {
    let found = faults(&with("/services/1/name", json!("drafting")));
    let paths: Vec<&str> = found.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(
        paths,
        ["$.services[1].name", "$.workspaces[4].limits.filing-desk"]
    );
}
