//! What an entry VM remembers of each accepted model request, so that its stream can be resumed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Name;
use base::ids::RequestId;
use base::units::{ByteCount, Millisecond, TokenCount};
use engine::chat::{AnswerEnvelope, Call, CompletionRequest, Usage};
use serde::{Deserialize, Serialize};

/// How far an answer has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Tokens are still to come.
    Open,
    /// The answer is whole.
    Done {
        /// Why generation ended.
        finish_reason: String,
    },
}

/// One accepted model request and the answer so far; also what is handed to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The request's number.
    pub id: RequestId,
    /// Whose request it is.
    pub workspace: Name,
    /// The service asked for.
    pub service: Name,
    /// Which call it is.
    pub call: Call,
    /// The request, as the caller sent it.
    pub request: CompletionRequest,
    /// Text relayed so far.
    pub text: String,
    /// Tokens relayed so far.
    pub tokens: TokenCount,
    /// Start of the answer, in seconds since the Unix epoch.
    pub created_s: u64,
    /// Time left for the answer when the record was last written.
    pub remaining_ms: Millisecond,
    /// Token counts, summed over attempts.
    pub usage: Usage,
    /// How far the answer has come.
    pub progress: Progress,
    /// Backend servers tried, in order.
    pub attempts: Vec<Name>,
    /// Attempts that failed, whichever relay made them.
    #[serde(default)]
    pub failed: u32,
    /// Count of relays that have owned the record; only the newest may add to it.
    pub epoch: u64,
}

impl Record {
    /// The head that names every piece of the answer.
    pub fn answer_envelope(&self) -> AnswerEnvelope {
        AnswerEnvelope::new(self.call, self.id, self.created_s, &self.service)
    }

    /// Approximate memory held, in bytes.
    pub fn size_bytes(&self) -> ByteCount {
        let prompt: usize = self.request.prompt_text().len();
        (self.text.len() + prompt + size_of::<Self>()) as ByteCount
    }
}

/// A record that relays share; each holds the epoch under which it may write.
#[derive(Clone, Debug)]
pub struct SharedRecord(Arc<Mutex<Record>>);

impl SharedRecord {
    /// Wraps a record.
    pub fn new(record: Record) -> Self {
        Self(Arc::new(Mutex::new(record)))
    }

    /// Locks the record for a short, non-blocking use.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the caller the record's only writer and returns its epoch.
    pub fn take_over(&self) -> u64 {
        let mut record = self.lock();
        record.epoch += 1;
        record.epoch
    }
}
