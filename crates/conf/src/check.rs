//! Faults that a schema cannot express: duplicates, dangling references, clashing values.

mod domain;
mod service;

use std::collections::BTreeMap;

use crate::fault::Fault;
use crate::sections::{Section, Sections};

/// Every such fault of a document.
pub(crate) fn faults(sections: &Sections) -> Vec<Fault> {
    let mut faults = Vec::new();
    duplicate_names(&sections.failure_domains, &mut faults);
    duplicate_names(&sections.vm_classes, &mut faults);
    duplicate_names(&sections.services, &mut faults);
    duplicate_names(&sections.workspaces, &mut faults);
    duplicate_names(&sections.operators, &mut faults);
    duplicate_keys(sections, &mut faults);
    domain::check_latencies(sections, &mut faults);
    domain::check_prices(sections, &mut faults);
    service::check_services(sections, &mut faults);
    check_limits(sections, &mut faults);
    faults
}

fn duplicate_names<T>(section: &Section<T>, faults: &mut Vec<Fault>) {
    let mut first: BTreeMap<&str, &str> = BTreeMap::new();
    for (path, name) in &section.names {
        let Some(earlier) = first.get(name.as_str()) else {
            first.insert(name, path);
            continue;
        };
        faults.push(Fault::new(
            format!("{path}.name"),
            format!("The name `{name}` already stands at {earlier}."),
            "Choose another name.",
        ));
    }
}

/// One key must identify one holder, be it a workspace or an operator.
fn duplicate_keys(sections: &Sections, faults: &mut Vec<Fault>) {
    let mut first: BTreeMap<String, String> = BTreeMap::new();
    for (path, digest) in key_digests(sections) {
        let Some(earlier) = first.get(&digest) else {
            first.insert(digest, path);
            continue;
        };
        faults.push(Fault::new(
            path,
            format!("The same key digest already stands at {earlier}."),
            "Issue a separate key.",
        ));
    }
}

/// Path and digest of every key in the document.
fn key_digests(sections: &Sections) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for entry in &sections.workspaces.entries {
        for (index, digest) in entry.value.key_digests.iter().enumerate() {
            let path = format!("{}.key_digests[{index}]", entry.path);
            found.push((path, digest.to_string()));
        }
    }
    for entry in &sections.operators.entries {
        let path = format!("{}.key_digest", entry.path);
        found.push((path, entry.value.key_digest.to_string()));
    }
    found
}

fn check_limits(sections: &Sections, faults: &mut Vec<Fault>) {
    for entry in &sections.workspaces.entries {
        for service in entry.value.limits.keys() {
            if sections.services.has(service) {
                continue;
            }
            faults.push(Fault::new(
                format!("{}.limits.{service}", entry.path),
                format!("There is no service `{service}`."),
                "Name a service of this document, or remove the limit.",
            ));
        }
    }
}
