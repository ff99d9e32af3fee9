//! Heads of requests and responses, and how their bodies are framed.

use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Error as ParseError, Status};
use snafu::Snafu;

use super::fields::Fields;

/// Most header fields of a message.
const FIELDS_LIMIT: usize = 100;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection; responses only.
    Close,
}

/// A head that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The bytes are no head.
    #[snafu(display("The head is not HTTP/1.1."))]
    Malformed,
    /// Two readers could disagree where the body ends.
    #[snafu(display("The body's framing is ambiguous."))]
    Ambiguous,
    /// The head is longer than allowed.
    #[snafu(display("The head is too large."))]
    TooLarge,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// How the body ends.
    pub framing: Framing,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
}

impl RequestHead {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the caller keeps its connection open for further requests.
    pub fn keeps_alive(&self) -> bool {
        match self.minor_version {
            0 => self.fields.contains_token("connection", "keep-alive"),
            _ => !self.fields.contains_token("connection", "close"),
        }
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase, as sent.
    pub reason: String,
    /// Header fields.
    pub fields: Fields,
    /// How the body ends.
    pub framing: Framing,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
}

impl ResponseHead {
    /// Whether the sender keeps its connection open for further requests.
    pub fn keeps_alive(&self) -> bool {
        let closes = self.minor_version == 0 || self.fields.contains_token("connection", "close");
        !closes && self.framing != Framing::Close
    }
}

/// Takes a request's head off the front of `buf`; `None` when more bytes are needed.
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

/// Takes a response's head off the front of `buf`; `None` when more bytes are needed.
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
    let mut headers = [EMPTY_HEADER; FIELDS_LIMIT];
    let mut parsed = httparse::Response::new(&mut headers);
    let (status, reason, minor_version) = match parsed.parse(&raw) {
        Ok(Status::Complete(_)) => (parsed.code, parsed.reason, parsed.version),
        _ => return Err(HeadError::Malformed),
    };
    let (Some(status), Some(minor_version)) = (status, minor_version) else {
        return Err(HeadError::Malformed);
    };
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

fn skip_empty_lines(buf: &mut BytesMut) {
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
        (0, 1) => Ok(match length(fields)? {
            0 => Framing::Empty,
            bytes => Framing::Length(bytes),
        }),
        (1, 0) if minor_version == 1 && is_chunked(fields) => Ok(Framing::Chunked),
        _ => Err(HeadError::Ambiguous),
    }
}

fn response_framing(fields: &Fields, status: u16, method: &str) -> Result<Framing, HeadError> {
    if method == "HEAD" || status < 200 || matches!(status, 204 | 304) {
        return Ok(Framing::Empty);
    }
    let lengths = fields.count("content-length");
    let codings = fields.count("transfer-encoding");
    match (codings, lengths) {
        (0, 0) => Ok(Framing::Close),
        (0, 1) => length(fields).map(Framing::Length),
        (1, 0) if is_chunked(fields) => Ok(Framing::Chunked),
        _ => Err(HeadError::Ambiguous),
    }
}

fn is_chunked(fields: &Fields) -> bool {
    let coding = fields.text("transfer-encoding");
    coding.is_some_and(|c| c.eq_ignore_ascii_case("chunked"))
}

fn length(fields: &Fields) -> Result<u64, HeadError> {
    let text = fields.text("content-length").ok_or(HeadError::Ambiguous)?;
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match (digits, text.parse()) {
        (true, Ok(bytes)) => Ok(bytes),
        _ => Err(HeadError::Ambiguous),
    }
}
