//! Turns a document without faults into the checked configuration.

use std::num::NonZeroU64;

use base::units::Millisecond;
use base::{Map, Name};

use super::{Config, Holder, KeyHolder};
use crate::document::{self, Document};
use crate::model::{
    FailureDomain, LatencyTarget, Operator, Placement, Price, RetryLimits, Service, ServiceKind,
    ServiceLimit, VmClass, Workspace,
};
use crate::route::Route;

/// Digits of a digest that its holder is filed under.
const FILED_DIGITS: usize = 16;

/// The part of a digest that its holder is filed under.
pub(super) fn file_under(digest: &str) -> &str {
    digest.get(..FILED_DIGITS).unwrap_or(digest)
}

/// Builds the configuration; the document has passed every check.
pub(super) fn config(document: Document) -> Config {
    Config {
        services: by_name(document.services.iter().map(service), |s| &s.name),
        workspaces: by_name(document.workspaces.iter().map(workspace), |w| &w.name),
        failure_domains: failure_domains(&document),
        vm_classes: by_name(document.vm_classes.iter().map(vm_class), |c| &c.name),
        operators: by_name(document.operators.iter().map(operator), |o| &o.name),
        key_holders: key_holders(&document),
        document,
    }
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn by_name<T>(items: impl Iterator<Item = T>, key: impl Fn(&T) -> &Name) -> Map<Name, T> {
    items.map(|item| (key(&item).clone(), item)).collect()
}

fn failure_domains(document: &Document) -> Map<Name, FailureDomain> {
    let domains = document.failure_domains.iter().map(|domain| FailureDomain {
        name: name(&domain.name),
        region: name(&domain.region),
        client_one_way_latency_ms: domain.client_one_way_latency_ms,
        one_way_latency_ms: Map::default(),
    });
    let mut domains = by_name(domains, |domain| &domain.name);
    for domain in &document.failure_domains {
        for (other, latency_ms) in &domain.one_way_latency_ms {
            set_latency(&mut domains, &domain.name, other, *latency_ms);
            set_latency(&mut domains, other, &domain.name, *latency_ms);
        }
    }
    domains
}

fn set_latency(domains: &mut Map<Name, FailureDomain>, from: &str, to: &str, latency_ms: f64) {
    if let Some(domain) = domains.get_mut(from) {
        domain.one_way_latency_ms.insert(name(to), latency_ms);
    }
}

fn vm_class(class: &document::VmClass) -> VmClass {
    let prices = class.prices.iter().map(|(domain, price)| {
        let price = Price {
            reclaimable_per_hour: price.reclaimable_per_hour,
            on_demand_per_hour: price.on_demand_per_hour,
        };
        (name(domain), price)
    });
    VmClass {
        name: name(&class.name),
        accelerators: class.accelerators,
        relative_speed: class.relative_speed,
        prices: prices.collect(),
    }
}

fn service(service: &document::Service) -> Service {
    Service {
        name: name(&service.name),
        kind: service_kind(service),
        fencing: service.fencing,
        timeout_ms: service.timeout_ms.get(),
        latency_target: latency_target(&service.latency_target),
        retry: service.retry.as_ref().map(retry_limits).unwrap_or_default(),
        placement: placement(&service.placement),
    }
}

fn service_kind(service: &document::Service) -> ServiceKind {
    match &service.model {
        Some(model) => ServiceKind::Model { model: name(model) },
        None => ServiceKind::Plain {
            routes: service.routes.iter().map(route).collect(),
        },
    }
}

fn route(route: &document::Route) -> Route {
    Route {
        method: route.method,
        path_prefix: name(&route.path_prefix),
        effect: route.effect,
    }
}

fn latency_target(target: &document::LatencyTarget) -> LatencyTarget {
    let ms = |value: Option<NonZeroU64>| value.map_or(Millisecond::MAX, NonZeroU64::get);
    if target.total_ms.is_some() {
        return LatencyTarget::Whole {
            total_ms: ms(target.total_ms),
        };
    }
    LatencyTarget::Tokens {
        first_token_ms: ms(target.first_token_ms),
        between_tokens_ms: ms(target.between_tokens_ms),
    }
}

fn retry_limits(retry: &document::Retry) -> RetryLimits {
    RetryLimits {
        max_attempts: retry.max_attempts.get(),
        budget_percent: retry.budget_percent,
    }
}

fn placement(placement: &document::Placement) -> Placement {
    Placement {
        min_vms: placement.min_vms,
        max_vms: placement.max_vms.get(),
        classes: placement.classes.iter().map(|class| name(class)).collect(),
    }
}

fn workspace(workspace: &document::Workspace) -> Workspace {
    let limits = workspace.limits.iter().map(|(service, limit)| {
        let limit = ServiceLimit {
            max_concurrent: limit.max_concurrent.get(),
        };
        (name(service), limit)
    });
    Workspace {
        name: name(&workspace.name),
        key_digests: workspace
            .key_digests
            .iter()
            .map(|d| d.to_string())
            .collect(),
        share: workspace.share.get(),
        priority: workspace.priority,
        limits: limits.collect(),
    }
}

fn operator(operator: &document::Operator) -> Operator {
    Operator {
        name: name(&operator.name),
        key_digest: operator.key_digest.to_string(),
    }
}

fn key_holders(document: &Document) -> Map<String, Vec<KeyHolder>> {
    let mut holders: Map<String, Vec<KeyHolder>> = Map::default();
    let mut file = |digest: &str, holder: Holder| {
        let filed = holders.entry(file_under(digest).to_owned()).or_default();
        filed.push(KeyHolder {
            digest: digest.to_owned(),
            holder,
        });
    };
    for workspace in &document.workspaces {
        for digest in &workspace.key_digests {
            file(digest, Holder::Workspace(name(&workspace.name)));
        }
    }
    for operator in &document.operators {
        file(&operator.key_digest, Holder::Operator(name(&operator.name)));
    }
    holders
}
