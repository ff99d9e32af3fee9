//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return percent_decode(value);
            }
        }
        String::new()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    Cut,
    TimedOut,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more; 0 at the end of the connection.
    fn fill(&mut self, until: Option<Instant>) -> io::Result<usize> {
        let limit = match until {
            None => None,
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
        };
        self.stream.set_read_timeout(limit)?;
        let mut part = [0; 16 * 1024];
        let read = self
            .stream
            .read(&mut part)
            .map_err(|error| match error.kind() {
                io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
                _ => error,
            })?;
        self.buffer.extend_from_slice(&part[..read]);
        Ok(read)
    }

    /// Reads the head of a message.
    pub fn head(&mut self, until: Option<Instant>) -> io::Result<Message> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Message {
                    first,
                    fields: fields.collect(),
                    body: Vec::new(),
                });
            }
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head(None)?;
        match self.body(&mut message, None)? {
            End::Whole => Ok(message),
            End::Cut | End::TimedOut => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Reads an answer with its body as far as it comes.
    pub fn answer(&mut self, until: Instant) -> io::Result<(Message, End)> {
        let mut message = self.head(Some(until))?;
        let end = match self.body(&mut message, Some(until)) {
            Ok(end) => end,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => End::TimedOut,
            Err(_) => End::Cut,
        };
        Ok((message, end))
    }

    fn body(&mut self, message: &mut Message, until: Option<Instant>) -> io::Result<End> {
        if let Some(length) = message.field("content-length") {
            let length: usize = length.parse().unwrap_or(0);
            while self.buffer.len() < length {
                if self.fill(until)? == 0 {
                    message.body.append(&mut self.buffer);
                    return Ok(End::Cut);
                }
            }
            message.body = self.buffer.drain(..length).collect();
            return Ok(End::Whole);
        }
        if message.field("transfer-encoding").is_none() {
            return Ok(End::Whole);
        }
        loop {
            let line = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                    break String::from_utf8_lossy(&line).trim().to_owned();
                }
                if self.fill(until)? == 0 {
                    return Ok(End::Cut);
                }
            };
            let size = usize::from_str_radix(&line, 16).unwrap_or(0);
            while self.buffer.len() < size + 2 {
                if self.fill(until)? == 0 {
                    return Ok(End::Cut);
                }
            }
            message.body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(End::Whole);
            }
        }
    }

    /// Whether the other side has closed the connection, without waiting.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|w| w == wanted)
}

/// An answer with a JSON body.
pub fn json_answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
