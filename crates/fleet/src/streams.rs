//! Handover of open streams to peers, their continuation and their readers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::ids::RequestId;
use events::Code;
use futures_util::StreamExt;
use futures_util::stream;
use snafu::Snafu;

use crate::fleet::{Fleet, Inner};
use crate::handover::{
    self, ActivateReply, CANDIDATES_MAX, CopyRole, ExtendReply, ReadReply, StreamCopyInfo,
    StreamExtension, StreamRecord, StreamStatus, TakeReply,
};
use crate::report;
use crate::rpc::PeerClient;
use crate::wire::{Health, MemberRecord};

/// Most handovers, or lookups of one stream, in flight at the same time.
const CONCURRENT_CALLS_MAX: usize = 32;
/// Up to this many members, a lookup asks all; above, only the best ranked.
const ASK_ALL_MEMBERS_MAX: usize = 16;
/// Attempts to find and read a stream before [`StreamError::Unavailable`] is reported.
const READ_ATTEMPTS_MAX: u32 = 8;
const RETRY_DELAY: Duration = Duration::from_millis(250);
const STANDBY_SEARCH_INTERVAL: Duration = Duration::from_secs(2);

/// The nodes that accepted a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverResult {
    pub id: RequestId,
    /// The node that continues the stream; absent if no peer accepted it.
    pub owner: Option<Name>,
    /// The node that keeps the other copy.
    pub standby: Option<Name>,
}

/// The owner must stop generating because another node owns the stream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("Another entry VM owns the stream now."))]
pub struct Superseded;

/// A handed-over stream cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// No node has the stream, or it belongs to another workspace.
    #[snafu(display("No entry VM has a stream of this request."))]
    NotFound,
    /// The offset is beyond the answer or inside a character.
    #[snafu(display("The offset is beyond the end of the answer or inside a character."))]
    BadOffset,
    /// The nodes that may have the stream do not answer; the reader may try again.
    #[snafu(display("The entry VMs that may have the stream do not answer; try again later."))]
    Unavailable,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamChunk {
    /// May be empty while the stream is open.
    pub text: String,
    pub end: StreamStatus,
}

/// Appends what the owner generates to the stream and to its standby's copy.
pub struct StreamSink {
    inner: Arc<Inner>,
    id: RequestId,
    epoch: u32,
    standby: Option<Name>,
    next_standby_search: tokio::time::Instant,
}

/// Reads a handed-over stream from the node that owns it.
pub struct StreamReader {
    inner: Arc<Inner>,
    id: RequestId,
    workspace: Name,
    offset: usize,
    source: Option<StreamSource>,
    found: Option<StreamCopyInfo>,
}

enum StreamSource {
    Local,
    Peer(SocketAddr),
}

impl Fleet {
    /// Hands streams over to peers, with those that this node took over from others. The caller must
    /// have stopped relaying them; it may close their connections when this returns.
    pub async fn hand_over(&self, records: Vec<StreamRecord>) -> Vec<HandoverResult> {
        let inner = self.inner();
        let mut records = records;
        {
            let core = inner.lock();
            let now_ms = inner.clock.now_ms();
            for id in core.streams.owned() {
                records.extend(core.streams.record(id, now_ms));
            }
        }
        let members = inner.live_members();
        let ids: Vec<RequestId> = records.iter().map(|r| r.id).collect();
        let plan = handover::plan(&ids, &members, &inner.failure_domain);
        let work = records.into_iter().zip(plan);
        let results = stream::iter(work)
            .map(|(record, assignment)| inner.place_stream(record, assignment.candidates))
            .buffer_unordered(CONCURRENT_CALLS_MAX);
        results.collect().await
    }

    /// Opens a handed-over stream for a caller of `workspace` that has received `offset` bytes.
    pub fn read_stream(&self, id: RequestId, workspace: Name, offset: usize) -> StreamReader {
        StreamReader {
            inner: self.inner().clone(),
            id,
            workspace,
            offset,
            source: None,
            found: None,
        }
    }
}

impl StreamReader {
    /// The copy being read, once [`StreamReader::next`] has found one.
    pub fn found(&self) -> Option<&StreamCopyInfo> {
        self.found.as_ref()
    }

    /// Returns the next bytes; waits for a short time while there are none.
    ///
    /// # Errors
    ///
    /// Fails if there is no such stream or offset, or if no copy answers.
    pub async fn next(&mut self) -> Result<StreamChunk, StreamError> {
        for attempt in 0..READ_ATTEMPTS_MAX {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            if self.source.is_none() {
                let located = self
                    .inner
                    .locate(self.id, &self.workspace, self.offset)
                    .await?;
                let (source, found) = located.unzip();
                self.source = source;
                self.found = found.or(self.found.take());
            }
            let reply = match &self.source {
                None => continue,
                Some(StreamSource::Local) => {
                    let inner = &self.inner;
                    inner.read_waiting(self.id, self.offset, RETRY_DELAY).await
                }
                Some(StreamSource::Peer(address)) => match self.inner.peers.client_for(*address) {
                    Ok(client) => client
                        .read_stream(self.id, self.offset)
                        .await
                        .unwrap_or(ReadReply::NotOwner),
                    Err(_) => ReadReply::NotOwner,
                },
            };
            match reply {
                ReadReply::Bytes { text, end } => {
                    self.offset += text.len();
                    return Ok(StreamChunk { text, end });
                }
                ReadReply::BadOffset => return Err(StreamError::BadOffset),
                ReadReply::NotOwner => self.source = None,
            }
        }
        Err(StreamError::Unavailable)
    }
}

impl StreamSink {
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Appends to the stream. Readers see the bytes once the standby has them.
    ///
    /// # Errors
    ///
    /// Fails if another node owns the stream now; generating must stop.
    pub async fn append(
        &mut self,
        answer: &str,
        generated: &str,
        tokens: u64,
        end: StreamStatus,
    ) -> Result<(), Superseded> {
        let part = {
            let mut core = self.inner.lock();
            let found = core.streams.find(self.id).ok_or(Superseded)?;
            let part = StreamExtension {
                id: self.id,
                owner: self.inner.me.clone(),
                epoch: self.epoch,
                offset_bytes: found.answer_bytes,
                answer: answer.to_owned(),
                generated: generated.to_owned(),
                tokens,
                end,
            };
            if core.streams.extend(&part) != ExtendReply::Kept {
                return Err(Superseded);
            }
            part
        };
        let readable_bytes = part.offset_bytes + part.answer.len();
        self.replicate(part).await?;
        self.inner
            .lock()
            .streams
            .allow_reading(self.id, self.epoch, readable_bytes);
        self.inner.stream_growth.notify_waiters();
        Ok(())
    }

    async fn replicate(&mut self, part: StreamExtension) -> Result<(), Superseded> {
        if let Some(standby) = self.standby.clone() {
            match self.inner.extend_at(&standby, part).await {
                Some(ExtendReply::Kept) => return Ok(()),
                Some(ExtendReply::Superseded) => return Err(self.stop()),
                Some(ExtendReply::Missing) | None => self.standby = None,
            }
            self.next_standby_search = tokio::time::Instant::now();
        }
        if tokio::time::Instant::now() < self.next_standby_search {
            return Ok(());
        }
        self.next_standby_search = tokio::time::Instant::now() + STANDBY_SEARCH_INTERVAL;
        self.find_standby().await
    }

    async fn find_standby(&mut self) -> Result<(), Superseded> {
        let record = {
            let mut core = self.inner.lock();
            let new_epoch = core.streams.raise_epoch(self.id).ok_or(Superseded)?;
            self.epoch = new_epoch;
            let now_ms = self.inner.clock.now_ms();
            core.streams.record(self.id, now_ms).ok_or(Superseded)?
        };
        let members = self.inner.live_members();
        for name in handover::rank(self.id, &members)
            .into_iter()
            .take(CANDIDATES_MAX)
        {
            match self.inner.offer(&name, &record, CopyRole::Standby).await {
                Some(TakeReply::Taken) => {
                    self.standby = Some(name);
                    return Ok(());
                }
                Some(TakeReply::Superseded) => return Err(self.stop()),
                Some(TakeReply::Full | TakeReply::Leaving) | None => {}
            }
        }
        Ok(())
    }

    fn stop(&self) -> Superseded {
        self.inner.lock().streams.drop_copy(self.id);
        Superseded
    }
}

impl Inner {
    fn live_members(&self) -> Vec<MemberRecord> {
        let core = self.lock();
        core.node.members().alive_others().cloned().collect()
    }

    /// Hands one stream over, to the standby first, so that the owner starts with one.
    async fn place_stream(
        &self,
        mut record: StreamRecord,
        candidates: Vec<Name>,
    ) -> HandoverResult {
        record.epoch += 1;
        let mut candidates = candidates.into_iter();
        let first = candidates.next();
        record.owner = first.clone().unwrap_or_else(|| self.me.clone());
        let rest = &mut candidates;
        record.standby = self.offer_first(&record, CopyRole::Standby, rest).await;
        let mut remaining = first.into_iter().chain(candidates);
        let mut owner = self
            .offer_first(&record, CopyRole::Owner, &mut remaining)
            .await;
        if owner.is_none() {
            // No candidate is left for the owner, so the standby becomes the owner, without a standby.
            record.epoch += 1;
            let mut standby = record.standby.take().into_iter();
            owner = self
                .offer_first(&record, CopyRole::Owner, &mut standby)
                .await;
        }
        let result = HandoverResult {
            id: record.id,
            owner,
            standby: record.standby,
        };
        let (owner, standby) = (result.owner.as_ref(), result.standby.as_ref());
        let code = match owner {
            Some(_) => Code::StreamGiven,
            None => Code::StreamNotGiven,
        };
        report::stream(code, result.id, owner, standby, record.epoch);
        if owner.is_some() {
            self.lock().streams.drop_copy(result.id);
        }
        result
    }

    /// Offers a copy to each candidate in turn; returns the first that accepts it.
    async fn offer_first(
        &self,
        record: &StreamRecord,
        role: CopyRole,
        candidates: &mut impl Iterator<Item = Name>,
    ) -> Option<Name> {
        for name in candidates {
            let mut record = record.clone();
            if role == CopyRole::Owner {
                record.owner = name.clone();
            }
            if self.offer(&name, &record, role).await == Some(TakeReply::Taken) {
                return Some(name);
            }
        }
        None
    }

    /// Accepts an offered copy, and continues the stream if this node is to own it.
    pub(crate) fn take(self: &Arc<Self>, record: StreamRecord, role: CopyRole) -> TakeReply {
        let now_ms = self.clock.now_ms();
        let reply = {
            let mut core = self.lock();
            if core.node.members().me().health == Health::Left {
                return TakeReply::Leaving;
            }
            core.streams.take(record.clone(), role, now_ms)
        };
        if reply == TakeReply::Taken && role == CopyRole::Owner {
            self.resume(Code::StreamTaken, record);
        }
        reply
    }

    /// Makes this node's standby copy the owner, unless the present owner answers this node.
    pub(crate) async fn activate(self: &Arc<Self>, id: RequestId, offset: usize) -> ActivateReply {
        let Some(found) = self.lock().streams.find(id) else {
            return ActivateReply::Missing;
        };
        if found.role == CopyRole::Standby && self.owner_answers(id, &found).await {
            return ActivateReply::OwnerAnswers;
        }
        let now_ms = self.clock.now_ms();
        let (reply, record) = self.lock().streams.activate(id, offset, &self.me, now_ms);
        if let Some(record) = record {
            self.resume(Code::StreamActivated, record);
        }
        reply
    }

    async fn owner_answers(&self, id: RequestId, copy: &StreamCopyInfo) -> bool {
        let Some(found) = self.find_at(&copy.owner, id).await else {
            return false;
        };
        found.is_some_and(|f| f.role == CopyRole::Owner && f.epoch >= copy.epoch)
    }

    fn resume(self: &Arc<Self>, code: Code, record: StreamRecord) {
        let (owner, standby) = (Some(&record.owner), record.standby.as_ref());
        report::stream(code, record.id, owner, standby, record.epoch);
        if record.end != StreamStatus::Open {
            return;
        }
        let sink = StreamSink {
            inner: self.clone(),
            id: record.id,
            epoch: record.epoch,
            standby: record.standby.clone(),
            next_standby_search: tokio::time::Instant::now(),
        };
        self.handlers.resume(record, sink);
    }

    /// Finds the node to read from, or activates a standby; on `None` the caller has to retry.
    async fn locate(
        self: &Arc<Self>,
        id: RequestId,
        workspace: &Name,
        offset: usize,
    ) -> Result<Option<(StreamSource, StreamCopyInfo)>, StreamError> {
        let mut copies: Vec<(Option<Name>, StreamCopyInfo)> = Vec::new();
        let mut unanswered = 0;
        if let Some(found) = self.lock().streams.find(id) {
            copies.push((None, found));
        }
        let asked = stream::iter(self.members_to_ask(id)).map(|name| async move {
            let answer = self.find_at(&name, id).await;
            (name, answer)
        });
        let answers: Vec<_> = asked.buffer_unordered(CONCURRENT_CALLS_MAX).collect().await;
        for (name, answer) in answers {
            match answer {
                None => unanswered += 1,
                Some(None) => {}
                Some(Some(found)) => copies.push((Some(name), found)),
            }
        }
        copies.retain(|(_, found)| found.workspace == *workspace);
        if copies.is_empty() {
            return match unanswered {
                0 => Err(StreamError::NotFound),
                _ => Ok(None),
            };
        }
        copies.sort_by_key(|(_, found)| {
            (
                found.epoch,
                found.role == CopyRole::Owner,
                found.answer_bytes,
            )
        });
        let Some((name, best)) = copies.pop() else {
            return Ok(None);
        };
        if best.role == CopyRole::Standby {
            let reply = match &name {
                None => self.activate(id, offset).await,
                Some(name) => self.activate_at(name, id, offset).await,
            };
            match reply {
                ActivateReply::Activated | ActivateReply::Owner => {}
                ActivateReply::Behind | ActivateReply::OwnerAnswers | ActivateReply::Missing => {
                    return Ok(None);
                }
            }
        }
        let source = match name {
            None => Some(StreamSource::Local),
            Some(name) => self.address_of(&name).map(StreamSource::Peer),
        };
        Ok(source.map(|source| (source, best)))
    }

    fn members_to_ask(&self, id: RequestId) -> Vec<Name> {
        let core = self.lock();
        let members = core.node.members();
        let asked = members
            .others()
            .filter(|r| matches!(r.health, Health::Alive | Health::Suspect));
        let asked: Vec<MemberRecord> = asked.cloned().collect();
        drop(core);
        let mut ranked = handover::rank(id, &asked);
        if ranked.len() > ASK_ALL_MEMBERS_MAX {
            ranked.truncate(CANDIDATES_MAX);
        }
        ranked
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let core = self.lock();
        core.node.members().get(name).map(|record| record.address)
    }

    async fn offer(&self, name: &str, record: &StreamRecord, role: CopyRole) -> Option<TakeReply> {
        let client = self.peers.client_for(self.address_of(name)?).ok()?;
        client.take_stream(record.clone(), role).await.ok()
    }

    async fn extend_at(&self, name: &str, part: StreamExtension) -> Option<ExtendReply> {
        let client = self.peers.client_for(self.address_of(name)?).ok()?;
        client.extend_stream(part).await.ok()
    }

    async fn find_at(&self, name: &str, id: RequestId) -> Option<Option<StreamCopyInfo>> {
        let client = self.peers.client_for(self.address_of(name)?).ok()?;
        client.find_stream(id).await.ok()
    }

    async fn activate_at(&self, name: &str, id: RequestId, offset: usize) -> ActivateReply {
        let Some(address) = self.address_of(name) else {
            return ActivateReply::Missing;
        };
        let Ok(client) = self.peers.client_for(address) else {
            return ActivateReply::Missing;
        };
        let reply = client.activate_stream(id, offset).await;
        reply.unwrap_or(ActivateReply::Missing)
    }
}
