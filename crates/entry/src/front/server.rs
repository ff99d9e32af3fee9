//! HTTP/1.1 listener with limits on request heads and stalled readers, and a graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use base::units::Millisecond;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_io_timeout::TimeoutStream;

use super::Reply;

/// Delay after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE_MS: Millisecond = 20;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// How long a request's head may take to arrive.
    pub head_timeout_ms: Millisecond,
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// How long a write may wait for the reader before the connection is closed.
    pub stall_timeout_ms: Millisecond,
}

/// A running listener.
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers each request by `service`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind<S>(
        address: SocketAddr,
        options: ServerOptions,
        service: S,
    ) -> std::io::Result<Self>
    where
        S: tower::Service<Request<Incoming>, Response = Reply, Error = Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept(listener, options, service, stopped));
        Ok(Self {
            address,
            stop: Some(stop),
            task,
        })
    }

    /// The address on which the server listens, with the port that was assigned.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, closes idle ones, and waits for requests in flight.
    pub async fn close(mut self) {
        drop(self.stop.take());
        let _ = self.task.await;
    }
}

async fn accept<S>(
    listener: TcpListener,
    options: ServerOptions,
    service: S,
    mut stopped: oneshot::Receiver<()>,
) where
    S: tower::Service<Request<Incoming>, Response = Reply, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(options.head_timeout_ms))
        .max_buf_size(options.max_head_bytes)
        .half_close(false);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let _ = TcpStream::set_nodelay(&stream, true);
        let stream = bounded(stream, options.stall_timeout_ms);
        let handler = TowerToHyperService::new(service.clone());
        let connection = http.serve_connection(TokioIo::new(stream), handler);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection affects only its own caller.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Adds a write timeout to a connection, so that a stalled reader cannot hold a slot forever.
fn bounded(stream: TcpStream, stall_timeout_ms: Millisecond) -> Pin<Box<TimeoutStream<TcpStream>>> {
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Duration::from_millis(stall_timeout_ms)));
    Box::pin(stream)
}
