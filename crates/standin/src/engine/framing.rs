//! Shapes of an answer: server-sent events or one JSON body.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

use super::message::{Form, Usage};
use crate::server::{Answer, Body, Dropped, json};

/// Last event of a stream.
const END_MARKER: &str = "data: [DONE]\n\n";

/// Output of the generator.
pub enum Piece {
    Token(String),
    /// The end, with the counts.
    Finished(Usage),
    /// The end marker, without a finish.
    Marker,
    /// The connection is to be cut.
    Cut,
}

/// Fields that every chunk of one answer repeats.
pub struct Framing {
    /// Identifier of the answer.
    pub id: String,
    /// The model, as the request named it.
    pub model: String,
    /// Shape of the answer.
    pub form: Form,
    /// Whether a chunk with the usage is wanted.
    pub usage: bool,
}

impl Framing {
    fn event(&self, choices: Vec<Choice<'_>>, usage: Option<Usage>) -> String {
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
        };
        let chunk = self.envelope(object, choices, usage);
        let chunk = serde_json::to_string(&chunk).expect("a chunk is plain data");
        format!("data: {chunk}\n\n")
    }

    fn envelope<'a>(
        &'a self,
        object: &'static str,
        choices: Vec<Choice<'a>>,
        usage: Option<Usage>,
    ) -> Envelope<'a> {
        Envelope {
            id: &self.id,
            object,
            created: 0,
            model: &self.model,
            choices,
            usage,
        }
    }

    fn delta<'a>(&self, content: &'a str, finish_reason: Option<&'static str>) -> Choice<'a> {
        let mut choice = Choice {
            finish_reason,
            ..Choice::default()
        };
        match self.form {
            Form::Chat => choice.delta = Some(Content::assistant(content)),
            Form::Text => choice.text = Some(content),
        }
        choice
    }

    fn piece(&self, piece: Piece) -> io::Result<Frame<Bytes>> {
        let text = match piece {
            Piece::Token(token) => self.event(vec![self.delta(&token, None)], None),
            Piece::Finished(usage) => self.closing(usage),
            Piece::Marker => END_MARKER.to_owned(),
            Piece::Cut => return Err(io::Error::other("cut")),
        };
        Ok(Frame::data(text.into()))
    }

    fn closing(&self, usage: Usage) -> String {
        let mut text = self.event(vec![self.delta("", Some("length"))], None);
        if self.usage {
            text.push_str(&self.event(Vec::new(), Some(usage)));
        }
        text.push_str(END_MARKER);
        text
    }
}

/// A chunk or a whole answer.
#[derive(Serialize)]
struct Envelope<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The one choice of an answer.
#[derive(Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
}

/// Text spoken by the assistant.
#[derive(Serialize)]
struct Content<'a> {
    role: &'static str,
    content: &'a str,
}

impl<'a> Content<'a> {
    fn assistant(content: &'a str) -> Self {
        Self {
            role: "assistant",
            content,
        }
    }
}

/// The answer as server-sent events.
pub fn streamed_answer(framing: Framing, receiver: mpsc::Receiver<Piece>) -> Response<Body> {
    let frames = stream::unfold((framing, receiver), |(framing, mut receiver)| async {
        let piece = receiver.recv().await?;
        Some((framing.piece(piece), (framing, receiver)))
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let value = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// The answer as one JSON body.
pub async fn whole_answer(framing: Framing, mut receiver: mpsc::Receiver<Piece>) -> Answer {
    let mut content = String::new();
    while let Some(piece) = receiver.recv().await {
        match piece {
            Piece::Token(token) => content.push_str(&token),
            Piece::Marker | Piece::Cut => return Err(Dropped),
            Piece::Finished(usage) => return json(StatusCode::OK, &framing.whole(&content, usage)),
        }
    }
    Err(Dropped)
}

impl Framing {
    fn whole<'a>(&'a self, content: &'a str, usage: Usage) -> Envelope<'a> {
        let mut choice = Choice {
            finish_reason: Some("length"),
            ..Choice::default()
        };
        let object = match self.form {
            Form::Chat => "chat.completion",
            Form::Text => "text_completion",
        };
        match self.form {
            Form::Chat => choice.message = Some(Content::assistant(content)),
            Form::Text => choice.text = Some(content),
        }
        self.envelope(object, vec![choice], Some(usage))
    }
}
