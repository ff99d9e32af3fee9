//! Results as JSON.

use super::Report;

/// Renders a result.
pub fn render(report: &Report) -> String {
    serde_json::to_string_pretty(report).expect("a report always has a JSON form")
}
