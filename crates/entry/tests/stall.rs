//! A caller that stops reading loses its connection, and what it held is free again.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use entry::front::{Reply, Server, ServerOptions};
use futures_util::stream;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Bytes in a piece of the endless reply.
const PIECE_BYTES: usize = 64 * 1024;

/// Turns a hang into a failure.
const HANG: Duration = Duration::from_secs(30);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: entry\r\n\r\n";

/// A reply without end; the sender is dropped with its body.
fn endless(held: mpsc::Sender<()>) -> Reply {
    let pieces = stream::unfold(held, |held| async move {
        tokio::task::yield_now().await;
        let piece = Frame::data(Bytes::from(vec![b'x'; PIECE_BYTES]));
        Some((Ok(piece), held))
    });
    Response::new(StreamBody::new(pieces).boxed_unsync())
}

async fn bind(stall_timeout_ms: u64) -> (Server, mpsc::Receiver<()>) {
    let (held, released) = mpsc::channel(1);
    let held = std::sync::Mutex::new(Some(held));
    let held = std::sync::Arc::new(held);
    let service = tower::service_fn(move |_request| {
        let held = held.lock().expect("unpoisoned").take();
        async move { Ok::<_, Infallible>(endless(held.expect("one request"))) }
    });
    let options = ServerOptions {
        head_timeout_ms: 10_000,
        max_head_bytes: 16 * 1024,
        stall_timeout_ms,
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(address, options, service).await;
    (server.expect("a free port"), released)
}

#[tokio::test]
async fn a_stalled_reader_is_let_go() {
    let (server, mut released) = bind(200).await;
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("connected");
    caller.write_all(REQUEST).await.expect("written");
    let let_go = tokio::time::timeout(HANG, released.recv()).await;
    assert_eq!(let_go, Ok(None), "the reply is still held");
    server.close().await;
}

#[tokio::test]
async fn a_reader_that_keeps_reading_is_served() {
    let (server, mut released) = bind(10_000).await;
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("connected");
    caller.write_all(REQUEST).await.expect("written");
    let mut piece = vec![0; PIECE_BYTES];
    for _ in 0..200 {
        caller.read_exact(&mut piece).await.expect("more");
    }
    assert!(
        released
            .try_recv()
            .is_err_and(|e| e == mpsc::error::TryRecvError::Empty)
    );
    drop(caller);
    let let_go = tokio::time::timeout(HANG, released.recv()).await;
    assert_eq!(let_go, Ok(None), "the reply is still held");
    server.close().await;
}
