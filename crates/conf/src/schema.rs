//! Checks values against the published JSON Schemas.

use std::collections::BTreeSet;
use std::sync::LazyLock;

use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{JsonType, ValidationError, Validator};
use serde_json::Value;

use crate::fault::Fault;

static CONFIG: LazyLock<Schema> =
    LazyLock::new(|| Schema::read(include_str!("../../../schema/config.schema.json")));

static SETTINGS: LazyLock<Schema> =
    LazyLock::new(|| Schema::read(include_str!("../../../schema/settings.schema.json")));

/// Endings of keys that give a unit.
const UNIT_SUFFIXES: [&str; 10] = [
    "_ms", "_us", "_s", "_sec", "_secs", "_seconds", "_bytes", "_kb", "_mb", "_mib",
];

/// A published schema, ready for use.
pub(crate) struct Schema {
    validator: Validator,
    keys: BTreeSet<String>,
}

/// The schema of the configuration document.
pub(crate) fn config() -> &'static Schema {
    &CONFIG
}

/// The schema of the daemon's settings.
pub(crate) fn settings() -> &'static Schema {
    &SETTINGS
}

impl Schema {
    fn read(text: &str) -> Self {
        let schema = serde_json::from_str(text).expect("the published schema is JSON");
        let mut keys = BTreeSet::new();
        collect_keys(&schema, &mut keys);
        Self {
            validator: jsonschema::validator_for(&schema).expect("the published schema is valid"),
            keys,
        }
    }

    /// Every violation of the schema.
    pub(crate) fn violations(&self, value: &Value) -> Vec<Fault> {
        let mut faults = Vec::new();
        for error in self.validator.iter_errors(value) {
            let path = json_path(error.instance_path.as_str());
            let ValidationErrorKind::AdditionalProperties { unexpected } = &error.kind else {
                faults.push(translate(path, &error));
                continue;
            };
            for key in unexpected {
                faults.push(self.unknown_key(&path, key));
            }
        }
        faults
    }

    fn unknown_key(&self, path: &str, key: &str) -> Fault {
        let mend = match self.same_stem(key) {
            Some(known) => format!("Write `{known}`, in the unit that its name gives."),
            None => format!("Remove `{key}` or correct its spelling."),
        };
        Fault::new(path, format!("The key `{key}` is unknown."), mend)
    }

    /// The known key that differs in its unit only.
    fn same_stem(&self, key: &str) -> Option<&str> {
        let wanted = stem(key);
        let known = self.keys.iter().find(|known| stem(known) == wanted)?;
        (known != key).then_some(known)
    }
}

fn stem(key: &str) -> &str {
    for suffix in UNIT_SUFFIXES {
        if let Some(stem) = key.strip_suffix(suffix) {
            return stem;
        }
    }
    key
}

fn collect_keys(schema: &Value, keys: &mut BTreeSet<String>) {
    let Value::Object(fields) = schema else {
        return;
    };
    for (field, value) in fields {
        if let ("properties", Value::Object(properties)) = (field.as_str(), value) {
            keys.extend(properties.keys().cloned());
        }
        collect_keys(value, keys);
    }
}

fn translate(path: String, error: &ValidationError) -> Fault {
    let shown = shown(&path, &error.instance);
    let (problem, mend) = match &error.kind {
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
    Fault::new(path, problem, mend)
}

fn type_mend(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(JsonType::Integer) => {
            "Write a whole number without quotes; the key's name gives the unit.".to_owned()
        }
        TypeKind::Single(kind) => format!("Use the type {kind}."),
        TypeKind::Multiple(_) => "Use one of the types that the schema allows.".to_owned(),
    }
}

/// The value for a message: short, and never what may be a key.
fn shown(path: &str, value: &Value) -> String {
    const MAX_SHOWN_CHARS: usize = 60;
    if path.contains(".key_digest") || path.contains(".secret") {
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
