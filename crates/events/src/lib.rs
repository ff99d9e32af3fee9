//! Numbered log events: the catalogue, the format of a log line and the configuration of the logger.
//!
//! The text of a line is `E<number> <name> <fields as JSON>`; the JSON format writes an object per
//! line.

mod catalogue;
mod logger;
mod queue;

pub use catalogue::{Code, Level};
pub use logger::{Format, LogError, Logger};

use serde::Serialize;

/// Logs an event with its fields. The type of the fields is declared next to the emitting code.
pub fn emit<F: Serialize>(code: Code, fields: &F) {
    let level = code.level().into();
    if !log::log_enabled!(level) {
        return;
    }
    let fields = serde_json::to_string(fields).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"));
    log::log!(target: code.name(), level, "{}{fields}", code.number());
}
