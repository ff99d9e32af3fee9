//! Differences between two configurations, path by path.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Config;

/// One difference. Members of lists of named things are addressed by name, not position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Where, such as `$.services[drafting].timeout_ms`.
    pub path: String,
    /// The old value; absent when the path is new.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<Value>,
    /// The new value; absent when the path is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<Value>,
}

/// Lists the differences from `old` to `new`, in order of path.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    diff_values(&old.to_value(), &new.to_value())
}

/// Lists the differences between two documents that need not be valid.
pub fn diff_values(old: &Value, new: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("$", Some(old), Some(new), &mut changes);
    changes
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    if let (Some(old), Some(new)) = (old, new)
        && let (Some(old), Some(new)) = (members(old), members(new))
    {
        compare_members(path, &old, &new, changes);
        return;
    }
    changes.push(Change {
        path: path.to_owned(),
        old: old.cloned(),
        new: new.cloned(),
    });
}

type Members<'a> = std::collections::BTreeMap<String, &'a Value>;

fn compare_members(path: &str, old: &Members, new: &Members, changes: &mut Vec<Change>) {
    for (step, value) in old {
        compare(
            &format!("{path}{step}"),
            Some(value),
            new.get(step).copied(),
            changes,
        );
    }
    for (step, value) in new {
        if old.contains_key(step) {
            continue;
        }
        compare(&format!("{path}{step}"), None, Some(value), changes);
    }
}

/// The members of an object, or of a list whose members have distinct names, by path step.
fn members(value: &Value) -> Option<Members<'_>> {
    match value {
        Value::Object(fields) => Some(
            fields
                .iter()
                .map(|(key, value)| (format!(".{key}"), value))
                .collect(),
        ),
        Value::Array(items) => {
            let mut found = Members::new();
            for item in items {
                let name = item.get("name")?.as_str()?;
                let earlier = found.insert(format!("[{name}]"), item);
                if earlier.is_some() {
                    return None;
                }
            }
            Some(found)
        }
        _ => None,
    }
}
