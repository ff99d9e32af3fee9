//! `config check`: reports every fault of a document.

use std::path::Path;

use conf::{Config, Fault};

use super::read_file;
use crate::error::CliError;
use crate::exit::Exit;
use crate::output::{Checked, Format, Report, print};

/// Runs the command.
pub fn run(file: &Path, format: Format) -> Result<Exit, CliError> {
    let text = read_file(file)?;
    let faults = Config::parse(&text).err().unwrap_or_default();
    report(file, faults, format)
}

/// Prints the faults of a document.
pub fn report(file: &Path, faults: Vec<Fault>, format: Format) -> Result<Exit, CliError> {
    let exit = if faults.is_empty() {
        Exit::Success
    } else {
        Exit::Invalid
    };
    let checked = Checked {
        file: file.display().to_string(),
        faults,
    };
    print(&Report::Checked(checked), format)?;
    Ok(exit)
}
