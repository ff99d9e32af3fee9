//! Lines on standard output that outlive a killed process, for the harness that started it.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use base::units::Millisecond;
use serde::{Deserialize, Serialize};

/// Start of every journal line.
pub const PREFIX: &str = "journal ";

/// Whether a stand-in writes a journal of its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Journal {
    /// Nothing is written.
    #[default]
    Off,
    /// A line for each entry.
    On,
}

/// What a stand-in notes, before it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "entry")]
pub enum Entry {
    /// A request arrived whole.
    Arrival(Arrival),
    /// A call to a plain service took effect.
    Effect(crate::plain::Effect),
}

/// Arrival of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The `x-request-id` header.
    pub request_id: String,
    /// Time since the Unix epoch.
    pub at_unix_ms: Millisecond,
}

impl Journal {
    /// Writes an entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry has no JSON form; every entry has one.
    pub fn note(self, entry: &Entry) {
        if self == Self::Off {
            return;
        }
        let line = serde_json::to_string(entry).expect("an entry is plain data");
        let mut out = std::io::stdout().lock();
        // A harness that no longer reads has ended.
        let _ = writeln!(out, "{PREFIX}{line}");
        let _ = out.flush();
    }

    /// Notes an arrival now.
    pub fn arrival(self, request_id: &str) {
        if self == Self::Off {
            return;
        }
        self.note(&Entry::Arrival(Arrival {
            request_id: request_id.to_owned(),
            at_unix_ms: unix_ms(),
        }));
    }
}

/// Reads a line, if it is a journal's.
pub fn parse(line: &str) -> Option<Entry> {
    serde_json::from_str(line.strip_prefix(PREFIX)?).ok()
}

/// Time since the Unix epoch.
pub fn unix_ms() -> Millisecond {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as Millisecond
}
