//! Rules side by side on the same seeds.

use std::path::PathBuf;

use emulator::experiment::Experiment;
use emulator::figures::Figures;
use emulator::world;
use gateway::decide::rule::Rule;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{CsvSnafu, LabError};
use crate::options::Compare;
use crate::table;

/// Figures of one play, as a line of CSV.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Name of the experiment.
    pub experiment: String,
    /// The value of the key that was varied.
    pub value: f64,
    /// The rule of choice.
    pub rule: String,
    /// The seed.
    pub seed: u64,
    /// Worth got less the servers' price, as a part of the worth owed.
    pub worth: f64,
    /// Worth got, as a part of the worth owed.
    pub served: f64,
    /// Part of the requests that were answered in time.
    pub in_time: f64,
    /// Part refused.
    pub refused: f64,
    /// Part that failed.
    pub failed: f64,
    /// Median time to the first token.
    pub first_p50_ms: u64,
    /// 95th percentile of it.
    pub first_p95_ms: u64,
    /// Price of the servers.
    pub servers: f64,
    /// Thousands of tokens of shared parts read.
    pub shared_read_k: f64,
    /// Attempts in other failure domains, for each request.
    pub crossed: f64,
    /// Megabytes between failure domains.
    pub crossed_mb: f64,
    /// Mean time to the first token.
    pub first_mean_ms: f64,
}

/// Plays an experiment for each rule, prints the table and writes the figures.
///
/// # Errors
///
/// The experiment cannot be played, or the figures cannot be written.
pub fn run(options: &Compare) -> Result<(), LabError> {
    let experiment = Experiment::open(&options.file)?;
    let rows = plays(&experiment, 0.0);
    print!("{}", table::text(&experiment.name, &rows));
    write(options.csv.as_ref(), &rows)
}

/// Plays all rules on all seeds; `value` is that of the key that is varied.
pub fn plays(experiment: &Experiment, value: f64) -> Vec<Row> {
    let mut rows = Vec::new();
    for rule in &experiment.rules {
        for seed in &experiment.seeds {
            let figures = world::play(experiment, *rule, *seed);
            rows.push(row(experiment, value, *rule, *seed, &figures));
        }
    }
    rows
}

/// Writes figures as CSV, if there is a file for them.
///
/// # Errors
///
/// The file cannot be written.
pub fn write(path: Option<&PathBuf>, rows: &[Row]) -> Result<(), LabError> {
    let Some(path) = path else {
        return Ok(());
    };
    let mut writer = csv::Writer::from_path(path).context(CsvSnafu { path })?;
    for row in rows {
        writer.serialize(row).context(CsvSnafu { path })?;
    }
    let flushed = writer.flush().map_err(csv::Error::from);
    flushed.context(CsvSnafu { path })
}

fn row(experiment: &Experiment, value: f64, rule: Rule, seed: u64, figures: &Figures) -> Row {
    let part = |count: u64| count as f64 / (figures.asked as f64).max(1.0);
    Row {
        experiment: experiment.name.clone(),
        value,
        rule: rule.label().to_owned(),
        seed,
        worth: figures.worth(),
        served: figures.served(),
        in_time: part(figures.in_time),
        refused: part(figures.refused),
        failed: part(figures.failed),
        first_p50_ms: figures.first_ms(0.5),
        first_p95_ms: figures.first_ms(0.95),
        servers: figures.servers,
        shared_read_k: figures.shared_read_tokens as f64 / 1_000.0,
        crossed: figures.crossed_share(),
        crossed_mb: figures.crossed_kb / 1_024.0,
        first_mean_ms: figures.mean_first_ms(),
    }
}
