//! A network path to a server, which can be lost.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::SockRef;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Connections that fill the queue of a listener that accepts none.
const QUEUED_CONNECTIONS: usize = 4;

/// Connections that may wait on a sound path.
const BACKLOG: i32 = 128;

/// State of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    Sound,
    /// Nothing arrives, and connections can't be opened or refused.
    Silent,
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refused,
}

/// A running path.
pub struct Path {
    address: SocketAddr,
    state: watch::Sender<PathState>,
    task: JoinHandle<()>,
    /// Never listens. Without it, another process or test gets the port of a path that refuses
    /// connections, and the node under test reaches its listener in place of the server.
    _port_holder: TcpSocket,
}

impl Path {
    /// Opens a path to `target` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen on loopback.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let port_holder = hold_free_port()?;
        let address = port_holder.local_addr()?;
        let listener = TcpListener::bind(address).await?;
        let (state, watched) = watch::channel(PathState::Sound);
        let task = tokio::spawn(run(listener, address, target, watched));
        Ok(Self {
            address,
            state,
            task,
            _port_holder: port_holder,
        })
    }

    /// Address at which the server is reached over the path.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the path, for open connections too.
    pub fn set(&self, state: PathState) {
        self.state.send_replace(state);
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a free port of loopback without listening on it. Sockets that are bound to this port by
/// number can listen beside it; the system gives it to no socket that asks for any free port.
fn hold_free_port() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    Ok(socket)
}

async fn run(
    first: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<PathState>,
) {
    let mut listener = Some(first);
    let mut connections = JoinSet::new();
    loop {
        let now = *state.borrow_and_update();
        match now {
            PathState::Sound => {
                let listening = match listener.take() {
                    Some(listening) => listening,
                    None => TcpListener::bind(address).await.expect("the port is held"),
                };
                let _ = SockRef::from(&listening).listen(BACKLOG);
                tokio::select! {
                    Ok((near, _)) = listening.accept() => {
                        connections.spawn(pass(near, target, state.clone()));
                    }
                    _ = state.changed() => {}
                }
                listener = Some(listening);
            }
            PathState::Silent => {
                let queued = fill_queue(listener.as_ref(), address).await;
                let _ = state.changed().await;
                drop(queued);
            }
            PathState::Reset | PathState::Refused => {
                listener = None;
                let _ = state.changed().await;
            }
        }
    }
}

/// Fills the queue of a listener, so that further connections hang.
async fn fill_queue(listener: Option<&TcpListener>, address: SocketAddr) -> Vec<JoinHandle<()>> {
    if let Some(listener) = listener {
        let _ = SockRef::from(listener).listen(0);
    }
    let open = |_| {
        tokio::spawn(async move {
            let connection = TcpStream::connect(address).await;
            std::future::pending::<()>().await;
            drop(connection);
        })
    };
    let queued = (0..QUEUED_CONNECTIONS).map(open).collect();
    tokio::task::yield_now().await;
    queued
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut state: watch::Receiver<PathState>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let harmed = |s: &PathState| matches!(s, PathState::Silent | PathState::Reset);
    let found = tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        found = state.wait_for(harmed) => found.map(|found| *found),
    };
    if found.is_ok_and(|found| found == PathState::Silent) {
        let _ = state.wait_for(|s| *s != PathState::Silent).await;
    }
    // With no time to linger, a close is a reset.
    let _ = near.set_zero_linger();
}
