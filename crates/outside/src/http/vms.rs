//! HTTP client of the VM list and of reclaim notices.

use async_trait::async_trait;
use base::units::{ByteCount, Millisecond};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;

use super::client::{Call, CallHeaders, Client, Endpoint, Response};
use super::is_url_safe;
use crate::{Vm, VmListError, Vms};

/// Largest response body; a list of 13,200 VMs takes about 4 MB.
const LIST_LIMIT_BYTES: ByteCount = 16 << 20;

/// [`Vms`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVms {
    client: Client,
}

#[derive(Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct Notice {
    remaining_ms: Millisecond,
}

impl HttpVms {
    /// Creates a client; connections are opened on demand.
    pub fn open(endpoint: Endpoint) -> Self {
        Self {
            client: Client::open(endpoint),
        }
    }

    async fn get(&self, path: String) -> Result<Response, VmListError> {
        let call = Call {
            method: Method::GET,
            path,
            headers: CallHeaders::new(),
            body: Bytes::new(),
            answer_limit_bytes: LIST_LIMIT_BYTES,
        };
        let response = self.client.send(call).await;
        response.map_err(|e| failure(&e.to_string()))
    }
}

#[async_trait]
impl Vms for HttpVms {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let response = self.get("/vms".into()).await?;
        if response.status != StatusCode::OK {
            return Err(failure(&response.unexpected_status()));
        }
        let list: Result<VmList, _> = serde_json::from_slice(&response.body);
        list.map(|list| list.vms)
            .map_err(|e| failure(&e.to_string()))
    }

    async fn notice(&self, vm: &str) -> Result<Option<Millisecond>, VmListError> {
        if !is_url_safe(vm) {
            return Err(failure(&format!("`{vm}` cannot be a VM's identifier")));
        }
        let response = self.get(format!("/vms/{vm}/notice")).await?;
        match response.status {
            StatusCode::OK => {
                let notice: Result<Notice, _> = serde_json::from_slice(&response.body);
                let notice = notice.map_err(|e| failure(&e.to_string()))?;
                Ok(Some(notice.remaining_ms))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(failure(&response.unexpected_status())),
        }
    }
}

fn failure(reason: &str) -> VmListError {
    VmListError {
        reason: reason.to_owned(),
    }
}
