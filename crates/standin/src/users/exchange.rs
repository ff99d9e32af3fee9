//! Requests read from a raw connection, so that answers may break every rule.

use std::collections::BTreeMap;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A whole request.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) target: String,
    /// Header fields, names in lower case.
    pub(super) fields: BTreeMap<String, String>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// A parameter of the query, decoded.
    pub(super) fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found
            .next()
            .map(|(_, value)| decode(value))
            .unwrap_or_default()
    }

    pub(super) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A connection and what was read ahead.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    ahead: Vec<u8>,
    /// Bytes to be sent where the next answer is due.
    late: Vec<u8>,
    /// Lines that are added to the head of an answer.
    lines: String,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ahead: Vec::new(),
            late: Vec::new(),
            lines: String::new(),
        }
    }

    /// The next request; `None` at the end of the connection.
    pub(super) async fn request(&mut self) -> Option<Request> {
        loop {
            if let Some((mut request, length)) = head(&self.ahead) {
                self.ahead.drain(..length);
                let bytes = request.fields.get("content-length");
                let bytes = bytes.and_then(|n| n.parse().ok()).unwrap_or(0);
                while self.ahead.len() < bytes {
                    self.fill().await?;
                }
                request.body = self.ahead.drain(..bytes).collect();
                let late = std::mem::take(&mut self.late);
                self.send(&late).await?;
                return Some(request);
            }
            self.fill().await?;
        }
    }

    pub(super) async fn send(&mut self, bytes: &[u8]) -> Option<()> {
        let rest = bytes.strip_prefix(b"HTTP/1.1 ");
        let end = rest.and_then(|rest| rest.iter().position(|b| *b == b'\n'));
        let (Some(end), false) = (end, self.lines.is_empty()) else {
            return self.stream.write_all(bytes).await.ok();
        };
        let (status, rest) = bytes.split_at(b"HTTP/1.1 ".len() + end + 1);
        let whole = [status, self.lines.as_bytes(), rest].concat();
        self.stream.write_all(&whole).await.ok()
    }

    /// Adds fields to the heads of answers from now on.
    pub(super) fn say(&mut self, fields: &[(&str, String)]) {
        let lines = fields
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        self.lines = lines.collect();
    }

    /// Keeps bytes back until the next request has come.
    pub(super) fn send_later(&mut self, bytes: &[u8]) {
        self.late.extend_from_slice(bytes);
    }

    /// Ends when the caller closes the connection.
    pub(super) async fn closed(&mut self) {
        while self.fill().await.is_some() {}
    }

    async fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 4_096];
        match self.stream.read(&mut bytes).await {
            Ok(0) | Err(_) => None,
            Ok(n) => {
                self.ahead.extend_from_slice(&bytes[..n]);
                Some(())
            }
        }
    }
}

fn head(bytes: &[u8]) -> Option<(Request, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(length)) = parsed.parse(bytes) else {
        return None;
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let fields = parsed.headers.iter();
    let request = Request {
        method: parsed.method?.to_owned(),
        target: parsed.path?.to_owned(),
        fields: fields
            .map(|h| (h.name.to_ascii_lowercase(), text(h.value)))
            .collect(),
        body: Vec::new(),
    };
    Some((request, length))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// An answer with a JSON body.
pub(super) fn json(status: u16, body: &serde_json::Value) -> Vec<u8> {
    let body = body.to_string();
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
