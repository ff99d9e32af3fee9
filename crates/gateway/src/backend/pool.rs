//! Pool of idle connections to backend servers.

use std::cell::Cell;
use std::rc::Rc;

use base::units::Millisecond;
use serde::Serialize;

use crate::belief::Server;
use crate::http::{Conn, ConnOptions};

/// Must stay below one second, the shortest time after which a caller gives up.
const CONNECT_TIMEOUT_MS: Millisecond = 700;

/// TCP user timeout of a connection to a server. Must stay below the shortest time after which a
/// caller abandons a stream, so that the stream can still be resumed at another server.
const UNACKNOWLEDGED_TIMEOUT_MS: Millisecond = 1_500;

/// Idle timeout of a connection whose server sends no `Keep-Alive: timeout`.
const DEFAULT_IDLE_MS: Millisecond = 3_000;

/// Subtracted from the idle timeout that a server announces: the next request needs time to reach
/// the server before the server closes the connection.
const IDLE_MARGIN_MS: Millisecond = 700;

/// Most idle connections per server.
const IDLE_CONNS_LIMIT: usize = 16;

/// Counts a connection of a server from the start of its opening until it is closed.
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

/// A connection that is kept for a later request.
#[derive(Debug)]
pub struct IdleConn {
    conn: Conn,
    count_guard: ConnCountGuard,
    usable_until_ms: Millisecond,
}

/// Whether a connection was opened for the request or taken from the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnOrigin {
    /// Opened for this request.
    Fresh,
    /// Reused from the pool.
    Kept,
}

/// Whether a request may be sent on a pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    Allowed,
    /// Only a new connection may be used: a pooled one may still deliver an answer to an earlier
    /// attempt of the same request.
    Never,
}

impl ConnOrigin {
    /// Label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Kept => "kept",
        }
    }
}

/// A connection in use; dropping it closes it.
#[derive(Debug)]
pub struct PooledConn {
    pub conn: Conn,
    pub origin: ConnOrigin,
    count_guard: ConnCountGuard,
}

impl PooledConn {
    /// Takes an idle connection to `server` if `reuse` allows it, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if no new connection can be opened.
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

    /// Returns the connection to the pool; `idle_ms` is the idle timeout that the server announced.
    pub fn keep_idle(self, server: &Server, idle_ms: Option<Millisecond>, now_ms: Millisecond) {
        let server_idle_ms = idle_ms.map(|ms| ms.saturating_sub(IDLE_MARGIN_MS));
        let span_ms = server_idle_ms.unwrap_or(DEFAULT_IDLE_MS);
        let mut idle = server.idle.borrow_mut();
        if span_ms == 0 || idle.len() >= IDLE_CONNS_LIMIT {
            return;
        }
        idle.push(IdleConn {
            conn: self.conn,
            count_guard: self.count_guard,
            usable_until_ms: now_ms + span_ms,
        });
    }
}

/// Closes the idle connections whose timeout has passed.
pub fn close_expired(server: &Server, now_ms: Millisecond) {
    let mut idle = server.idle.borrow_mut();
    idle.retain(|i| i.usable_until_ms > now_ms);
}

/// Takes the most recently used idle connection, so that surplus connections time out. Connections
/// on which bytes or the end have arrived meanwhile are closed.
fn take_idle(server: &Server, now_ms: Millisecond) -> Option<IdleConn> {
    close_expired(server, now_ms);
    loop {
        let mut idle = server.idle.borrow_mut().pop()?;
        if idle.conn.has_no_input() {
            return Some(idle);
        }
    }
}
