//! Placement decision against the number of VMs.

use base::Name;
use policy::place::{
    Offer, PlaceConfig, PlaceInput, PlaceState, PlacedVm, Purchase, ServiceNeed, VmKind, VmState,
    decide,
};

use super::{report, time_us};

const DOMAINS: usize = 29;
const CLASSES: u64 = 4;
const VM_CAPACITY_PER_S: f64 = 1_200.0;
const SERVICE: &str = "drafting";

/// Varies VMs; one tenth of them has just been lost.
pub fn run() {
    let mut points = Vec::new();
    for vms in [20, 200, 2_000, 10_000] {
        points.push((vms as f64, decision_us(vms)));
    }
    report("place.decision", "VMs", "us", points);
    let state = PlaceState::default();
    let bytes = serde_json::to_string(&state).map_or(0, |text| text.len());
    let mut points = vec![(0.0, bytes as f64)];
    for vms in [200, 2_000] {
        let mut state = PlaceState::default();
        decide(&mut state, &input(vms), &PlaceConfig::default(), 0);
        let bytes = serde_json::to_string(&state).map_or(0, |text| text.len());
        points.push((state.pending.len() as f64, bytes as f64));
    }
    report("place.state", "open orders", "bytes", points);
}

fn decision_us(vms: usize) -> f64 {
    let input = input(vms);
    let config = PlaceConfig::default();
    time_us(1, || {
        decide(&mut PlaceState::default(), &input, &config, 0);
    })
}

fn input(vms: usize) -> PlaceInput {
    let mut input = PlaceInput {
        needs: vec![ServiceNeed {
            service: Name::from(SERVICE),
            demand_per_s: vms as f64 * VM_CAPACITY_PER_S * 0.85,
            on_demand_floor: 0.2,
        }],
        ..PlaceInput::default()
    };
    for domain in 0..DOMAINS {
        for class in 0..CLASSES {
            for purchase in [Purchase::Reclaimable, Purchase::OnDemand] {
                input.offers.push(offer(domain, class, purchase));
            }
        }
    }
    for n in 0..vms - vms / 10 {
        let offer = &input.offers[n % input.offers.len()];
        let vm = PlacedVm {
            vm: Name::from(format!("vm-{n}")),
            service: Name::from(SERVICE),
            kind: offer.kind.clone(),
            price_micros_per_h: offer.price_micros_per_h,
            capacity_per_s: VM_CAPACITY_PER_S,
            state: VmState::Staying,
        };
        input.vms.push(vm);
    }
    input
}

fn offer(domain: usize, class: u64, purchase: Purchase) -> Offer {
    let dearer = match purchase {
        Purchase::Reclaimable => 1,
        Purchase::OnDemand => 3,
    };
    Offer {
        service: Name::from(SERVICE),
        kind: VmKind {
            class: Name::from(format!("class-{class}")),
            failure_domain: Name::from(format!("domain-{domain}")),
            purchase,
        },
        price_micros_per_h: (100 + domain as u64 * 3 + class * 10) * dearer,
        capacity_per_s: VM_CAPACITY_PER_S * (1.0 + class as f64 / 4.0),
    }
}
