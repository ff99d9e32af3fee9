//! Orders of backend servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use base::units::Millisecond;
use base::{Map, Name};
use fleet::lease::FENCE_STEP;
use outside::{Duties, DutyError, Purchase, ServerOrder};
use serde::Serialize;

use super::tenure::DutyTenure;
use crate::belief::Service;
use crate::belief::registry::ServerState;
use crate::decide::scale::{Exposure, Need, Order, PresentServers, Registrations, ScalePlanner};
use crate::log;
use crate::node::Node;
use crate::peer::role::Presence;
use crate::settings::FirstStart;

/// Servers register within this time of their start.
const REGISTRATION_MS: Millisecond = 5_000;

/// Work below this, in servers, is too little to estimate demand from.
const SIGNIFICANT_WORK: f64 = 0.05;

/// Orders backend servers for all services.
pub struct Scaler {
    node: Rc<Node>,
    duties: Arc<dyn Duties>,
    tenure: DutyTenure,
    planners: RefCell<Map<Name, ScalePlanner>>,
}

#[derive(Serialize)]
struct OrderedFields<'a> {
    service: &'a str,
    failure_domain: &'a str,
    purchase: Purchase,
    wanted: u32,
    busy: Option<f64>,
    present: u32,
    exposure: Exposure,
    fence: u64,
    outcome: String,
}

impl Scaler {
    /// A scaler that has ordered nothing yet.
    pub fn new(node: Rc<Node>, duties: Arc<dyn Duties>, tenure: DutyTenure) -> Self {
        Self {
            node,
            duties,
            tenure,
            planners: RefCell::default(),
        }
    }

    /// Records the current demand of each service.
    pub fn observe(&self) {
        let Some(directory) = self.node.directory() else {
            return;
        };
        for service in directory.services.values() {
            let need = self.need(service);
            let mut planners = self.planners.borrow_mut();
            let planner = self.planner(&mut planners, service);
            planner.observe(need, &self.present(&service.name), self.node.now_ms());
            planner.set_lost_servers(self.lost_servers(&service.name));
        }
    }

    /// Forgets past orders, as another node may have placed orders since.
    pub fn forget_orders(&self) {
        for planner in self.planners.borrow_mut().values_mut() {
            planner.forget_orders();
        }
    }

    /// Places the orders that are due, without waiting for their answers: an order without an answer
    /// must not delay the next ones.
    pub fn round(self: &Rc<Self>) {
        let Some(directory) = self.node.directory() else {
            return;
        };
        for service in directory.services.values() {
            let need = self.need(service);
            for order in self.orders(service) {
                let (scaler, service) = (self.clone(), service.clone());
                tokio::task::spawn_local(async move {
                    scaler.send_order(&service, need, &order).await;
                });
            }
        }
    }

    fn orders(&self, service: &Service) -> Vec<Order> {
        let Some(scaling) = &service.scaling else {
            return Vec::new();
        };
        let present = self.present(&service.name);
        let Some(registrations) = self.registrations() else {
            return Vec::new();
        };
        if present.is_empty() {
            return Vec::new();
        }
        let mut planners = self.planners.borrow_mut();
        let planner = self.planner(&mut planners, service);
        planner.plan(scaling, &present, registrations, self.node.now_ms())
    }

    async fn send_order(&self, service: &Service, need: Need, order: &Order) {
        let Some(mut holder) = self.tenure.holder() else {
            let mut planners = self.planners.borrow_mut();
            self.planner(&mut planners, service)
                .record_unanswered(order);
            return;
        };
        holder.fence += order.lost_before.min(FENCE_STEP - 1);
        let request = ServerOrder {
            service: service.name.clone(),
            failure_domain: order.failure_domain.clone(),
            purchase: order.purchase,
            wanted: order.wanted,
        };
        let outcome = self.duties.order_servers(&holder, &request).await;
        let mut planners = self.planners.borrow_mut();
        let planner = self.planner(&mut planners, service);
        match &outcome {
            Ok(()) => planner.record_acceptance(order),
            Err(DutyError::Refused) => planner.record_refusal(order, self.node.now_ms()),
            Err(DutyError::NotExecuted { .. } | DutyError::Unknown { .. }) => {
                planner.record_unanswered(order)
            }
        }
        let fields = OrderedFields {
            service: &service.name,
            failure_domain: &order.failure_domain,
            purchase: order.purchase,
            wanted: order.wanted,
            present: self
                .present(&service.name)
                .values()
                .map(|p| p.reclaimable + p.on_demand)
                .sum(),
            busy: match need {
                Need::Busy(servers) => Some(servers),
                Need::Unknown => None,
            },
            exposure: planner.exposure(self.node.now_ms()),
            fence: holder.fence,
            outcome: match &outcome {
                Ok(()) => "taken".to_owned(),
                Err(error) => error.to_string(),
            },
        };
        log::emit(events::Code::ServersOrdered, &fields);
    }

    fn planner<'a>(
        &self,
        planners: &'a mut Map<Name, ScalePlanner>,
        service: &Service,
    ) -> &'a mut ScalePlanner {
        let planner = planners.entry(service.name.clone());
        planner.or_insert_with(|| ScalePlanner::new(self.node.settings.buying))
    }

    /// Servers that are not draining, by failure domain and kind of purchase.
    fn present(&self, service: &Name) -> Map<Name, PresentServers> {
        let mut present: Map<Name, PresentServers> = Map::default();
        for server in self.node.registry.borrow().of_service(service) {
            let record = &server.record;
            let counts = present.entry(record.failure_domain.clone()).or_default();
            let is_leaving = server.flow.backpressure.borrow().is_leaving();
            if record.state == ServerState::Draining || is_leaving {
                continue;
            }
            match record.purchase {
                Purchase::Reclaimable => counts.reclaimable += 1,
                Purchase::OnDemand => counts.on_demand += 1,
            }
        }
        present
    }

    /// Capacity that rate limits have taken away recently, in servers.
    fn lost_servers(&self, service: &Name) -> f64 {
        let fleet_ms = self.node.fleet_ms();
        let registry = self.node.registry.borrow();
        let lost = registry.of_service(service).iter().map(|server| {
            let backpressure = server.flow.backpressure.borrow();
            backpressure.lost_share(server.record.slots, fleet_ms)
        });
        lost.sum()
    }

    /// Servers whose slots the running requests would fill.
    fn filled_servers(&self, service: &Service) -> f64 {
        let registry = self.node.registry.borrow();
        let servers = registry.of_service(&service.name).iter();
        servers
            .map(|s| f64::from(s.load().running) / f64::from(s.record.slots))
            .sum()
    }

    /// Whether servers have had time to register since this process started; `None` if nothing may
    /// be ordered yet. On the first start of the system no server has been ordered before, so that
    /// additional ones can be ordered at once.
    fn registrations(&self) -> Option<Registrations> {
        if self.node.now_ms() > REGISTRATION_MS {
            return Some(Registrations::Complete);
        }
        match self.node.settings.node.first_start {
            FirstStart::Yes => Some(Registrations::Partial),
            FirstStart::No => None,
        }
    }

    fn need(&self, service: &Service) -> Need {
        let now_ms = self.node.now_ms();
        let mut busy = busy_servers_of(&self.node.busy_servers(), &service.name);
        for (_, peer) in self.node.peers.borrow().iter() {
            if peer.presence(now_ms) == Presence::Fresh {
                busy += busy_servers_of(&peer.heartbeat.busy, &service.name);
            }
        }
        let busy = busy.max(self.filled_servers(service));
        match busy > SIGNIFICANT_WORK {
            true => Need::Busy(busy),
            false => Need::Unknown,
        }
    }
}

fn busy_servers_of(all: &[(Name, f64)], service: &Name) -> f64 {
    let found = all.iter().find(|(name, _)| name == service);
    found.map_or(0.0, |(_, servers)| *servers)
}
