//! One HTTP call on a connection of its own, and the pieces of a streamed answer.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use snafu::Snafu;
use tokio::net::TcpStream;

/// A call without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("No answer: {reason}."))]
pub struct NoAnswer {
    /// Observation.
    pub reason: String,
}

impl NoAnswer {
    fn because(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A `GET`.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A `POST` of a JSON body.
    pub fn post(path: impl Into<String>, body: &Value) -> Self {
        Self {
            method: Method::POST,
            body: body.to_string().into(),
            ..Self::get(path)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a bearer key.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Sends the call and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened, if the call is malformed, or if no head
    /// of an answer comes.
    pub async fn open(&self, address: SocketAddr) -> Result<Opened, NoAnswer> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(NoAnswer::because)?;
        let _ = stream.set_nodelay(true);
        let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(NoAnswer::because)?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", address.to_string());
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(self.body.clone()));
        let request = request.map_err(NoAnswer::because)?;
        let response = sender.send_request(request).await;
        let response = response.map_err(NoAnswer::because)?;
        Ok(Opened {
            status: response.status(),
            headers: response.headers().clone(),
            body: response.into_body(),
        })
    }

    /// Sends the call and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened, if the call is malformed, or if no
    /// whole answer comes.
    pub async fn send(&self, address: SocketAddr) -> Result<Reply, NoAnswer> {
        self.open(address).await?.whole().await
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Opened {
    /// Status.
    pub status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
}

impl Opened {
    /// Waits for the rest.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off.
    pub async fn whole(self) -> Result<Reply, NoAnswer> {
        let body = self.body.collect().await.map_err(NoAnswer::because)?;
        Ok(Reply {
            status: self.status,
            headers: self.headers,
            body: body.to_bytes(),
        })
    }

    /// Reads the answer as server-sent events.
    pub fn events(self) -> Events {
        Events {
            body: self.body,
            unread: Vec::new(),
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// The body as JSON; `null` if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Server-sent events of an answer.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    unread: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SseEvent {
    /// A chunk, in JSON.
    Chunk(Value),
    /// `[DONE]`.
    Done,
    /// The body ended, or broke, without `[DONE]`.
    Broken {
        /// Observation.
        reason: String,
    },
}

impl Events {
    /// Waits for the next event.
    pub async fn next(&mut self) -> SseEvent {
        loop {
            while let Some(line) = self.take_line() {
                let Some(data) = line.strip_prefix("data: ") else {
                    continue;
                };
                if data == "[DONE]" {
                    return SseEvent::Done;
                }
                return SseEvent::Chunk(serde_json::from_str(data).unwrap_or_default());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    self.unread.extend_from_slice(data);
                }
                Some(Err(e)) => {
                    let reason = e.to_string();
                    return SseEvent::Broken { reason };
                }
                None => {
                    let reason = "ended early".to_owned();
                    return SseEvent::Broken { reason };
                }
            }
        }
    }

    fn take_line(&mut self) -> Option<String> {
        let end = self.unread.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.unread.drain(..=end).collect();
        let line = String::from_utf8_lossy(&line);
        Some(line.trim_end_matches(['\r', '\n']).to_owned())
    }
}
