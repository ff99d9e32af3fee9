//! An HTTP/1.1 codec for the connections to callers and to backend servers.
//!
//! The codec rejects messages that two parsers could frame differently, and gives access to bytes
//! that belong to no message. General-purpose HTTP servers and clients hide both.

mod body;
mod conn;
mod fields;
mod head;
mod write;

pub use body::{Body, FramingError, Progress};
pub(crate) use conn::fill;
pub use conn::{Conn, ConnOptions, set_tcp_options};
pub use fields::Fields;
pub(crate) use head::skip_empty_lines;
pub use head::{
    AnswerBody, Framing, HeadError, RequestHead, ResponseHead, request_head, response_head,
};
pub use write::{HeadWriter, put_chunk};
