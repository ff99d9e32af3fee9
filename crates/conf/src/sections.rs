//! The lists of a document, read as far as they can be, so that one fault does not hide another.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::{FailureDomain, Operator, Service, VmClass, Workspace};

/// One well-formed member of a list.
pub(crate) struct Entry<T> {
    /// Its place in the document.
    pub(crate) path: String,
    /// The member.
    pub(crate) value: T,
}

/// A list of named things.
pub(crate) struct Section<T> {
    /// The well-formed members.
    pub(crate) entries: Vec<Entry<T>>,
    /// Path and name of every member that has a name, well-formed or not.
    pub(crate) names: Vec<(String, String)>,
}

impl<T: DeserializeOwned> Section<T> {
    fn read(document: &Value, key: &str) -> Self {
        let mut section = Self {
            entries: Vec::new(),
            names: Vec::new(),
        };
        let items = document.get(key).and_then(Value::as_array);
        for (index, item) in items.into_iter().flatten().enumerate() {
            let path = format!("$.{key}[{index}]");
            if let Some(name) = item.get("name").and_then(Value::as_str) {
                section.names.push((path.clone(), name.to_owned()));
            }
            if let Ok(value) = serde_json::from_value(item.clone()) {
                section.entries.push(Entry { path, value });
            }
        }
        section
    }
}

impl<T> Section<T> {
    pub(crate) fn has(&self, name: &str) -> bool {
        self.names.iter().any(|(_, known)| known == name)
    }
}

/// Lists of a document that are checked alike.
pub(crate) struct Sections {
    pub(crate) failure_domains: Section<FailureDomain>,
    pub(crate) vm_classes: Section<VmClass>,
    pub(crate) services: Section<Service>,
    pub(crate) workspaces: Section<Workspace>,
    pub(crate) operators: Section<Operator>,
}

impl Sections {
    /// Reads what can be read of a document.
    pub(crate) fn read(document: &Value) -> Self {
        Self {
            failure_domains: Section::read(document, "failure_domains"),
            vm_classes: Section::read(document, "vm_classes"),
            services: Section::read(document, "services"),
            workspaces: Section::read(document, "workspaces"),
            operators: Section::read(document, "operators"),
        }
    }
}
