//! A caller that stops reading its reply is disconnected, and its reply is dropped.

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

/// Bytes in a frame of the endless reply.
const FRAME_BYTES: usize = 64 * 1024;

/// Fails a test that would hang.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: entry\r\n\r\n";

/// Creates a reply that never ends. Its body owns `held`, so the receiver sees when it is dropped.
fn endless(held: mpsc::Sender<()>) -> Reply {
    let frames = stream::unfold(held, |held| async move {
        tokio::task::yield_now().await;
        let frame = Frame::data(Bytes::from(vec![b'x'; FRAME_BYTES]));
        Some((Ok(frame), held))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
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
async fn a_stalled_reader_is_disconnected() {
    let (server, mut released) = bind(200).await;
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("connected");
    caller.write_all(REQUEST).await.expect("written");
    let closed = tokio::time::timeout(RELEASE_TIMEOUT, released.recv()).await;
    assert_eq!(closed, Ok(None), "the reply was not dropped");
    server.close().await;
}

#[tokio::test]
async fn a_reader_that_keeps_reading_is_served() {
    let (server, mut released) = bind(10_000).await;
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("connected");
    caller.write_all(REQUEST).await.expect("written");
    let mut frame = vec![0; FRAME_BYTES];
    for _ in 0..200 {
        caller.read_exact(&mut frame).await.expect("more");
    }
    assert!(
        released
            .try_recv()
            .is_err_and(|e| e == mpsc::error::TryRecvError::Empty)
    );
    drop(caller);
    let closed = tokio::time::timeout(RELEASE_TIMEOUT, released.recv()).await;
    assert_eq!(closed, Ok(None), "the reply was not dropped");
    server.close().await;
}
