//! Records of accepted model requests, from which their streams can be resumed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Name;
use base::ids::RequestId;
use base::units::{ByteCount, Millisecond, TokenCount};
use engine::chat::{AnswerEnvelope, Call, CompletionRequest, Usage};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Tokens are still to come.
    Open,
    /// The answer is complete.
    Done {
        /// Reason for the end of generation, as the backend server reported it.
        finish_reason: String,
    },
}

/// One accepted model request and the answer so far. The record is handed to a peer in a drain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace that sent the request.
    pub workspace: Name,
    /// The service asked for.
    pub service: Name,
    /// API call that was made.
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
    pub progress: Progress,
    /// Backend servers tried, in order.
    pub attempts: Vec<Name>,
    /// Failed attempts, summed over all relays of this record.
    #[serde(default)]
    pub failed: u32,
    /// Number of relays that have taken over the record; only the newest may write to it.
    pub epoch: u64,
}

impl Record {
    /// The id, model and time that every chunk of the answer carries.
    pub fn answer_envelope(&self) -> AnswerEnvelope {
        AnswerEnvelope::new(self.call, self.id, self.created_s, &self.service)
    }

    /// Approximate memory held, in bytes.
    pub fn size_bytes(&self) -> ByteCount {
        let prompt: usize = self.request.prompt_text().len();
        (self.text.len() + prompt + size_of::<Self>()) as ByteCount
    }
}

/// A record shared by relays. A relay may write to it while its own epoch is the record's.
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
