//! Model engine: deterministic answers, a batch, a prefix cache and switchable faults.

pub mod cache;
mod framing;
mod generate;
pub mod message;
mod options;
mod slots;
mod state;
pub mod words;

pub use options::{Options, options};

use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::server::{
    Answer, BindError, Server, json, query_value, read_body, read_json, response, text,
};
use cache::CacheEvent;
use message::{Faults, Form, Order};
use state::Engine;

/// Starts an engine in the current runtime.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub async fn bind(options: &Options) -> Result<Server, BindError> {
    Server::bind(options.listen, |crash| {
        let engine = Engine::new(options.clone(), crash);
        move |request| handle(engine.clone(), request)
    })
    .await
}

/// `GET /cache/events`.
#[derive(Serialize, Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

/// Body of `POST /kv/export`.
#[derive(Deserialize)]
struct ExportBody {
    request_id: String,
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/chat/completions") => {
            generate::complete(engine, Form::Chat, request).await
        }
        (&Method::POST, "/v1/completions") => generate::complete(engine, Form::Text, request).await,
        (&Method::GET, "/load") => json(StatusCode::OK, &engine.load()),
        (&Method::GET, "/stats") => json(StatusCode::OK, &engine.stats()),
        (&Method::GET, "/healthz") => json(StatusCode::OK, &"ok"),
        (&Method::GET, "/cache/events") => {
            let after = query_value(&request, "after").and_then(|seq| seq.parse().ok());
            let events = engine.events_after(after.unwrap_or(0));
            json(StatusCode::OK, &CacheEvents { events })
        }
        (&Method::POST, "/kv/export") => export(&engine, request).await,
        (&Method::POST, "/kv/import") => import(&engine, request).await,
        (&Method::POST, "/orders") => order(&engine, request).await,
        (&Method::POST, "/faults") => set_faults(&engine, request).await,
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn export(engine: &Engine, request: Request<Incoming>) -> Answer {
    let body: ExportBody = match read_json(request).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let Some(hashes) = engine.export(&body.request_id) else {
        return text(StatusCode::NOT_FOUND, "no such sequence");
    };
    let bytes: Vec<u8> = hashes.iter().flat_map(|hash| hash.to_be_bytes()).collect();
    Ok(response(StatusCode::OK, "application/octet-stream", bytes))
}

async fn import(engine: &Engine, request: Request<Incoming>) -> Answer {
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let mut hashes = Vec::new();
    for chunk in body.chunks(8) {
        let Ok(bytes) = chunk.try_into() else {
            return text(StatusCode::BAD_REQUEST, "not an exported sequence");
        };
        hashes.push(u64::from_be_bytes(bytes));
    }
    engine.import(&hashes);
    json(StatusCode::OK, &hashes.len())
}

async fn order(engine: &Engine, request: Request<Incoming>) -> Answer {
    let order: Order = match read_json(request).await {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    match engine.follow(order) {
        Ok(()) => json(StatusCode::OK, &"done"),
        Err(_) => text(StatusCode::CONFLICT, "old fencing number"),
    }
}

async fn set_faults(engine: &Engine, request: Request<Incoming>) -> Answer {
    let change: Value = match read_json(request).await {
        Ok(change) => change,
        Err(refusal) => return refusal,
    };
    let faults = match merge(&engine.faults(), change) {
        Ok(faults) => faults,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    if faults.exit {
        engine.crash.now();
    }
    engine.set_faults(faults.clone());
    json(StatusCode::OK, &faults)
}

fn merge(current: &Faults, change: Value) -> Result<Faults, serde_json::Error> {
    let mut merged = serde_json::to_value(current)?;
    let Value::Object(change) = change else {
        return serde_json::from_value(change);
    };
    for (name, value) in change {
        merged[name] = value;
    }
    serde_json::from_value(merged)
}
