//! Inputs and outputs of a node's state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use base::units::Millisecond;
use outside::Vm;

use crate::freshness::SyncGeneration;
use crate::member::{CallTarget, HealthChange};
use crate::piggyback::Fingerprint;
use crate::wire::{ConfigDocument, Heartbeat, Push, PushReply, SyncReply, SyncRequest};

/// Input of a node's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick, every [`crate::timing::Timing::tick_ms`].
    Tick,
    /// A peer answered a heartbeat.
    HeartbeatAnswered(Heartbeat),
    /// A call to a peer failed or timed out.
    CallFailed(CallTarget),
    /// A peer answered a push.
    PushAnswered(Name, PushReply),
    /// A peer answered a request of the given sync.
    SyncAnswered(SyncReply, SyncGeneration),
    /// The configuration row was read; holds no document if there is no row.
    ConfigRead(Option<ConfigDocument>, SyncGeneration),
    /// A document was accepted by the store or found there.
    ConfigLearned(ConfigDocument),
    /// The VM list was read.
    ListRead(Vec<Vm>, SyncGeneration),
    /// Reclaim notices were read.
    NoticesRead {
        /// VMs whose notice was read, whether or not there is one.
        answered: Vec<Name>,
        /// Those of them that are about to be reclaimed.
        leaving: Vec<Name>,
        /// The sync to which the read belongs.
        generation: SyncGeneration,
    },
    /// This node itself has observed that a backend server is leaving.
    LeavingSeen(Name),
    /// This node has created a fingerprint.
    FingerprintMade(Fingerprint),
    /// This node is shutting down.
    Closing,
}

/// Output of a node's state machine, which the caller carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a heartbeat to a peer.
    SendHeartbeat(CallTarget, Heartbeat),
    /// Push new information to a peer.
    SendPush(Name, SocketAddr, Push),
    /// Ask a peer for the configuration, leaving marks and members that this node lacks.
    SendSync(Name, SocketAddr, SyncRequest, SyncGeneration),
    /// Read the configuration row.
    ReadConfig(SyncGeneration),
    /// Read the VM list.
    ReadList(SyncGeneration),
    /// Read the reclaim notices of these VMs, which include this node's.
    ReadNotices(Vec<Name>, SyncGeneration),
    /// Publish a new snapshot, as its content has changed.
    Publish,
    /// Log this.
    Report(Report),
}

/// A state change to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A member's health changed.
    Health(HealthChange),
    /// A configuration version is in force.
    InForce(Arc<ConfigDocument>),
    /// A backend server has been marked as leaving.
    Leaving(Name),
    /// This node was paused for this time.
    Paused(Millisecond),
    /// This node is fresh and may route again.
    Fresh,
    /// Nothing answered after a pause; this node routes on stale state.
    Degraded,
}
