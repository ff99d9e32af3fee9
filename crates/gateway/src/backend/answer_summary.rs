//! Summary of an answer's head and connection, for flow control, logs and metrics.

use std::time::SystemTime;

use serde::Serialize;

use super::exchange::WriteProgress;
use super::pool::ConnOrigin;
use crate::decide::server_load::LoadReport;
use crate::decide::signal::{Reading, Signals, hold_off_ms, leaving, limit_per_s, refusals_per_s};
use crate::dialect::HeaderNames;
use crate::http::ResponseHead;

/// The status that may carry `Retry-After`.
const UNAVAILABLE: u16 = 503;

/// The status of a server that is not the one that the request was meant for.
const MISDIRECTED: u16 = 421;

/// Whether an answer carries the header field that says that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunMark {
    NotRun,
    /// The field is absent.
    None,
}

impl NotRunMark {
    /// Label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::None => "none",
        }
    }
}

/// Whether an answer echoes the request identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestNaming {
    Named,
    Unnamed,
}

impl RequestNaming {
    /// Label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Named => "named",
            Self::Unnamed => "unnamed",
        }
    }
}

/// Summary of an answer that was accepted as the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AnswerSummary {
    pub status: u16,
    pub mark: NotRunMark,
    pub naming: RequestNaming,
    pub connection: ConnOrigin,
    /// How much of the request had been written when the answer's head arrived.
    pub sent: WriteProgress,
    /// Number of answers to other requests that were skipped before this one.
    pub passed_over: u32,
    /// Backpressure signals of the server.
    #[serde(skip_serializing_if = "Signals::is_silent")]
    pub signals: Signals,
    /// The server's report on its load.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub load: Reading<LoadReport>,
}

impl AnswerSummary {
    /// Whether the server refused the request without running it, for want of room.
    pub fn is_refusal(&self) -> bool {
        self.status == UNAVAILABLE && self.mark == NotRunMark::NotRun
    }

    pub fn of(
        head: &ResponseHead,
        names: &HeaderNames,
        connection: ConnOrigin,
        sent: WriteProgress,
        passed_over: u32,
    ) -> Self {
        let mark = match head.fields.get(names.not_run) {
            Some(_) => NotRunMark::NotRun,
            None => NotRunMark::None,
        };
        let naming = match head.fields.get(names.request_id) {
            Some(_) => RequestNaming::Named,
            None => RequestNaming::Unnamed,
        };
        Self {
            status: head.status,
            mark,
            naming,
            connection,
            sent,
            passed_over,
            signals: signals(head, names),
            load: match head.status {
                // From another server.
                MISDIRECTED => Reading::Absent,
                _ => LoadReport::parse(head.fields.all(names.server_load)),
            },
        }
    }
}

/// Backpressure signals in the head of an answer. A 421 answer comes from another server, so its
/// signals are ignored.
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
        refusals_per_s: refusals_per_s(fields.all(names.brittle)),
    }
}
