//! TCP relay that delays, holds or cuts connections.

use std::net::SocketAddr;
use std::time::Duration;

use base::units::Millisecond;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::sync::watch::error::RecvError;
use tokio::task::{JoinHandle, JoinSet};

/// Fault of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Passes them on later.
    Delay {
        /// Delay in each direction.
        delay_ms: Millisecond,
    },
    /// Keeps connections open and passes nothing on.
    Held,
    /// Passes requests on and holds answers back.
    AnswersHeld,
    /// Passes answers on and holds requests back.
    RequestsHeld,
    /// Resets every connection, also new ones.
    Reset,
    /// Closes every connection, also new ones.
    Cut,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Request,
    Answer,
}

/// Running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free port and relays to `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has one");
        let (mode, seen) = watch::channel(Mode::Pass);
        Self {
            address,
            mode,
            task: tokio::spawn(accept(listener, target, seen)),
        }
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes from now on, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Closes all connections and ends.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(connect(stream, target, mode.clone()));
            }
        }
    }
}

async fn connect(mut near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Cut {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let requests = pump(near_read, far_write, Way::Request, mode.clone());
    let answers = pump(far_read, near_write, Way::Answer, mode.clone());
    let both = async { tokio::try_join!(requests, answers) };
    let reset = tokio::select! {
        _ = both => false,
        () = reached(mode.clone(), Mode::Cut) => false,
        () = reached(mode, Mode::Reset) => true,
    };
    if reset {
        // With no time to linger, a close is a reset.
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

async fn reached(mut mode: watch::Receiver<Mode>, wanted: Mode) {
    if mode.wait_for(|mode| *mode == wanted).await.is_err() {
        std::future::pending().await
    }
}

/// Passes bytes on until either end has gone.
///
/// # Errors
///
/// The relay was dropped while it held bytes. The other direction may wait for a peer that waits
/// for these bytes, so both have to end.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    way: Way,
    mut mode: watch::Receiver<Mode>,
) -> Result<(), RecvError> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let mode = *mode.wait_for(|mode| flows(*mode, way)).await?;
        if let Mode::Delay { delay_ms } = mode {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if read == 0 {
            let _ = to.shutdown().await;
            return Ok(());
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return Ok(());
        }
    }
}

fn flows(mode: Mode, way: Way) -> bool {
    match mode {
        Mode::Pass | Mode::Delay { .. } => true,
        Mode::Held | Mode::Cut | Mode::Reset => false,
        Mode::AnswersHeld => way == Way::Request,
        Mode::RequestsHeld => way == Way::Answer,
    }
}
