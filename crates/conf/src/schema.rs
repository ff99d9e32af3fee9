//! Checks a document against the published JSON Schema.

use std::sync::LazyLock;

use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{ValidationError, Validator};
use serde_json::Value;

use crate::fault::Fault;

static SCHEMA_TEXT: &str = include_str!("../../../schema/config.schema.json");

static VALIDATOR: LazyLock<Validator> = LazyLock::new(|| {
    let schema = serde_json::from_str(SCHEMA_TEXT).expect("the published schema is JSON");
    jsonschema::validator_for(&schema).expect("the published schema is a schema")
});

/// Every violation of the schema.
pub(crate) fn violations(document: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    for error in VALIDATOR.iter_errors(document) {
        faults.extend(translate(&error));
    }
    faults
}

fn translate(error: &ValidationError) -> Vec<Fault> {
    let path = json_path(error.instance_path.as_str());
    let shown = shown(&path, &error.instance);
    let (problem, mend) = match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            return unexpected
                .iter()
                .map(|key| unknown_key(&path, key))
                .collect();
        }
        ValidationErrorKind::Required { property } => (
            format!("The key {property} is missing."),
            format!("Add {property}."),
        ),
        ValidationErrorKind::Type { kind } => {
            (format!("{shown} has the wrong type."), type_mend(kind))
        }
        ValidationErrorKind::Enum { options } => (
            format!("{shown} is not one of the choices."),
            format!("Use one of {options}."),
        ),
        ValidationErrorKind::Pattern { pattern } => (
            format!("{shown} is not written as this field requires."),
            format!("Write text that matches {pattern}."),
        ),
        ValidationErrorKind::Minimum { limit } => (
            format!("{shown} is too small."),
            format!("Use {limit} or more."),
        ),
        ValidationErrorKind::ExclusiveMinimum { limit } => (
            format!("{shown} is too small."),
            format!("Use more than {limit}."),
        ),
        ValidationErrorKind::Maximum { limit } => (
            format!("{shown} is too large."),
            format!("Use {limit} or less."),
        ),
        ValidationErrorKind::MinItems { limit } => (
            "The list is too short.".to_owned(),
            format!("List {limit} or more."),
        ),
        ValidationErrorKind::MaxItems { limit } => (
            "The list is too long.".to_owned(),
            format!("List {limit} or fewer."),
        ),
        ValidationErrorKind::MinProperties { limit } => (
            "The object has too few keys.".to_owned(),
            format!("Give {limit} or more."),
        ),
        _ => (
            "The value does not fit the schema.".to_owned(),
            format!("See {} in the schema.", error.schema_path.as_str()),
        ),
    };
    vec![Fault::new(path, problem, mend)]
}

fn unknown_key(path: &str, key: &str) -> Fault {
    Fault::new(
        path,
        format!("The key `{key}` is unknown."),
        format!("Remove `{key}` or correct its spelling."),
    )
}

fn type_mend(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(kind) => format!("Use the type {kind}."),
        TypeKind::Multiple(_) => "Use one of the types that the schema allows.".to_owned(),
    }
}

/// The value for a message: short, and never what may be a key.
fn shown(path: &str, value: &Value) -> String {
    const MAX_SHOWN_CHARS: usize = 60;
    if path.contains(".key_digest") {
        return "The value".to_owned();
    }
    match value {
        Value::Array(_) | Value::Object(_) => "The value".to_owned(),
        _ => {
            let text: String = value.to_string().chars().take(MAX_SHOWN_CHARS).collect();
            format!("The value {text}")
        }
    }
}

/// Turns a JSON pointer into a path such as `$.services[0].name`.
fn json_path(pointer: &str) -> String {
    let mut path = "$".to_owned();
    for step in pointer.split('/').skip(1) {
        let step = step.replace("~1", "/").replace("~0", "~");
        if step.bytes().all(|b| b.is_ascii_digit()) {
            path.push_str(&format!("[{step}]"));
        } else {
            path.push_str(&format!(".{step}"));
        }
    }
    path
}
