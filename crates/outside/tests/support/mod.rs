//! Stand-in of the platform, and servers that violate the protocol.

#![allow(dead_code)]

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use outside::http::{Endpoint, HttpCloud, HttpObjects, HttpTable, HttpVms};
use outside::{CommitError, Condition, Key, Write};
use serde_json::Value;
use standin::platform::Options;
use standin::server::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Running stand-in of the platform.
pub struct PlatformStandIn(Server);

impl PlatformStandIn {
    pub async fn start() -> Self {
        let server = standin::platform::bind(&Options::default()).await;
        Self(server.unwrap())
    }

    pub fn table(&self) -> HttpTable {
        HttpTable::open(endpoint(self.0.address()), "apricotledge")
    }

    pub fn objects(&self) -> HttpObjects {
        HttpObjects::open(endpoint(self.0.address()), "bucket")
    }

    pub fn vms(&self) -> HttpVms {
        HttpVms::open(endpoint(self.0.address()))
    }

    pub fn cloud(&self) -> HttpCloud {
        HttpCloud::open(endpoint(self.0.address()))
    }

    pub async fn control(&self, control: &Value) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let request = http::Request::post(format!("http://{}/control", self.0.address()))
            .body(Full::new(Bytes::from(control.to_string())))
            .unwrap();
        let response = client.request(request).await.unwrap();
        assert_eq!(response.status(), 200, "{control}");
        response.into_body().collect().await.unwrap();
    }

    pub async fn close(self) {
        self.0.close().await;
    }
}

pub fn endpoint(address: SocketAddr) -> Endpoint {
    Endpoint {
        address,
        connect_timeout_ms: 1000,
        call_timeout_ms: 2000,
    }
}

pub fn put(sort: &str, body: &str, condition: Condition) -> Write {
    Write::Put {
        key: Key::new("p", sort),
        body: body.into(),
        condition,
    }
}

/// Outcome of a commit, without its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Applied,
    Conflict,
    NotApplied,
    Unknown,
}

pub fn outcome(result: &Result<(), CommitError>) -> Outcome {
    match result {
        Ok(()) => Outcome::Applied,
        Err(CommitError::Conflict) => Outcome::Conflict,
        Err(CommitError::NotApplied { .. }) => Outcome::NotApplied,
        Err(CommitError::Unknown { .. }) => Outcome::Unknown,
    }
}

/// Starts a server that reads the start of one request, writes `answer` and closes the connection.
pub async fn raw_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 65536];
        let _ = stream.read(&mut buffer).await;
        stream.write_all(answer.as_bytes()).await.unwrap();
        let _ = stream.shutdown().await;
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    });
    address
}

/// Starts a server whose response body never ends.
pub async fn endless_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![b'x'; 65536];
        let _ = stream.read(&mut buffer).await;
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        while stream.write_all(&buffer).await.is_ok() {}
    });
    address
}
