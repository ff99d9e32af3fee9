//! HTTP server shared by the stand-ins: accepts, serves, and can vanish like a killed process.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Body of an answer; an error in it cuts the connection.
pub type Body = BoxBody<Bytes, io::Error>;

/// Largest request body that a stand-in reads.
const REQUEST_LIMIT_BYTES: usize = 64 << 20;

/// The stand-in could not start.
#[derive(Debug, Snafu)]
#[snafu(display("Could not listen on {address}: {source}. Choose a free address."))]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// Why an answer is not sent: the connection is closed instead.
#[derive(Debug, Snafu)]
#[snafu(display("The connection is dropped on purpose."))]
pub struct Dropped;

/// Outcome of handling one request.
pub type Answer = Result<Response<Body>, Dropped>;

/// Makes a server vanish: the listener and all connections close at once.
#[derive(Clone, Debug)]
pub struct Crash(Arc<watch::Sender<bool>>);

impl Crash {
    /// Closes everything now.
    pub fn now(&self) {
        self.0.send_replace(true);
    }
}

/// Running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    crash: Crash,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers with `handler`, which is given the crash switch.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub async fn bind<H, F>(
        address: SocketAddr,
        make_handler: impl FnOnce(Crash) -> H,
    ) -> Result<Self, BindError>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let (sender, stopped) = watch::channel(false);
        let crash = Crash(Arc::new(sender));
        let handler = make_handler(crash.clone());
        let task = tokio::spawn(accept(listener, handler, stopped));
        Ok(Self {
            address,
            crash,
            task,
        })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server has vanished by itself.
    pub async fn ended(&mut self) {
        let _ = (&mut self.task).await;
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.crash.now();
        let _ = self.task.await;
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H, mut stopped: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stopped.changed() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, handler.clone()));
            }
        }
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    let _ = connection.await;
}

/// Answers in a task of its own, so that the effect does not depend on the caller staying.
///
/// # Errors
///
/// Returns [`Dropped`] if `answer` does, or if its task panics or is cancelled.
pub async fn detached(answer: impl Future<Output = Answer> + Send + 'static) -> Answer {
    tokio::spawn(answer).await.unwrap_or(Err(Dropped))
}

/// A whole request body, or the refusal to send.
///
/// # Errors
///
/// Returns the refusal if the body breaks off or exceeds `REQUEST_LIMIT_BYTES`.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Answer> {
    let limited = http_body_util::Limited::new(request.into_body(), REQUEST_LIMIT_BYTES);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) => Err(text(StatusCode::BAD_REQUEST, &e.to_string())),
    }
}

/// A request body as a typed message, or the refusal to send.
///
/// # Errors
///
/// Returns the refusal if the body breaks off, exceeds `REQUEST_LIMIT_BYTES`, or cannot be
/// deserialized as `T`.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body).map_err(|e| text(StatusCode::BAD_REQUEST, &e.to_string()))
}

/// An answer in JSON.
///
/// # Errors
///
/// Never returns an error; a value without a JSON form is answered with 500.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => Ok(response(status, "application/json", bytes)),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// An answer in plain text.
///
/// # Errors
///
/// Never returns an error.
pub fn text(status: StatusCode, message: &str) -> Answer {
    Ok(response(status, "text/plain", message.to_owned()))
}

/// A whole answer of a given content type.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// A body that is known whole.
pub fn full(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Text of a request header, if it is there.
pub fn header_text(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Value of one query parameter, if it is there.
pub fn query_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value.to_owned());
        }
    }
    None
}

/// Runs a server as a program of its own: says where it listens, and ends when it has vanished.
pub async fn run(mut server: Server) -> std::process::ExitCode {
    println!("listening {}", server.address());
    server.ended().await;
    std::process::ExitCode::FAILURE
}
