//! Demand of the other entry VMs.

use base::units::Millisecond;
use base::{Map, Name};

use super::WorkspaceDemand;

#[derive(Debug)]
struct DemandReport {
    made_ms: Millisecond,
    wanted: Map<Name, u32>,
}

/// Newest demand report of each peer, or an estimate of their sum.
#[derive(Debug, Default)]
pub(super) struct PeerDemand {
    reports: Map<Name, DemandReport>,
    estimate: Option<FleetEstimate>,
}

#[derive(Debug)]
struct FleetEstimate {
    made_ms: Millisecond,
    sums: Map<Name, PeerSum>,
}

/// Sum of the peers' demand for one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerSum {
    /// Demand of the peers that come before this entry VM in order of name.
    pub before: f64,
    /// Demand of all peers.
    pub total: f64,
}

impl PeerDemand {
    /// Stores a report unless a newer one of this peer is known.
    pub fn record_report(&mut self, peer: &Name, made_ms: Millisecond, demand: &[WorkspaceDemand]) {
        if self
            .reports
            .get(peer)
            .is_some_and(|known| known.made_ms > made_ms)
        {
            return;
        }
        let mut wanted = Map::default();
        for item in demand {
            wanted.insert(item.workspace.clone(), item.running + item.queued);
        }
        self.reports
            .insert(peer.clone(), DemandReport { made_ms, wanted });
    }

    /// Stores an estimate of the peers' sums, which takes precedence over their reports.
    pub fn record_estimate(&mut self, made_ms: Millisecond, sums: Map<Name, PeerSum>) {
        self.estimate = Some(FleetEstimate { made_ms, sums });
    }

    /// Drops reports and estimates made before `oldest_ms`. Returns whether any were dropped.
    pub fn expire(&mut self, oldest_ms: Millisecond) -> bool {
        let stale = |estimate: &mut FleetEstimate| estimate.made_ms < oldest_ms;
        let dropped = self.estimate.take_if(stale).is_some();
        let before = self.reports.len();
        self.reports.retain(|_, report| report.made_ms >= oldest_ms);
        dropped || self.reports.len() < before
    }

    /// Sums the reports by workspace, for the entry VM `own_name`.
    pub fn sums(&self, own_name: &Name) -> Map<Name, PeerSum> {
        if let Some(estimate) = &self.estimate {
            return estimate.sums.clone();
        }
        let mut sums: Map<Name, PeerSum> = Map::default();
        for (peer, report) in &self.reports {
            for (workspace, wanted) in &report.wanted {
                let sum = sums.entry(workspace.clone()).or_default();
                let wanted = f64::from(*wanted);
                sum.total += wanted;
                if peer < own_name {
                    sum.before += wanted;
                }
            }
        }
        sums
    }
}
