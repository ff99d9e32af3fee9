//! Cases of the second independent review. `review-2 CASE FOLDER` exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod deployment;
mod http;
mod json;
mod odd_entry;
mod spoiled;
mod spoiled_stream;
mod store;
mod stream_ids;

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use deployment::Record;
use spoiled::Start;

/// Whether the rule held.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Whether the disruption is played.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    On,
    Off,
}

fn run(case: &str, record: &Arc<Record>, trouble: Trouble) -> io::Result<Verdict> {
    match case {
        "spoiled" => spoiled::run(record, trouble, Start::OfRefusal),
        "spoiled-failure" => spoiled::run(record, trouble, Start::OfSuccess),
        "odd-entry" => odd_entry::run(record, trouble),
        "spoiled-stream" => spoiled_stream::run(record, trouble),
        "stream-ids" => stream_ids::run(record, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (case, folder) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::Off,
        _ => Trouble::On,
    };
    deployment::end_after(Duration::from_secs(115));
    let played = Record::open(&folder).and_then(|record| {
        record.say(match trouble {
            Trouble::On => "with the disruption",
            Trouble::Off => "without the disruption",
        });
        let verdict = run(&case, &record, trouble)?;
        // The threads of the stand-ins end with the process; the daemons have been ended.
        thread::sleep(Duration::from_millis(100));
        Ok(verdict)
    });
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
