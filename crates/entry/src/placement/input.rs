//! Collects the input of a placement decision from the configuration, the fleet and the backend
//! servers.

use base::{Map, Name};
use conf::{Config, LatencyTarget, Price, Service, VmClass};
use outside::{Vm, VmRole, VmState};
use policy::place::{
    self, Offer, PlaceAction, PlaceInput, PlacePlan, PlaceState, PlacedVm, Purchase, ServiceNeed,
    VmKind,
};

use super::PlacementOptions;
use crate::follow::split_demand;

/// Concurrent requests that a VM of relative speed 1 is assumed to serve within the latency target
/// until it reports its slots.
const SLOTS_PER_RELATIVE_SPEED: f64 = 8.0;

/// Millionths per unit of the currency.
const MICROS: f64 = 1e6;

/// The input of a placement decision, and the fewest VMs that each service must keep.
#[derive(Clone, Debug, Default)]
pub struct PlacementSnapshot {
    pub input: PlaceInput,
    /// Fewest VMs of each service.
    pub min_vms: Map<Name, usize>,
}

impl PlacementSnapshot {
    /// Removes releases from `plan` that would leave a service with fewer than its fewest VMs.
    pub fn enforce_min_vms(&self, plan: &mut PlacePlan) {
        let mut spare: Map<Name, usize> = Map::default();
        for (service, min_vms) in &self.min_vms {
            let held = staying_vms(&self.input, service);
            spare.insert(service.clone(), held.saturating_sub(*min_vms));
        }
        plan.actions.retain(|action| {
            let PlaceAction::Release { vm } = action else {
                return true;
            };
            let placed = self.input.vms.iter().find(|placed| placed.vm == *vm);
            let left = placed.and_then(|placed| spare.get_mut(&placed.service));
            let Some(left) = left.filter(|left| **left > 0) else {
                return false;
            };
            *left -= 1;
            true
        });
    }
}

/// Collects the current input of a decision; `None` until a configuration is in force. A service
/// that has its most VMs already, pending orders included, gets no offers.
pub fn snapshot(options: &PlacementOptions, state: &PlaceState) -> Option<PlacementSnapshot> {
    let in_force = options.daemon.config.borrow().clone()?;
    let config = &in_force.config;
    let view = options.fleet.view();
    let slots = reported_slots(options);
    let mut snapshot = PlacementSnapshot::default();
    for vm in view.vms.iter() {
        snapshot.input.vms.extend(placed(config, vm, &slots));
    }
    for service in config.services.values() {
        snapshot.input.needs.push(need(options, service));
        let held =
            staying_vms(&snapshot.input, &service.name) + pending_orders(state, &service.name);
        if held < service.placement.max_vms as usize {
            snapshot.input.offers.extend(offers(config, service));
        }
        let min_vms = service.placement.min_vms as usize;
        snapshot.min_vms.insert(service.name.clone(), min_vms);
    }
    Some(snapshot)
}

fn staying_vms(input: &PlaceInput, service: &str) -> usize {
    let stays = |vm: &&PlacedVm| &*vm.service == service && vm.state == place::VmState::Staying;
    input.vms.iter().filter(stays).count()
}

fn pending_orders(state: &PlaceState, service: &str) -> usize {
    state
        .pending
        .iter()
        .filter(|order| &*order.service == service)
        .count()
}

/// Tokens (or whole answers) per second that one slot yields at the service's latency target.
fn rate_per_slot(service: &Service) -> f64 {
    match service.latency_target {
        LatencyTarget::Tokens {
            between_tokens_ms, ..
        } => 1_000.0 / between_tokens_ms as f64,
        LatencyTarget::Whole { total_ms } => 1_000.0 / total_ms as f64,
    }
}

/// The fleet's demand for a service, in the unit of [`rate_per_slot`].
fn need(options: &PlacementOptions, service: &Service) -> ServiceNeed {
    let mut requests = 0;
    for (row, units) in options.fleet.demand() {
        let Some((of_service, _)) = split_demand(&row) else {
            continue;
        };
        if of_service == &*service.name {
            requests += units;
        }
    }
    ServiceNeed {
        service: service.name.clone(),
        demand_per_s: requests as f64 * rate_per_slot(service),
        on_demand_floor: 0.0,
    }
}

fn offers(config: &Config, service: &Service) -> Vec<Offer> {
    let mut offers = Vec::new();
    for name in &service.placement.classes {
        let Some(class) = config.vm_classes.get(name) else {
            continue;
        };
        for (failure_domain, price) in &class.prices {
            for (purchase, per_hour) in purchase_options(price) {
                offers.push(Offer {
                    service: service.name.clone(),
                    kind: VmKind {
                        class: class.name.clone(),
                        failure_domain: failure_domain.clone(),
                        purchase,
                    },
                    price_micros_per_h: (per_hour * MICROS) as u64,
                    capacity_per_s: assumed_slots(class) * rate_per_slot(service),
                });
            }
        }
    }
    offers
}

fn purchase_options(price: &Price) -> Vec<(Purchase, f64)> {
    let mut purchase_options = Vec::new();
    if let Some(per_hour) = price.reclaimable_per_hour {
        purchase_options.push((Purchase::Reclaimable, per_hour));
    }
    if let Some(per_hour) = price.on_demand_per_hour {
        purchase_options.push((Purchase::OnDemand, per_hour));
    }
    purchase_options
}

fn assumed_slots(class: &VmClass) -> f64 {
    SLOTS_PER_RELATIVE_SPEED * class.relative_speed
}

/// Slots that the backend servers report, by VM; servers without a report are left out.
fn reported_slots(options: &PlacementOptions) -> Map<Name, f64> {
    let mut slots = Map::default();
    for server in options.flow.backends.view() {
        let Some(load) = server.load.filter(|load| load.slots > 0) else {
            continue;
        };
        slots.insert(server.server, f64::from(load.slots));
    }
    slots
}

/// Converts a VM of the list to placement input; `None` for VMs that serve no configured service.
/// The VM list has no purchase option, so all VMs count as reclaimable.
fn placed(config: &Config, vm: &Vm, slots: &Map<Name, f64>) -> Option<PlacedVm> {
    if vm.role != VmRole::Backend {
        return None;
    }
    let service = config.service(vm.service.as_deref()?)?;
    let class = config.vm_classes.get(&vm.class)?;
    let price = class.prices.get(&vm.failure_domain);
    let per_hour = price.and_then(|p| p.reclaimable_per_hour.or(p.on_demand_per_hour));
    let slots = slots
        .get(&vm.id)
        .copied()
        .unwrap_or_else(|| assumed_slots(class));
    Some(PlacedVm {
        vm: vm.id.clone(),
        service: service.name.clone(),
        kind: VmKind {
            class: class.name.clone(),
            failure_domain: vm.failure_domain.clone(),
            purchase: Purchase::Reclaimable,
        },
        price_micros_per_h: (per_hour.unwrap_or(0.0) * MICROS) as u64,
        capacity_per_s: slots * rate_per_slot(service),
        state: match vm.state {
            VmState::Live => place::VmState::Staying,
            VmState::Leaving { .. } => place::VmState::Leaving,
        },
    })
}
