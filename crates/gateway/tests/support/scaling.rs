//! Failure domains with backend servers, for the tests of their orders.

use base::units::Millisecond;
use base::{Map, Name};
use gateway::belief::directory::Scaling;
use gateway::decide::scale::PresentServers;

pub const DOMAINS: [(&str, f64); 3] = [("a", 0.85), ("b", 1.2), ("c", 1.0)];

/// Time between two rounds of decisions.
pub const DECISION_PERIOD_MS: Millisecond = 500;

pub fn scaling(reclaimable_price: Option<f64>) -> Scaling {
    let prices = DOMAINS.iter();
    Scaling {
        min: 1,
        max: 12,
        boot_ms: 4_000,
        reclaimable_price,
        domain_prices: prices
            .map(|(name, price)| (Name::from(*name), *price))
            .collect(),
    }
}

pub fn in_each_domain(reclaimable: u32, on_demand: u32) -> Map<Name, PresentServers> {
    let here = PresentServers {
        reclaimable,
        on_demand,
    };
    let domains = DOMAINS.iter();
    domains
        .map(|(name, _)| (Name::from(*name), here.clone()))
        .collect()
}
