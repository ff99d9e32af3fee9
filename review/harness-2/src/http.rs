//! Blocking HTTP/1.1, as the stand-ins and clients speak it.

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a field; the name is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, number: usize) -> &str {
        self.line.split(' ').nth(number).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    /// The channel ended before the answer did.
    Cut,
    /// Nothing more came in time.
    Silent,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece)? {
            0 => Err(ended()),
            bytes => {
                self.buffer.extend_from_slice(&piece[..bytes]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            self.fill()?;
        }
        Ok(self.buffer.drain(..bytes).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let line = self.line()?;
        let mut fields = Vec::new();
        loop {
            let text = self.line()?;
            if text.is_empty() {
                return Ok(Message {
                    line,
                    fields,
                    body: Vec::new(),
                });
            }
            if let Some((name, value)) = text.split_once(':') {
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to a head; what came of it stays in the message if it ends early.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(|_| ended())?;
            message.body = self.take(length)?;
        } else if message.field("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let piece = self.take(size.map_err(|_| ended())?)?;
                self.line()?;
                if piece.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&piece);
            }
        }
        Ok(())
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }

    /// Reads an answer as far as it comes.
    pub fn answer(&mut self) -> (Option<Message>, End) {
        let end = |error: io::Error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Silent,
            _ => End::Cut,
        };
        match self.head() {
            Err(error) => (None, end(error)),
            Ok(mut message) => match self.body(&mut message) {
                Ok(()) => (Some(message), End::Whole),
                Err(error) => (Some(message), end(error)),
            },
        }
    }
}
