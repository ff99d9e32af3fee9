//! Signals that a backend server sends in the head of an answer.

use std::time::{Duration, SystemTime};

use base::units::Millisecond;
use serde::Serialize;

/// Highest limit that is accepted, in requests per second; a higher one counts as unreadable. All
/// nodes of the largest planned system together send 28,000 per second.
pub const MAX_LIMIT_PER_S: f64 = 100_000.0;

/// Longest accepted time to hold off, in seconds: one day.
const MAX_HOLD_OFF_S: f64 = 86_400.0;

/// A header field's value, as far as it could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reading<T> {
    /// The field is missing.
    #[default]
    Absent,
    Given(T),
    /// The field is present, but its value is invalid, out of range, or given more than once.
    Unreadable,
}

impl<T> Reading<T> {
    /// The value, if it could be read.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Given(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }

    /// Label in metrics; `None` if the field is missing.
    pub fn label(&self) -> Option<&'static str> {
        match self {
            Self::Absent => None,
            Self::Given(_) => Some("given"),
            Self::Unreadable => Some("unreadable"),
        }
    }

    pub fn is_absent(&self) -> bool {
        matches!(self, Self::Absent)
    }
}

/// Announcement of a server that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Leaving {
    /// The server takes no new work and is about to stop.
    Now,
}

/// The signals of a server in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Signals {
    /// Announcement that the server is leaving.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub leaving: Reading<Leaving>,
    /// Requests per second that the server takes from all nodes together.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub limit_per_s: Reading<f64>,
    /// Time for which the server wants no request from this node.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub hold_off_ms: Reading<Millisecond>,
    /// The server is brittle: it falls over if it has to refuse more requests than this in a second,
    /// those of all nodes together.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub refusals_per_s: Reading<f64>,
}

impl Signals {
    /// Whether the answer carries no signal.
    pub fn is_silent(&self) -> bool {
        *self == Self::default()
    }
}

/// Parses the values of the header field that announces that the server is leaving.
pub fn leaving<'a>(values: impl Iterator<Item = &'a [u8]>) -> Reading<Leaving> {
    parse_single(values, |text| (text == "1").then_some(Leaving::Now))
}

/// Parses the values of the header field that names a limit.
pub fn limit_per_s<'a>(values: impl Iterator<Item = &'a [u8]>) -> Reading<f64> {
    parse_single(values, |text| parse_decimal(text, MAX_LIMIT_PER_S))
}

/// Parses the values of the header field that names how many refusals a brittle server bears.
pub fn refusals_per_s<'a>(values: impl Iterator<Item = &'a [u8]>) -> Reading<f64> {
    parse_single(values, |text| parse_decimal(text, MAX_LIMIT_PER_S))
}

/// Parses the values of `Retry-After`: a number of seconds, possibly fractional, or a date.
pub fn hold_off_ms<'a>(
    values: impl Iterator<Item = &'a [u8]>,
    now: SystemTime,
) -> Reading<Millisecond> {
    parse_single(values, |text| {
        let seconds = parse_decimal(text, MAX_HOLD_OFF_S).or_else(|| seconds_until(text, now));
        seconds.map(|seconds| (seconds * 1_000.0).ceil() as Millisecond)
    })
}

fn parse_single<'a, T>(
    mut values: impl Iterator<Item = &'a [u8]>,
    parse: impl Fn(&str) -> Option<T>,
) -> Reading<T> {
    let Some(first) = values.next() else {
        return Reading::Absent;
    };
    if values.next().is_some() {
        return Reading::Unreadable;
    }
    let text = std::str::from_utf8(first).ok().map(str::trim);
    text.and_then(parse)
        .map_or(Reading::Unreadable, Reading::Given)
}

/// Parses a decimal number from 0 to `max`. Words such as `inf` and exponents are invalid.
fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let digits = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = digits.then(|| text.parse().ok()).flatten()?;
    (number <= max).then_some(number)
}

/// Seconds until a date, 0 if it has passed; `None` if it is invalid or more than a day away.
fn seconds_until(text: &str, now: SystemTime) -> Option<f64> {
    let date = httpdate::parse_http_date(text).ok()?;
    let span = date.duration_since(now).unwrap_or(Duration::ZERO);
    (span.as_secs_f64() <= MAX_HOLD_OFF_S).then_some(span.as_secs_f64())
}
