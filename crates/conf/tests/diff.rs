//! Differences between configurations.

use conf::{Change, Config, diff, diff_values};
use serde_json::{Value, json};
use test_case::test_case;

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.json");

#[test_case(json!({"a":1}), json!({"a":1}), json!([]); "equal")]
#[test_case(json!({"a":1}), json!({"a":2}), json!([{"path":"$.a","old":1,"new":2}]); "changed")]
#[test_case(json!({"a":1}), json!({}), json!([{"path":"$.a","old":1}]); "gone")]
#[test_case(json!({}), json!({"a":{"b":1}}), json!([{"path":"$.a","new":{"b":1}}]); "added")]
#[test_case(json!({"s":[{"name":"x","v":1},{"name":"y"}]}), json!({"s":[{"name":"y"},{"name":"x","v":2}]}), json!([{"path":"$.s[x].v","old":1,"new":2}]); "named members move freely")]
#[test_case(json!({"s":[1,2]}), json!({"s":[2,1]}), json!([{"path":"$.s","old":[1,2],"new":[2,1]}]); "plain lists are ordered")]
fn differences(old: Value, new: Value, expected: Value) {
    let expected: Vec<Change> = serde_json::from_value(expected).expect("changes");
    assert_eq!(diff_values(&old, &new), expected);
}

#[test]
fn configurations_differ_by_path() {
    let old = Config::parse(COOPERATIVE).expect("valid");
    let text = COOPERATIVE.replace("\"timeout_ms\": 600000", "\"timeout_ms\": 500000");
    let new = Config::parse(&text).expect("valid");
    let changes = diff(&old, &new);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].path, "$.services[drafting].timeout_ms");
    assert!(diff(&old, &old).is_empty());
}
