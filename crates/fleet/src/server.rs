//! Server side of the peer interface.

use std::sync::Arc;
use std::time::Duration;

use base::ids::RequestId;
use jsonrpsee::core::{RpcResult, async_trait};

use crate::fleet::{Core, Inner};
use crate::handover::{
    ActivateReply, CopyRole, ExtendReply, ReadReply, StreamCopyInfo, StreamExtension, StreamRecord,
    StreamStatus, TakeReply,
};
use crate::node::Action;
use crate::rpc::PeerServer;
use crate::wire::{Heartbeat, Push, PushReply, SyncReply, SyncRequest};

/// Longest wait of a read for new bytes.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Serves the peer interface from a node's state.
pub(crate) struct Server {
    inner: Arc<Inner>,
}

impl Server {
    pub(crate) fn new(inner: Arc<Inner>) -> Self {
        Self { inner }
    }

    fn answer<T>(&self, act: impl FnOnce(&mut Core, u64) -> (T, Vec<Action>)) -> T {
        let mut core = self.inner.lock();
        let now_ms = self.inner.clock.now_ms();
        let (answer, actions) = act(&mut core, now_ms);
        self.inner.publish(&core, &actions);
        drop(core);
        self.inner.carry_out(actions);
        answer
    }
}

#[async_trait]
impl PeerServer for Server {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat> {
        Ok(
            self.answer(|core, now_ms| {
                core.node.answer_heartbeat(heartbeat, now_ms, &mut core.rng)
            }),
        )
    }

    async fn push(&self, push: Push) -> RpcResult<PushReply> {
        Ok(self.answer(|core, now_ms| core.node.answer_push(push, now_ms, &mut core.rng)))
    }

    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply> {
        Ok(self.answer(|core, now_ms| (core.node.answer_sync(request, now_ms), Vec::new())))
    }

    async fn config_version(&self) -> RpcResult<u64> {
        Ok(self.inner.lock().node.config().version())
    }

    async fn take_stream(&self, record: StreamRecord, role: CopyRole) -> RpcResult<TakeReply> {
        Ok(self.inner.take(record, role))
    }

    async fn extend_stream(&self, part: StreamExtension) -> RpcResult<ExtendReply> {
        Ok(self.inner.lock().streams.extend(&part))
    }

    async fn find_stream(&self, id: RequestId) -> RpcResult<Option<StreamCopyInfo>> {
        Ok(self.inner.lock().streams.find(id))
    }

    async fn read_stream(&self, id: RequestId, offset: usize) -> RpcResult<ReadReply> {
        Ok(self.inner.read_waiting(id, offset, READ_WAIT).await)
    }

    async fn activate_stream(&self, id: RequestId, offset: usize) -> RpcResult<ActivateReply> {
        Ok(self.inner.activate(id, offset).await)
    }
}

impl Inner {
    /// Reads an owned stream; waits up to `wait` while it is open and has no new bytes.
    pub(crate) async fn read_waiting(
        &self,
        id: RequestId,
        offset: usize,
        wait: Duration,
    ) -> ReadReply {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let growth = self.stream_growth.notified();
            tokio::pin!(growth);
            growth.as_mut().enable();
            let reply = self.lock().streams.read(id, offset);
            let idle = matches!(
                &reply,
                ReadReply::Bytes { text, end: StreamStatus::Open } if text.is_empty()
            );
            if !idle || tokio::time::timeout_at(deadline, growth).await.is_err() {
                return reply;
            }
        }
    }
}
