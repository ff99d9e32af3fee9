//! Continues streams that a peer hands over to this entry VM.

use std::sync::Arc;

use async_trait::async_trait;
use base::units::Millisecond;
use engine::chat::{Call, Usage};
use fleet::handover::{StreamRecord, StreamStatus};
use fleet::{FleetHandlers, StreamSink};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::clock::unix_s;
use crate::flow::{AnswerEvent, Flow, Progress, Record, Relay, SharedRecord};
use crate::front::CallerError;

/// Separates the text of a handed-over answer from its trailer.
const TRAILER_MARK: char = '\u{1e}';

/// How a handed-over answer ended; sent after the text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum Trailer {
    /// The answer is complete.
    Whole { finish_reason: String, usage: Usage },
    /// The request failed for good.
    Failed {
        /// The error as JSON, as callers get it.
        error: String,
    },
}

impl Trailer {
    fn encode(&self) -> String {
        let json = serde_json::to_string(self).unwrap_or_default();
        format!("{TRAILER_MARK}{json}")
    }

    /// Splits the last bytes of an answer into text and trailer.
    pub fn split(last: &str) -> Option<(&str, Self)> {
        let (text, json) = last.rsplit_once(TRAILER_MARK)?;
        let trailer = serde_json::from_str(json).ok()?;
        Some((text, trailer))
    }
}

/// Handles calls from the fleet: continues streams that peers hand over, and forwards the reclaim
/// notice of this entry VM.
pub struct Takeover {
    flow: Arc<Flow>,
    notice: mpsc::Sender<Millisecond>,
}

impl Takeover {
    /// Creates a handler that continues streams in `flow` and sends the remaining time of a reclaim
    /// notice to `notice`.
    pub fn new(flow: Arc<Flow>, notice: mpsc::Sender<Millisecond>) -> Self {
        Self { flow, notice }
    }
}

#[async_trait]
impl FleetHandlers for Takeover {
    fn resume(&self, record: StreamRecord, sink: StreamSink) {
        let flow = self.flow.clone();
        tokio::spawn(async move {
            if let Some(taken) = from_stream(&record) {
                continue_stream(flow, taken, record.priority, sink).await;
            }
        });
    }

    fn on_reclaim_notice(&self, remaining_ms: Millisecond) {
        // Sending fails if the channel is full; the earlier notice in it suffices.
        let _ = self.notice.try_send(remaining_ms);
    }
}

async fn continue_stream(flow: Arc<Flow>, record: Record, priority: i32, mut sink: StreamSink) {
    let shared = SharedRecord::new(record);
    let priority = u8::try_from(priority).unwrap_or(0);
    let mut relay = Relay::open(flow, shared.clone(), priority);
    loop {
        let tokens = shared.lock().tokens;
        let appended = match relay.next().await {
            AnswerEvent::Text { text, .. } => {
                sink.append(&text, &text, tokens + 1, StreamStatus::Open)
                    .await
            }
            AnswerEvent::Finish { reason, usage } => {
                let trailer = Trailer::Whole {
                    finish_reason: reason,
                    usage,
                };
                let _ = sink
                    .append(&trailer.encode(), "", tokens, StreamStatus::Complete)
                    .await;
                return;
            }
            AnswerEvent::Failed(error) => {
                let trailer = failed(&error);
                let _ = sink
                    .append(&trailer.encode(), "", tokens, StreamStatus::Failed)
                    .await;
                return;
            }
            // This node is leaving as well; the fleet hands its streams over to another node.
            AnswerEvent::Moved => return,
        };
        if appended.is_err() {
            return;
        }
    }
}

fn failed(error: &CallerError) -> Trailer {
    Trailer::Failed {
        error: error.to_json(),
    }
}

/// Converts a handed-over stream to a record; `None` if its call or body cannot be parsed.
pub fn from_stream(stream: &StreamRecord) -> Option<Record> {
    let call = Call::from_path(&stream.path)?;
    let request = serde_json::from_str(&stream.body).ok()?;
    Some(Record {
        id: stream.id,
        workspace: stream.workspace.clone(),
        service: stream.service.clone(),
        call,
        request,
        text: stream.generated.clone(),
        tokens: stream.tokens,
        created_s: unix_s(),
        remaining_ms: stream.remaining_ms,
        usage: Usage::default(),
        progress: Progress::Open,
        attempts: Vec::new(),
        failed: stream.failed,
        epoch: 0,
    })
}
