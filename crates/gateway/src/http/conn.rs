//! A TCP connection with its read buffer.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use base::units::Millisecond;
use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::head::{ResponseHead, response_head};

/// Buffer space reserved for each read.
const READ_BYTES: usize = 8 * 1024;

/// Interval of TCP keepalive probes; two unanswered probes end a connection.
const KEEPALIVE_SPACING: Duration = Duration::from_secs(1);

/// Most interim (1xx) responses that are skipped before the final one.
const INTERIM_LIMIT: u32 = 8;

/// Timeouts of an outgoing connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnOptions {
    pub connect_timeout_ms: Millisecond,
    /// TCP user timeout: the system closes the connection when sent bytes stay unacknowledged for
    /// this long.
    pub unacknowledged_timeout_ms: Millisecond,
}

/// An open TCP connection.
#[derive(Debug)]
pub struct Conn {
    /// Bytes that have been read and not yet parsed.
    pub buf: BytesMut,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
}

impl Conn {
    /// Connects to `address` and sets the TCP options.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened within the connect timeout.
    pub async fn open(address: SocketAddr, options: ConnOptions) -> io::Result<Self> {
        let timeout = Duration::from_millis(options.connect_timeout_ms);
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        set_tcp_options(&stream, options.unacknowledged_timeout_ms);
        Ok(Self::from_stream(stream))
    }

    pub fn from_stream(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        Self {
            buf: BytesMut::new(),
            read,
            write,
        }
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn fill(&mut self) -> io::Result<usize> {
        fill(&mut self.read, &mut self.buf).await
    }

    /// Reads the head of the final response to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends, if the head is malformed or longer than
    /// `limit_bytes`, or after too many interim responses.
    pub async fn response_head(
        &mut self,
        limit_bytes: usize,
        method: &str,
    ) -> io::Result<ResponseHead> {
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        let mut interim = 0;
        loop {
            let head = response_head(&mut self.buf, limit_bytes, method);
            if let Some(head) = head.map_err(|_| malformed())? {
                if !head.is_interim() {
                    return Ok(head);
                }
                interim += 1;
                if interim > INTERIM_LIMIT {
                    return Err(malformed());
                }
                continue;
            }
            if self.fill().await? == 0 {
                return Err(malformed());
            }
        }
    }

    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write.write_all(bytes).await
    }

    /// Borrows the read half, the read buffer and the write half at the same time.
    pub fn split(&mut self) -> (&mut OwnedReadHalf, &mut BytesMut, &mut OwnedWriteHalf) {
        (&mut self.read, &mut self.buf, &mut self.write)
    }

    /// Whether bytes have arrived that the event loop may not have reported yet. Closing the
    /// connection would reset it and lose them.
    pub fn has_unread_bytes(&self) -> bool {
        let socket = SockRef::from(self.read.as_ref());
        matches!(socket.peek(&mut [MaybeUninit::uninit()]), Ok(bytes) if bytes > 0)
    }

    /// Whether no bytes and no end of the connection have arrived since the last message.
    pub fn has_no_input(&mut self) -> bool {
        let mut byte = [0];
        let nothing = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.buf.is_empty() && self.read.try_read(&mut byte).is_err_and(|e| nothing(&e))
    }
}

/// Reads more bytes into `buf`; returns 0 at the end of the connection.
pub(crate) async fn fill(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> io::Result<usize> {
    if buf.capacity() - buf.len() < READ_BYTES / 4 {
        buf.reserve(READ_BYTES);
    }
    read.read_buf(buf).await
}

/// Turns off Nagle's algorithm, and sets keepalive probes and the TCP user timeout, which detect a
/// peer that vanishes without closing the connection.
pub fn set_tcp_options(stream: &TcpStream, unacknowledged_timeout_ms: Millisecond) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_SPACING)
        .with_interval(KEEPALIVE_SPACING)
        .with_retries(2);
    // Errors are ignored: without these options the connection still works, and its loss is only
    // detected later.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(unacknowledged_timeout_ms)));
}
