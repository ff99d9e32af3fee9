//! Object store and weight store.

use std::time::Duration;

use base::Map;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Options;
use super::control::{Area, Platform};
use crate::server::{Answer, read_body, response, text};

/// Stored objects by path.
pub type ObjectStore = Map<String, Bytes>;

/// Weights, served at a limited rate.
pub struct WeightStore {
    per_s: u32,
    weight_bytes: usize,
    window: Option<Instant>,
    served_in_window: u32,
}

impl WeightStore {
    /// A store as the options say.
    pub fn new(options: &Options) -> Self {
        Self {
            per_s: options.weights_per_s,
            weight_bytes: options.weight_bytes,
            window: None,
            served_in_window: 0,
        }
    }

    /// One model's weights, unless the rate is used up.
    fn serve(&mut self) -> Option<Vec<u8>> {
        let fresh = self
            .window
            .is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if fresh {
            self.window = Some(Instant::now());
            self.served_in_window = 0;
        }
        if self.per_s > 0 && self.served_in_window >= self.per_s {
            return None;
        }
        self.served_in_window += 1;
        Some(vec![b'w'; self.weight_bytes])
    }
}

impl Platform {
    pub(super) async fn objects_call(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let effect = async || match method {
            Method::GET => self.get_object(&path),
            Method::PUT => self.put_object(path, body),
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "only GET and PUT"),
        };
        self.fault(Area::Objects).around(effect).await
    }

    fn get_object(&self, path: &str) -> Answer {
        self.count(|stats| stats.object_reads += 1);
        let objects = self.objects.lock().expect("no holder panics");
        match objects.get(path) {
            Some(body) => Ok(response(
                StatusCode::OK,
                "application/octet-stream",
                body.clone(),
            )),
            None => text(StatusCode::NOT_FOUND, "<Code>NoSuchKey</Code>"),
        }
    }

    fn put_object(&self, path: String, body: Bytes) -> Answer {
        self.count(|stats| stats.object_writes += 1);
        let mut objects = self.objects.lock().expect("no holder panics");
        objects.insert(path, body);
        text(StatusCode::OK, "")
    }

    pub(super) async fn weights_call(&self, _name: &str) -> Answer {
        let effect = async || {
            let served = self.weights.lock().expect("no holder panics").serve();
            let Some(bytes) = served else {
                return text(StatusCode::TOO_MANY_REQUESTS, "rate limit");
            };
            self.count(|stats| stats.weights_served += 1);
            Ok(response(StatusCode::OK, "application/octet-stream", bytes))
        };
        self.fault(Area::Weights).around(effect).await
    }
}
