//! A bar for each run: recomputed tokens and cost, by policy.

use std::fmt::Write;

use super::tally::Summary;

const BAR_PX: f64 = 14.0;
const LABEL_PX: f64 = 190.0;
const WIDTH_PX: f64 = 300.0;

/// The plot as SVG text.
pub fn svg(summaries: &[Summary]) -> String {
    let recomputed = |s: &Summary| s.recomputed_tokens as f64;
    let cost = |s: &Summary| s.cents_per_1000_on_time;
    let height_px = (summaries.len() as f64 + 2.0) * BAR_PX;
    let width_px = 2.0 * (LABEL_PX + WIDTH_PX + 60.0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width_px}\" height=\"{height_px}\" \
         font-family=\"sans-serif\" font-size=\"11\">"
    );
    panel(&mut svg, 0.0, "recomputed tokens", summaries, recomputed);
    let second_px = LABEL_PX + WIDTH_PX + 60.0;
    panel(
        &mut svg,
        second_px,
        "cents per 1,000 on time",
        summaries,
        cost,
    );
    svg.push_str("</svg>\n");
    svg
}

fn panel(
    svg: &mut String,
    left_px: f64,
    title: &str,
    summaries: &[Summary],
    value: impl Fn(&Summary) -> f64,
) {
    let largest = summaries.iter().map(&value).fold(1e-9, f64::max);
    let _ = write!(svg, "<text x=\"{left_px}\" y=\"11\">{title}</text>");
    for (row, summary) in summaries.iter().enumerate() {
        let y = (row as f64 + 1.5) * BAR_PX;
        let bar_px = value(summary) / largest * WIDTH_PX;
        let x = left_px + LABEL_PX;
        let (policy, seed) = (&summary.policy, summary.seed);
        let _ = write!(
            svg,
            "<text x=\"{left_px}\" y=\"{}\">{policy}, seed {seed}</text>\
             <rect x=\"{x}\" y=\"{y}\" width=\"{bar_px:.1}\" height=\"{}\" fill=\"#4a7\"/>\
             <text x=\"{}\" y=\"{}\">{:.0}</text>",
            y + 10.0,
            BAR_PX - 3.0,
            x + bar_px + 4.0,
            y + 10.0,
            value(summary),
        );
    }
}
