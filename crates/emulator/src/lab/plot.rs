//! Pictures of a sweep: a line for each rule, a bar for each confidence interval.

use std::path::Path;

use plotters::prelude::*;
use snafu::ResultExt;

use crate::error::{ColumnSnafu, CsvSnafu, LabError};
use crate::options::Plot;
use crate::table::{Estimate, estimate};

/// Size of a picture, in points.
const SIZE: (u32, u32) = (800, 500);

/// Room around and beside the axes, in points.
const MARGIN: u32 = 20;

/// Room for the axes' numbers, in points.
const LABELS: u32 = 50;

type Line = (String, Vec<(f64, Estimate)>);

/// Draws a column of a sweep's figures.
///
/// # Errors
///
/// The figures cannot be read, the column holds no numbers, or the picture cannot be written.
pub fn run(options: &Plot) -> Result<(), LabError> {
    let lines = lines(&options.file, &options.column)?;
    let drawn = draw(&lines, options);
    drawn.map_err(|error| LabError::Picture {
        path: options.svg.clone(),
        reason: error.to_string(),
    })
}

fn lines(path: &Path, column: &str) -> Result<Vec<Line>, LabError> {
    let mut reader = csv::Reader::from_path(path).context(CsvSnafu { path })?;
    let mut found: Vec<(String, f64, Vec<f64>)> = Vec::new();
    for record in reader.deserialize::<std::collections::HashMap<String, String>>() {
        let record = record.context(CsvSnafu { path })?;
        let number = |key: &str| record.get(key).and_then(|text| text.parse::<f64>().ok());
        let rule = record.get("rule").cloned().unwrap_or_default();
        let (Some(value), Some(figure)) = (number("value"), number(column)) else {
            return ColumnSnafu { path, column }.fail();
        };
        let same = found.iter_mut().find(|(r, v, _)| *r == rule && *v == value);
        match same {
            Some((_, _, figures)) => figures.push(figure),
            None => found.push((rule, value, vec![figure])),
        }
    }
    let mut lines: Vec<Line> = Vec::new();
    for (rule, value, figures) in found {
        let point = (value, estimate(&figures));
        match lines.iter_mut().find(|(r, _)| *r == rule) {
            Some((_, points)) => points.push(point),
            None => lines.push((rule, vec![point])),
        }
    }
    match lines.is_empty() {
        true => ColumnSnafu { path, column }.fail(),
        false => Ok(lines),
    }
}

fn draw(lines: &[Line], options: &Plot) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let values = points().map(|(value, _)| *value);
    let lows = points().map(|(_, e)| e.mean - e.half);
    let highs = points().map(|(_, e)| e.mean + e.half);
    let x = values.clone().fold(f64::MAX, f64::min)..values.fold(f64::MIN, f64::max);
    let y = lows.fold(f64::MAX, f64::min)..highs.fold(f64::MIN, f64::max);
    let area = SVGBackend::new(&options.svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .caption(&options.column, ("sans-serif", MARGIN))
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(x, y)?;
    chart.configure_mesh().draw()?;
    for (number, (rule, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let means = points.iter().map(|(value, e)| (*value, e.mean));
        chart
            .draw_series(LineSeries::new(means, &color))?
            .label(rule)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + MARGIN as i32, y)], color));
        let bars = points.iter().map(|(value, e)| {
            let ends = [(*value, e.mean - e.half), (*value, e.mean + e.half)];
            PathElement::new(ends, color)
        });
        chart.draw_series(bars)?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
