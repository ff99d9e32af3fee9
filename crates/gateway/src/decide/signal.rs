//! What a backend server says of itself in the head of an answer.

use std::time::{Duration, SystemTime};

use base::units::Millisecond;
use serde::Serialize;

/// Highest limit that is taken for one, in requests a second: more than all nodes send (28,000 at the
/// size to come, docs/CAPACITY.md).
pub const MAX_LIMIT_PER_S: f64 = 100_000.0;

/// Longest time to hold off that is taken for one: a day, in seconds.
const MAX_HOLD_OFF_S: f64 = 86_400.0;

/// The value of a header field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reading<T> {
    /// The field is not there.
    #[default]
    Absent,
    /// Its value.
    Given(T),
    /// It is there, and its value is out of range, given twice or none at all.
    Unreadable,
}

impl<T> Reading<T> {
    /// The value, if there is one.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Given(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }

    /// Name in metrics; none without the field.
    pub fn label(&self) -> Option<&'static str> {
        match self {
            Self::Absent => None,
            Self::Given(_) => Some("given"),
            Self::Unreadable => Some("unreadable"),
        }
    }

    /// Whether the field is not there.
    pub fn is_absent(&self) -> bool {
        matches!(self, Self::Absent)
    }
}

/// The server takes no new work until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Leaving {
    /// It says so.
    Now,
}

/// What one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Signals {
    /// Whether it leaves.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub leaving: Reading<Leaving>,
    /// Requests a second that it takes from all nodes together.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub limit_per_s: Reading<f64>,
    /// Time for which it wants nothing from this node.
    #[serde(skip_serializing_if = "Reading::is_absent")]
    pub hold_off_ms: Reading<Millisecond>,
}

impl Signals {
    /// Whether it says nothing of itself.
    pub fn is_silent(&self) -> bool {
        *self == Self::default()
    }
}

/// Reads the values of the field that tells of leaving.
pub fn leaving<'a>(values: impl Iterator<Item = &'a [u8]>) -> Reading<Leaving> {
    parse_single(values, |text| (text == "1").then_some(Leaving::Now))
}

/// Reads the values of the field that names a limit.
pub fn limit_per_s<'a>(values: impl Iterator<Item = &'a [u8]>) -> Reading<f64> {
    parse_single(values, |text| parse_decimal(text, MAX_LIMIT_PER_S))
}

/// Reads the values of `Retry-After`: seconds, fractions too, or a date.
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

/// A decimal number from 0 to `most`; words such as `inf` and exponents are none.
fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let digits = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = digits.then(|| text.parse().ok()).flatten()?;
    (number <= max).then_some(number)
}

/// Seconds until a date; none if it has passed.
fn seconds_until(text: &str, now: SystemTime) -> Option<f64> {
    let date = httpdate::parse_http_date(text).ok()?;
    let span = date.duration_since(now).unwrap_or(Duration::ZERO);
    (span.as_secs_f64() <= MAX_HOLD_OFF_S).then_some(span.as_secs_f64())
}
