//! `explain` on logs of several nodes.

use crate::support::{Tool, repository};

#[test]
fn a_requests_story_over_two_nodes() {
    let run = Tool::new("explain aa01");
    let run = run
        .arg(repository("crates/cli/tests/cli/two-nodes.log"))
        .run();
    let run = run.expect_code(0);
    let story: Vec<&str> = run.stdout.lines().collect();
    let at = |text: &str| {
        let found = story.iter().position(|line| line.contains(text));
        found.unwrap_or_else(|| panic!("{text} is missing:\n{}", run.stdout))
    };
    assert!(at("store.lost") < at("route.chosen server=s1"));
    assert!(at("route.chosen server=s1") < at("attempt.failed server=s1"));
    assert!(at("attempt.failed server=s1") < at("route.chosen server=s2"));
    assert!(at("route.chosen server=s2") < at("request.finished"));
    assert!(run.stdout.contains("  backend.gone: "));
    assert!(
        !run.stdout.contains("bb02"),
        "another request's line is told"
    );
    assert!(
        !run.stdout.contains("server=s9"),
        "another server's line is told"
    );
}

#[test]
fn a_request_that_no_line_names() {
    let run = Tool::new("explain cc03");
    let run = run
        .arg(repository("crates/cli/tests/cli/two-nodes.log"))
        .run();
    let run = run.expect_code(8);
    assert!(run.stdout.contains("No line names the request cc03"));
}

#[test]
fn a_log_that_is_not_there() {
    let run = Tool::new("explain aa01").arg(repository("no.log")).run();
    let run = run.expect_code(1);
    assert!(run.stderr.contains("no.log"));
}
