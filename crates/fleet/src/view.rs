//! Snapshots of what a node knows, for its readers.

use std::sync::Arc;

use base::{Name, Set};
use outside::Vm;

use crate::node::Node;
use crate::piggyback::Fingerprint;
use crate::wire::{ConfigDocument, MemberRecord};

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// What is known of it.
    pub record: MemberRecord,
    /// Configuration version that it last reported.
    pub config_version: u64,
}

/// What a node knows at one instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// The node itself.
    pub me: MemberRecord,
    /// The other entry VMs, by name.
    pub members: Vec<MemberView>,
    /// Backend servers that get no new work.
    pub leaving: Arc<Set<Name>>,
    /// The configuration in force.
    pub config: Option<Arc<ConfigDocument>>,
    /// The VM list as last read; it lags.
    pub vms: Arc<[Vm]>,
    /// Fingerprints known, oldest first.
    pub fingerprints: Vec<Fingerprint>,
    /// State of the node's freshness chart.
    pub freshness: String,
}

impl FleetView {
    /// Takes a snapshot.
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
