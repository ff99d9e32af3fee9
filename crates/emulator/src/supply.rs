//! Servers as the platform has them: ordered, starting, running, leaving, and what they cost.

use base::Name;
use outside::Purchase;

use crate::engine::Engine;
use crate::experiment::Experiment;
use crate::schedule::{Microsecond, S};

/// Number of a server.
pub type HostId = usize;

/// State of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// It finishes its requests and gets no new ones.
    Leaving,
    /// It has crashed and will be back.
    Down,
    Gone,
}

/// Whether an engine is processing a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Stepping,
    Idle,
}

#[derive(Debug)]
pub struct Host {
    /// Its identifier.
    pub id: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it is reclaimable or on demand.
    pub purchase: Purchase,
    /// Its engine.
    pub engine: Engine,
    pub state: State,
    pub pace: Pace,
    /// Number of its life; steps of an earlier one mean nothing.
    pub life: u64,
    /// Requests a second that its answers name as a limit.
    pub limit_per_s: Option<f64>,
    since_us: Microsecond,
    price_per_s: f64,
}

#[derive(Debug, Default)]
pub struct Supply {
    hosts: Vec<Host>,
    /// Servers that start: where, and how they are paid for, by order number.
    starting: Vec<(u64, Name, Purchase)>,
    orders: u64,
    /// Until when no reclaimable server is to be had.
    pub dry_until_us: Microsecond,
    paid: f64,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filled {
    /// No server of the kind can be bought now.
    Refused,
    /// So many start, by order number, and these end.
    Taken {
        /// Order numbers of the servers that start.
        starting: Vec<u64>,
        /// Servers that are no longer wanted.
        ending: Vec<HostId>,
    },
}

impl Supply {
    /// A server.
    pub fn host(&mut self, id: HostId) -> &mut Host {
        &mut self.hosts[id]
    }

    /// Servers in a state.
    pub fn in_state(&self, state: State) -> impl Iterator<Item = (HostId, &Host)> {
        let hosts = self.hosts.iter().enumerate();
        hosts.filter(move |(_, host)| host.state == state)
    }

    /// The server of that identifier.
    pub fn find(&self, id: &Name) -> Option<HostId> {
        self.hosts.iter().rposition(|host| host.id == *id)
    }

    /// Adds a server that runs.
    pub fn add(
        &mut self,
        experiment: &Experiment,
        failure_domain: &Name,
        purchase: Purchase,
        now_us: Microsecond,
    ) -> HostId {
        let number = self.hosts.len();
        let parts = &experiment.engine.step_parts;
        self.hosts.push(Host {
            id: format!("s{number}").into(),
            failure_domain: failure_domain.clone(),
            purchase,
            engine: Engine::new(&experiment.engine, parts[number % parts.len()]),
            state: State::Up,
            pace: Pace::Idle,
            life: 0,
            limit_per_s: None,
            since_us: now_us,
            price_per_s: price_per_s(experiment, failure_domain, purchase),
        });
        number
    }

    /// Orders a number of servers of a kind in a failure domain.
    pub fn order(
        &mut self,
        failure_domain: &Name,
        purchase: Purchase,
        wanted: u32,
        now_us: Microsecond,
    ) -> Filled {
        let up: Vec<HostId> = self
            .in_state(State::Up)
            .filter(|(_, h)| h.failure_domain == *failure_domain && h.purchase == purchase)
            .map(|(id, _)| id)
            .collect();
        let wanted = wanted as usize;
        let dry = purchase == Purchase::Reclaimable && now_us < self.dry_until_us;
        if dry && wanted > up.len() {
            return Filled::Refused;
        }
        let of_kind = |(_, d, p): &(u64, Name, Purchase)| *d == *failure_domain && *p == purchase;
        let mut coming = self.starting.iter().filter(|s| of_kind(s)).count();
        while up.len() + coming > wanted && coming > 0 {
            let newest = self.starting.iter().rposition(of_kind);
            newest.map(|place| self.starting.remove(place));
            coming -= 1;
        }
        let mut starting = Vec::new();
        for _ in up.len() + coming..wanted {
            self.orders += 1;
            let order = (self.orders, failure_domain.clone(), purchase);
            self.starting.push(order);
            starting.push(self.orders);
        }
        let ending = up.iter().skip(wanted).copied().collect();
        Filled::Taken { starting, ending }
    }

    /// A server has started, if it is still wanted: where, and how it is paid for.
    pub fn started(&mut self, order: u64) -> Option<(Name, Purchase)> {
        let place = self.starting.iter().position(|(o, _, _)| *o == order)?;
        let (_, failure_domain, purchase) = self.starting.remove(place);
        Some((failure_domain, purchase))
    }

    /// Reclaimable servers that start are not to be had any more.
    pub fn dry(&mut self, until_us: Microsecond) {
        self.dry_until_us = until_us;
        self.starting
            .retain(|(_, _, purchase)| *purchase != Purchase::Reclaimable);
    }

    /// A server is gone for good, and paid for.
    pub fn remove(&mut self, id: HostId, now_us: Microsecond) {
        let host = &mut self.hosts[id];
        if host.state == State::Gone {
            return;
        }
        host.state = State::Gone;
        self.paid += host.cost(now_us);
    }

    /// What all servers have cost until now.
    pub fn cost(&self, now_us: Microsecond) -> f64 {
        let living = self.hosts.iter().filter(|h| h.state != State::Gone);
        self.paid + living.map(|h| h.cost(now_us)).sum::<f64>()
    }

    /// Prompt tokens read by all servers, and those of shared parts among them.
    pub fn tokens_read(&self) -> (u64, u64) {
        let read = self.hosts.iter().map(|h| h.engine.read_tokens).sum();
        let shared = self.hosts.iter().map(|h| h.engine.shared_read_tokens).sum();
        (read, shared)
    }
}

impl Host {
    fn cost(&self, now_us: Microsecond) -> f64 {
        (now_us - self.since_us) as f64 / S as f64 * self.price_per_s
    }
}

fn price_per_s(experiment: &Experiment, failure_domain: &Name, purchase: Purchase) -> f64 {
    let fleet = &experiment.fleet;
    let domain = fleet.domains.iter().find(|d| d.name == *failure_domain);
    let price = fleet.server_price_per_s * domain.map_or(1.0, |d| d.price);
    let part = match purchase {
        Purchase::OnDemand => None,
        Purchase::Reclaimable => experiment.scaling.as_ref(),
    };
    price * part.and_then(|s| s.reclaimable_price).unwrap_or(1.0)
}
