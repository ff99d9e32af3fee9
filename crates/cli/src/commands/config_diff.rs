//! `config diff`: lists what a document would change.

use std::path::Path;

use conf::admin::ConfigView;
use conf::{Change, Config, diff, diff_values};
use serde_json::Value;

use super::{config_check, read_file};
use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Format, Report, print};

/// Runs the command.
pub async fn run(connection: &Connection, format: Format, file: &Path) -> Result<Exit, CliError> {
    let config = match Config::parse(&read_file(file)?) {
        Ok(config) => config,
        Err(faults) => return config_check::report(file, faults, format),
    };
    let client = Client::open(connection)?;
    let view: ConfigView = client.get("/admin/config").await?;
    let report = Report::Diff {
        version: view.version,
        changes: changes(&view.document, &config),
    };
    print(&report, format)?;
    Ok(Exit::Success)
}

/// Compares checked forms, so that spelled-out defaults and `3` for `3.0` are no change. A document
/// in force that this version of the tool cannot read is compared as it stands.
fn changes(in_force: &Value, offered: &Config) -> Vec<Change> {
    match Config::parse(&in_force.to_string()) {
        Ok(in_force) => diff(&in_force, offered),
        Err(_) => diff_values(in_force, &offered.to_value()),
    }
}
