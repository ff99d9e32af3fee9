//! Responses that end with their connection before the request was wholly sent, and heads around a
//! reset. Part of such a response must not be taken for the whole.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use bytes::Bytes;
use gateway::backend::exchange::{OutgoingRequest, send};
use gateway::backend::gate::Gate;
use gateway::backend::pool::Reuse;
use gateway::belief::registry::ServerState;
use gateway::belief::{Server, ServerRecord};
use gateway::decide::body_memory::BodyOwner;
use gateway::decide::outcome::FailureCause;
use gateway::http::{Conn, ConnOptions};
use outside::Purchase;
use test_case::test_case;

mod support;

/// More than the socket buffers of both sides hold.
const UPLOAD_BYTES: usize = 64 * 1024 * 1024;

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The server closes it with unread bytes, which resets it.
    Reset,
    /// The same, and the node's thread is busy from before the response until after the reset, so
    /// that the next write fails before the response is read.
    ResetWhileBusy,
    /// The server sends no more, and goes on to read nothing.
    HalfClosed,
}

/// A server that reads some bytes of the request, sends the parts of its response, and ends the
/// connection.
fn server(parts: &'static [&'static str], end: End) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let mut head = [0; 16];
        conn.read_exact(&mut head).unwrap();
        sleep(Duration::from_millis(150));
        for part in parts {
            conn.write_all(part.as_bytes()).unwrap();
            sleep(Duration::from_millis(20));
        }
        if end == End::HalfClosed {
            conn.shutdown(Shutdown::Write).unwrap();
            sleep(Duration::from_millis(700));
        }
    });
    (address, serving)
}

/// Sends a request with a body of so many bytes and reads the whole response.
async fn fetch(address: SocketAddr, body_bytes: usize) -> Result<(u16, Bytes), FailureCause> {
    let node = support::node("own");
    let server = Rc::new(Server::new(ServerRecord {
        id: "a".into(),
        service: "s".into(),
        address,
        failure_domain: "a".into(),
        version: "v1".into(),
        slots: 4,
        state: ServerState::Ready,
        purchase: Purchase::OnDemand,
        born_unix_ms: 1,
        sequence: 0,
    }));
    let permit = Gate::new(&node).admit(&server).unwrap();
    let head = format!("POST / HTTP/1.1\r\nid: i\r\nContent-Length: {body_bytes}\r\n\r\n");
    let request = OutgoingRequest {
        method: "POST",
        request_id: Some("i"),
        head: head.into(),
        body: vec![b'x'; body_bytes].into(),
        reuse: Reuse::Never,
    };
    let names = &node.dialect.names;
    let mut answer = send(&server, permit, &request, names, node.clock).await?;
    // The reset arrives while the caller's side is busy.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut held = node.body_memory.reserve(BodyOwner::Answer("a".into()));
    let body = answer.read_whole(&mut held).await?;
    Ok((answer.head.status, body))
}

fn run(
    parts: &'static [&'static str],
    body_bytes: usize,
    end: End,
) -> Result<(u16, Bytes), FailureCause> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (address, serving) = server(parts, end);
    let busy = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if end == End::ResetWhileBusy {
            sleep(Duration::from_millis(400));
        }
    };
    let fetched = runtime.block_on(async { tokio::join!(fetch(address, body_bytes), busy).0 });
    serving.join().unwrap();
    fetched
}

#[test_case(&["HTTP/1.1 200 OK\r\nid: i\r\n\r\npart"]; "a response without a length")]
#[test_case(&["HTTP/1.1 200 OK\r\nid: i\r\n\r\n", "part"]; "its body later")]
#[test_case(&["HTTP/1.1 413 No\r\nid: i\r\n\r\npart"]; "an error response")]
#[test_case(&["HTTP/1.1 500 No\r\nid: i\r\n\r\n"]; "an error response without a body")]
#[test_case(&["HTTP/1.1 200 OK\r\nid: i\r\nContent-Length: 9\r\n\r\npart"]; "a part of a known length")]
#[test_case(&["HTTP/1.1 200 OK\r\nid: ", "i\r\n"]; "a head in two parts")]
#[test_case(&["HTTP/1.1 200 OK\r\nid: i\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n"]; "a stream")]
fn a_response_cut_during_the_upload_is_not_complete(parts: &'static [&'static str]) {
    let ends = [End::Reset, End::ResetWhileBusy, End::HalfClosed];
    let results = ends.map(|end| (end, run(parts, UPLOAD_BYTES, end)));
    assert_eq!(results, ends.map(|end| (end, Err(FailureCause::Broken))));
}

#[test]
fn an_early_response_with_a_length_is_complete() {
    let parts = &["HTTP/1.1 413 No\r\nid: i\r\nContent-Length: 4\r\n\r\nlong"];
    assert_eq!(
        run(parts, UPLOAD_BYTES, End::HalfClosed),
        Ok((413, "long".into()))
    );
}

#[test]
fn a_response_to_a_whole_request_may_end_with_its_connection() {
    // The server reads exactly the request: the end of its connection is no reset.
    let parts = &["HTTP/1.1 200 OK\r\nid: i\r\n\r\nwhole"];
    let read = "POST / HTTP/1.1\r\nid: i\r\nContent-Length: 0\r\n\r\n";
    assert!(read.len() > 16);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        conn.read_exact(&mut vec![0; read.len()]).unwrap();
        conn.write_all(parts[0].as_bytes()).unwrap();
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let end = runtime.block_on(fetch(address, 0));
    serving.join().unwrap();
    assert_eq!(end, Ok((200, "whole".into())));
}

/// Relayed responses of other nodes and those to pulls: an interim response is not the final one.
#[test_case(1 => Some(200); "one before the response")]
#[test_case(500 => None; "interim responses without end")]
fn interim_responses_are_skipped(count: usize) -> Option<u16> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let interim = "HTTP/1.1 102 X\r\n\r\n".repeat(count);
        // Fails if the reader has closed the connection.
        let _ = conn.write_all(format!("{interim}HTTP/1.1 200 X\r\n\r\n").as_bytes());
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let head = runtime.block_on(async {
        let options = ConnOptions {
            connect_timeout_ms: 1_000,
            unacknowledged_timeout_ms: 1_000,
        };
        let mut conn = Conn::open(address, options).await.unwrap();
        conn.response_head(1_024, "GET").await
    });
    serving.join().unwrap();
    head.ok().map(|head| head.status)
}
