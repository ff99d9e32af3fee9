//! What the log of all nodes tells about refusals, failed attempts, late answers and orders.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde::Deserialize;

use super::lateness::{FinishedFields, Lateness};

/// Silence of all nodes after which none of them is assumed to run. A running fleet under load logs
/// several lines a second.
const DARK_S: f64 = 0.3;

/// Length of the windows in which events are counted.
pub const WINDOW_S: f64 = 2.0;

/// Counts and times from the log of all nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogSummary {
    /// Refusals by code.
    pub refusals: BTreeMap<String, Refusals>,
    /// Failed attempts at backend servers, by cause.
    pub failed_attempts: BTreeMap<String, u64>,
    /// Late answers, if the log carries their times.
    pub lateness: Lateness,
    /// Orders of backend servers by kind of purchase and outcome.
    pub orders: BTreeMap<(String, OrderOutcome), u64>,
    /// Periods without a line from any node, in seconds from the start of traffic.
    pub dark: Vec<(f64, f64)>,
    /// Server-seconds that the load kept busy while reclaimable servers could be bought.
    pub busy_reclaimable_s: f64,
    /// Server-seconds that the load kept busy while none could be bought.
    pub busy_on_demand_s: f64,
    /// Lines that are not log events.
    pub skipped_lines: u64,
}

/// Refusals with one code.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refusals {
    pub count: u64,
    /// `Retry-After` of each refusal that has one, sorted by [`LogSummary::read`].
    pub retry_after_ms: Vec<u64>,
    /// Refusals by number of the window.
    pub by_window: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderOutcome {
    Accepted,
    Refused,
    Unanswered,
}

impl OrderOutcome {
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }

    fn of(outcome: &str) -> Self {
        match outcome {
            "taken" => Self::Accepted,
            "The platform refused the call." => Self::Refused,
            _ => Self::Unanswered,
        }
    }
}

#[derive(Deserialize)]
struct RefusedFields {
    code: String,
    retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
struct FailedFields {
    cause: String,
}

#[derive(Deserialize)]
struct OrderedFields {
    purchase: String,
    busy: Option<f64>,
    outcome: String,
}

/// The latest order, from which the load until the next one is known.
#[derive(Clone, Copy)]
struct KnownLoad {
    at_s: f64,
    busy: f64,
    reclaimable: bool,
}

/// One log event: its time, code and fields.
struct Event<'a> {
    at_s: f64,
    code: &'a str,
    fields: &'a str,
}

impl LogSummary {
    /// Reads a log whose lines begin with the time in seconds from the start of traffic. Other lines
    /// are counted and skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn read(log: impl BufRead) -> std::io::Result<Self> {
        let mut summary = Self::default();
        let mut load: Option<KnownLoad> = None;
        let mut last_s: Option<f64> = None;
        for line in log.lines() {
            let line = line?;
            let Some(event) = parse_event(&line) else {
                summary.skipped_lines += 1;
                continue;
            };
            if let Some(last_s) = last_s.filter(|last_s| event.at_s - last_s > DARK_S) {
                summary.dark.push((last_s, event.at_s));
            }
            last_s = Some(event.at_s.max(last_s.unwrap_or(event.at_s)));
            if !summary.count(&event, &mut load) {
                summary.skipped_lines += 1;
            }
        }
        summary.dark.retain(|(_, until_s)| *until_s > 0.0);
        for refusals in summary.refusals.values_mut() {
            refusals.retry_after_ms.sort_unstable();
        }
        Ok(summary)
    }

    /// Counts an event. Returns false if its fields cannot be read, for example as the line was cut.
    fn count(&mut self, event: &Event<'_>, load: &mut Option<KnownLoad>) -> bool {
        match event.code {
            "E201" => {
                let Ok(fields) = serde_json::from_str::<RefusedFields>(event.fields) else {
                    return false;
                };
                let refusals = self.refusals.entry(fields.code).or_default();
                refusals.count += 1;
                refusals.retry_after_ms.extend(fields.retry_after_ms);
                let window = (event.at_s.max(0.0) / WINDOW_S) as u64;
                *refusals.by_window.entry(window).or_default() += 1;
            }
            "E202" => {
                let Ok(fields) = serde_json::from_str::<FinishedFields>(event.fields) else {
                    return false;
                };
                self.lateness.count(event.at_s, fields);
            }
            "E302" => {
                let Ok(fields) = serde_json::from_str::<FailedFields>(event.fields) else {
                    return false;
                };
                *self.failed_attempts.entry(fields.cause).or_default() += 1;
            }
            "E612" => {
                let Ok(fields) = serde_json::from_str::<OrderedFields>(event.fields) else {
                    return false;
                };
                self.count_order(event.at_s, fields, load);
            }
            _ => {}
        }
        true
    }

    fn count_order(&mut self, at_s: f64, fields: OrderedFields, load: &mut Option<KnownLoad>) {
        let outcome = OrderOutcome::of(&fields.outcome);
        if let Some(before) = load {
            let busy_s = before.busy * (at_s - before.at_s).max(0.0);
            match before.reclaimable {
                true => self.busy_reclaimable_s += busy_s,
                false => self.busy_on_demand_s += busy_s,
            }
        }
        let was_reclaimable = load.is_none_or(|before| before.reclaimable);
        let reclaimable = match (fields.purchase.as_str(), outcome) {
            ("reclaimable", OrderOutcome::Accepted) => true,
            ("reclaimable", OrderOutcome::Refused) => false,
            _ => was_reclaimable,
        };
        *load = Some(KnownLoad {
            at_s,
            busy: fields.busy.unwrap_or(0.0),
            reclaimable,
        });
        *self.orders.entry((fields.purchase, outcome)).or_default() += 1;
    }
}

impl Refusals {
    /// Median `Retry-After`; `None` if no refusal has one.
    pub fn median_retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
            .get(self.retry_after_ms.len() / 2)
            .copied()
    }

    /// Start of the window with the most refusals, in seconds, and their number.
    pub fn busiest(&self) -> Option<(f64, u64)> {
        let busiest = self.by_window.iter().max_by_key(|(_, count)| **count)?;
        Some((*busiest.0 as f64 * WINDOW_S, *busiest.1))
    }
}

fn parse_event(line: &str) -> Option<Event<'_>> {
    let at_s = line.split_whitespace().next()?.parse().ok()?;
    let fields = &line[line.find('{')?..];
    let is_code = |word: &&str| {
        word.len() == 4 && word.starts_with('E') && word[1..].bytes().all(|b| b.is_ascii_digit())
    };
    let code = line.split_whitespace().take(6).find(is_code)?;
    Some(Event { at_s, code, fields })
}
