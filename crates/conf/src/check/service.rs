//! Checks of services.

use std::collections::BTreeSet;
use std::num::NonZeroU64;

use crate::document::{LatencyTarget, Service, ServiceKind};
use crate::fault::Fault;
use crate::sections::{Entry, Sections};

/// Checks every service.
pub(super) fn check_services(sections: &Sections, faults: &mut Vec<Fault>) {
    for entry in &sections.services.entries {
        check_kind(entry, faults);
        check_targets(entry, faults);
        check_routes(entry, faults);
        check_placement(sections, entry, faults);
    }
}

fn check_kind(entry: &Entry<Service>, faults: &mut Vec<Fault>) {
    let service = &entry.value;
    match (service.kind, &service.model) {
        (ServiceKind::Model, None) => faults.push(Fault::new(
            format!("{}.model", entry.path),
            "A model service names no model.",
            "Add `model`, or set `kind` to \"plain\".",
        )),
        (ServiceKind::Plain, Some(_)) => faults.push(Fault::new(
            format!("{}.model", entry.path),
            "A plain service names a model.",
            "Remove `model`, or set `kind` to \"model\".",
        )),
        (ServiceKind::Model, Some(_)) | (ServiceKind::Plain, None) => {}
    }
    if service.kind == ServiceKind::Model && !service.routes.is_empty() {
        faults.push(Fault::new(
            format!("{}.routes", entry.path),
            "A model service lists routes; its calls are all idempotent.",
            "Remove `routes`.",
        ));
    }
}

/// The fields of a latency target by name.
fn target_fields(target: &LatencyTarget) -> [(&'static str, Option<NonZeroU64>); 3] {
    [
        ("first_token_ms", target.first_token_ms),
        ("between_tokens_ms", target.between_tokens_ms),
        ("total_ms", target.total_ms),
    ]
}

fn check_targets(entry: &Entry<Service>, faults: &mut Vec<Fault>) {
    let service = &entry.value;
    for (field, value_ms) in target_fields(&service.latency_target) {
        let path = format!("{}.latency_target.{field}", entry.path);
        let belongs = (service.kind == ServiceKind::Plain) == (field == "total_ms");
        let Some(value_ms) = value_ms else {
            if belongs {
                faults.push(Fault::new(
                    path,
                    format!("A {} service needs this target.", service.kind),
                    format!("Add `{field}`."),
                ));
            }
            continue;
        };
        if !belongs {
            faults.push(Fault::new(
                path,
                format!("A {} service has no such target.", service.kind),
                format!("Remove `{field}`."),
            ));
            continue;
        }
        if value_ms > service.timeout_ms {
            faults.push(Fault::new(
                path,
                format!("The target of {value_ms} ms is beyond the timeout."),
                format!("Use {} or less, or raise `timeout_ms`.", service.timeout_ms),
            ));
        }
    }
}

fn check_routes(entry: &Entry<Service>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for (index, route) in entry.value.routes.iter().enumerate() {
        let path = format!("{}.routes[{index}]", entry.path);
        let prefix = route.path_prefix.as_str();
        if !seen.insert((route.method.to_string(), prefix)) {
            faults.push(Fault::new(
                path.clone(),
                format!("{} {prefix} is listed twice.", route.method),
                "Remove one of the two.",
            ));
        }
        let odd = prefix.split('/').any(|step| step == "." || step == "..");
        if odd || prefix.contains("//") {
            faults.push(Fault::new(
                format!("{path}.path_prefix"),
                format!("`{prefix}` is not in its shortest form."),
                "Remove empty, `.` and `..` segments.",
            ));
        }
    }
}

fn check_placement(sections: &Sections, entry: &Entry<Service>, faults: &mut Vec<Fault>) {
    let placement = &entry.value.placement;
    let path = format!("{}.placement", entry.path);
    if placement.min_vms > placement.max_vms.get() {
        faults.push(Fault::new(
            format!("{path}.min_vms"),
            format!("{} is above `max_vms`.", placement.min_vms),
            format!("Use {} or less, or raise `max_vms`.", placement.max_vms),
        ));
    }
    let mut seen = BTreeSet::new();
    for (index, class) in placement.classes.iter().enumerate() {
        let path = format!("{path}.classes[{index}]");
        if !seen.insert(class.as_str()) {
            faults.push(Fault::new(
                path,
                format!("The VM class `{}` is listed twice.", class.as_str()),
                "Remove one of the two.",
            ));
            continue;
        }
        if let Some(fault) = check_class(sections, entry.value.kind, path, class) {
            faults.push(fault);
        }
    }
}

fn check_class(sections: &Sections, kind: ServiceKind, path: String, class: &str) -> Option<Fault> {
    if !sections.vm_classes.has(class) {
        return Some(Fault::new(
            path,
            format!("There is no VM class `{class}`."),
            "Name a VM class of this document.",
        ));
    }
    let known = sections
        .vm_classes
        .entries
        .iter()
        .find(|entry| entry.value.name.as_str() == class)?;
    if kind == ServiceKind::Plain || known.value.accelerators > 0 {
        return None;
    }
    Some(Fault::new(
        path,
        format!("The VM class `{class}` has no accelerator, which a model service needs."),
        "Name a class with accelerators.",
    ))
}
