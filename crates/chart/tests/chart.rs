//! Tests of the chart interpreter.

use chart::{Chart, ChartError};
use test_case::test_case;

const DOOR: &str = r#"
name = "door"
initial = "closed"
events = ["open", "close"]
[states.closed]
on = { open = "opened" }
ignores = ["close"]
[states.opened]
on = { close = "closed" }
ignores = ["open"]
"#;

#[test]
fn transitions_and_ignored_events() {
    let mut door = Chart::parse(DOOR).expect("valid chart").start();
    assert_eq!(door.apply("close"), "closed");
    assert_eq!(door.apply("open"), "opened");
    assert_eq!(door.apply("close"), "closed");
}

#[test_case("open = \"opened\"", "open = \"ajar\"", "UnknownState"; "unknown state")]
#[test_case("ignores = [\"close\"]", "ignores = []", "Unhandled"; "unhandled event")]
#[test_case("ignores = [\"close\"]", "ignores = [\"close\", \"lock\"]", "UnknownEvent"; "unknown event")]
#[test_case("initial = \"closed\"", "initial = \"shut\"", "UnknownState"; "unknown initial state")]
#[test_case("name = \"door\"", "title = \"door\"", "Syntax"; "unknown key")]
fn faulty_chart_is_refused(from: &str, to: &str, want: &str) {
    let got = match Chart::parse(&DOOR.replace(from, to)) {
        Err(ChartError::UnknownState { .. }) => "UnknownState",
        Err(ChartError::UnknownEvent { .. }) => "UnknownEvent",
        Err(ChartError::Unhandled { .. }) => "Unhandled",
        Err(ChartError::Syntax { .. }) => "Syntax",
        Ok(_) => "accepted",
    };
    assert_eq!(got, want);
}
