//! Object store: immutable-by-convention blobs under a path.

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// An object operation without a certain result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("The object store did not answer: {reason}."))]
pub struct ObjectError {
    /// Description of the failure, for logs.
    pub reason: String,
}

/// The platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads an object, or nothing if it does not exist.
    async fn get(&self, path: &str) -> Result<Option<Bytes>, ObjectError>;

    /// Stores an object; storing the same content again is harmless.
    async fn put(&self, path: &str, body: Bytes) -> Result<(), ObjectError>;
}
