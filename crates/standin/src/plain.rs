//! Plain service: records each call as an effect, and answers with what it recorded.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base::units::ByteCount;
use bpaf::Bpaf;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::fault::{Fault, FaultSwitch};
use crate::hash::fnv_hex;
use crate::journal::{Entry, Journal};
use crate::server::{Answer, BindError, Server, detached, header_text, json, read_body, read_json};

/// Stand-in for a plain service.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Write arrivals and effects to standard output
    #[bpaf(long, flag(Journal::On, Journal::Off))]
    pub journal: Journal,
}

/// A call that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Position in the log, from 1.
    pub seq: u64,
    /// The `x-request-id` header.
    pub request_id: Option<String>,
    /// The `idempotency-key` header.
    pub idempotency_key: Option<String>,
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// [`fnv_hex`] of the body.
    pub body_hash: String,
    /// Length of the body.
    pub body_bytes: ByteCount,
}

/// The log, as `GET /effects` answers it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EffectLog {
    /// Calls that reached the service, also those that a fault stopped.
    pub received: u64,
    /// Calls that took effect.
    pub effects: Vec<Effect>,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The effect it had.
    pub effect: Effect,
    /// Filler, to make the answer as large as the switch says.
    pub padding: String,
}

/// Switches, as `POST /faults` takes them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlainFaults {
    /// Fault of calls.
    #[serde(default)]
    pub fault: Fault,
    /// Filler in each answer.
    #[serde(default)]
    pub padding_bytes: usize,
}

#[derive(Default)]
struct State {
    log: Mutex<EffectLog>,
    fault: FaultSwitch,
    padding_bytes: Mutex<usize>,
    journal: Journal,
}

/// Starts the service in the current runtime.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub async fn bind(options: &Options) -> Result<Server, BindError> {
    let state = Arc::new(State {
        journal: options.journal,
        ..State::default()
    });
    Server::bind(options.listen, |_| {
        move |request| detached(handle(state.clone(), request))
    })
    .await
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => json(StatusCode::OK, &"ok"),
        (&Method::GET, "/effects") => {
            let log = state.log.lock().expect("no holder panics").clone();
            json(StatusCode::OK, &log)
        }
        (&Method::POST, "/faults") => set_faults(&state, request).await,
        _ => call(&state, request).await,
    }
}

async fn set_faults(state: &State, request: Request<Incoming>) -> Answer {
    let faults: PlainFaults = match read_json(request).await {
        Ok(faults) => faults,
        Err(refusal) => return refusal,
    };
    state.fault.set(faults.fault);
    *state.padding_bytes.lock().expect("no holder panics") = faults.padding_bytes;
    json(StatusCode::OK, &faults)
}

async fn call(state: &State, request: Request<Incoming>) -> Answer {
    let mut effect = Effect {
        seq: 0,
        request_id: header_text(&request, "x-request-id"),
        idempotency_key: header_text(&request, "idempotency-key"),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body_hash: String::new(),
        body_bytes: 0,
    };
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    effect.body_hash = fnv_hex(&body);
    effect.body_bytes = body.len() as ByteCount;
    state.log.lock().expect("no holder panics").received += 1;
    let request_id = effect.request_id.as_deref();
    state.journal.arrival(request_id.unwrap_or_default());
    state.fault.around(async || apply(state, effect)).await
}

fn apply(state: &State, mut effect: Effect) -> Answer {
    let mut log = state.log.lock().expect("no holder panics");
    effect.seq = log.effects.len() as u64 + 1;
    state.journal.note(&Entry::Effect(effect.clone()));
    log.effects.push(effect.clone());
    let padding_bytes = *state.padding_bytes.lock().expect("no holder panics");
    let padding = "x".repeat(padding_bytes);
    json(StatusCode::OK, &PlainAnswer { effect, padding })
}
