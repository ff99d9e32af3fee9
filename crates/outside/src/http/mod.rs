//! HTTP clients of the platform's services.
//!
//! A call is sent once, with a timeout and a size limit of the response body.

mod client;
mod cloud;
mod dynamo;
mod objects;
mod table;
mod vms;

pub use client::{Call, CallHeaders, Client, Endpoint, Response, SendError, static_headers};
pub use cloud::HttpCloud;
pub use objects::HttpObjects;
pub use table::HttpTable;
pub use vms::HttpVms;

/// Whether `text` needs no percent-encoding in a URL's path or query.
fn is_url_safe(text: &str) -> bool {
    let safe = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !text.is_empty() && text.bytes().all(safe)
}
