//! HTTP clients of the platform's services. Each call is one attempt with bounded time and memory.

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

/// Whether text may stand in a URL's path or query as it is.
fn is_url_safe(text: &str) -> bool {
    let safe = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !text.is_empty() && text.bytes().all(safe)
}
