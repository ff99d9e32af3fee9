//! Moves the KV cache of one sequence from a leaving engine to another engine.

use std::time::Duration;

use base::ids::RequestId;
use base::units::Millisecond;
use bytes::Bytes;
use engine::{Attempt, Backend, Target};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;

/// Largest KV cache of one sequence that is passed through an entry VM's memory.
const KV_MAX_BYTES: usize = 64 << 20;

#[derive(Serialize)]
struct ExportRequest {
    request_id: RequestId,
}

/// Result of a KV cache transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KvTransfer {
    /// The other engine holds the cache.
    Done,
    /// The other engine has no cache, and computes its tokens again.
    Failed,
}

/// Exports the KV cache at `from` and imports it at `to`, within `limit_ms`.
pub(super) async fn move_kv(
    backend: &dyn Backend,
    from: &Target,
    to: &Target,
    request_id: RequestId,
    limit_ms: Millisecond,
) -> KvTransfer {
    let transfer = async {
        let request = serde_json::to_vec(&ExportRequest { request_id }).ok()?;
        let cache = post(backend, from, "/kv/export", request.into(), limit_ms).await?;
        post(backend, to, "/kv/import", cache, limit_ms).await
    };
    match tokio::time::timeout(Duration::from_millis(limit_ms), transfer).await {
        Ok(Some(_)) => KvTransfer::Done,
        Ok(None) | Err(_) => KvTransfer::Failed,
    }
}

async fn post(
    backend: &dyn Backend,
    target: &Target,
    path: &str,
    body: Bytes,
    limit_ms: Millisecond,
) -> Option<Bytes> {
    let attempt = Attempt {
        method: Method::POST,
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body,
        head_timeout_ms: limit_ms,
    };
    let answer = backend.send(target, attempt).await.ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    let whole = Limited::new(answer.body, KV_MAX_BYTES).collect().await;
    whole.ok().map(|body| body.to_bytes())
}
