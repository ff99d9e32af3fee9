//! The tool from outside.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const EXPERIMENT: &str = r#"
name = "tiny"
seeds = [1, 2]
length_s = 3.0
rules = ["predicted", "random"]
[fleet]
hello_ms = 120.0
domains = [{ name = "a", nodes = 2, on_demand = 3 }]
[engine]
slots = 8
queue = 8
step_ms = 6.0
step_ms_per_slot = 0.04
read_tokens_per_ms = 110.0
chunk_tokens = 1024
memory_tokens = 200000
step_parts = [1.0]
[traffic]
clump = 1.0
[[kinds]]
name = "draft"
per_s = 20.0
target_ms = 400
deadline_ms = 5000
worth = 1.0
late_worth = 0.1
shared_tokens = 400.0
prompts = 5
own_tokens = 200.0
answer_tokens = 10.0
"#;

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("tiny.toml"), EXPERIMENT).unwrap();
    folder
}

fn lab(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_apricotledge-lab"));
    command
        .current_dir(folder)
        .args(arguments)
        .output()
        .unwrap()
}

fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn err(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test]
fn a_table_has_a_line_for_each_rule_and_is_the_same_each_time() {
    let folder = folder("table");
    let first = lab(&folder, &["play", "tiny.toml", "--csv", "tiny.csv"]);
    assert!(first.status.success(), "{}", err(&first));
    let text = out(&first);
    assert!(text.starts_with("tiny\n"), "{text}");
    assert_eq!(text.lines().count(), 4, "{text}");
    assert_eq!(out(&lab(&folder, &["compare", "tiny.toml"])), text);
    let csv = std::fs::read_to_string(folder.join("tiny.csv")).unwrap();
    assert_eq!(csv.lines().count(), 1 + 2 * 2);
}

#[test]
fn a_sweep_is_drawn() {
    let folder = folder("sweep");
    let arguments = ["sweep", "--key", "kinds.0.per_s", "--values", "10,40"];
    let swept = lab(
        &folder,
        &[&arguments[..], &["--csv", "s.csv", "tiny.toml"]].concat(),
    );
    assert!(swept.status.success(), "{}", err(&swept));
    assert_eq!(out(&swept).lines().count(), 2 + 2 * 2);
    let drawn = lab(&folder, &["plot", "--svg", "s.svg", "s.csv"]);
    assert!(drawn.status.success(), "{}", err(&drawn));
    let picture = std::fs::read_to_string(folder.join("s.svg")).unwrap();
    assert!(picture.contains("<svg") && picture.contains("predicted"));
}

#[test]
fn mistakes_name_the_argument() {
    let folder = folder("mistakes");
    let cases: [(&[&str], &str); 4] = [
        (
            &["play", "none.toml"],
            "The experiment none.toml cannot be read",
        ),
        (
            &[
                "sweep",
                "--key",
                "kinds.9.per_s",
                "--values",
                "1",
                "tiny.toml",
            ],
            "--key: `kinds.9.per_s` names no number of the experiment.",
        ),
        (
            &["sweep", "--key", "length_s", "--values", "x", "tiny.toml"],
            "`x` is no number",
        ),
        (
            &["plot", "--svg", "x.svg", "--column", "none", "none.csv"],
            "The figures none.csv cannot be read",
        ),
    ];
    for (arguments, told) in cases {
        let output = lab(&folder, arguments);
        assert!(!output.status.success(), "{arguments:?}");
        assert!(err(&output).contains(told), "{}", err(&output));
    }
}
