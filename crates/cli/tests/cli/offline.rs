//! Commands that need no daemon, and faulty command lines.

use test_case::test_case;

use crate::support::{Admin, Tool, repository};

#[test_case("examples/cooperative.json", 0, "is valid."; "cooperative")]
#[test_case("examples/consortium.json", 0, "is valid."; "consortium")]
#[test_case("rustfmt.toml", 6, "has 1 fault(s)."; "no document")]
#[test_case("examples/none.json", 1, ""; "no file")]
fn config_check(file: &str, code: i32, ending: &str) {
    let run = Tool::new("config check").arg(repository(file)).run();
    let run = run.expect_code(code);
    assert!(run.stdout.trim_end().ends_with(ending), "{}", run.stdout);
    assert_eq!(run.stderr.is_empty(), code != 1);
}

#[test]
fn config_check_json_lists_faults() {
    let run = Tool::new("config check --json").arg(repository("schema/config.schema.json"));
    let faults = run.run().expect_code(6).json()["faults"].clone();
    let faults = faults.as_array().expect("a list");
    assert!(faults.len() > 5);
    assert!(
        faults
            .iter()
            .all(|fault| fault["path"].is_string() && fault["mend"].is_string())
    );
}

#[test_case("", "COMMAND"; "no command")]
#[test_case("status", "--admin"; "no address")]
#[test_case("status --admin localhost:80", "invalid socket address"; "host name")]
#[test_case("status --admin 127.0.0.1:1", "APRICOTLEDGE_KEY"; "no key")]
#[test_case("request show --admin 127.0.0.1:1 12", "32 hexadecimal digits"; "bad request number")]
#[test_case("catalogue --json --markdown", "--markdown"; "two shapes")]
fn faulty_command_lines(line: &str, expected: &str) {
    let run = Tool::new(line).run().expect_code(2);
    assert!(run.stderr.contains(expected), "{}", run.stderr);
    assert!(run.stdout.is_empty());
}

#[test]
fn drain_wants_one_daemon() {
    let (one, other) = (Admin::bind(), Admin::bind());
    let run = Tool::new("drain").admin(&one).admin(&other).key("k").run();
    run.expect_code(2);
    assert!(one.close().is_empty());
    assert!(other.close().is_empty());
}

#[test]
fn a_key_with_control_characters_is_refused_without_printing_it() {
    let run = Tool::new("status --admin 127.0.0.1:1")
        .key("sec\nret")
        .run()
        .expect_code(2);
    assert!(!run.stderr.contains("ret\n"), "{}", run.stderr);
}

#[test]
fn catalogue_markdown_is_the_table_of_the_docs() {
    let run = Tool::new("catalogue --markdown").run().expect_code(0);
    let document = std::fs::read_to_string(repository("docs/EVENTS.md")).expect("the document");
    assert!(document.contains(run.stdout.trim_end()));
}

#[test]
fn every_exit_code_is_documented() {
    let document = std::fs::read_to_string(repository("docs/OPERATIONS.md")).expect("the document");
    let help = Tool::new("--help").run().expect_code(0).stdout;
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for (code, meaning) in [
        (0, "done"),
        (1, "failed"),
        (2, "usage"),
        (3, "unreachable"),
        (4, "unauthorized"),
        (5, "conflict"),
        (6, "invalid"),
        (7, "not in force"),
        (8, "not found"),
    ] {
        assert!(help.contains(&format!("{code} {meaning}")), "{help}");
        assert!(
            document.contains(&format!("| {code} | {meaning}")),
            "code {code}"
        );
    }
}

#[test]
fn completions_are_printed_for_shells() {
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let run = Tool::new(&format!("--bpaf-complete-style-{shell}")).run();
        assert!(run.expect_code(0).stdout.contains("apricotledge"));
    }
}
