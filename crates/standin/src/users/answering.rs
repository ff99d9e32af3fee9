//! What a runner sends for a request.

use std::time::Duration;

use super::behaviour::Behaviour;
use super::exchange::Connection;
use super::runner::Shared;

/// Says that the request was not run, and names none.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 X\r\nApricotledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Answers a request as `behaviour` says. Returns `None` if the connection ends.
pub(super) async fn act(
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
            events: last,
            consecutive,
            gap_ms,
        } => {
            let numbers = (1..=last).map(|n| n + n.saturating_sub(consecutive));
            let numbers = numbers.filter(|n| *n > after.unwrap_or(0));
            connection.send(stream_head(id).as_bytes()).await?;
            events(connection, shared, id, numbers, gap_ms).await?;
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
            shared.note_left(id);
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
            shared.note_left(id);
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
    numbers: impl Iterator<Item = u32>,
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
            shared.note_left(id);
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
