//! Open streams that a leaving entry VM gives to its peers.
//!
//! Each stream gets an owner, which goes on with it, and a standby, which keeps a copy and does
//! nothing. The owner shows a reader only bytes that the standby has too, so a standby that is
//! activated later goes on from a text that every reader's bytes are a prefix of. Each activation
//! raises the epoch, and what an older epoch offers is refused.

use std::cmp::Reverse;

use base::ids::RequestId;
use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::wire::MemberRecord;

/// Ranked members that may hold a stream, and that are asked for one.
pub const CANDIDATES_MAX: usize = 8;
/// Most bytes of all streams kept here.
const STORE_MAX_BYTES: usize = 64 << 20;
/// A finished or overdue stream is kept for its caller for so long.
const RETENTION_MS: Millisecond = 120_000;

/// Whether a stream's answer goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamStatus {
    /// More will come.
    Open,
    /// The answer is whole.
    Complete,
    /// The answer ends here, with an error that its bytes give.
    Failed,
}

/// Everything that another entry VM needs to go on with a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The request's number.
    pub id: RequestId,
    /// The workspace it belongs to; its callers alone may read it.
    pub workspace: Name,
    /// The service asked for.
    pub service: Name,
    /// Path of the call.
    pub path: String,
    /// The caller's body, unchanged.
    pub body: String,
    /// Bytes of the answer relayed to the caller; offsets count in these.
    pub answer: String,
    /// Text generated so far, from which an engine resumes.
    pub generated: String,
    /// Number of tokens in `generated`.
    pub tokens: u64,
    /// Attempts that failed so far; the request's budget counts them wherever it goes on.
    #[serde(default)]
    pub failed: u32,
    /// Time left for the whole answer.
    pub remaining_ms: Millisecond,
    /// Priority; lower first.
    pub priority: i32,
    /// Number of the takeover; the highest is right.
    pub epoch: u32,
    /// The node that goes on with the stream.
    pub owner: Name,
    /// The node that keeps the other copy, as far as known.
    pub standby: Option<Name>,
    /// Whether more comes.
    pub end: StreamStatus,
}

impl StreamRecord {
    fn size_bytes(&self) -> usize {
        self.body.len() + self.answer.len() + self.generated.len()
    }
}

/// What a copy is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyRole {
    /// Goes on with the stream.
    Owner,
    /// Keeps a copy.
    Standby,
}

/// Answer to an offered copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    /// The copy is kept.
    Taken,
    /// A copy of this or a higher epoch is here already.
    Superseded,
    /// No room.
    Full,
    /// The node leaves too.
    Leaving,
}

/// Growth of a stream, for its standby.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamExtension {
    /// The request's number.
    pub id: RequestId,
    /// The owner.
    pub owner: Name,
    /// Epoch of the owner.
    pub epoch: u32,
    /// Bytes of the answer before this part.
    pub offset_bytes: usize,
    /// The next bytes of the answer.
    pub answer: String,
    /// The next text generated.
    pub generated: String,
    /// Tokens generated in all.
    pub tokens: u64,
    /// Whether more comes.
    pub end: StreamStatus,
}

/// Answer to an [`Extension`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExtendReply {
    /// Kept.
    Kept,
    /// A higher epoch is here; the sender must stop.
    Superseded,
    /// This node has no such copy, or has not the bytes before the part.
    Missing,
}

/// A copy of a stream, as a lookup reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCopyInfo {
    /// The workspace it belongs to.
    pub workspace: Name,
    /// The service asked for.
    pub service: Name,
    /// Path of the call.
    pub path: String,
    /// What the copy is for.
    pub role: CopyRole,
    /// Epoch of the copy.
    pub epoch: u32,
    /// The owner that the copy knows.
    pub owner: Name,
    /// Bytes of the answer in the copy.
    pub answer_bytes: usize,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadReply {
    /// The bytes from the offset on, as far as they may be shown.
    Bytes {
        /// The bytes; may be empty while the stream is open.
        text: String,
        /// Whether more comes.
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
    /// The copy is the owner now.
    Activated,
    /// The node owned the stream already.
    Owner,
    /// The owner answers; it is not to be replaced.
    OwnerAnswers,
    /// The reader has bytes that this copy has not: going on here would not fit them.
    Behind,
    /// No such copy.
    Missing,
}

/// Who is to take a stream, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The stream.
    pub id: RequestId,
    /// Members in the order in which they are to be tried: the first two that take it become owner
    /// and standby.
    pub candidates: Vec<Name>,
}

/// Ranks members for a stream by rendezvous hashing; every node finds the same order.
pub fn rank(id: RequestId, members: &[MemberRecord]) -> Vec<Name> {
    let mut ranked: Vec<&Name> = members.iter().map(|m| &m.name).collect();
    ranked.sort_by_key(|name| Reverse(hash::rendezvous(name, id.bits())));
    ranked.into_iter().cloned().collect()
}

/// Chooses takers for the streams of a node that leaves `leaver_domain`: among the best ranked,
/// members of other failure domains first, and owner and standby in different ones.
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
    /// Number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Takes an offered copy.
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

    /// Adds to a copy: the owner's own, not shown yet, or a standby's.
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

    /// Allows readers to see all bytes up to `bytes`.
    pub fn allow_reading(&mut self, id: RequestId, epoch: u32, bytes: usize) {
        if let Some(copy) = self.copies.get_mut(&id)
            && copy.record.epoch == epoch
        {
            copy.readable_bytes = copy.readable_bytes.max(bytes);
        }
    }

    /// Reports the copy kept here.
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

    /// Reads from the owner's copy.
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

    /// Makes a standby the owner, for a reader that has `offset` bytes.
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

    /// The owner's copy as a record, with the time that is left.
    pub fn record(&self, id: RequestId, now_ms: Millisecond) -> Option<StreamRecord> {
        let copy = self.copies.get(&id).filter(|c| c.role == CopyRole::Owner)?;
        let mut record = copy.record.clone();
        record.remaining_ms = copy.deadline_ms.saturating_sub(now_ms);
        Some(record)
    }

    /// Raises the epoch of an owned stream, before its copy goes to another standby.
    pub fn raise_epoch(&mut self, id: RequestId) -> Option<u32> {
        let copy = self.copies.get_mut(&id)?;
        copy.record.epoch += 1;
        Some(copy.record.epoch)
    }

    /// Drops a stream that another node owns now.
    pub fn drop_copy(&mut self, id: RequestId) {
        if let Some(copy) = self.copies.remove(&id) {
            self.size_bytes -= copy.record.size_bytes();
        }
    }

    /// Streams owned here.
    pub fn owned(&self) -> Vec<RequestId> {
        let owned = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.role == CopyRole::Owner);
        owned.map(|(id, _)| *id).collect()
    }

    /// Drops streams whose callers have had time enough.
    pub fn expire(&mut self, now_ms: Millisecond) {
        let due = |copy: &StreamCopy| now_ms > copy.deadline_ms + RETENTION_MS;
        let overdue = self.copies.iter().filter(|(_, copy)| due(copy));
        let overdue: Vec<RequestId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.drop_copy(id);
        }
    }
}
