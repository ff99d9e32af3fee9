//! Random documents and settings: no input makes the readers panic, and what is accepted survives
//! being written and read again.

use std::path::Path;

use conf::settings::Settings;
use conf::{Config, diff};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.json");
const ENTRY: &str = include_str!("../../../examples/entry-1.toml");
const CASES: u32 = 400;

fn runner() -> TestRunner {
    let config = RunnerConfig {
        cases: CASES,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// A change at a random place of a document.
#[derive(Clone, Debug)]
struct Mutation {
    place: Index,
    value: Option<Value>,
}

fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (0.0..100.0).prop_map(|number: f64| Value::from(number)),
        (0..100_u32).prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        "[a-z0-9-]{1,8}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
    ]
}

fn any_mutation() -> impl Strategy<Value = Mutation> {
    (any::<Index>(), proptest::option::weighted(0.8, any_value()))
        .prop_map(|(place, value)| Mutation { place, value })
}

/// Every place of a value, as pointers.
fn places(value: &Value, pointer: String, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                places(field, format!("{pointer}/{key}"), found);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                places(item, format!("{pointer}/{index}"), found);
            }
        }
        _ => {}
    }
    if !pointer.is_empty() {
        found.push(pointer);
    }
}

fn mutate(document: &mut Value, mutation: &Mutation) {
    let mut found = Vec::new();
    places(document, String::new(), &mut found);
    if found.is_empty() {
        return;
    }
    let pointer = mutation.place.get(&found);
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let Some(parent) = document.pointer_mut(parent) else {
        return;
    };
    match (parent, &mutation.value) {
        (Value::Object(fields), Some(value)) => {
            fields.insert(key.to_owned(), value.clone());
        }
        (Value::Object(fields), None) => {
            fields.remove(key);
        }
        (Value::Array(items), Some(value)) => {
            items[key.parse::<usize>().expect("an index")] = value.clone();
        }
        (Value::Array(items), None) => {
            items.remove(key.parse::<usize>().expect("an index"));
        }
        _ => {}
    }
}

/// Checks one text; tells whether it was accepted.
fn check(text: &str) -> Result<bool, TestCaseError> {
    match Config::parse(text) {
        Ok(config) => {
            let again = Config::parse(&config.to_text());
            prop_assert_eq!(again.as_ref(), Ok(&config));
            let again = again.expect("compared");
            prop_assert_eq!(again.digest_hex(), config.digest_hex());
            prop_assert!(diff(&config, &again).is_empty());
            Ok(true)
        }
        Err(faults) => {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| fault.path.starts_with('$')));
            Ok(false)
        }
    }
}

#[test]
fn arbitrary_text_is_refused_without_panic() {
    let run = runner().run(&".{0,200}", |text| {
        prop_assert!(!check(&text)?);
        Ok(())
    });
    run.expect("holds");
}

#[test]
fn mutated_documents_are_read_or_refused() {
    let example: Value = serde_json::from_str(COOPERATIVE).expect("JSON");
    let accepted = std::cell::Cell::new(0);
    let run = runner().run(&vec(any_mutation(), 1..3), |mutations| {
        let mut document = example.clone();
        for mutation in &mutations {
            mutate(&mut document, mutation);
        }
        if check(&document.to_string())? {
            accepted.set(accepted.get() + 1);
        }
        Ok(())
    });
    run.expect("holds");
    let accepted = accepted.get();
    assert!(accepted > 0, "no mutation was accepted");
    assert!(accepted < CASES, "no mutation was refused");
}

#[test]
fn numbers_survive_being_written_and_read() {
    let example: Value = serde_json::from_str(COOPERATIVE).expect("JSON");
    let run = runner().run(&vec(0.0..1_000_000.0, 3), |prices| {
        let mut document = example.clone();
        for (class, price) in prices.iter().enumerate() {
            document["vm_classes"][class]["prices"]["vake"]["on_demand_per_hour"] = json!(price);
        }
        let text = document.to_string();
        prop_assert!(check(&text)?);
        let config = Config::parse(&text).expect("accepted");
        let class = &config.vm_classes["runner-large"];
        prop_assert_eq!(class.prices["vake"].on_demand_per_hour, Some(prices[0]));
        Ok(())
    });
    run.expect("holds");
}

#[test]
fn cut_and_altered_bytes_never_panic() {
    let strategy = (any::<Index>(), any::<Index>(), any::<char>());
    let run = runner().run(&strategy, |(cut, place, letter)| {
        for example in [COOPERATIVE, ENTRY] {
            let mut letters: Vec<char> = example.chars().collect();
            let place = place.index(letters.len());
            letters[place] = letter;
            let altered: String = letters.iter().collect();
            letters.truncate(cut.index(letters.len()));
            let cut: String = letters.iter().collect();
            for text in [altered, cut] {
                check(&text)?;
                // Only a panic would be a failure: any text may be settings or not.
                let _ = Settings::parse(Path::new("entry-1.toml"), &text);
            }
        }
        Ok(())
    });
    run.expect("holds");
}
