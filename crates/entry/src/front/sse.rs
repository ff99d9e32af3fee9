//! Replies with the answer of a relay, as server-sent events or as one JSON document.
//!
//! The `id` of each event is the number of text bytes up to its end. A caller that reconnects sends
//! the last `id` it read in `Last-Event-ID` or `offset`, and gets the rest.

use std::fmt::Write;

use bytes::Bytes;
use engine::BodyError;
use engine::chat::{AnswerEnvelope, Choice, Usage};
use futures_util::{Stream, TryStreamExt, stream};
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use super::body::{Reply, full_reply};
use super::error::CallerError;
use crate::flow::{AnswerEvent, Relay};
use crate::state::AdmittedRequest;

struct SseStream {
    relay: Relay,
    head: AnswerEnvelope,
    admitted: AdmittedRequest,
    offset: usize,
    usage: UsageReport,
    position: Position,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum UsageReport {
    Wanted,
    Unwanted,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Position {
    Start,
    Middle,
    End,
}

/// Replies with server-sent events, from byte `offset` of the text.
pub fn streamed(relay: Relay, offset: usize, admitted: AdmittedRequest) -> Reply {
    let (head, usage) = {
        let record = relay.record().lock();
        let wanted = record.request.rest.get("stream_options");
        let wanted = wanted.is_some_and(|options| options["include_usage"] == true);
        let usage = if wanted {
            UsageReport::Wanted
        } else {
            UsageReport::Unwanted
        };
        (record.answer_envelope(), usage)
    };
    let state = SseStream {
        relay,
        head,
        admitted,
        offset,
        usage,
        position: Position::Start,
    };
    let frames = stream::unfold(state, |mut state| async move {
        let frame = state.next().await?;
        Some((Ok::<_, BodyError>(frame), state))
    });
    reply(frames)
}

/// Creates a reply whose body is a stream of server-sent events.
pub fn reply<S>(frames: S) -> Reply
where
    S: Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
{
    let body = StreamBody::new(frames.map_ok(Frame::data));
    let mut reply = Response::new(body.boxed_unsync());
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

impl SseStream {
    async fn next(&mut self) -> Option<Bytes> {
        match self.position {
            Position::End => return None,
            Position::Middle => {}
            Position::Start => {
                self.position = Position::Middle;
                if let Some(frame) = self.catch_up() {
                    return Some(frame);
                }
            }
        }
        let frame = match self.relay.next().await {
            AnswerEvent::Text {
                text,
                choice,
                offset,
            } => self.text(&text, choice.as_ref(), offset),
            AnswerEvent::Finish { reason, usage } => self.finish(&reason, usage),
            AnswerEvent::Moved => self.end(": moved\n\n".to_owned()),
            AnswerEvent::Failed(error) => self.end(failure(&error.to_json())),
        };
        Some(frame)
    }

    /// The text that was relayed before this reader connected.
    fn catch_up(&mut self) -> Option<Bytes> {
        let record = self.relay.record().lock();
        let missed = record
            .text
            .get(self.offset..)
            .unwrap_or_default()
            .to_owned();
        let offset = record.text.len();
        drop(record);
        if missed.is_empty() {
            return None;
        }
        Some(self.text(&missed, None, offset))
    }

    fn text(&mut self, text: &str, choice: Option<&Choice>, offset: usize) -> Bytes {
        self.offset = offset;
        self.admitted.relayed();
        event(offset, &self.head.chunk(text, choice, None)).into()
    }

    fn finish(&mut self, reason: &str, usage: Usage) -> Bytes {
        let usage = (self.usage == UsageReport::Wanted).then_some(usage);
        let out = ending(&self.head, self.offset, reason, usage);
        self.admitted.finished();
        self.end(out)
    }

    fn end(&mut self, out: String) -> Bytes {
        self.position = Position::End;
        out.into()
    }
}

/// The events that end a complete answer.
pub fn ending(head: &AnswerEnvelope, offset: usize, reason: &str, usage: Option<Usage>) -> String {
    let mut out = event(offset, &head.chunk("", None, Some(reason)));
    if let Some(usage) = usage {
        out.push_str(&event(offset, &head.usage_chunk(usage)));
    }
    out.push_str("data: [DONE]\n\n");
    out
}

/// The event that ends an answer with an error.
pub fn failure(error_json: &str) -> String {
    format!("event: error\ndata: {error_json}\n\n")
}

/// One event with a chunk of the answer.
pub fn event(offset: usize, data: &str) -> String {
    let mut out = String::with_capacity(data.len() + 32);
    let _ = write!(out, "id: {offset}\ndata: {data}\n\n");
    out
}

/// Waits for the complete answer and replies with one JSON document.
pub async fn whole(mut relay: Relay, mut admitted: AdmittedRequest) -> Result<Reply, CallerError> {
    loop {
        match relay.next().await {
            AnswerEvent::Text { .. } => admitted.relayed(),
            AnswerEvent::Finish { reason, usage } => {
                admitted.finished();
                let record = relay.record().lock();
                let json = record.answer_envelope().whole(&record.text, &reason, usage);
                return Ok(full_reply(StatusCode::OK, "application/json", json));
            }
            AnswerEvent::Moved => return Err(CallerError::moved()),
            AnswerEvent::Failed(error) => return Err(error),
        }
    }
}
