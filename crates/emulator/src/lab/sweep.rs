//! One experiment for several values of one key.

use std::path::Path;

use emulator::experiment::Experiment;
use snafu::OptionExt;

use crate::compare::{plays, write};
use crate::error::{KeySnafu, LabError};
use crate::options::Sweep;
use crate::table;

/// Plays the experiment for each value, prints the table and writes the figures.
///
/// # Errors
///
/// The experiment cannot be played, the key names no number of it, or the figures cannot be
/// written.
pub fn run(options: &Sweep) -> Result<(), LabError> {
    let text = Experiment::read(&options.file)?;
    let experiment = Experiment::parse(&text, &options.file)?;
    let mut rows = Vec::new();
    for value in &options.values {
        let varied = with(&text, &options.key, *value, &options.file)?;
        rows.extend(plays(&varied, *value));
    }
    let title = format!("{}, {}", experiment.name, options.key);
    print!("{}", table::text(&title, &rows));
    write(options.csv.as_ref(), &rows)
}

fn with(text: &str, key: &str, value: f64, path: &Path) -> Result<Experiment, LabError> {
    let mut whole: toml::Value = toml::from_str(text).ok().context(KeySnafu { key })?;
    let mut place = &mut whole;
    for part in key.split('.') {
        let next = match place {
            toml::Value::Table(table) => table.get_mut(part),
            toml::Value::Array(list) => part.parse().ok().and_then(|n: usize| list.get_mut(n)),
            _ => None,
        };
        place = next.context(KeySnafu { key })?;
    }
    *place = match place {
        toml::Value::Integer(_) => toml::Value::Integer(value as i64),
        toml::Value::Float(_) => toml::Value::Float(value),
        _ => return KeySnafu { key }.fail(),
    };
    let text = toml::to_string(&whole).ok().context(KeySnafu { key })?;
    Ok(Experiment::parse(&text, path)?)
}
