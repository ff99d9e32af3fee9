//! Log lines, as text or as JSON, with or without what a collector puts before them.

use std::time::{Duration, UNIX_EPOCH};

use serde_json::{Map, Value};

#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Unix time, by the node's clock.
    pub at: Duration,
    /// The node: the last word before the time, or the name of the file.
    pub node: String,
    /// Number in the catalogue.
    pub number: u16,
    /// Name in the catalogue.
    pub name: String,
    /// Fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` for one that holds no event.
    pub fn parse(text: &str, source: &str) -> Option<Self> {
        match text.starts_with('{') {
            true => Self::parse_json(text, source),
            false => Self::parse_text(text, source),
        }
    }

    /// Value of a field as text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn parse_json(text: &str, source: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(text).ok()?;
        Some(Self {
            at: instant(value["time"].as_str()?)?,
            node: source.to_owned(),
            number: value["event"].as_u64()?.try_into().ok()?,
            name: value["name"].as_str()?.to_owned(),
            fields: value["fields"].as_object()?.clone(),
        })
    }

    /// `[… NODE] TIME LEVEL E300 route.chosen {…}`.
    fn parse_text(text: &str, source: &str) -> Option<Self> {
        let (head, fields) = text.split_at(text.find('{')?);
        let words: Vec<&str> = head.split_whitespace().collect();
        let place = words.iter().position(|word| instant(word).is_some())?;
        let [time, _, number, name] = words.get(place..place + 4)? else {
            return None;
        };
        let before = place.checked_sub(1).map(|before| words[before]);
        Some(Self {
            at: instant(time)?,
            node: before.unwrap_or(source).to_owned(),
            number: number.strip_prefix('E')?.parse().ok()?,
            name: (*name).to_owned(),
            fields: serde_json::from_str(fields).ok()?,
        })
    }
}

fn instant(word: &str) -> Option<Duration> {
    let utc = word.strip_suffix("+00:00").map(|time| format!("{time}Z"));
    let time = humantime::parse_rfc3339(utc.as_deref().unwrap_or(word)).ok()?;
    time.duration_since(UNIX_EPOCH).ok()
}
