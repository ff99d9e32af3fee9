//! `config show`: prints the configuration in force.

use conf::admin::ConfigView;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Format, Report, print};

/// Runs the command.
pub async fn run(connection: &Connection, format: Format) -> Result<Exit, CliError> {
    let client = Client::open(connection)?;
    let view: ConfigView = client.get("/admin/config").await?;
    print(&Report::Config(view), format)?;
    Ok(Exit::Success)
}
