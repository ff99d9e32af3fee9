//! Calls between entry VMs, over JSON-RPC on the peer address.

use base::ids::RequestId;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::handover::{
    ActivateReply, CopyRole, ExtendReply, ReadReply, StreamCopyInfo, StreamExtension, StreamRecord,
    TakeReply,
};
use crate::wire::{Heartbeat, Push, PushReply, SyncReply, SyncRequest};

/// Methods that an entry VM serves to its peers.
#[rpc(client, server, namespace = "peer")]
pub trait Peer {
    /// Exchanges heartbeats: the answer is the receiver's own.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Delivers what the sender has just learned.
    #[method(name = "push")]
    async fn push(&self, push: Push) -> RpcResult<PushReply>;

    /// Returns the configuration, leaving marks and members that the caller lacks.
    #[method(name = "sync")]
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply>;

    /// Returns the version of the configuration in force.
    #[method(name = "config_version")]
    async fn config_version(&self) -> RpcResult<u64>;

    /// Offers a copy of a stream.
    #[method(name = "take_stream")]
    async fn take_stream(&self, record: StreamRecord, role: CopyRole) -> RpcResult<TakeReply>;

    /// Appends to a standby's copy.
    #[method(name = "extend_stream")]
    async fn extend_stream(&self, part: StreamExtension) -> RpcResult<ExtendReply>;

    /// Describes the node's copy of a stream, if it has one.
    #[method(name = "find_stream")]
    async fn find_stream(&self, id: RequestId) -> RpcResult<Option<StreamCopyInfo>>;

    /// Reads a stream from its owner; waits for a short time if there are no new bytes.
    #[method(name = "read_stream")]
    async fn read_stream(&self, id: RequestId, offset: usize) -> RpcResult<ReadReply>;

    /// Makes the node's standby copy the owner, unless the present owner answers it.
    #[method(name = "activate_stream")]
    async fn activate_stream(&self, id: RequestId, offset: usize) -> RpcResult<ActivateReply>;
}
