//! The platform: table, object store, VM list, cloud API and weight store, with one control port.

mod control;
mod expression;
mod objects;
pub mod table;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;

use bpaf::Bpaf;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::server::{Answer, BindError, Server, detached, json, text};
use control::Platform;
pub use control::{Area, Control, PlatformStats};
pub use vms::{Vm, VmRole};

/// Stand-in for the platform's services.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Weights served a second before 429; 0 is without limit
    #[bpaf(argument("N"), fallback(0))]
    pub weights_per_s: u32,
    /// Size of one model's weights
    #[bpaf(argument("BYTES"), fallback(4096))]
    pub weight_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        options()
            .run_inner(&[] as &[&str])
            .expect("every option has a fallback")
    }
}

/// Starts the platform in the current runtime.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub async fn bind(options: &Options) -> Result<Server, BindError> {
    let platform = Arc::new(Platform::new(options));
    Server::bind(options.listen, |_| {
        move |request| detached(handle(platform.clone(), request))
    })
    .await
}

async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::POST, [""]) => platform.table_call(request).await,
        (&Method::POST, ["control"]) => platform.control_call(request).await,
        (&Method::GET, ["stats"]) => json(StatusCode::OK, &platform.stats()),
        (&Method::GET, ["healthz"]) => json(StatusCode::OK, &"ok"),
        (_, ["vms", ..]) => platform.vms_call(&request, &segments[1..]).await,
        (_, ["cloud", "vms", ..]) => platform.cloud_call(request, &segments[2..]).await,
        (&Method::GET, ["weights", name]) => platform.weights_call(name).await,
        (_, [_, _, ..]) => platform.objects_call(request).await,
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    }
}
