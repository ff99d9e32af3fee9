//! Calls between entry VMs, over JSON-RPC on the peer address.

use base::ids::RequestId;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::handover::{
    ActivateReply, CopyRole, ExtendReply, ReadReply, StreamCopyInfo, StreamExtension, StreamRecord,
    TakeReply,
};
use crate::wire::{Heartbeat, Push, PushReply, SyncReply, SyncRequest};

/// The peer interface.
#[rpc(client, server, namespace = "peer")]
pub trait Peer {
    /// Exchanges heartbeats.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Delivers news.
    #[method(name = "push")]
    async fn push(&self, push: Push) -> RpcResult<PushReply>;

    /// Answers with what the asker lacks.
    #[method(name = "sync")]
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply>;

    /// Configuration version in force.
    #[method(name = "config_version")]
    async fn config_version(&self) -> RpcResult<u64>;

    /// Offers a copy of a stream.
    #[method(name = "take_stream")]
    async fn take_stream(&self, record: StreamRecord, role: CopyRole) -> RpcResult<TakeReply>;

    /// Brings a standby's copy up to date.
    #[method(name = "extend_stream")]
    async fn extend_stream(&self, part: StreamExtension) -> RpcResult<ExtendReply>;

    /// Looks for a copy of a stream.
    #[method(name = "find_stream")]
    async fn find_stream(&self, id: RequestId) -> RpcResult<Option<StreamCopyInfo>>;

    /// Reads a stream from its owner; waits a little for new bytes.
    #[method(name = "read_stream")]
    async fn read_stream(&self, id: RequestId, offset: usize) -> RpcResult<ReadReply>;

    /// Makes a standby the owner if the owner does not answer.
    #[method(name = "activate_stream")]
    async fn activate_stream(&self, id: RequestId, offset: usize) -> RpcResult<ActivateReply>;
}
