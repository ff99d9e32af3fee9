//! The daemon `apricotledged`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = entry::options::parse();
    match entry::daemon::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
