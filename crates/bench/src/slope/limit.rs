//! Admission against the number of workspaces with demand and of peers.

use base::Name;
use base::ids::RequestId;
use policy::limit::{
    Admission, AdmissionConfig, AdmissionRequest, WorkspaceDemand, WorkspaceShare,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{report, time_us};

const CALLS: usize = 500;
const DEFAULT_WORKSPACES: usize = 5;
const DEFAULT_PEERS: usize = 5;

/// Varies workspaces, then peers.
pub fn run(seed: u64) {
    let mut points = Vec::new();
    for workspaces in [5, 20, 100, 500] {
        points.push((workspaces as f64, request_us(workspaces, seed)));
    }
    report("limit.request_and_finish", "workspaces", "us", points);
    let mut points = Vec::new();
    for peers in [5, 60, 400, 3_200] {
        points.push((peers as f64, peer_report_us(peers)));
    }
    report("limit.peer_report", "peers heard", "us", points);
}

fn request_us(workspaces: usize, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut admission = admission(workspaces, DEFAULT_PEERS);
    let mut id = 0;
    time_us(CALLS, || {
        id += 1;
        let request = AdmissionRequest {
            id: RequestId::from(id),
            workspace: workspace(id as usize % workspaces),
            priority: 1,
            first_token_due_ms: 60_000,
            expected_first_token_ms: 100,
        };
        admission.on_request(request, 0, &mut rng);
        admission.on_finish(RequestId::from(id), 100, &mut rng);
    })
}

fn peer_report_us(peers: usize) -> f64 {
    let mut admission = admission(DEFAULT_WORKSPACES, peers);
    let demand = demand(DEFAULT_WORKSPACES);
    time_us(20, || {
        admission.on_peer_demand(&peer(0), 0, &demand);
    })
}

fn admission(workspaces: usize, peers: usize) -> Admission {
    let shares: Vec<WorkspaceShare> = (0..workspaces)
        .map(|n| WorkspaceShare {
            max_slots: None,
            workspace: workspace(n),
            weight: 1.0,
        })
        .collect();
    let mut admission = Admission::new(Name::from("entry"), AdmissionConfig::default(), &shares);
    admission.on_capacity(100_000.0);
    for n in 0..peers {
        admission.on_peer_demand(&peer(n), 0, &demand(workspaces));
    }
    admission
}

fn demand(workspaces: usize) -> Vec<WorkspaceDemand> {
    let demand = (0..workspaces).map(|n| WorkspaceDemand {
        workspace: workspace(n),
        running: 3,
        queued: 1,
    });
    demand.collect()
}

fn workspace(number: usize) -> Name {
    Name::from(format!("workspace-{number}"))
}

fn peer(number: usize) -> Name {
    Name::from(format!("peer-{number}"))
}
