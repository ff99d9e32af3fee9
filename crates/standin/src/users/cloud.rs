//! The platform's API for duties: usage reports and orders of runners, under fence numbers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::exchange::{Connection, Request, json as answer};

/// A call that was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Taken {
    /// Path.
    pub path: String,
    /// Name of the caller.
    pub holder: String,
    /// Under which number.
    pub fence: u64,
    /// Body of the call.
    pub body: Value,
}

#[derive(Default)]
struct State {
    taken: Vec<Taken>,
    fences: BTreeMap<String, u64>,
}

/// A running API.
pub struct Cloud {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Cloud {
    /// Starts on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen on loopback.
    pub async fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let task = tokio::spawn(accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls taken so far.
    pub fn taken(&self) -> Vec<Taken> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.taken.clone()
    }

    /// Ends it.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, state.clone()));
    }
}

async fn serve(stream: TcpStream, state: Arc<Mutex<State>>) {
    let mut connection = Connection::new(stream);
    while let Some(request) = connection.request().await {
        let status = take(&state, &request);
        if connection.send(&answer(status, &json!({}))).await.is_none() {
            return;
        }
    }
}

fn take(state: &Mutex<State>, request: &Request) -> u16 {
    let field = |name: &str| request.fields.get(name).cloned().unwrap_or_default();
    let fence = field("apricotledge-fencing-token").parse().unwrap_or(0);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let subject = match request.path() {
        "/usage" => "usage".to_owned(),
        "/scaling" => format!("{}/{}", body["service"], body["zone"]),
        _ => return 404,
    };
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let highest = state.fences.entry(subject).or_default();
    if fence < *highest {
        return 409;
    }
    *highest = fence;
    state.taken.push(Taken {
        path: request.path().to_owned(),
        holder: field("apricotledge-duty-holder"),
        fence,
        body,
    });
    200
}
