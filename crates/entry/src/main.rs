//! The daemon `apricotledged`.

use std::process::ExitCode;

use entry::options::Interface;

fn main() -> ExitCode {
    let options = entry::options::parse();
    let result = match options.interface {
        Interface::Completions => entry::daemon::run(&options).map_err(|e| e.to_string()),
        Interface::Routed => entry::routed::run(&options).map_err(|e| e.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
