//! Read-only snapshots of a node's state.

use std::sync::Arc;

use base::{Name, Set};
use outside::Vm;

use crate::node::Node;
use crate::piggyback::Fingerprint;
use crate::wire::{ConfigDocument, MemberRecord};

/// Another entry VM, as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub record: MemberRecord,
    /// Configuration version that the member reported last.
    pub config_version: u64,
}

/// Snapshot of a node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    pub me: MemberRecord,
    /// The other entry VMs, sorted by name.
    pub members: Vec<MemberView>,
    /// Backend servers that are leaving and get no new work.
    pub leaving: Arc<Set<Name>>,
    pub config: Option<Arc<ConfigDocument>>,
    /// The VM list as last read; the platform's list lags behind the real state.
    pub vms: Arc<[Vm]>,
    /// Known fingerprints, oldest first.
    pub fingerprints: Vec<Fingerprint>,
    /// State of `charts/freshness.toml`.
    pub freshness: String,
}

impl FleetView {
    pub fn of(node: &Node) -> Self {
        let members = node.members();
        let mut views = Vec::new();
        for record in members.others() {
            views.push(MemberView {
                record: record.clone(),
                config_version: members.config_version_of(&record.name),
            });
        }
        views.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        Self {
            me: members.me().clone(),
            members: views,
            leaving: Arc::new(node.leaving().names().cloned().collect()),
            config: node.config().current().cloned(),
            vms: node.vms().clone(),
            fingerprints: node.fingerprints().all().cloned().collect(),
            freshness: node.freshness().state().to_owned(),
        }
    }
}
