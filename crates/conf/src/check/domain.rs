//! Checks of failure domains and prices.

use std::collections::BTreeSet;

use crate::fault::Fault;
use crate::sections::Sections;

/// Each pair of failure domains has its latency stated exactly once.
pub(super) fn check_latencies(sections: &Sections, faults: &mut Vec<Fault>) {
    let mut stated = BTreeSet::new();
    for entry in &sections.failure_domains.entries {
        let name = entry.value.name.as_str();
        for other in entry.value.one_way_latency_ms.keys() {
            let path = format!("{}.one_way_latency_ms.{other}", entry.path);
            if let Some(fault) = check_pair(sections, path, name, other, &mut stated) {
                faults.push(fault);
            }
        }
    }
    missing_pairs(sections, &stated, faults);
}

type Pair = (String, String);

fn pair(a: &str, b: &str) -> Pair {
    (a.min(b).to_owned(), a.max(b).to_owned())
}

fn check_pair(
    sections: &Sections,
    path: String,
    name: &str,
    other: &str,
    stated: &mut BTreeSet<Pair>,
) -> Option<Fault> {
    if name == other {
        return Some(Fault::new(
            path,
            format!("`{name}` states a latency to itself."),
            "Remove the entry.",
        ));
    }
    if !sections.failure_domains.has(other) {
        return Some(unknown_domain(path, other));
    }
    if stated.insert(pair(name, other)) {
        return None;
    }
    Some(Fault::new(
        path,
        format!("The latency between `{name}` and `{other}` is stated twice."),
        "State it at one of the two.",
    ))
}

fn missing_pairs(sections: &Sections, stated: &BTreeSet<Pair>, faults: &mut Vec<Fault>) {
    let entries = &sections.failure_domains.entries;
    for (index, entry) in entries.iter().enumerate() {
        let name = entry.value.name.as_str();
        for later in &entries[index + 1..] {
            let other = later.value.name.as_str();
            if name == other || stated.contains(&pair(name, other)) {
                continue;
            }
            faults.push(Fault::new(
                format!("{}.one_way_latency_ms", entry.path),
                format!("The latency between `{name}` and `{other}` is missing."),
                format!("Add `{other}` here."),
            ));
        }
    }
}

/// Prices name failure domains of the document and offer something for sale.
pub(super) fn check_prices(sections: &Sections, faults: &mut Vec<Fault>) {
    for entry in &sections.vm_classes.entries {
        for (domain, price) in &entry.value.prices {
            let path = format!("{}.prices.{domain}", entry.path);
            if !sections.failure_domains.has(domain) {
                faults.push(unknown_domain(path.clone(), domain));
            }
            if price.reclaimable_per_hour.is_none() && price.on_demand_per_hour.is_none() {
                faults.push(Fault::new(
                    path,
                    "No price is given.",
                    "Add `reclaimable_per_hour` or `on_demand_per_hour`, or remove the entry.",
                ));
            }
        }
    }
}

fn unknown_domain(path: String, name: &str) -> Fault {
    Fault::new(
        path,
        format!("There is no failure domain `{name}`."),
        "Name a failure domain of this document.",
    )
}
