//! A runner that answers as it is told to.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::answering::act;
use super::behaviour::Behaviour;
use super::exchange::{Connection, Request};

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the request.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields, names in lower case.
    pub fields: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the runner ran the request.
    pub ran: bool,
    /// Arrival time.
    pub at: Instant,
    /// What the runner does with it; `None` if it was meant for another one.
    pub behaviour: Option<Behaviour>,
    /// Fields that the runner adds to the head of its answer.
    pub said: HeaderFields,
}

/// Identity and capacity of a runner.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Its identifier.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// What it does when its script is at its end.
    pub usual: Behaviour,
}

/// Header fields, by name and value.
pub type HeaderFields = Vec<(&'static str, String)>;

#[derive(Default)]
struct State {
    script: VecDeque<Behaviour>,
    /// Fields of the next answers, one entry each.
    next_fields: VecDeque<HeaderFields>,
    /// Fields of all answers after those.
    usual_fields: HeaderFields,
    arrivals: Vec<Arrival>,
    /// Requests whose callers closed the connection while they ran.
    left: Vec<String>,
}

pub(super) struct Shared {
    pub(super) options: RunnerOptions,
    state: Mutex<State>,
    pub(super) crashed: Notify,
    /// Registry entries written so far.
    writes: AtomicU64,
}

/// A running runner.
pub struct Runner {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Runner {
    /// Starts on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen on loopback.
    pub async fn bind(options: RunnerOptions) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            options,
            state: Mutex::default(),
            crashed: Notify::new(),
            writes: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Its identifier.
    pub fn id(&self) -> &str {
        &self.shared.options.id
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next registry entry of the runner.
    pub fn entry(&self, state: &str) -> Value {
        let options = &self.shared.options;
        json!({
            "service": options.service, "address": self.address.to_string(), "zone": options.zone,
            "version": options.version, "slots": 4, "state": state, "coldRemainingMs": 0,
            "sequence": self.shared.writes.fetch_add(1, Ordering::Relaxed) + 1,
            "born": 1,
        })
    }

    /// Sets what it does with the next requests.
    pub fn script(&self, next: impl IntoIterator<Item = Behaviour>) {
        self.shared.lock().script.extend(next);
    }

    /// Adds fields to the heads of all answers from now on, 421 apart.
    pub fn always_say(&self, fields: HeaderFields) {
        self.shared.lock().usual_fields = fields;
    }

    /// Adds fields to the heads of the next answers, one entry for each.
    pub fn say_next(&self, fields: impl IntoIterator<Item = HeaderFields>) {
        self.shared.lock().next_fields.extend(fields);
    }

    /// Requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Requests whose callers closed the connection while they ran.
    pub fn left(&self) -> Vec<String> {
        self.shared.lock().left.clone()
    }

    /// Ends it: its port refuses connections.
    pub fn close(self) {
        self.task.abort();
    }
}

impl Shared {
    /// Records that the caller of a request has closed its connection.
    pub(super) fn note_left(&self, id: &str) {
        self.lock().left.push(id.to_owned());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of a request; says what is to be done with it and what the answer says besides.
    fn arrive(&self, request: &Request) -> (String, Option<Behaviour>, HeaderFields) {
        let field = |name: &str| request.fields.get(name).cloned();
        let id = field("apricotledge-request-id").unwrap_or_default();
        let expected = field("apricotledge-expect-instance");
        let misdirected = expected.is_some_and(|expected| expected != self.options.id);
        let mut state = self.lock();
        let behaviour = match misdirected {
            true => None,
            false => Some(state.script.pop_front().unwrap_or(self.options.usual)),
        };
        let said = match behaviour {
            None => HeaderFields::new(),
            Some(_) => {
                let next = state.next_fields.pop_front();
                next.unwrap_or_else(|| state.usual_fields.clone())
            }
        };
        state.arrivals.push(Arrival {
            id: id.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            fields: request.fields.clone(),
            body: request.body.clone(),
            ran: !matches!(
                behaviour,
                None | Some(
                    Behaviour::Refuse
                        | Behaviour::RefuseTwice
                        | Behaviour::RefuseTwiceByName
                        | Behaviour::RefuseWithoutEnd
                        | Behaviour::Marked(_)
                )
            ),
            at: Instant::now(),
            behaviour,
            said: said.clone(),
        });
        (id, behaviour, said)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.crashed.notified() => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        tokio::spawn(serve(stream, shared.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let mut connection = Connection::new(stream);
    while let Some(request) = connection.request().await {
        let (id, behaviour, said) = shared.arrive(&request);
        let after = request
            .fields
            .get("last-event-id")
            .and_then(|n| n.parse().ok());
        let kept = match behaviour {
            None => {
                connection
                    .send(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                    .await
            }
            Some(behaviour) => {
                connection.say(&said);
                let behaviour = behaviour.at(&request.fields);
                act(&mut connection, &shared, &id, behaviour, after).await
            }
        };
        if kept.is_none() {
            return;
        }
    }
}
