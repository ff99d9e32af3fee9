//! Bodies of requests and replies; request bodies are limited in size and time.

use std::time::Duration;

use base::units::Millisecond;
use bytes::Bytes;
use engine::BodyError;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};

use super::error::{CallerError, ErrorCode};

/// Body of a reply.
pub type ReplyBody = UnsyncBoxBody<Bytes, BodyError>;

/// A reply to a caller or operator.
pub type Reply = Response<ReplyBody>;

/// Creates a reply whose body is known in full.
pub fn full_reply(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns the error for the caller if the body is larger than `max_bytes`, takes longer than
/// `timeout_ms` or breaks off.
pub async fn read<B>(
    body: B,
    max_bytes: usize,
    timeout_ms: Millisecond,
) -> Result<Bytes, CallerError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, max_bytes).collect();
    let Ok(result) = tokio::time::timeout(Duration::from_millis(timeout_ms), collected).await
    else {
        return Err(CallerError::client_error(
            StatusCode::REQUEST_TIMEOUT,
            ErrorCode::RequestTimeout,
            format!("The request body did not arrive within {timeout_ms} ms; send it faster."),
        ));
    };
    match result {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(CallerError::client_error(
            StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::BodyTooLarge,
            format!("The request body is larger than {max_bytes} bytes; send a smaller one."),
        )),
        Err(e) => Err(CallerError::client_error(
            StatusCode::BAD_REQUEST,
            ErrorCode::BadRequest,
            format!("The request body could not be read to its end: {e}."),
        )),
    }
}
