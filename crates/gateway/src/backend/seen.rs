//! What an answer's head shows of where it came from, for logs and metrics.

use serde::Serialize;

use super::exchange::Sent;
use super::pool::Origin;
use crate::dialect::HeaderNames;
use crate::http::ResponseHead;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Seen {
    /// Status code.
    pub status: u16,
    /// Whether the server says that it did not run the request.
    pub mark: Mark,
    /// Whether it names the request.
    pub naming: Naming,
    /// How the connection came.
    pub connection: Origin,
    /// How much of the request had been written.
    pub sent: Sent,
    /// Answers to other requests that were passed over before it.
    pub passed_over: u32,
}

impl Seen {
    /// Reads what `head` shows.
    pub fn of(
        head: &ResponseHead,
        names: &HeaderNames,
        connection: Origin,
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
        }
    }
}
