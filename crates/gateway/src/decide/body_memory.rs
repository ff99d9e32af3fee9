//! Accounting of the memory that request and answer bodies take up while they are held whole.
//!
//! Many long bodies at once, valid or endless, could use up the memory of the process. Each body
//! has a limit of its own, and this limit applies to all of them together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes held by all bodies of the process, and their limit.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    bytes: Rc<Cell<usize>>,
    limit_bytes: usize,
}

/// The limit for all bodies together is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryFull;

/// Bytes reserved for one body, which are released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyMemory {
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            bytes: Rc::default(),
            limit_bytes,
        }
    }

    /// Bytes that are held now.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Highest number of bytes that may be held.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Starts an empty reservation for one body.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Sets the size of the body to `bytes`.
    ///
    /// # Errors
    ///
    /// The limit for all bodies together would be exceeded.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let others_bytes = self.memory.bytes() - self.bytes;
        if bytes > self.bytes && others_bytes + bytes > self.memory.limit_bytes {
            return Err(MemoryFull);
        }
        self.memory.bytes.set(others_bytes + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.bytes.set(self.memory.bytes() - self.bytes);
    }
}
