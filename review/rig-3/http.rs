//! HTTP/1.1 messages for the stand-ins: a server with a thread for each channel, and a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A message with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(have, _)| have.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first
            .get(1)
            .map_or("", |target| target.split('?').next().unwrap_or_default())
    }

    /// A parameter of the query, with its percent signs resolved.
    pub fn parameter(&self, name: &str) -> String {
        let target = self.first.get(1).map_or("", String::as_str);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let found = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|d| std::str::from_utf8(d).ok());
        match (bytes[at], code.and_then(|d| u8::from_str_radix(d, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// How the read of a message ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Closed,
    Reset,
    Late,
}

/// A channel with what was read ahead.
pub struct Channel {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn fill(&mut self, until: Option<Instant>) -> Result<(), End> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(End::Late);
        }
        let _ = self.stream.set_read_timeout(left);
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(End::Closed),
            Ok(n) => {
                self.ahead.extend_from_slice(&bytes[..n]);
                Ok(())
            }
            Err(error) => match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Err(End::Late),
                std::io::ErrorKind::Interrupted => Ok(()),
                _ => Err(End::Reset),
            },
        }
    }

    pub fn head(&mut self, until: Option<Instant>) -> Result<Message, End> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head);
                let mut lines = text.trim_end().split("\r\n");
                let first = lines
                    .next()
                    .unwrap_or_default()
                    .splitn(3, ' ')
                    .map(str::to_owned)
                    .collect();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields =
                    fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
                return Ok(Message {
                    first,
                    fields: fields.collect(),
                    body: Vec::new(),
                });
            }
            self.fill(until)?;
        }
    }

    pub fn line(&mut self, until: Option<Instant>) -> Result<String, End> {
        loop {
            if let Some(end) = self.ahead.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill(until)?;
        }
    }

    pub fn exactly(&mut self, bytes: usize, until: Option<Instant>) -> Result<Vec<u8>, End> {
        while self.ahead.len() < bytes {
            self.fill(until)?;
        }
        Ok(self.ahead.drain(..bytes).collect())
    }

    /// Reads the body that belongs to a head. What arrived before an early end stays in the message.
    pub fn body(&mut self, message: &mut Message, until: Option<Instant>) -> Result<(), End> {
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = self.line(until)?;
                let size =
                    usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
                let size = size.map_err(|_| End::Reset)?;
                if size == 0 {
                    while !self.line(until)?.is_empty() {}
                    return Ok(());
                }
                let part = self.exactly(size + 2, until)?;
                message.body.extend_from_slice(&part[..size]);
            }
        }
        let length = message
            .field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        message.body = self.exactly(length, until)?;
        Ok(())
    }

    pub fn message(&mut self, until: Option<Instant>) -> Result<Message, End> {
        let mut message = self.head(until)?;
        self.body(&mut message, until)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed the channel.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let closed = match self.stream.peek(&mut [0]) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

/// Serves each channel in a thread of its own; `handle` returns whether the channel stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut Channel, Message) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut channel = Channel::new(stream);
                while let Ok(message) = channel.message(None) {
                    if !handle(&mut channel, message) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn answer(status: u16, fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{fields}\r\n{body}").into_bytes()
}
