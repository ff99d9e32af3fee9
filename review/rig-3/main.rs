//! Stand-ins and cases of the third review. `rig CASE FOLDER`; `TROUBLE=0` leaves the disruption out.

mod fences;
mod heads;
mod http;
mod json;
mod node;
mod platform;
mod runner;
mod streams;

use std::io::Write;
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Instant, Mutex<std::fs::File>)> = OnceLock::new();

/// Adds a line to the record.
pub fn record(line: &str) {
    if let Some((started, file)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {line}", started.elapsed().as_secs_f64());
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run.
    Unfit(String),
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until something holds, for `limit_s` at most.
pub fn wait_until(limit_s: f64, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(limit_s);
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("rig CASE FOLDER");
        std::process::exit(2);
    };
    let file = std::fs::File::create(PathBuf::from(folder).join("record.txt"))
        .expect("record.txt can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    record(&format!("case {case}, disruption: {}", has_trouble()));
    let temporary = std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let verdict = std::panic::catch_unwind(|| match case.as_str() {
        "large-events" => streams::run(&temporary, &streams::LARGE_EVENTS),
        "fences" => fences::run(&temporary),
        "heads" => heads::run(&temporary),
        "preempted" => streams::run(&temporary, &streams::PREEMPTED),
        _ => Verdict::Unfit(format!("no case {case}")),
    });
    let verdict = verdict.unwrap_or_else(|_| Verdict::Unfit("a panic".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::Unfit(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    record(&text);
    println!("{text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    std::process::exit(code);
}
