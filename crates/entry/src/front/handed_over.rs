//! Replies with the rest of a stream that another entry VM handed over. The stream is read from the
//! peer that holds it now.

use std::sync::Arc;

use base::Name;
use base::ids::RequestId;
use bytes::Bytes;
use engine::BodyError;
use engine::chat::{AnswerEnvelope, Call};
use fleet::handover::StreamStatus;
use fleet::{StreamChunk, StreamError, StreamReader};
use futures_util::stream;
use http::StatusCode;

use super::error::{CallerError, ErrorCode};
use super::resume::{Delivery, bad_offset, not_found};
use super::{Front, Reply, full_reply, sse, with_id};
use crate::clock::unix_s;
use crate::takeover::Trailer;

/// Delay after which a caller may retry when no peer that may hold the stream answered.
const RETRY_AFTER_MS: u64 = 1_000;

struct HandedOverStream {
    reader: StreamReader,
    head: AnswerEnvelope,
    offset: usize,
    first: Option<StreamChunk>,
    ended: bool,
}

/// Replies with the rest of a handed-over answer, from byte `offset` of its text.
pub async fn reply(
    front: &Arc<Front>,
    id: RequestId,
    workspace: &Name,
    offset: usize,
    delivery: Delivery,
) -> Result<Reply, CallerError> {
    let peers = &front.daemon.peers;
    let mut reader = peers
        .read_stream(id, workspace, offset)
        .ok_or_else(not_found)?;
    let first = reader.next().await.map_err(caller_error)?;
    let head = head(id, &reader).ok_or_else(not_found)?;
    let stream_state = HandedOverStream {
        reader,
        head,
        offset,
        first: Some(first),
        ended: false,
    };
    let reply = match delivery {
        Delivery::Streamed => stream_state.streamed(),
        Delivery::Whole => stream_state.whole().await?,
    };
    Ok(with_id(reply, id))
}

fn head(id: RequestId, reader: &StreamReader) -> Option<AnswerEnvelope> {
    let found = reader.found()?;
    let call = Call::from_path(&found.path)?;
    Some(AnswerEnvelope::new(call, id, unix_s(), &found.service))
}

fn caller_error(error: StreamError) -> CallerError {
    match error {
        StreamError::NotFound => not_found(),
        StreamError::BadOffset => bad_offset(
            "The offset is not within the answer; send the `id` of the last event.".into(),
        ),
        StreamError::Unavailable => CallerError::retryable(
            ErrorCode::NotReady,
            "The entry VM that has this answer does not respond; send the request again.",
            RETRY_AFTER_MS,
        ),
    }
}

impl HandedOverStream {
    async fn next_chunk(&mut self) -> Result<StreamChunk, StreamError> {
        match self.first.take() {
            Some(chunk) => Ok(chunk),
            None => self.reader.next().await,
        }
    }

    fn streamed(self) -> Reply {
        let frames = stream::unfold(self, |mut stream_state| async move {
            let frame = stream_state.next_frame().await?;
            Some((Ok::<_, BodyError>(frame), stream_state))
        });
        sse::reply(frames)
    }

    async fn next_frame(&mut self) -> Option<Bytes> {
        while !self.ended {
            let Ok(chunk) = self.next_chunk().await else {
                self.ended = true;
                return Some(": moved\n\n".into());
            };
            let frame = self.frame(&chunk);
            if !frame.is_empty() {
                return Some(frame.into());
            }
        }
        None
    }

    fn frame(&mut self, chunk: &StreamChunk) -> String {
        if chunk.end == StreamStatus::Open {
            return self.text(&chunk.text);
        }
        self.ended = true;
        let Some((text, trailer)) = Trailer::split(&chunk.text) else {
            return ": moved\n\n".to_owned();
        };
        let mut out = self.text(text);
        match trailer {
            Trailer::Whole {
                finish_reason,
                usage,
            } => {
                out.push_str(&sse::ending(
                    &self.head,
                    self.offset,
                    &finish_reason,
                    Some(usage),
                ));
            }
            Trailer::Failed { error } => out.push_str(&sse::failure(&error)),
        }
        out
    }

    fn text(&mut self, text: &str) -> String {
        if text.is_empty() {
            return String::new();
        }
        self.offset += text.len();
        sse::event(self.offset, &self.head.chunk(text, None, None))
    }

    async fn whole(mut self) -> Result<Reply, CallerError> {
        let mut all = String::new();
        loop {
            let chunk = self.next_chunk().await.map_err(caller_error)?;
            if chunk.end == StreamStatus::Open {
                all.push_str(&chunk.text);
                continue;
            }
            let Some((text, trailer)) = Trailer::split(&chunk.text) else {
                return Err(not_found());
            };
            all.push_str(text);
            return Ok(match trailer {
                Trailer::Whole {
                    finish_reason,
                    usage,
                } => {
                    let json = self.head.whole(&all, &finish_reason, usage);
                    full_reply(StatusCode::OK, "application/json", json)
                }
                Trailer::Failed { error } => {
                    full_reply(StatusCode::SERVICE_UNAVAILABLE, "application/json", error)
                }
            });
        }
    }
}
