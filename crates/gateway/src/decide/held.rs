//! Bytes that this process holds for requests: bodies of requests and answers that are kept whole.
//!
//! Answers load: many long bodies at once, sound or without end. Each has a limit of its own; together
//! they are to leave the process's memory to the rest.

use std::cell::Cell;
use std::rc::Rc;

/// What is held, and the most that may be.
#[derive(Clone, Debug)]
pub struct Held {
    bytes: Rc<Cell<usize>>,
    limit_bytes: usize,
}

/// No more can be held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// One body's part; given back when dropped.
#[derive(Debug)]
pub struct Part {
    held: Held,
    bytes: usize,
}

impl Held {
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
    pub fn part(&self) -> Part {
        Part {
            held: self.clone(),
            bytes: 0,
        }
    }
}

impl Part {
    /// Takes in that a body has grown, or shrunk, to `bytes`.
    ///
    /// # Errors
    ///
    /// All bodies together would be too many bytes.
    pub fn set(&mut self, bytes: usize) -> Result<(), Full> {
        let others = self.held.bytes() - self.bytes;
        if bytes > self.bytes && others + bytes > self.held.limit_bytes {
            return Err(Full);
        }
        self.held.bytes.set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.held.bytes.set(self.held.bytes() - self.bytes);
    }
}
