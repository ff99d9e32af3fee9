//! Updates the daemon's state from the fleet's view, and reports this entry VM's demand and
//! suspect requests to the fleet.

use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use base::{Map, Name};
use conf::Config;
use engine::Target;

use fleet::Fleet;
use fleet::piggyback::Demand;
use fleet::view::FleetView;
use fleet::wire::Health;
use outside::{Vm, VmRole, VmState};
use policy::limit::{WorkspaceDemand, WorkspaceShare};
use policy::route::ServerState;
use policy::suspect::EntryRank;
use tokio::sync::watch;

use crate::backends::{BackendInfo, Leaving, Reporting};
use crate::flow::Flow;
use crate::state::{ActiveConfig, DaemonState, LifecycleEvent};

/// Longest time between two updates of capacity and demand.
const TICK_MS: Millisecond = 250;

/// Time until a leaving server is assumed to be gone if its notice gives no time.
const REMAINING_ASSUMED_MS: Millisecond = 1_500;

/// Slots assumed for a model engine that has not reported any.
const MODEL_SLOTS_ASSUMED: u32 = 8;

/// Slots assumed for a server of a plain service.
const PLAIN_SLOTS_ASSUMED: u32 = 64;

/// Separates service and workspace in the key of a demand row.
const DEMAND_SEPARATOR: char = '/';

/// Peer name under which the demand of all other entry VMs is summed up.
const OTHER_ENTRIES_PEER: &str = "others";

/// Applies changes of the fleet's view to the daemon.
pub struct Follower {
    pub fleet: Arc<Fleet>,
    pub daemon: Arc<DaemonState>,
    /// The flow, whose view of backend servers is updated.
    pub flow: Arc<Flow>,
    /// Publishes the configuration in force.
    pub config: watch::Sender<Option<ActiveConfig>>,
}

impl Follower {
    /// Runs until the fleet stops.
    pub async fn run(self) {
        let mut views = self.fleet.watch();
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = views.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = self.flow.suspicion.updates_ready() => {}
                _ = tick.tick() => {}
            }
            let view = views.borrow_and_update().clone();
            self.exchange_suspects(&view);
            self.take_config(&view);
            self.take_servers(&view);
            self.exchange_demand();
        }
    }

    fn exchange_suspects(&self, view: &FleetView) {
        let suspicion = &self.flow.suspicion;
        for fingerprint in suspicion.take_updates() {
            self.fleet.spread_fingerprint(fingerprint);
        }
        suspicion.merge_from_peers(&view.fingerprints);
        suspicion.expire();
        for server in view.leaving.iter() {
            suspicion.mark_departed(server);
        }
        suspicion.set_entry_rank(entry_rank(view));
    }

    fn take_config(&self, view: &FleetView) {
        let Some(document) = &view.config else {
            return;
        };
        let held = self.config.borrow().as_ref().map_or(0, |c| c.version);
        if document.version <= held {
            return;
        }
        // Only validated documents are proposed, so one that fails to parse comes from a newer
        // version of the program. The current configuration stays in force then.
        let Ok(config) = Config::parse(&document.text) else {
            return;
        };
        self.set_shares(&config);
        self.set_retries(&config);
        self.config.send_replace(Some(ActiveConfig {
            version: document.version,
            config: Arc::new(config),
        }));

        self.daemon.lifecycle.apply(LifecycleEvent::ConfigInForce);
    }

    fn set_retries(&self, config: &Config) {
        for (name, service) in &config.services {
            self.flow.retries.set_limits(name, service.retry);
        }
    }

    fn set_shares(&self, config: &Config) {
        let mut shares = Map::default();
        for service in config.services.keys() {
            shares.insert(service.clone(), service_shares(config, service));
        }
        self.daemon.gate.set_shares(&shares);
    }

    fn take_servers(&self, view: &FleetView) {
        let in_force = self.config.borrow().clone();
        let Some(in_force) = in_force else {
            return;
        };
        let now_ms = self.flow.clock.now_ms();
        let own_domain = &view.me.failure_domain;
        let mut known = Vec::new();
        for vm in view.vms.iter() {
            if vm.role != VmRole::Backend {
                continue;
            }
            let Some(service) = &vm.service else {
                continue;
            };
            known.push(BackendInfo {
                target: Target {
                    id: vm.id.clone(),
                    address: vm.address,
                },
                service: service.clone(),
                failure_domain: vm.failure_domain.clone(),
                price_micros_per_h: price_micros(&in_force.config, vm),
                latency_us: latency_us(&in_force.config, own_domain, vm),
                reporting: reporting(&in_force.config, service),
                leaving: leaving(view, vm, now_ms),
            });
        }
        self.flow.backends.set_servers(known);
        self.flow
            .backends
            .set_entries(self.fleet.alive_count() as u32);
        self.set_capacity(&in_force.config);
    }

    fn set_capacity(&self, config: &Config) {
        let views = self.flow.backends.view();
        for (name, service) in &config.services {
            let assumed = match service.kind {
                conf::ServiceKind::Model { .. } => MODEL_SLOTS_ASSUMED,
                conf::ServiceKind::Plain { .. } => PLAIN_SLOTS_ASSUMED,
            };
            let mut slots = 0;
            for view in &views {
                if view.service != *name || view.state == ServerState::Leaving {
                    continue;
                }
                let reported = view.load.map_or(0, |load| load.slots);
                slots += if reported == 0 { assumed } else { reported };
            }
            self.daemon.gate.set_capacity(name, f64::from(slots));
        }
    }

    fn exchange_demand(&self) {
        let totals = self.fleet.demand();
        let now_ms = self.flow.clock.now_ms();
        let own = self.daemon.gate.demand();
        let mut rows = Vec::new();
        for (service, demands) in &own {
            let mut others = Vec::new();
            for (key, total) in &totals {
                let Some((of_service, workspace)) = split_demand(key) else {
                    continue;
                };
                if of_service != &**service {
                    continue;
                }
                let own_units = units(demands, workspace);
                others.push(WorkspaceDemand {
                    workspace: workspace.into(),
                    running: total.saturating_sub(u64::from(own_units)) as u32,
                    queued: 0,
                });
            }
            let gate = &self.daemon.gate;
            gate.set_peer_demand(service, &OTHER_ENTRIES_PEER.into(), now_ms, &others);
            for demand in demands {
                rows.push(Demand {
                    workspace: format!("{service}{DEMAND_SEPARATOR}{}", demand.workspace).into(),
                    units: demand.running + demand.queued,
                });
            }
        }
        self.fleet.set_demand(rows);
    }
}

/// This entry VM's rank by name among the members that are alive.
fn entry_rank(view: &FleetView) -> EntryRank {
    let mut rank = 0;
    let mut entries = 1;
    for member in &view.members {
        if member.record.health != Health::Alive {
            continue;
        }
        entries += 1;
        rank += usize::from(member.record.name < view.me.name);
    }
    EntryRank { rank, entries }
}

/// Splits the key of a demand row into service and workspace.
pub fn split_demand(row: &str) -> Option<(&str, &str)> {
    row.split_once(DEMAND_SEPARATOR)
}

fn units(demands: &[WorkspaceDemand], workspace: &str) -> u32 {
    let own = demands.iter().find(|d| &*d.workspace == workspace);
    own.map_or(0, |d| d.running + d.queued)
}

fn leaving(view: &FleetView, vm: &Vm, now_ms: Millisecond) -> Leaving {
    match vm.state {
        VmState::Leaving { remaining_ms } => Leaving::Until(now_ms + remaining_ms),
        VmState::Live if view.leaving.contains(&vm.id) => {
            Leaving::Until(now_ms + REMAINING_ASSUMED_MS)
        }
        VmState::Live => Leaving::No,
    }
}

fn reporting(config: &Config, service: &str) -> Reporting {
    match config.service(service).map(|s| &s.kind) {
        Some(conf::ServiceKind::Model { .. }) => Reporting::Polled,
        Some(conf::ServiceKind::Plain { .. }) | None => Reporting::Silent,
    }
}

fn price_micros(config: &Config, vm: &Vm) -> u64 {
    let class = config.vm_classes.get(&vm.class);
    let price = class.and_then(|class| class.prices.get(&vm.failure_domain));
    let per_hour = price.and_then(|p| p.reclaimable_per_hour.or(p.on_demand_per_hour));
    (per_hour.unwrap_or(0.0) * 1e6) as u64
}

fn latency_us(config: &Config, own_domain: &str, vm: &Vm) -> u64 {
    let latency_ms = config.one_way_latency_ms(own_domain, &vm.failure_domain);
    (latency_ms.unwrap_or(0.0) * 1e3) as u64
}

/// The workspaces' weights and slot limits for one service.
fn service_shares(config: &Config, service: &Name) -> Vec<WorkspaceShare> {
    let mut shares = Vec::with_capacity(config.workspaces.len());
    for workspace in config.workspaces.values() {
        let limit = workspace.limits.get(service);
        shares.push(WorkspaceShare {
            workspace: workspace.name.clone(),
            weight: f64::from(workspace.share),
            max_slots: limit.map(|limit| limit.max_concurrent),
        });
    }
    shares
}
