//! The state of the fleet as this daemon knows it.

use conf::admin::{BackendServer, EntryVm, NodeState, Status};
use fleet::wire::Health;
use policy::route::ServerState;

use super::Admin;

/// Builds the answer to `GET /admin/status`. Peers that are not known to have this daemon's
/// configuration version are queried for it.
pub async fn of(admin: &Admin) -> Status {
    let daemon = &admin.daemon;
    let in_force = daemon.config.borrow().as_ref().map(|c| c.version);
    let own_version = in_force.unwrap_or(0);
    Status {
        node: daemon.node.clone(),
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        config_version: own_version,
        in_flight: daemon.gate.in_flight(),
        entry_vms: entry_vms(admin, own_version).await,
        backend_servers: backend_servers(admin),
    }
}

async fn entry_vms(admin: &Admin, own_version: u64) -> Vec<EntryVm> {
    let Some(fleet) = admin.daemon.peers.fleet() else {
        return Vec::new();
    };
    let lagging = fleet.lagging(own_version).await;
    let view = fleet.view();
    let mut vms = vec![EntryVm {
        name: view.me.name.clone(),
        incarnation: view.me.incarnation,
        state: node_state(view.me.health),
        config_version: own_version,
    }];
    for member in &view.members {
        let has_own = is_present(member.record.health) && !lagging.contains(&member.record.name);
        let known_version = if has_own { own_version } else { 0 };
        vms.push(EntryVm {
            name: member.record.name.clone(),
            incarnation: member.record.incarnation,
            state: node_state(member.record.health),
            config_version: member.config_version.max(known_version),
        });
    }
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    vms
}

fn backend_servers(admin: &Admin) -> Vec<BackendServer> {
    let views = admin.flow.backends.view();
    let targets = admin.flow.backends.targets();
    let mut servers = Vec::with_capacity(views.len());
    for (view, (target, service)) in views.into_iter().zip(targets) {
        servers.push(BackendServer {
            id: view.server,
            service,
            address: target.address,
            failure_domain: view.failure_domain,
            state: match view.state {
                ServerState::Live => NodeState::Live,
                ServerState::Leaving => NodeState::Leaving,
                ServerState::Suspect => NodeState::Suspect,
            },
            running: view.load.map_or(0, |load| u64::from(load.running)),
        });
    }
    servers
}

/// Whether `Fleet::lagging` includes a peer in this state that does not answer.
fn is_present(health: Health) -> bool {
    matches!(health, Health::Alive | Health::Suspect)
}

fn node_state(health: Health) -> NodeState {
    match health {
        Health::Alive => NodeState::Live,
        Health::Suspect => NodeState::Suspect,
        _ => NodeState::Leaving,
    }
}
