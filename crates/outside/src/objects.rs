//! Object store: blobs under a path. An object is not changed once it is stored.

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// Failure of an object operation. A failed write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The operation on the object store failed: {reason}."))]
pub struct ObjectError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// The platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    async fn get(&self, path: &str) -> Result<Option<Bytes>, ObjectError>;

    /// Stores an object. Storing the same content again has no effect.
    async fn put(&self, path: &str, body: Bytes) -> Result<(), ObjectError>;
}
