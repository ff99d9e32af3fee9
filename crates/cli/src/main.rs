//! The operators' command-line tool.

mod client;
mod commands;
mod error;
mod exit;
mod options;
mod output;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::exit::Exit;

/// Columns that help text is wrapped to.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let parsed = options::options().run_inner(Args::current_args());
    let exit = match parsed {
        Ok(options) => run(options),
        Err(failure) => finish_parsing(failure),
    };
    exit.into()
}

fn finish_parsing(failure: ParseFailure) -> Exit {
    let asked_for = !matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(HELP_WIDTH);
    if asked_for {
        Exit::Success
    } else {
        Exit::Usage
    }
}

fn run(options: options::Options) -> Exit {
    match commands::run(options) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("{error}");
            error.exit()
        }
    }
}
