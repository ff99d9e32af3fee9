//! Parsing of request and response heads, and how their bodies are delimited.

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Error as ParseError, Status};
use snafu::Snafu;

use super::fields::Fields;

/// Most header fields in a message.
const FIELDS_LIMIT: usize = 100;

/// Statuses that HTTP defines.
const STATUSES: Range<u16> = 100..600;

/// Interim status after which the connection has another protocol. No request here asks for it.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Length of the start of a status line, up to the first digit of the status.
const STATUS_LINE_START_BYTES: usize = b"HTTP/1.1 2".len();

/// How the end of a message body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends with the connection; responses only.
    Close,
}

/// Whether the answer to a request has a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    Sent,
    /// The answer ends with its head, whose fields may still describe a body.
    Omitted,
}

impl AnswerBody {
    /// The body of an answer to a request with this method.
    pub fn of_answer_to(method: &str) -> Self {
        match method {
            "HEAD" => Self::Omitted,
            _ => Self::Sent,
        }
    }

    /// Appends `body` to a head, if the answer has one.
    pub fn put(self, out: &mut BytesMut, body: &[u8]) {
        match self {
            Self::Sent => out.extend_from_slice(body),
            Self::Omitted => {}
        }
    }
}

/// A message head that is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The bytes are not the head of an HTTP/1 message.
    #[snafu(display("The message head is not valid HTTP/1.1."))]
    Malformed,
    /// Another parser could find a different end of the body, which allows request smuggling.
    #[snafu(display("The framing of the message body is ambiguous."))]
    Ambiguous,
    /// The head has too many bytes or fields.
    #[snafu(display("The message head is too large."))]
    TooLarge,
}

#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    pub fields: Fields,
    pub framing: Framing,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
}

impl RequestHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the sender keeps the connection open for further requests.
    pub fn keeps_alive(&self) -> bool {
        match self.minor_version {
            0 => self.fields.contains_token("connection", "keep-alive"),
            _ => !self.fields.contains_token("connection", "close"),
        }
    }
}

#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    /// Reason phrase, as received.
    pub reason: String,
    pub fields: Fields,
    pub framing: Framing,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
}

impl ResponseHead {
    /// Whether the final response is still to come.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Whether the sender keeps the connection open for further requests.
    pub fn keeps_alive(&self) -> bool {
        let closes = self.minor_version == 0 || self.fields.contains_token("connection", "close");
        !closes && self.framing != Framing::Close
    }
}

/// Removes a request head from the front of `buf`; `None` when more bytes are needed.
///
/// # Errors
///
/// Returns an error if the head is malformed or too large, or if its framing is ambiguous.
pub fn request_head(
    buf: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_lines(buf);
    let mut headers = [EMPTY_HEADER; FIELDS_LIMIT];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buf) {
        Ok(Status::Complete(length)) if length <= limit_bytes => length,
        Ok(Status::Partial) if buf.len() <= limit_bytes => return Ok(None),
        Ok(_) | Err(ParseError::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let raw = buf.split_to(length).freeze();
    let mut headers = [EMPTY_HEADER; FIELDS_LIMIT];
    let mut parsed = httparse::Request::new(&mut headers);
    let (method, target, minor_version) = match parsed.parse(&raw) {
        Ok(Status::Complete(_)) => (parsed.method, parsed.path, parsed.version),
        _ => return Err(HeadError::Malformed),
    };
    let (Some(method), Some(target), Some(minor_version)) = (method, target, minor_version) else {
        return Err(HeadError::Malformed);
    };
    let (method, target) = (method.to_owned(), target.to_owned());
    let fields = Fields::new(raw.clone(), parsed.headers);
    let framing = request_framing(&fields, minor_version)?;
    Ok(Some(RequestHead {
        method,
        target,
        fields,
        framing,
        minor_version,
    }))
}

/// Removes a response head from the front of `buf`; `None` when more bytes are needed. `method` is
/// the method of the request, as a response to `HEAD` has no body.
///
/// # Errors
///
/// Returns an error if the head is malformed or too large, if it holds that of another response, if its
/// status is none of HTTP, or if its framing is ambiguous.
pub fn response_head(
    buf: &mut BytesMut,
    limit_bytes: usize,
    method: &str,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut headers = [EMPTY_HEADER; FIELDS_LIMIT];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(buf) {
        Ok(Status::Complete(length)) if length <= limit_bytes => length,
        Ok(Status::Partial) if buf.len() <= limit_bytes => return Ok(None),
        Ok(_) | Err(ParseError::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let raw: Bytes = buf.split_to(length).freeze();
    if holds_status_line(&raw[1..]) {
        return Err(HeadError::Malformed);
    }
    let mut headers = [EMPTY_HEADER; FIELDS_LIMIT];
    let mut parsed = httparse::Response::new(&mut headers);
    let (status, reason, minor_version) = match parsed.parse(&raw) {
        Ok(Status::Complete(_)) => (parsed.code, parsed.reason, parsed.version),
        _ => return Err(HeadError::Malformed),
    };
    let (Some(status), Some(minor_version)) = (status, minor_version) else {
        return Err(HeadError::Malformed);
    };
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HeadError::Malformed);
    }
    let reason = reason.unwrap_or_default().to_owned();
    let fields = Fields::new(raw.clone(), parsed.headers);
    let framing = response_framing(&fields, status, method)?;
    Ok(Some(ResponseHead {
        status,
        reason,
        fields,
        framing,
        minor_version,
    }))
}

/// Whether a head has the status line of another response after its own: the end of the first response
/// was lost, and the fields are of both.
fn holds_status_line(rest: &[u8]) -> bool {
    let mut starts = rest.windows(STATUS_LINE_START_BYTES);
    starts.any(|start| match start.strip_prefix(b"HTTP/1.") {
        Some([minor, b' ', status]) => minor.is_ascii_digit() && status.is_ascii_digit(),
        _ => false,
    })
}

/// Removes empty lines before a request head, which some senders put after a body.
pub(crate) fn skip_empty_lines(buf: &mut BytesMut) {
    let empty = buf
        .iter()
        .take_while(|b| matches!(b, b'\r' | b'\n'))
        .count();
    if empty > 0 {
        let _ = buf.split_to(empty);
    }
}

fn request_framing(fields: &Fields, minor_version: u8) -> Result<Framing, HeadError> {
    let lengths = fields.count("content-length");
    let codings = fields.count("transfer-encoding");
    match (codings, lengths) {
        (0, 0) => Ok(Framing::Empty),
        (0, 1) => Ok(match content_length(fields)? {
            0 => Framing::Empty,
            bytes => Framing::Length(bytes),
        }),
        (1, 0) if minor_version == 1 && is_chunked(fields) => Ok(Framing::Chunked),
        _ => Err(HeadError::Ambiguous),
    }
}

fn response_framing(fields: &Fields, status: u16, method: &str) -> Result<Framing, HeadError> {
    let body = AnswerBody::of_answer_to(method);
    if body == AnswerBody::Omitted || status < 200 || matches!(status, 204 | 304) {
        return Ok(Framing::Empty);
    }
    let lengths = fields.count("content-length");
    let codings = fields.count("transfer-encoding");
    match (codings, lengths) {
        (0, 0) => Ok(Framing::Close),
        (0, 1) => content_length(fields).map(Framing::Length),
        (1, 0) if is_chunked(fields) => Ok(Framing::Chunked),
        _ => Err(HeadError::Ambiguous),
    }
}

fn is_chunked(fields: &Fields) -> bool {
    let coding = fields.text("transfer-encoding");
    coding.is_some_and(|c| c.eq_ignore_ascii_case("chunked"))
}

fn content_length(fields: &Fields) -> Result<u64, HeadError> {
    let text = fields.text("content-length").ok_or(HeadError::Ambiguous)?;
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match (digits, text.parse()) {
        (true, Ok(bytes)) => Ok(bytes),
        _ => Err(HeadError::Ambiguous),
    }
}
