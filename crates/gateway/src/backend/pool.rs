//! Connections to backend servers that are kept for further requests.

use std::cell::Cell;
use std::rc::Rc;

use base::units::Millisecond;
use serde::Serialize;

use crate::belief::Server;
use crate::http::{Conn, ConnOptions};

/// How long a server may keep us waiting for a connection: the pages' callers wait one second.
const CONNECT_TIMEOUT_MS: Millisecond = 700;

/// Sent bytes that stay unacknowledged for so long end a connection; below the shortest time
/// after which a caller leaves a stream.
const UNACKNOWLEDGED_TIMEOUT_MS: Millisecond = 1_500;

/// How long a connection waits for a request when the server names no time.
const UNNAMED_IDLE_MS: Millisecond = 3_000;

/// Taken off the time that a server names, as the request is on its way for a while.
const IDLE_MARGIN_MS: Millisecond = 700;

/// Connections kept waiting at one server.
const IDLE_LIMIT: usize = 16;

/// Counts a connection at its server for as long as it is open, or being opened.
#[derive(Debug)]
struct ConnCountGuard(Rc<Cell<u32>>);

impl ConnCountGuard {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnCountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A connection that waits for a request.
#[derive(Debug)]
pub struct IdleConn {
    conn: Conn,
    count_guard: ConnCountGuard,
    usable_until_ms: Millisecond,
}

/// How a connection came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnOrigin {
    /// It was opened for this request.
    Fresh,
    /// It has served others.
    Kept,
}

/// Which connection a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A kept one or a fresh one.
    Allowed,
    /// A fresh one only: a kept one may still bring an answer to an earlier send of the request.
    Never,
}

impl ConnOrigin {
    /// Name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Kept => "kept",
        }
    }
}

/// A connection in use; closed when dropped.
#[derive(Debug)]
pub struct PooledConn {
    /// The connection.
    pub conn: Conn,
    /// How it came.
    pub origin: ConnOrigin,
    count_guard: ConnCountGuard,
}

impl PooledConn {
    /// A connection to `server`, kept or fresh as `reuse` allows.
    ///
    /// # Errors
    ///
    /// None could be opened.
    pub async fn open(server: &Server, reuse: Reuse, now_ms: Millisecond) -> std::io::Result<Self> {
        let idle = match reuse {
            Reuse::Allowed => take_idle(server, now_ms),
            Reuse::Never => None,
        };
        if let Some(idle) = idle {
            return Ok(Self {
                conn: idle.conn,
                origin: ConnOrigin::Kept,
                count_guard: idle.count_guard,
            });
        }
        let options = ConnOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            unacknowledged_timeout_ms: UNACKNOWLEDGED_TIMEOUT_MS,
        };
        let count_guard = ConnCountGuard::new(&server.connections);
        let conn = Conn::open(server.record.address, options).await?;
        Ok(Self {
            conn,
            origin: ConnOrigin::Fresh,
            count_guard,
        })
    }

    /// Keeps the connection for another request; `idle_ms` is the time that the server names.
    pub fn keep_idle(self, server: &Server, idle_ms: Option<Millisecond>, now_ms: Millisecond) {
        let named_ms = idle_ms.map(|ms| ms.saturating_sub(IDLE_MARGIN_MS));
        let span_ms = named_ms.unwrap_or(UNNAMED_IDLE_MS);
        let mut idle = server.idle.borrow_mut();
        if span_ms == 0 || idle.len() >= IDLE_LIMIT {
            return;
        }
        idle.push(IdleConn {
            conn: self.conn,
            count_guard: self.count_guard,
            usable_until_ms: now_ms + span_ms,
        });
    }
}

/// Closes connections that have waited too long.
pub fn close_expired(server: &Server, now_ms: Millisecond) {
    let mut idle = server.idle.borrow_mut();
    idle.retain(|i| i.usable_until_ms > now_ms);
}

/// The connection used last: the others grow old and are closed.
fn take_idle(server: &Server, now_ms: Millisecond) -> Option<IdleConn> {
    close_expired(server, now_ms);
    loop {
        let mut idle = server.idle.borrow_mut().pop()?;
        if idle.conn.has_no_input() {
            return Some(idle);
        }
    }
}
