//! HTTP client of the cloud API.

use async_trait::async_trait;
use base::units::ByteCount;
use bytes::Bytes;
use http::{Method, StatusCode};

use super::client::{Call, Client, Endpoint, Response, SendError, static_headers};
use super::is_url_safe;
use crate::{Cloud, CloudError, VmOrder, VmPurchase};

/// Largest response body.
const ANSWER_LIMIT_BYTES: ByteCount = 1 << 20;

const JSON_HEADERS: &[(&str, &str)] = &[("content-type", "application/json")];

/// [`Cloud`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    client: Client,
}

impl HttpCloud {
    /// Creates a client; connections are opened on demand.
    pub fn open(endpoint: Endpoint) -> Self {
        Self {
            client: Client::open(endpoint),
        }
    }

    async fn call(&self, method: Method, uri: String, body: Bytes) -> Result<Response, CloudError> {
        let call = Call {
            method,
            path: uri,
            headers: static_headers(JSON_HEADERS),
            body,
            answer_limit_bytes: ANSWER_LIMIT_BYTES,
        };
        let response = self.client.send(call).await;
        response.map_err(|e| match e {
            SendError::NotSent { .. } => CloudError::Refused {
                reason: e.to_string(),
            },
            SendError::Unanswered { .. } => unknown(&e.to_string()),
        })
    }
}

#[async_trait]
impl Cloud for HttpCloud {
    async fn buy(&self, order: &VmOrder) -> Result<VmPurchase, CloudError> {
        let body = serde_json::to_vec(order).expect("an order is plain data");
        let path = "/cloud/vms".to_owned();
        let response = self.call(Method::POST, path, body.into()).await?;
        match response.status {
            StatusCode::CREATED => purchase(&response),
            StatusCode::CONFLICT => Err(CloudError::Refused {
                reason: String::from_utf8_lossy(&response.body).into_owned(),
            }),
            _ => Err(unknown(&response.unexpected_status())),
        }
    }

    async fn find(&self, token: &str) -> Result<Option<VmPurchase>, CloudError> {
        require_url_safe(token)?;
        let path = format!("/cloud/vms?token={token}");
        let response = self.call(Method::GET, path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => purchase(&response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unknown(&response.unexpected_status())),
        }
    }

    async fn release(&self, vm: &str) -> Result<(), CloudError> {
        require_url_safe(vm)?;
        let path = format!("/cloud/vms/{vm}");
        let response = self.call(Method::DELETE, path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(unknown(&response.unexpected_status())),
        }
    }
}

fn purchase(response: &Response) -> Result<VmPurchase, CloudError> {
    serde_json::from_slice(&response.body).map_err(|e| unknown(&e.to_string()))
}

fn require_url_safe(text: &str) -> Result<(), CloudError> {
    match is_url_safe(text) {
        true => Ok(()),
        false => Err(CloudError::Refused {
            reason: format!("`{text}` has characters that are not allowed in a URL"),
        }),
    }
}

fn unknown(reason: &str) -> CloudError {
    CloudError::Unknown {
        reason: reason.to_owned(),
    }
}
