//! Plays experiments over the emulator.

mod account;
mod compare;
mod error;
mod options;
mod plot;
mod sweep;
mod table;

use std::process::ExitCode;

use options::Action;

fn main() -> ExitCode {
    let outcome = match options::parse() {
        Action::Compare(compare) => compare::run(&compare),
        Action::Sweep(sweep) => sweep::run(&sweep),
        Action::Plot(plot) => plot::run(&plot),
        Action::Account(account) => account::run(&account),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
