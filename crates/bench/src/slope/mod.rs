//! Slopes: a quantity at several sizes, with a straight line fitted through the points.

mod fleet;
mod index;
mod limit;
mod place;
mod reclaim;
mod route;
mod watch;

use std::time::Instant;

use bpaf::Bpaf;
use serde::Serialize;

/// Quantity that is varied, and the one that is measured.
#[derive(Clone, Copy, Debug, Bpaf)]
pub enum Subject {
    /// Routing decision against servers and prompt blocks
    #[bpaf(command)]
    Route,
    /// Admission decision against workspaces and peers
    #[bpaf(command)]
    Limit,
    /// Prefix index memory against entries
    #[bpaf(command)]
    Index,
    /// Placement decision against VMs
    #[bpaf(command)]
    Place,
    /// Reclaim plan against streams and survivors
    #[bpaf(command)]
    Reclaim,
    /// Messages, bytes, processor time and memory of a node against nodes of the fleet
    #[bpaf(command)]
    Fleet,
    /// Choice of the reclaim notices a node reads against backend servers and nodes
    #[bpaf(command)]
    Watch,
}

/// Measures one subject and prints its lines.
pub fn run(subject: Subject, seed: u64) {
    match subject {
        Subject::Route => route::run(seed),
        Subject::Limit => limit::run(seed),
        Subject::Index => index::run(seed),
        Subject::Place => place::run(),
        Subject::Reclaim => reclaim::run(seed),
        Subject::Fleet => fleet::run(seed),
        Subject::Watch => watch::run(seed),
    }
}

/// A measured line.
#[derive(Debug, Serialize)]
pub struct Line {
    name: &'static str,
    size_unit: &'static str,
    value_unit: &'static str,
    /// Pairs of size and value.
    points: Vec<(f64, f64)>,
    /// Value per unit of size, by least squares.
    slope: f64,
    /// Value at size zero.
    intercept: f64,
}

/// Fits a line and prints it as one JSON object.
pub fn report(
    name: &'static str,
    size_unit: &'static str,
    value_unit: &'static str,
    points: Vec<(f64, f64)>,
) {
    let (slope, intercept) = fit(&points);
    let line = Line {
        name,
        size_unit,
        value_unit,
        points,
        slope,
        intercept,
    };
    match serde_json::to_string(&line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("The line {name} could not be written: {error}."),
    }
}

fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for (x, y) in points {
        covariance += (x - mean_x) * (y - mean_y);
        variance += (x - mean_x) * (x - mean_x);
    }
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

/// Median time of one call in microseconds, over batches of `calls`.
pub fn time_us(calls: usize, mut call: impl FnMut()) -> f64 {
    const BATCHES: usize = 9;
    let mut batches_us = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let started = Instant::now();
        for _ in 0..calls {
            call();
        }
        batches_us.push(started.elapsed().as_secs_f64() * 1e6 / calls as f64);
    }
    batches_us.sort_by(f64::total_cmp);
    batches_us[BATCHES / 2]
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|text| text.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
