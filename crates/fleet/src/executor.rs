//! Executes a node's actions: each call to a peer or to the platform is a task whose result is
//! passed back to the node as an event.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use futures_util::StreamExt;
use futures_util::stream;

use crate::fleet::Inner;
use crate::freshness::SyncGeneration;
use crate::member::CallTarget;
use crate::node::{Action, Event};
use crate::report;
use crate::rpc::PeerClient;
use crate::wire::{Health, Heartbeat, MemberRecord, Push, SyncRequest};

/// Most reads of notices, or of peers' versions, in flight at the same time.
const CONCURRENT_CALLS_MAX: usize = 16;
/// Timeout of a read of the VM list or of a reclaim notice.
const PLATFORM_READ_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Inner {
    pub(crate) fn carry_out(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            let inner = self.clone();
            match action {
                Action::Publish => {}
                Action::Report(report) => report::node(&report),
                Action::SendHeartbeat(target, message) => {
                    self.tracker.spawn(inner.heartbeat(target, message));
                }
                Action::SendPush(name, address, push) => {
                    let target = CallTarget::Member(name, address);
                    self.tracker.spawn(inner.push(target, push));
                }
                Action::SendSync(name, address, request, generation) => {
                    let target = CallTarget::Member(name, address);
                    self.tracker.spawn(inner.sync(target, request, generation));
                }
                Action::ReadConfig(generation) => {
                    self.tracker.spawn(inner.read_config(generation));
                }
                Action::ReadList(generation) => {
                    self.tracker.spawn(inner.read_list(generation));
                }
                Action::ReadNotices(vms, generation) => {
                    self.tracker.spawn(inner.read_notices(vms, generation));
                }
            }
        }
    }

    async fn heartbeat(self: Arc<Self>, target: CallTarget, message: Heartbeat) {
        let answer = match self.peers.client_for(address_of(&target)) {
            Ok(client) => client.heartbeat(message).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(answer) => self.handle(Event::HeartbeatAnswered(answer)),
            Err(_) => self.handle(Event::CallFailed(target)),
        }
    }

    async fn push(self: Arc<Self>, target: CallTarget, push: Push) {
        let answer = match self.peers.client_for(address_of(&target)) {
            Ok(client) => client.push(push).await,
            Err(error) => Err(error),
        };
        let event = match (answer, target) {
            (Ok(answer), CallTarget::Member(name, _)) => Event::PushAnswered(name, answer),
            (_, target) => Event::CallFailed(target),
        };
        self.handle(event);
    }

    async fn sync(
        self: Arc<Self>,
        target: CallTarget,
        request: SyncRequest,
        generation: SyncGeneration,
    ) {
        let answer = match self.peers.client_for(address_of(&target)) {
            Ok(client) => client.sync(request).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(answer) => self.handle(Event::SyncAnswered(answer, generation)),
            Err(_) => self.handle(Event::CallFailed(target)),
        }
    }

    async fn read_config(self: Arc<Self>, generation: SyncGeneration) {
        let Ok(_slot) = self.read_slots.config.try_acquire() else {
            return;
        };
        if let Ok(document) = self.store.read().await {
            self.handle(Event::ConfigRead(document, generation));
        }
    }

    async fn read_list(self: Arc<Self>, generation: SyncGeneration) {
        let Ok(_slot) = self.read_slots.list.try_acquire() else {
            return;
        };
        let list = tokio::time::timeout(PLATFORM_READ_TIMEOUT, self.vms.list()).await;
        if let Ok(Ok(list)) = list {
            self.handle(Event::ListRead(list, generation));
        }
    }

    async fn read_notices(self: Arc<Self>, vms: Vec<Name>, generation: SyncGeneration) {
        let Ok(_slot) = self.read_slots.notices.try_acquire() else {
            return;
        };
        let reads = stream::iter(vms).map(|vm| async {
            let notice = tokio::time::timeout(PLATFORM_READ_TIMEOUT, self.vms.notice(&vm)).await;
            (vm, notice)
        });
        let notices: Vec<_> = reads.buffer_unordered(CONCURRENT_CALLS_MAX).collect().await;
        let mut answered = Vec::new();
        let mut leaving = Vec::new();
        for (vm, notice) in notices {
            let Ok(Ok(notice)) = notice else {
                continue;
            };
            answered.push(vm.clone());
            match notice {
                Some(remaining_ms) if vm == self.me => {
                    self.handlers.on_reclaim_notice(remaining_ms)
                }
                Some(_) => leaving.push(vm),
                None => {}
            }
        }
        self.handle(Event::NoticesRead {
            answered,
            leaving,
            generation,
        });
    }

    pub(crate) async fn lagging(self: &Arc<Self>, version: u64) -> Vec<Name> {
        let behind: Vec<MemberRecord> = {
            let core = self.lock();
            let members = core.node.members();
            let behind = members
                .others()
                .filter(|r| members.config_version_of(&r.name) < version);
            behind.cloned().collect()
        };
        let asked = stream::iter(behind).map(|record| async move {
            let answer = match self.peers.client_for(record.address) {
                Ok(client) => client.config_version().await.ok(),
                Err(_) => None,
            };
            (record, answer)
        });
        let answers: Vec<_> = asked.buffer_unordered(CONCURRENT_CALLS_MAX).collect().await;
        let mut lagging = Vec::new();
        for (record, answer) in answers {
            // A peer that is marked as gone may be back; it counts unless it does not answer.
            let unanswered = answer.is_none();
            if unanswered && matches!(record.health, Health::Gone | Health::Left) {
                continue;
            }
            let known = answer.unwrap_or(0);
            let mut core = self.lock();
            core.node.note_config_version(&record.name, known);
            if known < version {
                lagging.push(record.name);
            }
        }
        lagging.sort();
        lagging
    }
}

fn address_of(target: &CallTarget) -> std::net::SocketAddr {
    match target {
        CallTarget::Member(_, address) | CallTarget::Candidate(address) => *address,
    }
}
