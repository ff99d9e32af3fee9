//! A caller for the stand-ins' tests.

#![allow(dead_code)]

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde_json::Value;

/// An answer, as far as it came.
pub struct Reply {
    pub status: u16,
    pub bytes: Bytes,
    pub text: String,
    pub whole: bool,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.bytes).unwrap()
    }
}

pub async fn try_open(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Bytes,
) -> hyper::Result<Response<Incoming>> {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "standin")
        .header("x-request-id", "r1")
        .header("idempotency-key", "k1")
        .header(
            "x-amz-target",
            format!("DynamoDB_20120810.{}", target(&body)),
        )
        .body(Full::new(body))
        .unwrap();
    sender.send_request(request).await
}

fn target(body: &[u8]) -> &'static str {
    let text = String::from_utf8_lossy(body);
    if text.contains("TransactItems") {
        return "TransactWriteItems";
    }
    if text.contains("KeyConditionExpression") {
        return "Query";
    }
    "GetItem"
}

pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Bytes,
) -> hyper::Result<Reply> {
    let response = try_open(address, method, path, body).await?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut collected = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => collected.extend_from_slice(frame.data_ref().unwrap()),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    Ok(Reply {
        status,
        text: String::from_utf8_lossy(&collected).into_owned(),
        bytes: collected.into(),
        whole,
    })
}

pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> hyper::Result<Reply> {
    send(address, method, path, body.to_string().into()).await
}

pub async fn open(address: SocketAddr, path: &str, body: &Value) -> Response<Incoming> {
    let body = body.to_string().into();
    try_open(address, "POST", path, body).await.unwrap()
}

pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Reply {
    call(address, "POST", path, body).await.unwrap()
}

pub async fn get(address: SocketAddr, path: &str) -> Reply {
    send(address, "GET", path, Bytes::new()).await.unwrap()
}
