//! An admin server with scripted answers, and a builder that runs the tool.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};

use base::Map;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// A scripted answer.
enum Scripted {
    /// A whole answer.
    Reply(u16, String),
    /// The request is read and the connection closed without an answer.
    Cut,
}

/// A request that the server saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub line: String,
    pub authorization: String,
    pub body: String,
}

#[derive(Default)]
struct Script {
    answers: Map<String, VecDeque<Scripted>>,
    seen: Vec<Seen>,
}

impl Script {
    /// The next answer of a route; the last one repeats.
    fn next(&mut self, line: &str) -> Option<(u16, String)> {
        let answers = self.answers.get_mut(line)?;
        if answers.len() > 1 {
            return answers.pop_front().and_then(Scripted::into_reply);
        }
        match answers.front()? {
            Scripted::Reply(status, body) => Some((*status, body.clone())),
            Scripted::Cut => None,
        }
    }
}

impl Scripted {
    fn into_reply(self) -> Option<(u16, String)> {
        match self {
            Self::Reply(status, body) => Some((status, body)),
            Self::Cut => None,
        }
    }
}

/// The server.
pub struct Admin {
    runtime: Runtime,
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl Admin {
    pub fn bind() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let script = Arc::new(Mutex::new(Script::default()));
        runtime.spawn(serve(listener, script.clone()));
        Self {
            runtime,
            address,
            script,
        }
    }

    /// Adds an answer to a route such as `GET /admin/status`.
    pub fn reply(self, line: &str, status: u16, body: Value) -> Self {
        self.script_answer(line, Scripted::Reply(status, body.to_string()))
    }

    /// Adds a request that is read but not answered.
    pub fn cut(self, line: &str) -> Self {
        self.script_answer(line, Scripted::Cut)
    }

    fn script_answer(self, line: &str, answer: Scripted) -> Self {
        let mut script = self.script.lock().expect("unpoisoned");
        script
            .answers
            .entry(line.to_owned())
            .or_default()
            .push_back(answer);
        drop(script);
        self
    }

    /// Ends the server and tells what it saw.
    pub fn close(self) -> Vec<Seen> {
        self.runtime.shutdown_background();
        std::mem::take(&mut self.script.lock().expect("unpoisoned").seen)
    }
}

async fn serve(listener: TcpListener, script: Arc<Mutex<Script>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let script = script.clone();
        let service = service_fn(move |request| answer(request, script.clone()));
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// The connection is closed when the script has no answer.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed by the script")
    }
}

impl std::error::Error for Closed {}

async fn answer(
    request: Request<Incoming>,
    script: Arc<Mutex<Script>>,
) -> Result<Response<Full<Bytes>>, Closed> {
    let line = format!("{} {}", request.method(), request.uri());
    let authorization = request.headers().get("authorization");
    let authorization = authorization.map_or("", |value| value.to_str().unwrap_or_default());
    let authorization = authorization.to_owned();
    let body = request.into_body().collect().await.map_err(|_| Closed)?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let mut script = script.lock().expect("unpoisoned");
    script.seen.push(Seen {
        line: line.clone(),
        authorization,
        body,
    });
    let (status, body) = script.next(&line).ok_or(Closed)?;
    let response = Response::builder().status(status);
    Ok(response.body(Full::from(body)).expect("a response"))
}

/// Exit status of the tool.
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).expect("standard output is JSON")
    }

    #[track_caller]
    pub fn expect_code(self, code: i32) -> Self {
        assert_eq!(
            self.code, code,
            "out: {}\nerr: {}",
            self.stdout, self.stderr
        );
        self
    }
}

/// A finished run of the tool.
pub struct Tool {
    command: Command,
}

impl Tool {
    /// Prepares a run; `line` is split at spaces.
    pub fn new(line: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_apricotledge"));
        command.env_remove("APRICOTLEDGE_KEY");
        command.args(line.split_whitespace());
        Self { command }
    }

    pub fn admin(mut self, admin: &Admin) -> Self {
        self.command.args(["--admin", &admin.address.to_string()]);
        self
    }

    pub fn key(mut self, key: &str) -> Self {
        self.command.env("APRICOTLEDGE_KEY", key);
        self
    }

    pub fn arg(mut self, arg: impl Into<std::ffi::OsString>) -> Self {
        self.command.arg(arg.into());
        self
    }

    pub fn run(mut self) -> Run {
        let output = self.command.output().expect("the tool starts");
        Run {
            code: output.status.code().expect("an exit code"),
            stdout: String::from_utf8(output.stdout).expect("text"),
            stderr: String::from_utf8(output.stderr).expect("text"),
        }
    }
}

/// Path of a file of the repository.
pub fn repository(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// The Cooperative's document.
pub fn cooperative() -> Value {
    let text = std::fs::read_to_string(repository("examples/cooperative.json"));
    serde_json::from_str(&text.expect("the example")).expect("JSON")
}
