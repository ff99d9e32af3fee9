//! What is wrong with a document or settings file, and how to mend it.

use std::fmt;

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// JSON path of the faulty value, such as `$.services[0].timeout_ms`.
    pub path: String,
    /// The problem, as a sentence.
    pub problem: String,
    /// The mend, as a sentence.
    pub mend: String,
}

impl Fault {
    /// States a fault.
    pub fn new(
        path: impl Into<String>,
        problem: impl Into<String>,
        mend: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
            mend: mend.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} {}", self.path, self.problem, self.mend)
    }
}
