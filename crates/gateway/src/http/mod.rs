//! HTTP/1.1 as both sides of the gateway read and write it.
//!
//! The codec refuses what two readers could frame differently, and reports bytes that belong to no
//! message; general-purpose servers and clients hide both.

mod body;
mod conn;
mod fields;
mod head;
mod write;

pub use body::{Body, FramingError, Progress};
pub(crate) use conn::fill;
pub use conn::{Conn, ConnOptions, set_tcp_options};
pub use fields::Fields;
pub use head::{Framing, HeadError, RequestHead, ResponseHead, request_head, response_head};
pub use write::{HeadWriter, put_chunk};
