//! Whose request it is.

use conf::{Config, Workspace};
use http::{HeaderMap, StatusCode, header};

use super::error::{CallerError, ErrorCode};

/// The bearer key of a request, if it has one.
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
                "No workspace has this key; send `Authorization: Bearer KEY` with a current key.",
            )
        })
}
