//! What a node is told and what it asks to be done.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use base::units::Millisecond;
use outside::Vm;

use crate::freshness::SyncGeneration;
use crate::member::{CallTarget, HealthChange};
use crate::piggyback::Fingerprint;
use crate::wire::{ConfigDocument, Heartbeat, Push, PushReply, SyncReply, SyncRequest};

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; to be given every `Timing::tick_ms`.
    Tick,
    /// A peer answered a heartbeat.
    HeartbeatAnswered(Heartbeat),
    /// A call to a peer gave no answer.
    CallFailed(CallTarget),
    /// A peer answered a push.
    PushAnswered(Name, PushReply),
    /// A peer answered a sync that was asked in the span given.
    SyncAnswered(SyncReply, SyncGeneration),
    /// The store gave its configuration, or has none.
    ConfigRead(Option<ConfigDocument>, SyncGeneration),
    /// A document was accepted by the store, or seen there.
    ConfigLearned(ConfigDocument),
    /// The VM list was read.
    ListRead(Vec<Vm>, SyncGeneration),
    /// Reclaim notices were read.
    NoticesRead {
        /// VMs whose notice, or lack of one, was read.
        answered: Vec<Name>,
        /// Those that are under notice.
        leaving: Vec<Name>,
        /// The span in which the read was asked for.
        generation: SyncGeneration,
    },
    /// A backend server is known to leave, by this node's own observation.
    LeavingSeen(Name),
    /// A fingerprint was made here.
    FingerprintMade(Fingerprint),
    /// This node leaves.
    Closing,
}

/// What is to be carried out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a peer with a heartbeat.
    SendHeartbeat(CallTarget, Heartbeat),
    /// Call a peer with news.
    SendPush(Name, SocketAddr, Push),
    /// Ask a peer for what is lacking.
    SendSync(Name, SocketAddr, SyncRequest, SyncGeneration),
    /// Read the configuration row.
    ReadConfig(SyncGeneration),
    /// Read the VM list.
    ReadList(SyncGeneration),
    /// Read the reclaim notices of these VMs, this node's own among them.
    ReadNotices(Vec<Name>, SyncGeneration),
    /// Something that readers of the view care about has changed.
    Publish,
    /// Tell the log.
    Report(Report),
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// A member's health changed.
    Health(HealthChange),
    /// A configuration version is in force.
    InForce(Arc<ConfigDocument>),
    /// A backend server is newly marked.
    Leaving(Name),
    /// This node was paused.
    Woke(Millisecond),
    /// This node may route again.
    Fresh,
    /// Nothing answered after a pause.
    Degraded,
}
