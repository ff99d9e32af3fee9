//! Tables: the mean of each figure over the seeds, and its confidence interval.

use std::fmt::Write;

use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

use crate::compare::Row;

/// Confidence of the intervals.
const CONFIDENCE: f64 = 0.95;

/// A mean and half the width of its confidence interval; 0 for one value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half the width.
    pub half: f64,
}

/// Estimates a mean.
pub fn estimate(values: &[f64]) -> Estimate {
    let mean = values.mean();
    let count = values.len() as f64;
    let freedom = StudentsT::new(0.0, 1.0, count - 1.0);
    let Ok(freedom) = freedom else {
        return Estimate { mean, half: 0.0 };
    };
    let times = freedom.inverse_cdf(0.5 + CONFIDENCE / 2.0);
    let half = times * values.std_dev() / count.sqrt();
    Estimate { mean, half }
}

/// One line for each value and rule.
pub fn text(name: &str, rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{name}\n{:>8}  {:<18} {:>15} {:>15} {:>15} {:>8} {:>8} {:>8} {:>8} {:>9} {:>11}",
        "value",
        "rule",
        "worth",
        "served",
        "in time",
        "refused",
        "failed",
        "p50 ms",
        "p95 ms",
        "servers",
        "shared read"
    );
    let mut groups: Vec<(f64, &str)> = Vec::new();
    for row in rows {
        let group = (row.value, &*row.rule);
        if !groups.contains(&group) {
            groups.push(group);
        }
    }
    for (value, rule) in groups {
        let of_group = rows.iter().filter(|r| r.value == value && r.rule == rule);
        let of_group: Vec<&Row> = of_group.collect();
        let of = |figure: fn(&Row) -> f64| -> Estimate {
            let values: Vec<f64> = of_group.iter().map(|row| figure(row)).collect();
            estimate(&values)
        };
        let _ = writeln!(
            text,
            "{value:>8}  {rule:<18} {:>15} {:>15} {:>15} {:>8.3} {:>8.3} {:>8.0} {:>8.0} {:>9.0} {:>10.0}k",
            interval(of(|r| r.worth)),
            interval(of(|r| r.served)),
            interval(of(|r| r.in_time)),
            of(|r| r.refused).mean,
            of(|r| r.failed).mean,
            of(|r| r.first_p50_ms as f64).mean,
            of(|r| r.first_p95_ms as f64).mean,
            of(|r| r.servers).mean,
            of(|r| r.shared_read_k).mean,
        );
    }
    text
}

fn interval(estimate: Estimate) -> String {
    format!("{:.3} +- {:.3}", estimate.mean, estimate.half)
}
