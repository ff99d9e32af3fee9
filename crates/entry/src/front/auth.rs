//! Finds the workspace of a request by its bearer key.

use conf::{Config, Workspace};
use http::{HeaderMap, StatusCode, header};

use super::error::{CallerError, ErrorCode};

/// Returns the key in the `Authorization: Bearer` header.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

/// Finds the workspace that holds the request's bearer key.
pub fn workspace<'a>(
    config: &'a Config,
    headers: &HeaderMap,
) -> Result<&'a Workspace, CallerError> {
    bearer(headers)
        .and_then(|key| config.workspace_by_key(key))
        .ok_or_else(|| {
            CallerError::client_error(
                StatusCode::UNAUTHORIZED,
                ErrorCode::Unauthorized,
                "No workspace has this key; send `Authorization: Bearer KEY` with a valid key.",
            )
        })
}
