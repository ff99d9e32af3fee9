//! Listening for HTTP/1.1, with bounds on heads and a graceful end.

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

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// How long a request's head may take to arrive.
    pub head_timeout_ms: Millisecond,
    /// Largest head.
    pub max_head_bytes: usize,
    /// How long a reader may leave no room for more of its reply.
    pub stall_timeout_ms: Millisecond,
}

/// The running listener.
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens at `address` and answers each request by `service`.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets requests in flight end, and closes idle connections.
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
            // A connection that breaks concerns only its own caller.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// A connection that breaks when its reader stalls, so that its request does not hold a slot for good.
fn bounded(stream: TcpStream, stall_timeout_ms: Millisecond) -> Pin<Box<TimeoutStream<TcpStream>>> {
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Duration::from_millis(stall_timeout_ms)));
    Box::pin(stream)
}
