//! Orders of servers by the gateway's own decisions, and servers that come and go by them.

use base::{Map, Name};
use gateway::belief::directory::Scaling;
use gateway::decide::scale::{Need, PresentServers, Registrations};
use outside::Purchase;

use crate::schedule::MS;
use crate::supply::{Filled, HostId, State};
use crate::world::{Event, ORDERS_US, World, seconds};

/// Work below this, in servers, is too little to estimate demand from, as in the daemon.
const SIGNIFICANT_WORK: f64 = 0.05;

impl World<'_> {
    pub(crate) fn orders(&mut self) {
        self.schedule.add(ORDERS_US, Event::Orders);
        let (Some(scaling), now_ms) = (self.scaling(), self.now_ms()) else {
            return;
        };
        let busy: f64 = self.nodes.iter_mut().map(|n| n.busy(now_ms)).sum();
        let busy = busy.max(self.nodes[0].batches());
        let need = match busy > SIGNIFICANT_WORK {
            true => Need::Busy(busy),
            false => Need::Unknown,
        };
        let present = self.present();
        self.scale.observe(need, &present, now_ms);
        let registrations = Registrations::Complete;
        for order in self.scale.plan(&scaling, &present, registrations, now_ms) {
            let now_us = self.schedule.now_us();
            let domain = &order.failure_domain;
            match self
                .supply
                .order(domain, order.purchase, order.wanted, now_us)
            {
                Filled::Refused => self.scale.record_refusal(&order, now_ms),
                Filled::Taken { starting, ending } => {
                    self.scale.record_acceptance(&order);
                    for order in starting {
                        let after_us = scaling.boot_ms * MS;
                        self.schedule.add(after_us, Event::Started { order });
                    }
                    for host in ending {
                        self.leave_alone(host);
                    }
                }
            }
        }
    }

    fn scaling(&self) -> Option<Scaling> {
        let sheet = self.experiment.scaling.as_ref()?;
        let domains = self.experiment.fleet.domains.iter();
        Some(Scaling {
            min: sheet.min,
            max: sheet.max,
            boot_ms: seconds(sheet.boot_s) / MS,
            reclaimable_price: sheet.reclaimable_price,
            domain_prices: domains.map(|d| (d.name.clone(), d.price)).collect(),
        })
    }

    fn present(&self) -> Map<Name, PresentServers> {
        let mut present: Map<Name, PresentServers> = Map::default();
        for (_, host) in self.supply.in_state(State::Up) {
            let here = present.entry(host.failure_domain.clone()).or_default();
            match host.purchase {
                Purchase::Reclaimable => here.reclaimable += 1,
                Purchase::OnDemand => here.on_demand += 1,
            }
        }
        present
    }

    pub(crate) fn start(&mut self, domain: &Name, purchase: Purchase) {
        let now_us = self.schedule.now_us();
        let host = self.supply.add(self.experiment, domain, purchase, now_us);
        self.announce(host);
    }

    pub(crate) fn started(&mut self, order: u64) {
        if let Some((domain, purchase)) = self.supply.started(order) {
            self.start(&domain, purchase);
        }
    }

    /// Nodes learn of a server's life.
    pub(crate) fn announce(&mut self, host: HostId) {
        let there = self.supply.host(host);
        let (id, domain, life) = (there.id.clone(), there.failure_domain.clone(), there.life);
        let slots = self.experiment.engine.slots;
        for node in &mut self.nodes {
            node.learn(&id, &domain, slots, life);
        }
    }

    /// A server gets nothing new, and goes when it has nothing left.
    pub(crate) fn leave_alone(&mut self, host: HostId) {
        let there = self.supply.host(host);
        there.state = State::Leaving;
        let id = there.id.clone();
        for node in &mut self.nodes {
            node.forget(&id);
        }
        self.kick(host);
    }
}
