//! HTTP client of the object store, with paths as in S3.

use async_trait::async_trait;
use base::units::ByteCount;
use bytes::Bytes;
use http::{Method, StatusCode};

use super::client::{Call, CallHeaders, Client, Endpoint, Response};
use super::is_url_safe;
use crate::{ObjectError, Objects};

/// Largest object that is read.
const OBJECT_LIMIT_BYTES: ByteCount = 64 << 20;

/// [`Objects`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    client: Client,
    bucket: String,
}

impl HttpObjects {
    /// Creates a client of one bucket; connections are opened on demand.
    pub fn open(endpoint: Endpoint, bucket: impl Into<String>) -> Self {
        Self {
            client: Client::open(endpoint),
            bucket: bucket.into(),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response, ObjectError> {
        if !path.split('/').all(is_url_safe) {
            return Err(failure(&format!("`{path}` cannot be an object's path")));
        }
        let call = Call {
            method,
            path: format!("/{}/{path}", self.bucket),
            headers: CallHeaders::new(),
            body,
            answer_limit_bytes: OBJECT_LIMIT_BYTES,
        };
        let response = self.client.send(call).await;
        response.map_err(|e| failure(&e.to_string()))
    }
}

#[async_trait]
impl Objects for HttpObjects {
    async fn get(&self, path: &str) -> Result<Option<Bytes>, ObjectError> {
        let response = self.call(Method::GET, path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => Ok(Some(response.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(failure(&response.unexpected_status())),
        }
    }

    async fn put(&self, path: &str, body: Bytes) -> Result<(), ObjectError> {
        let response = self.call(Method::PUT, path, body).await?;
        match response.status {
            StatusCode::OK => Ok(()),
            _ => Err(failure(&response.unexpected_status())),
        }
    }
}

fn failure(reason: &str) -> ObjectError {
    ObjectError {
        reason: reason.to_owned(),
    }
}
