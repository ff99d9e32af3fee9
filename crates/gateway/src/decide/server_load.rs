//! Load that a server reports on its responses, and the estimate of its current load.

use std::collections::VecDeque;

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::signal::Reading;
use super::speed::Basis;

/// Most requests that a report may name as waiting; more is a damaged report.
const WAITING_LIMIT: u32 = 65_535;

/// Most slots of a server.
const SLOTS_LIMIT: u32 = 65_535;

const PACE_PERCENT: std::ops::RangeInclusive<u32> = 20..=2_000;

/// A pace counts less and less over this time: neighbours slow a server for some hundred
/// milliseconds.
const PACE_MS: f64 = 500.0;

/// A report is used for this time at most: an answer takes seconds.
const AGE_LIMIT_MS: Millisecond = 2_000;

/// A report replaces the counts of other nodes if it is younger than their mean age by this factor.
/// In plays with a factor of 1, nodes that all had the same report chose the same server, and half of
/// the predictions were off by 1.30 instead of 1.21.
const REPORT_AGE_DIVISOR: Millisecond = 4;

/// Difference from the usual pace, in percent, that other nodes hear of.
const SHARED_PACE_PERCENT: u32 = 10;

/// Time for which a server's reports are not used after its responses contradicted one.
const DISTRUST_MS: Millisecond = 2_000;

/// A response contradicts the report if the prediction from it was off by more than this factor,
/// and the prediction without it by less than the factor below times that.
const CONTRADICTION_FACTOR: f64 = 2.5;
const BETTER_WITHOUT_SHARE: f64 = 0.6;

/// Time between two log lines about one server.
const LOG_PAUSE_MS: Millisecond = 1_000;

/// Most own sends and completions that are kept for each server.
const CHANGES_LIMIT: usize = 256;

/// Most load reports of servers in a heartbeat.
pub const SERVER_LOADS_LIMIT: usize = 32;

/// A server's report on its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time.
    #[serde(default = "usual_pace", skip_serializing_if = "is_usual_pace")]
    pub pace: u32,
}

fn usual_pace() -> u32 {
    100
}

fn is_usual_pace(pace: &u32) -> bool {
    *pace == usual_pace()
}

impl LoadReport {
    /// Parses the values of the header field: `running,waiting,slots`, possibly with the pace.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Reading<Self> {
        let Some(first) = values.next() else {
            return Reading::Absent;
        };
        let text = std::str::from_utf8(first).ok();
        let report = text.and_then(Self::parse_text);
        match (report, values.next()) {
            (Some(report), None) if report.is_plausible() => Reading::Given(report),
            (Some(_) | None, _) => Reading::Unreadable,
        }
    }

    fn parse_text(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(str::trim);
        let mut count = || figures.next()?.parse().ok();
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let report = Self {
            running,
            waiting,
            slots,
            pace: match figures.next() {
                Some(pace) => {
                    let pace: f64 = pace.parse().ok()?;
                    // A pace that is no number, or out of range, becomes an implausible one.
                    pace.round() as u32
                }
                None => usual_pace(),
            },
        };
        figures.next().is_none().then_some(report)
    }

    /// Whether a server can have this load.
    pub fn is_plausible(&self) -> bool {
        (1..=SLOTS_LIMIT).contains(&self.slots)
            && self.running <= self.slots
            && self.waiting <= WAITING_LIMIT
            && PACE_PERCENT.contains(&self.pace)
    }
}

/// A load report that a node has received itself, for other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedLoad {
    #[serde(rename = "s")]
    pub server: Name,
    #[serde(flatten)]
    pub report: LoadReport,
    #[serde(rename = "a")]
    pub age_ms: Millisecond,
}

/// A report and when it was made, on this node's clock.
#[derive(Clone, Copy, Debug)]
struct Reported {
    report: LoadReport,
    at_ms: Millisecond,
}

/// Age up to which a report replaces counts of other nodes that are `counts_age_ms` old.
pub fn replacing_age_ms(counts_age_ms: Millisecond) -> Millisecond {
    counts_age_ms / REPORT_AGE_DIVISOR
}

/// What a report says of a server's load now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentLoad {
    /// Requests that run or wait.
    pub running: u32,
    /// How much longer than usual work takes.
    pub pace: f64,
    pub age_ms: Millisecond,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Sent,
    Ended,
}

/// Load reports of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    /// The newest report of all nodes.
    newest: Option<Reported>,
    /// The newest report that this node has received itself.
    own: Option<Reported>,
    /// This node's sends and completions of the last seconds.
    changes: VecDeque<(Millisecond, Change)>,
    distrusted_until_ms: Millisecond,
    /// When the last rejection was logged.
    logged_ms: Option<Millisecond>,
}

impl ServerLoad {
    /// Records a report that came with a response to this node.
    pub fn record_own(&mut self, report: LoadReport, now_ms: Millisecond) {
        let reported = Reported {
            report,
            at_ms: now_ms,
        };
        self.own = Some(reported);
        self.newest = Some(reported);
    }

    /// Records a report that another node has received.
    pub fn record_shared(&mut self, shared: &SharedLoad, now_ms: Millisecond) {
        let at_ms = now_ms.saturating_sub(shared.age_ms);
        if self.newest.is_some_and(|newest| newest.at_ms >= at_ms) {
            return;
        }
        self.newest = Some(Reported {
            report: shared.report,
            at_ms,
        });
    }

    /// Records that this node sends the server a request.
    pub fn record_send(&mut self, now_ms: Millisecond) {
        self.record_change(Change::Sent, now_ms);
    }

    /// Records that a request of this node has left the server.
    pub fn record_end(&mut self, now_ms: Millisecond) {
        self.record_change(Change::Ended, now_ms);
    }

    fn record_change(&mut self, change: Change, now_ms: Millisecond) {
        let is_old = |at_ms: Millisecond| now_ms.saturating_sub(at_ms) > AGE_LIMIT_MS;
        while let Some((at_ms, _)) = self.changes.front()
            && (is_old(*at_ms) || self.changes.len() >= CHANGES_LIMIT)
        {
            self.changes.pop_front();
        }
        self.changes.push_back((now_ms, change));
    }

    /// The server's load by its newest report and this node's sends and completions since; `None`
    /// without a usable report.
    pub fn current(&self, now_ms: Millisecond) -> Option<CurrentLoad> {
        let Reported { report, at_ms } = self.newest?;
        let age_ms = now_ms.saturating_sub(at_ms);
        if age_ms > AGE_LIMIT_MS || now_ms < self.distrusted_until_ms {
            return None;
        }
        let since = self.changes.iter().rev();
        let since = since.take_while(|(changed_ms, _)| *changed_ms > at_ms);
        let change: i64 = since
            .map(|(_, change)| match change {
                Change::Sent => 1,
                Change::Ended => -1,
            })
            .sum();
        let reported = i64::from(report.running + report.waiting);
        let decay = (1.0 - age_ms as f64 / PACE_MS).max(0.0);
        Some(CurrentLoad {
            running: (reported + change).max(0) as u32,
            pace: 1.0 + (f64::from(report.pace) / 100.0 - 1.0) * decay,
            age_ms,
        })
    }

    /// Compares a real time to first byte with the predictions from a report and without it. Returns
    /// whether the response contradicts the report, so that none is used for a while.
    pub fn check(&mut self, check: &ReportCheck, now_ms: Millisecond) -> bool {
        let is_contradicted = check.is_contradicted();
        if is_contradicted {
            self.distrusted_until_ms = now_ms + DISTRUST_MS;
        }
        is_contradicted
    }

    /// The newest report and its age, for logs.
    pub fn newest(&self, now_ms: Millisecond) -> Option<(LoadReport, Millisecond)> {
        self.newest
            .map(|newest| (newest.report, now_ms.saturating_sub(newest.at_ms)))
    }

    /// Whether a rejection may be logged now: at most one a second.
    pub fn take_log_turn(&mut self, now_ms: Millisecond) -> bool {
        let is_due = (self.logged_ms).is_none_or(|at_ms| now_ms >= at_ms + LOG_PAUSE_MS);
        if is_due {
            self.logged_ms = Some(now_ms);
        }
        is_due
    }

    /// The newest report that this node has received itself, if other nodes can use it: an older one
    /// would fill thin links for nothing. `counts_age_ms` is the mean age of other nodes' counts.
    pub fn shared(
        &self,
        server: &Name,
        counts_age_ms: Millisecond,
        now_ms: Millisecond,
    ) -> Option<SharedLoad> {
        let Reported { report, at_ms } = self.own?;
        let age_ms = now_ms.saturating_sub(at_ms);
        let limit_ms = match report.pace.abs_diff(usual_pace()) >= SHARED_PACE_PERCENT {
            true => PACE_MS as Millisecond,
            false => replacing_age_ms(counts_age_ms),
        };
        (age_ms <= limit_ms).then(|| SharedLoad {
            server: server.clone(),
            report,
            age_ms,
        })
    }
}

/// A real time to first byte and its two predictions.
#[derive(Clone, Copy, Debug)]
pub struct ReportCheck {
    pub real_ms: f64,
    pub with_report_ms: f64,
    pub without_report_ms: f64,
}

impl ReportCheck {
    /// The times of one request; `None` if no report contributed to its prediction.
    pub fn of(basis: &Basis, after_ms: Millisecond) -> Option<Self> {
        Some(Self {
            real_ms: after_ms as f64,
            with_report_ms: basis.predicted_ms(),
            without_report_ms: basis.without_report_ms?,
        })
    }

    fn is_contradicted(&self) -> bool {
        let deviation = |predicted_ms: f64| {
            let ratio = (self.real_ms + 0.5) / predicted_ms.max(0.5);
            ratio.max(1.0 / ratio)
        };
        let with_report = deviation(self.with_report_ms);
        with_report > CONTRADICTION_FACTOR
            && deviation(self.without_report_ms) < with_report * BETTER_WITHOUT_SHARE
    }
}

/// The newest of the reports that a node has received itself.
pub fn newest(mut loads: Vec<SharedLoad>) -> Vec<SharedLoad> {
    loads.sort_by_key(|load| load.age_ms);
    loads.truncate(SERVER_LOADS_LIMIT);
    loads
}
