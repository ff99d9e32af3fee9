//! Server-sent events of a streamed answer.

use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use http_body_util::BodyDataStream;

use crate::chat::Chunk;
use crate::{AnswerBody, BodyError};

/// One event of a streamed answer.
#[derive(Debug)]
pub enum StreamEvent {
    /// A piece of the answer.
    Chunk(Chunk),
    /// The end marker: the answer is whole.
    Done,
}

/// Reads the events of one answer in order.
pub struct ChunkStream {
    events: EventStream<BodyDataStream<AnswerBody>>,
}

impl ChunkStream {
    /// Reads `body` as server-sent events.
    pub fn open(body: AnswerBody) -> Self {
        Self {
            events: BodyDataStream::new(body).eventsource(),
        }
    }

    /// The next event; the end of the body before [`StreamEvent::Done`] is an error.
    pub async fn next(&mut self) -> Result<StreamEvent, BodyError> {
        let Some(event) = self.events.next().await else {
            return broken("the stream ended before its end marker");
        };
        let data = match event {
            Ok(event) => event.data,
            Err(e) => return broken(&e.to_string()),
        };
        if data == "[DONE]" {
            return Ok(StreamEvent::Done);
        }
        match serde_json::from_str(&data) {
            Ok(chunk) => Ok(StreamEvent::Chunk(chunk)),
            Err(e) => broken(&format!("a piece is not a chunk: {e}")),
        }
    }
}

fn broken<T>(reason: &str) -> Result<T, BodyError> {
    Err(BodyError {
        reason: reason.to_owned(),
    })
}
