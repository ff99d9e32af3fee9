//! Pool of clients for calls to peers.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use base::Map;
use base::secret::Secret;
use http::HeaderMap;
use jsonrpsee::core::client::Error as CallError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::auth::PeerAuth;
use crate::timing::Timing;

/// Most clients in the pool; beyond it, an arbitrary one is closed.
const CLIENTS_MAX: usize = 64;
/// Size limit of requests and responses between peers.
pub const MESSAGE_MAX_BYTES: u32 = 4 << 20;

#[derive(Debug)]
pub struct PeerClients {
    headers: HeaderMap,
    timeout: Duration,
    clients: Mutex<Map<SocketAddr, HttpClient>>,
}

impl PeerClients {
    /// Creates an empty pool whose clients authenticate with `secret`.
    ///
    /// # Errors
    ///
    /// Fails if the secret has characters that an HTTP header cannot carry.
    pub fn new(secret: &Secret, timing: &Timing) -> Result<Self, http::header::InvalidHeaderValue> {
        Ok(Self {
            headers: PeerAuth::header(secret)?,
            timeout: Duration::from_millis(timing.call_ms),
            clients: Mutex::default(),
        })
    }

    /// Returns the pooled client of an address, or adds one.
    ///
    /// # Errors
    ///
    /// Fails if the client library rejects the address.
    pub fn client_for(&self, address: SocketAddr) -> Result<HttpClient, CallError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        if clients.len() >= CLIENTS_MAX {
            let evicted = clients.keys().next().copied();
            evicted.map(|address| clients.remove(&address));
        }
        let client = HttpClientBuilder::default()
            .set_headers(self.headers.clone())
            .request_timeout(self.timeout)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES)
            .build(format!("http://{address}"))?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}
