//! Placement decision: settles open orders, buys missing capacity and returns lasting surplus.

use base::units::Millisecond;
use base::{Map, Name};

use super::mix::{capacity_after_loss, cheapest_additions, on_demand};
use super::orders::{OrderStatus, PendingOrder, PlaceState};
use super::{
    Offer, PlaceAction, PlaceConfig, PlaceInput, PlacePlan, PlacedVm, Purchase, ServiceNeed,
    Shortfall, VmKind, VmState,
};

/// Capacity that the fleet has for one service, open orders included.
#[derive(Default)]
struct Holdings {
    by_domain: Map<Name, f64>,
    on_demand_by_domain: Map<Name, f64>,
}

impl Holdings {
    fn of(service: &Name, input: &PlaceInput, state: &PlaceState) -> Self {
        let mut holdings = Self::default();
        for vm in &input.vms {
            if vm.service == *service && vm.state == VmState::Staying {
                holdings.add(&vm.kind, vm.capacity_per_s);
            }
        }
        for order in &state.pending {
            if order.service == *service {
                holdings.add(&order.kind, order.capacity_per_s);
            }
        }
        holdings
    }

    fn add(&mut self, kind: &VmKind, capacity_per_s: f64) {
        let domain = &kind.failure_domain;
        *self.by_domain.entry(domain.clone()).or_default() += capacity_per_s;
        if kind.purchase == Purchase::OnDemand {
            let on_demand = self.on_demand_by_domain.entry(domain.clone()).or_default();
            *on_demand += capacity_per_s;
        }
    }

    /// Whether the capacity meets the need with `headroom` even after the loss of one failure
    /// domain.
    fn meets(&self, need: &ServiceNeed, headroom: f64) -> bool {
        let wanted = need.demand_per_s * headroom;
        capacity_after_loss(&self.by_domain) >= wanted
            && capacity_after_loss(&self.on_demand_by_domain) >= wanted * need.on_demand_floor
    }
}

/// Decides for all services. The caller must store the changed state before it carries out the
/// actions.
pub fn decide(
    state: &mut PlaceState,
    input: &PlaceInput,
    config: &PlaceConfig,
    now_ms: Millisecond,
) -> PlacePlan {
    state.remove_arrived(&input.vms, config.arrival_ms, now_ms);
    let mut plan = PlacePlan {
        actions: state.open_order_actions(),
        ..PlacePlan::default()
    };
    let mut released: Vec<Name> = Vec::new();
    for need in &input.needs {
        let offers: Vec<&Offer> = input
            .offers
            .iter()
            .filter(|o| o.service == need.service && !state.is_refused(&o.kind, now_ms))
            .collect();
        buy_missing(state, input, config, need, &offers, &mut plan);
        let surplus = surplus_vms(state, input, config, need, now_ms);
        released.extend(surplus);
    }
    for vm in &released {
        plan.actions.push(PlaceAction::Release { vm: vm.clone() });
    }
    plan.price_micros_per_h = price_after(state, input, &released);
    plan
}

fn buy_missing(
    state: &mut PlaceState,
    input: &PlaceInput,
    config: &PlaceConfig,
    need: &ServiceNeed,
    offers: &[&Offer],
    plan: &mut PlacePlan,
) {
    let wanted = need.demand_per_s * config.headroom;
    let mut holdings = Holdings::of(&need.service, input, state);
    let floor = wanted * need.on_demand_floor;
    let on_demand_offers = on_demand(offers);
    for i in cheapest_additions(floor, &holdings.on_demand_by_domain, &on_demand_offers) {
        holdings.add(
            &on_demand_offers[i].kind,
            on_demand_offers[i].capacity_per_s,
        );
        plan.actions.push(place_order(state, on_demand_offers[i]));
    }
    for i in cheapest_additions(wanted, &holdings.by_domain, offers) {
        holdings.add(&offers[i].kind, offers[i].capacity_per_s);
        plan.actions.push(place_order(state, offers[i]));
    }
    let missing_per_s = need.demand_per_s - capacity_after_loss(&holdings.by_domain);
    if missing_per_s > 0.0 {
        plan.shortfalls.push(Shortfall {
            service: need.service.clone(),
            missing_per_s,
        });
    }
}

fn place_order(state: &mut PlaceState, offer: &Offer) -> PlaceAction {
    let token = state.next_token();
    state.pending.push(PendingOrder {
        token: token.clone(),
        service: offer.service.clone(),
        kind: offer.kind.clone(),
        capacity_per_s: offer.capacity_per_s,
        price_micros_per_h: offer.price_micros_per_h,
        status: OrderStatus::Planned,
    });
    PlaceAction::Buy {
        token,
        service: offer.service.clone(),
        kind: offer.kind.clone(),
    }
}

/// Returns the VMs to release: those that the need does not require even with the release headroom,
/// once the surplus has lasted [`PlaceConfig::release_after_ms`]. The VMs with the highest price
/// for their capacity come first. No VM of a service is released while an order for it is open.
fn surplus_vms(
    state: &mut PlaceState,
    input: &PlaceInput,
    config: &PlaceConfig,
    need: &ServiceNeed,
    now_ms: Millisecond,
) -> Vec<Name> {
    let mut surplus = Vec::new();
    let ordering = state.pending.iter().any(|o| o.service == need.service);
    if !ordering {
        surplus = releasable(state, input, config, need);
    }
    if surplus.is_empty() {
        state.surplus_since_ms.remove(&need.service);
        return surplus;
    }
    let since_ms = *state
        .surplus_since_ms
        .entry(need.service.clone())
        .or_insert(now_ms);
    if now_ms.saturating_sub(since_ms) < config.release_after_ms {
        return Vec::new();
    }
    surplus
}

fn releasable(
    state: &PlaceState,
    input: &PlaceInput,
    config: &PlaceConfig,
    need: &ServiceNeed,
) -> Vec<Name> {
    let mut holdings = Holdings::of(&need.service, input, state);
    let mut vms: Vec<&PlacedVm> = input
        .vms
        .iter()
        .filter(|vm| vm.service == need.service && vm.state == VmState::Staying)
        .collect();
    let price_per_unit = |vm: &PlacedVm| vm.price_micros_per_h as f64 / vm.capacity_per_s;
    vms.sort_by(|a, b| {
        price_per_unit(b)
            .total_cmp(&price_per_unit(a))
            .then_with(|| a.vm.cmp(&b.vm))
    });
    let mut surplus = Vec::new();
    for vm in vms {
        if surplus.len() == config.max_releases {
            break;
        }
        holdings.add(&vm.kind, -vm.capacity_per_s);
        if holdings.meets(need, config.release_headroom) {
            surplus.push(vm.vm.clone());
            continue;
        }
        holdings.add(&vm.kind, vm.capacity_per_s);
    }
    surplus
}

fn price_after(state: &PlaceState, input: &PlaceInput, released: &[Name]) -> u64 {
    let staying = |vm: &&PlacedVm| vm.state == VmState::Staying && !released.contains(&vm.vm);
    let vms = input.vms.iter().filter(staying);
    let owned: u64 = vms.map(|vm| vm.price_micros_per_h).sum();
    let ordered: u64 = state.pending.iter().map(|o| o.price_micros_per_h).sum();
    owned + ordered
}
