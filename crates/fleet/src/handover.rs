//! Open streams that a leaving entry VM hands over to its peers.
//!
//! Each stream gets an owner, which continues it, and a standby, which only keeps a copy. Readers
//! see only bytes that the standby has too, so what any reader has received is a prefix of the
//! standby's copy, and an activated standby can continue from it. Each activation raises the epoch;
//! copies and extensions of an older epoch are refused.

use std::cmp::Reverse;

use base::ids::RequestId;
use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::wire::MemberRecord;

/// Best ranked members that are offered a stream, and that a lookup in a large fleet asks.
pub const CANDIDATES_MAX: usize = 8;
/// Total size of the copies kept; beyond it, offered copies are refused as [`TakeReply::Full`].
const STORE_MAX_BYTES: usize = 64 << 20;
/// Time after a stream's deadline during which its caller may still read it.
const RETENTION_MS: Millisecond = 120_000;

/// Progress of a stream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamStatus {
    /// More bytes follow.
    Open,
    Complete,
    /// The answer has ended early; its last bytes hold the error.
    Failed,
}

/// Everything that another entry VM needs to continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    pub id: RequestId,
    /// Only callers of this workspace may read the stream.
    pub workspace: Name,
    pub service: Name,
    /// Path of the caller's HTTP request.
    pub path: String,
    /// Body of the caller's request, unchanged.
    pub body: String,
    /// The part of the answer that was relayed to the caller; offsets count its bytes.
    pub answer: String,
    /// Text generated so far, from which an inference engine resumes.
    pub generated: String,
    pub tokens: u64,
    /// Failed attempts so far; they count against the request's retry budget on every node.
    #[serde(default)]
    pub failed: u32,
    /// Time until the deadline of the whole answer.
    pub remaining_ms: Millisecond,
    /// Lower values are scheduled first.
    pub priority: i32,
    /// Raised at each takeover; the copy with the highest epoch is authoritative.
    pub epoch: u32,
    /// The node that continues the stream.
    pub owner: Name,
    /// The node that keeps the other copy, if known.
    pub standby: Option<Name>,
    pub end: StreamStatus,
}

impl StreamRecord {
    fn size_bytes(&self) -> usize {
        self.body.len() + self.answer.len() + self.generated.len()
    }
}

/// Role of a copy of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyRole {
    /// Continues the stream and serves its readers.
    Owner,
    /// Keeps a copy, to replace an owner that no longer answers.
    Standby,
}

/// Answer to an offered copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    Taken,
    /// The node has a copy of this or a higher epoch.
    Superseded,
    /// The node's copies would exceed their size limit.
    Full,
    /// The node is leaving as well.
    Leaving,
}

/// Bytes appended to a stream since the last extension, for its standby.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamExtension {
    pub id: RequestId,
    pub owner: Name,
    /// Epoch of the owner's copy.
    pub epoch: u32,
    /// Bytes of the answer before this extension.
    pub offset_bytes: usize,
    pub answer: String,
    pub generated: String,
    /// Tokens generated since the start of the answer.
    pub tokens: u64,
    pub end: StreamStatus,
}

/// Answer to a [`StreamExtension`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExtendReply {
    Kept,
    /// The node has a copy of a higher epoch; the sender must stop.
    Superseded,
    /// The node has no copy of this epoch, or its copy does not end at the extension's offset.
    Missing,
}

/// A copy of a stream, as a lookup reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCopyInfo {
    pub workspace: Name,
    pub service: Name,
    /// Path of the caller's HTTP request.
    pub path: String,
    pub role: CopyRole,
    pub epoch: u32,
    /// The owner named in the copy.
    pub owner: Name,
    /// Length of the copy's answer.
    pub answer_bytes: usize,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadReply {
    /// The readable bytes from the offset on.
    Bytes {
        /// May be empty while the stream is open.
        text: String,
        end: StreamStatus,
    },
    /// This node does not own the stream.
    NotOwner,
    /// The offset is beyond the answer or inside a character.
    BadOffset,
}

/// Answer to a request to activate a standby.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActivateReply {
    /// The copy has become the owner.
    Activated,
    /// The node owned the stream already.
    Owner,
    /// The owner answers, so it is not replaced.
    OwnerAnswers,
    /// The reader has more bytes than this copy, so a continuation might contradict them.
    Behind,
    /// The node has no copy of the stream.
    Missing,
}

/// Members that are offered a stream, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub id: RequestId,
    /// Members in the order in which they are asked: the first two that accept become owner and
    /// standby.
    pub candidates: Vec<Name>,
}

/// Ranks members for a stream by rendezvous hashing; every node computes the same order.
pub fn rank(id: RequestId, members: &[MemberRecord]) -> Vec<Name> {
    let mut ranked: Vec<&Name> = members.iter().map(|m| &m.name).collect();
    ranked.sort_by_key(|name| Reverse(hash::rendezvous(name, id.bits())));
    ranked.into_iter().cloned().collect()
}

/// Chooses candidates for the streams of a node that leaves `leaver_domain`: among the best
/// ranked, members of other failure domains first, and owner and standby in different ones.
pub fn plan(ids: &[RequestId], members: &[MemberRecord], leaver_domain: &str) -> Vec<Assignment> {
    let domains: Map<&Name, &Name> = members
        .iter()
        .map(|m| (&m.name, &m.failure_domain))
        .collect();
    let mut assignments = Vec::new();
    for id in ids {
        let mut candidates = rank(*id, members);
        candidates.truncate(CANDIDATES_MAX);
        candidates.sort_by_key(|name| &**domains[name] == leaver_domain);
        if let Some(owner) = candidates.first().cloned() {
            candidates[1..].sort_by_key(|name| {
                let domain = domains[name];
                (domain == domains[&owner], &**domain == leaver_domain)
            });
        }
        assignments.push(Assignment {
            id: *id,
            candidates,
        });
    }
    assignments
}

#[derive(Debug)]
struct StreamCopy {
    record: StreamRecord,
    role: CopyRole,
    readable_bytes: usize,
    deadline_ms: Millisecond,
}

/// Copies of streams that this node keeps.
#[derive(Debug, Default)]
pub struct StreamStore {
    copies: Map<RequestId, StreamCopy>,
    size_bytes: usize,
}

impl StreamStore {
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Accepts an offered copy, unless a copy of this or a higher epoch is kept already.
    pub fn take(&mut self, record: StreamRecord, role: CopyRole, now_ms: Millisecond) -> TakeReply {
        let known = self.copies.get(&record.id);
        if known.is_some_and(|copy| copy.record.epoch >= record.epoch) {
            return TakeReply::Superseded;
        }
        if self.size_bytes + record.size_bytes() > STORE_MAX_BYTES {
            return TakeReply::Full;
        }
        let id = record.id;
        let copy = StreamCopy {
            role,
            readable_bytes: record.answer.len(),
            deadline_ms: now_ms + record.remaining_ms,
            record,
        };
        self.size_bytes += copy.record.size_bytes();
        if let Some(old) = self.copies.insert(id, copy) {
            self.size_bytes -= old.record.size_bytes();
        }
        TakeReply::Taken
    }

    /// Appends to a copy. On the owner, readers do not see the bytes before
    /// [`StreamStore::allow_reading`].
    pub fn extend(&mut self, part: &StreamExtension) -> ExtendReply {
        let Some(copy) = self.copies.get_mut(&part.id) else {
            return ExtendReply::Missing;
        };
        if copy.record.epoch > part.epoch {
            return ExtendReply::Superseded;
        }
        let fits = copy.record.epoch == part.epoch && copy.record.answer.len() == part.offset_bytes;
        if !fits {
            return ExtendReply::Missing;
        }
        copy.record.answer.push_str(&part.answer);
        copy.record.generated.push_str(&part.generated);
        copy.record.owner = part.owner.clone();
        copy.record.tokens = part.tokens;
        copy.record.end = part.end;
        self.size_bytes += part.answer.len() + part.generated.len();
        ExtendReply::Kept
    }

    /// Lets readers see the first `bytes` bytes, if the copy still has this epoch.
    pub fn allow_reading(&mut self, id: RequestId, epoch: u32, bytes: usize) {
        if let Some(copy) = self.copies.get_mut(&id)
            && copy.record.epoch == epoch
        {
            copy.readable_bytes = copy.readable_bytes.max(bytes);
        }
    }

    /// Describes the copy that this node keeps.
    pub fn find(&self, id: RequestId) -> Option<StreamCopyInfo> {
        let copy = self.copies.get(&id)?;
        Some(StreamCopyInfo {
            workspace: copy.record.workspace.clone(),
            service: copy.record.service.clone(),
            path: copy.record.path.clone(),
            role: copy.role,
            epoch: copy.record.epoch,
            owner: copy.record.owner.clone(),
            answer_bytes: copy.record.answer.len(),
        })
    }

    /// Returns the readable bytes from `offset` on, if this node is the owner.
    pub fn read(&self, id: RequestId, offset: usize) -> ReadReply {
        let owned = self.copies.get(&id).filter(|c| c.role == CopyRole::Owner);
        let Some(copy) = owned else {
            return ReadReply::NotOwner;
        };
        let Some(text) = copy.record.answer.get(offset..copy.readable_bytes) else {
            return ReadReply::BadOffset;
        };
        let all_readable = copy.readable_bytes == copy.record.answer.len();
        let end = if all_readable {
            copy.record.end
        } else {
            StreamStatus::Open
        };
        ReadReply::Bytes {
            text: text.to_owned(),
            end,
        }
    }

    /// Makes a standby the owner, for a reader that has received `offset` bytes.
    pub fn activate(
        &mut self,
        id: RequestId,
        offset: usize,
        me: &Name,
        now_ms: Millisecond,
    ) -> (ActivateReply, Option<StreamRecord>) {
        let Some(copy) = self.copies.get_mut(&id) else {
            return (ActivateReply::Missing, None);
        };
        if copy.role == CopyRole::Owner {
            return (ActivateReply::Owner, None);
        }
        if offset > copy.record.answer.len() {
            return (ActivateReply::Behind, None);
        }
        copy.role = CopyRole::Owner;
        copy.record.epoch += 1;
        copy.record.owner = me.clone();
        copy.record.standby = None;
        copy.record.remaining_ms = copy.deadline_ms.saturating_sub(now_ms);
        copy.readable_bytes = copy.record.answer.len();
        (ActivateReply::Activated, Some(copy.record.clone()))
    }

    /// The owner's copy as a record, with its remaining time at `now_ms`.
    pub fn record(&self, id: RequestId, now_ms: Millisecond) -> Option<StreamRecord> {
        let copy = self.copies.get(&id).filter(|c| c.role == CopyRole::Owner)?;
        let mut record = copy.record.clone();
        record.remaining_ms = copy.deadline_ms.saturating_sub(now_ms);
        Some(record)
    }

    /// Raises the epoch of an owned stream, before it is offered to another standby.
    pub fn raise_epoch(&mut self, id: RequestId) -> Option<u32> {
        let copy = self.copies.get_mut(&id)?;
        copy.record.epoch += 1;
        Some(copy.record.epoch)
    }

    /// Drops a copy, as another node owns the stream now or its retention is over.
    pub fn drop_copy(&mut self, id: RequestId) {
        if let Some(copy) = self.copies.remove(&id) {
            self.size_bytes -= copy.record.size_bytes();
        }
    }

    /// Streams that this node owns.
    pub fn owned(&self) -> Vec<RequestId> {
        let owned = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.role == CopyRole::Owner);
        owned.map(|(id, _)| *id).collect()
    }

    /// Drops copies whose retention after the deadline is over.
    pub fn expire(&mut self, now_ms: Millisecond) {
        let due = |copy: &StreamCopy| now_ms > copy.deadline_ms + RETENTION_MS;
        let overdue = self.copies.iter().filter(|(_, copy)| due(copy));
        let overdue: Vec<RequestId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.drop_copy(id);
        }
    }
}
