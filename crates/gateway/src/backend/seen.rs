//! What an answer's head shows of where it came from, for logs and metrics.

use std::time::SystemTime;

use serde::Serialize;

use super::exchange::Sent;
use super::pool::ConnOrigin;
use crate::decide::signal::{Reading, Signals, hold_off_ms, leaving, limit_per_s};
use crate::dialect::HeaderNames;
use crate::http::ResponseHead;

/// Status with which a server turns a request away and may say for how long.
const UNAVAILABLE: u16 = 503;

/// Status of a server that is not the one that was asked.
const MISDIRECTED: u16 = 421;

/// Whether a server says that it did not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// It says so.
    NotRun,
    /// It does not.
    None,
}

impl Mark {
    /// Name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::None => "none",
        }
    }
}

/// Whether an answer names the request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Naming {
    /// It echoes the request's identifier.
    Named,
    /// It does not.
    Unnamed,
}

impl Naming {
    /// Name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Named => "named",
            Self::Unnamed => "unnamed",
        }
    }
}

/// What is known of an answer that was taken as a request's own.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Seen {
    /// Status code.
    pub status: u16,
    /// Whether the server says that it did not run the request.
    pub mark: Mark,
    /// Whether it names the request.
    pub naming: Naming,
    /// How the connection came.
    pub connection: ConnOrigin,
    /// How much of the request had been written.
    pub sent: Sent,
    /// Answers to other requests that were passed over before it.
    pub passed_over: u32,
    /// What the server says of itself.
    #[serde(skip_serializing_if = "Signals::is_silent")]
    pub signals: Signals,
}

impl Seen {
    /// Reads what `head` shows.
    pub fn of(
        head: &ResponseHead,
        names: &HeaderNames,
        connection: ConnOrigin,
        sent: Sent,
        passed_over: u32,
    ) -> Self {
        let mark = match head.fields.get(names.not_run) {
            Some(_) => Mark::NotRun,
            None => Mark::None,
        };
        let naming = match head.fields.get(names.request_id) {
            Some(_) => Naming::Named,
            None => Naming::Unnamed,
        };
        Self {
            status: head.status,
            mark,
            naming,
            connection,
            sent,
            passed_over,
            signals: signals(head, names),
        }
    }
}

/// What the head of an answer says of the server that was asked.
fn signals(head: &ResponseHead, names: &HeaderNames) -> Signals {
    if head.status == MISDIRECTED {
        return Signals::default();
    }
    let fields = &head.fields;
    Signals {
        leaving: leaving(fields.all(names.leaving)),
        limit_per_s: limit_per_s(fields.all(names.limit)),
        hold_off_ms: match head.status {
            UNAVAILABLE => hold_off_ms(fields.all("retry-after"), SystemTime::now()),
            _ => Reading::Absent,
        },
    }
}
