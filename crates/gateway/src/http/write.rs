//! Serialization of message heads and chunks.

use bytes::{BufMut, BytesMut};

/// Writes one message head into a buffer.
pub struct HeadWriter<'a> {
    out: &'a mut BytesMut,
}

impl<'a> HeadWriter<'a> {
    /// Writes the request line.
    pub fn request(out: &'a mut BytesMut, method: &str, target: &str) -> Self {
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            out.put_slice(part.as_bytes());
        }
        Self { out }
    }

    /// Writes the status line.
    pub fn response(out: &'a mut BytesMut, status: u16, reason: &str) -> Self {
        out.put_slice(b"HTTP/1.1 ");
        put_decimal(out, u64::from(status));
        out.put_u8(b' ');
        out.put_slice(reason.as_bytes());
        out.put_slice(b"\r\n");
        Self { out }
    }

    pub fn field(self, name: &str, value: &[u8]) -> Self {
        self.out.put_slice(name.as_bytes());
        self.out.put_slice(b": ");
        self.out.put_slice(value);
        self.out.put_slice(b"\r\n");
        self
    }

    /// Writes a field with a decimal value.
    pub fn number(self, name: &str, value: u64) -> Self {
        self.out.put_slice(name.as_bytes());
        self.out.put_slice(b": ");
        put_decimal(self.out, value);
        self.out.put_slice(b"\r\n");
        self
    }

    /// Writes the empty line that ends the head.
    pub fn end(self) {
        self.out.put_slice(b"\r\n");
    }
}

/// Writes `data` as one chunk. Empty data writes nothing, because an empty chunk would end the
/// body.
pub fn put_chunk(out: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

fn put_decimal(out: &mut BytesMut, value: u64) {
    out.put_slice(value.to_string().as_bytes());
}
