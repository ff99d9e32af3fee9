//! Reader of streamed completions (server-sent events).

use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use http_body_util::BodyDataStream;

use crate::chat::Chunk;
use crate::{AnswerBody, BodyError};

/// Event of a streamed completion.
#[derive(Debug)]
pub enum StreamEvent {
    /// Next part of the completion.
    Chunk(Chunk),
    /// End marker `[DONE]`: the completion is complete.
    Done,
}

/// Reads the events of one response body in order.
pub struct ChunkStream {
    events: EventStream<BodyDataStream<AnswerBody>>,
}

impl ChunkStream {
    /// Parses `body` as server-sent events.
    pub fn open(body: AnswerBody) -> Self {
        Self {
            events: BodyDataStream::new(body).eventsource(),
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// The body ends before [`StreamEvent::Done`], or an event is not a chunk.
    pub async fn next(&mut self) -> Result<StreamEvent, BodyError> {
        let Some(event) = self.events.next().await else {
            return incomplete("the stream ended before `[DONE]`");
        };
        let data = match event {
            Ok(event) => event.data,
            Err(e) => return incomplete(&e.to_string()),
        };
        if data == "[DONE]" {
            return Ok(StreamEvent::Done);
        }
        match serde_json::from_str(&data) {
            Ok(chunk) => Ok(StreamEvent::Chunk(chunk)),
            Err(e) => incomplete(&format!("an event is not a completion chunk: {e}")),
        }
    }
}

fn incomplete<T>(reason: &str) -> Result<T, BodyError> {
    Err(BodyError {
        reason: reason.to_owned(),
    })
}
