//! A runner that answers as it is told to.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::behaviour::Behaviour;
use super::exchange::{Connection, Request};

/// Says that the request was not run, and names none.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 X\r\nApricotledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

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

struct Shared {
    options: RunnerOptions,
    state: Mutex<State>,
    crashed: Notify,
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

async fn act(
    connection: &mut Connection,
    shared: &Shared,
    id: &str,
    behaviour: Behaviour,
    after: Option<u32>,
) -> Option<()> {
    let own = &shared.options.id;
    match behaviour {
        Behaviour::Answer => connection.send(&whole(id, own)).await,
        Behaviour::Sized(bytes) => connection.send(&signed(200, id, &vec![b'x'; bytes])).await,
        Behaviour::AnswerBehindRefusal(bytes) => {
            connection.send(&REFUSAL[..bytes]).await?;
            connection.send(&whole(id, own)).await
        }
        Behaviour::FailureBehindAnswer(bytes) => {
            connection.send(&whole(id, own)[..bytes]).await?;
            connection.send(&signed(500, id, b"failed")).await
        }
        Behaviour::SizedHead(bytes) => {
            let mut answer = signed(200, id, &vec![b'x'; bytes]);
            answer.truncate(answer.len() - bytes);
            connection.send(&answer).await
        }
        Behaviour::StreamHead => connection.send(stream_head(id).as_bytes()).await,
        Behaviour::Late(ms) => {
            wait(connection, shared, id, ms).await?;
            connection.send(&whole(id, own)).await
        }
        Behaviour::Stream(events, gap_ms) => {
            stream(connection, shared, id, after, events, gap_ms).await?;
            connection.send(b"0\r\n\r\n").await
        }
        Behaviour::LoseByte {
            events,
            event,
            place,
        } => {
            let numbers = after.unwrap_or(0) + 1..=events;
            let lines = numbers.map(|number| {
                let mut line = format!("id: {number}\ndata: {number}\n\n");
                if number == event {
                    line.remove(place);
                }
                line
            });
            chunks(connection, id, lines).await?;
            connection.send(b"0\r\n\r\n").await
        }
        Behaviour::Multiples(events, step) => {
            let numbers = after.unwrap_or(0) / step + 1..=events;
            let lines = numbers.map(|n| format!("id: {}\ndata: {n}\n\n", n * step));
            chunks(connection, id, lines).await?;
            connection.send(b"0\r\n\r\n").await
        }
        Behaviour::LeaveGaps {
            events,
            consecutive,
            gap_ms,
        } => {
            connection.send(stream_head(id).as_bytes()).await?;
            let ids = (1..=events).map(|n| n + n.saturating_sub(consecutive));
            for number in ids.filter(|n| *n > after.unwrap_or(0)) {
                wait(connection, shared, id, gap_ms).await?;
                let event = format!("id: {number}\ndata: {number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                connection.send(chunk.as_bytes()).await?;
            }
            connection.send(b"0\r\n\r\n").await
        }
        Behaviour::Unnumbered { events, breaks } => {
            let lines = (1..=events).map(|n| format!("data: {n}\n\n"));
            chunks(connection, id, lines).await?;
            match breaks {
                true => None,
                false => connection.send(b"0\r\n\r\n").await,
            }
        }
        Behaviour::Stall {
            before,
            silent_ms,
            last,
        } => {
            let before = before.max(after.unwrap_or(0));
            if before > 0 {
                stream(connection, shared, id, after, before, 1).await?;
                wait(connection, shared, id, silent_ms).await?;
                events(connection, shared, id, before + 1..=last, 1).await?;
            } else {
                wait(connection, shared, id, silent_ms).await?;
                stream(connection, shared, id, after, last, 1).await?;
            }
            connection.send(b"0\r\n\r\n").await
        }
        Behaviour::Break(events) => {
            stream(connection, shared, id, after, events, 1).await?;
            connection.send(b"20\r\nid: 9").await?;
            None
        }
        Behaviour::Refuse => connection.send(REFUSAL).await,
        Behaviour::Marked(status) => connection.send(&marked(status, id)).await,
        Behaviour::RefuseTwice => {
            connection.send(REFUSAL).await?;
            connection.send_later(REFUSAL);
            Some(())
        }
        Behaviour::RefuseWithoutEnd => {
            let head = marked(503, id);
            let endless = String::from_utf8_lossy(&head).replace("Length: 0", "Length: 9");
            connection.send(endless.as_bytes()).await?;
            connection.closed().await;
            None
        }
        Behaviour::RefuseTwiceByName => {
            connection.send(&marked(503, id)).await?;
            connection.send_later(&marked(503, id));
            Some(())
        }
        Behaviour::Fail => connection.send(&signed(500, id, b"failed")).await,
        Behaviour::Bare(status) => connection.send(&signed(status, id, b"bare")).await,
        Behaviour::Detached(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            connection.send(&whole(id, own)).await
        }
        Behaviour::Vanish => None,
        Behaviour::Garble => {
            connection.send(b"\x00\x01 nonsense\r\n\r\n").await?;
            None
        }
        Behaviour::Foreign => {
            connection.send(&whole("another", "nobody")).await?;
            connection.send(&whole(id, own)).await
        }
        Behaviour::Double => {
            connection.send(&whole(id, own)).await?;
            connection.send(&whole(id, "second")).await
        }
        Behaviour::Unsigned => {
            let head = format!(
                "HTTP/1.1 200 X\r\nApricotledge-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nno"
            );
            connection.send(head.as_bytes()).await
        }
        Behaviour::CutHead(bytes) => {
            connection.send(&whole(id, own)[..bytes]).await?;
            None
        }
        Behaviour::Short => {
            let mut bytes = whole(id, own);
            bytes.truncate(bytes.len() - 1);
            connection.send(&bytes).await?;
            None
        }
        Behaviour::Crash | Behaviour::CrashAtPart(_) => {
            shared.crashed.notify_one();
            None
        }
        Behaviour::Endless(kind) => {
            let (first, repeated) = kind.bytes(id);
            connection.send(first.as_bytes()).await?;
            while connection.send(repeated.as_bytes()).await.is_some() {}
            shared.lock().left.push(id.to_owned());
            None
        }
        Behaviour::Drip(gap_ms) => {
            stream(connection, shared, id, after, after.unwrap_or(0) + 1, 1).await?;
            loop {
                connection.send(b"1\r\nx\r\n").await?;
                wait(connection, shared, id, gap_ms).await?;
            }
        }
        Behaviour::Hang => {
            connection.closed().await;
            shared.lock().left.push(id.to_owned());
            None
        }
    }
}

/// The head of a stream.
fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 X\r\nApricotledge-Request-Id: {id}\r\nApricotledge-Server-Signature: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Sends the head of a stream, and each of `parts` as a chunk.
async fn chunks(
    connection: &mut Connection,
    id: &str,
    parts: impl Iterator<Item = String>,
) -> Option<()> {
    connection.send(stream_head(id).as_bytes()).await?;
    for part in parts {
        let chunk = format!("{:x}\r\n{part}\r\n", part.len());
        connection.send(chunk.as_bytes()).await?;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Some(())
}

async fn stream(
    connection: &mut Connection,
    shared: &Shared,
    id: &str,
    after: Option<u32>,
    last: u32,
    gap_ms: u64,
) -> Option<()> {
    connection.send(stream_head(id).as_bytes()).await?;
    events(
        connection,
        shared,
        id,
        after.unwrap_or(0) + 1..=last,
        gap_ms,
    )
    .await
}

async fn events(
    connection: &mut Connection,
    shared: &Shared,
    id: &str,
    numbers: RangeInclusive<u32>,
    gap_ms: u64,
) -> Option<()> {
    for number in numbers {
        let event = format!("id: {number}\ndata: {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.send(chunk.as_bytes()).await?;
        wait(connection, shared, id, gap_ms).await?;
    }
    Some(())
}

/// Waits, unless the caller closes the connection before.
async fn wait(connection: &mut Connection, shared: &Shared, id: &str, ms: u64) -> Option<()> {
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(ms)) => Some(()),
        () = connection.closed() => {
            shared.lock().left.push(id.to_owned());
            None
        }
    }
}

fn whole(id: &str, own: &str) -> Vec<u8> {
    signed(200, id, own.as_bytes())
}

fn marked(status: u16, id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\nApricotledge-Request-Id: {id}\r\n\
         Apricotledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn signed(status: u16, id: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\nApricotledge-Request-Id: {id}\r\n\
         Apricotledge-Server-Signature: s\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
