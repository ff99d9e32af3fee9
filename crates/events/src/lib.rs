//! Numbered log events: the catalogue, the log line and the set-up of the logger.
//!
//! Every line is `E<number> <name> <fields as JSON>`, or one JSON object per line on request.

mod catalogue;
mod logger;
mod queue;

pub use catalogue::{Code, Level};
pub use logger::{Format, LogError, Logger};

use serde::Serialize;

/// Writes one event with its fields; the field type is declared beside the code that emits it.
pub fn emit<F: Serialize>(code: Code, fields: &F) {
    let level = code.level().into();
    if !log::log_enabled!(level) {
        return;
    }
    let fields = serde_json::to_string(fields).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"));
    log::log!(target: code.name(), level, "{}{fields}", code.number());
}
