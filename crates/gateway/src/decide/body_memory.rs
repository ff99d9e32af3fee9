//! Bytes that this process holds for requests: bodies of requests and answers that are kept whole.
//!
//! Answers load: many long bodies at once, sound or without end. Each has a limit of its own; together
//! they are to leave the process's memory to the rest.

use std::cell::Cell;
use std::rc::Rc;

/// What is held, and the most that may be.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    bytes: Rc<Cell<usize>>,
    limit_bytes: usize,
}

/// No more can be held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryFull;

/// One body's part; given back when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyMemory {
    /// Nothing is held yet.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            bytes: Rc::default(),
            limit_bytes,
        }
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Most bytes that are held.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// A body of which nothing is held yet.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Takes in that a body has grown, or shrunk, to `bytes`.
    ///
    /// # Errors
    ///
    /// All bodies together would be too many bytes.
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
