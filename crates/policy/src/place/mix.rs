//! Cheap combinations of VMs that meet a demand even after the loss of any one failure domain.

use base::{Map, Name};

use super::{Offer, Purchase};

/// Most VMs bought for a service in one decision.
const MAX_ADDED_VMS: usize = 2_000;

/// Tolerance in comparisons of capacity.
const CAPACITY_EPSILON: f64 = 1e-6;

/// Capacity left after the loss of the failure domain that has the most; 0 with a single one.
pub fn capacity_after_loss(by_domain: &Map<Name, f64>) -> f64 {
    let total: f64 = by_domain.values().sum();
    let largest = by_domain.values().copied().fold(0.0, f64::max);
    total - largest
}

/// Returns the offers to buy, as one index for each VM, so that they and `existing` meet
/// `demand_per_s` even after the loss of one failure domain. If all offers and VMs are in one
/// failure domain, the demand is met without such a loss.
pub fn cheapest_additions(
    demand_per_s: f64,
    existing: &Map<Name, f64>,
    offers: &[&Offer],
) -> Vec<usize> {
    let domains = domains_by_price(existing, offers);
    if domains.len() < 2 {
        return fill_single_domain(demand_per_s, existing, offers, &domains);
    }
    let mut best: Option<(u64, Vec<usize>)> = None;
    for used in 2..=domains.len() {
        let Some(chosen) = fill_evenly(demand_per_s, existing, offers, &domains[..used]) else {
            continue;
        };
        let chosen = trim(demand_per_s, existing, offers, chosen);
        let price = chosen.iter().map(|i| offers[*i].price_micros_per_h).sum();
        if best.as_ref().is_some_and(|(lowest, _)| *lowest <= price) {
            continue;
        }
        best = Some((price, chosen));
    }
    best.map(|(_, chosen)| chosen).unwrap_or_default()
}

fn price_per_unit(offer: &Offer) -> f64 {
    offer.price_micros_per_h as f64 / offer.capacity_per_s.max(CAPACITY_EPSILON)
}

/// Failure domains with an offer or a VM, ordered by the lowest price of an offer. Domains with a
/// VM but no offer come first, because their capacity is already paid for.
fn domains_by_price(existing: &Map<Name, f64>, offers: &[&Offer]) -> Vec<Name> {
    let mut cheapest: Map<Name, f64> = Map::default();
    for offer in offers {
        let price = price_per_unit(offer);
        let lowest = cheapest
            .entry(offer.kind.failure_domain.clone())
            .or_insert(price);
        *lowest = lowest.min(price);
    }
    for domain in existing.keys() {
        cheapest.entry(domain.clone()).or_insert(0.0);
    }
    let mut domains: Vec<(f64, Name)> = cheapest.into_iter().map(|(d, p)| (p, d)).collect();
    domains.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
    domains.into_iter().map(|(_, domain)| domain).collect()
}

/// Fills each domain up to the capacity at which the others meet the demand after the loss of one.
fn fill_evenly(
    demand_per_s: f64,
    existing: &Map<Name, f64>,
    offers: &[&Offer],
    domains: &[Name],
) -> Option<Vec<usize>> {
    let outside_per_s: f64 = existing
        .iter()
        .filter(|(domain, _)| !domains.contains(domain))
        .map(|(_, capacity)| capacity)
        .sum();
    let level_per_s = (demand_per_s - outside_per_s).max(0.0) / (domains.len() - 1) as f64;
    let mut chosen = Vec::new();
    let mut missing = 0.0;
    for domain in domains {
        let existing_per_s = existing.get(domain).copied().unwrap_or(0.0);
        missing += fill(level_per_s - existing_per_s, domain, offers, &mut chosen)?;
    }
    match missing > CAPACITY_EPSILON {
        true => None,
        false => Some(chosen),
    }
}

/// Adds VMs of one failure domain until `wanted` is covered. Returns the uncovered rest, or `None`
/// beyond [`MAX_ADDED_VMS`].
fn fill(wanted: f64, domain: &Name, offers: &[&Offer], chosen: &mut Vec<usize>) -> Option<f64> {
    let mut wanted = wanted;
    let in_domain = || (0..offers.len()).filter(|i| offers[*i].kind.failure_domain == *domain);
    while wanted > CAPACITY_EPSILON {
        if chosen.len() >= MAX_ADDED_VMS {
            return None;
        }
        let covering = in_domain()
            .filter(|i| offers[*i].capacity_per_s + CAPACITY_EPSILON >= wanted)
            .min_by_key(|i| offers[*i].price_micros_per_h);
        let cheapest_per_unit = in_domain()
            .min_by(|a, b| price_per_unit(offers[*a]).total_cmp(&price_per_unit(offers[*b])));
        let Some(cheapest_per_unit) = cheapest_per_unit else {
            return Some(wanted);
        };
        let choice = match covering {
            Some(last)
                if offers[last].price_micros_per_h
                    <= offers[cheapest_per_unit].price_micros_per_h =>
            {
                last
            }
            _ => cheapest_per_unit,
        };
        chosen.push(choice);
        wanted -= offers[choice].capacity_per_s;
    }
    Some(0.0)
}

fn fill_single_domain(
    demand_per_s: f64,
    existing: &Map<Name, f64>,
    offers: &[&Offer],
    domains: &[Name],
) -> Vec<usize> {
    let mut chosen = Vec::new();
    let Some(domain) = domains.first() else {
        return chosen;
    };
    let existing_per_s = existing.get(domain).copied().unwrap_or(0.0);
    let _uncovered = fill(demand_per_s - existing_per_s, domain, offers, &mut chosen);
    chosen
}

/// Drops VMs that the demand does not require, the most expensive first.
fn trim(
    demand_per_s: f64,
    existing: &Map<Name, f64>,
    offers: &[&Offer],
    chosen: Vec<usize>,
) -> Vec<usize> {
    let mut by_domain = existing.clone();
    for i in &chosen {
        *by_domain
            .entry(offers[*i].kind.failure_domain.clone())
            .or_default() += offers[*i].capacity_per_s;
    }
    let mut order = chosen;
    order.sort_by_key(|i| std::cmp::Reverse(offers[*i].price_micros_per_h));
    let mut kept = Vec::with_capacity(order.len());
    for i in order {
        let offer = offers[i];
        let mut without = by_domain.clone();
        if let Some(capacity) = without.get_mut(&offer.kind.failure_domain) {
            *capacity -= offer.capacity_per_s;
        }
        if capacity_after_loss(&without) + CAPACITY_EPSILON >= demand_per_s {
            by_domain = without;
            continue;
        }
        kept.push(i);
    }
    kept
}

pub(super) fn on_demand<'a>(offers: &[&'a Offer]) -> Vec<&'a Offer> {
    let on_demand = |offer: &&&Offer| offer.kind.purchase == Purchase::OnDemand;
    offers.iter().filter(on_demand).copied().collect()
}
