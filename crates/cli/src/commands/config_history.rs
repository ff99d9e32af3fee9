//! `config history`: lists the accepted versions.

use conf::admin::History;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Format, Report, print};

/// Runs the command.
pub async fn run(connection: &Connection, format: Format) -> Result<Exit, CliError> {
    let client = Client::open(connection)?;
    let history: History = client.get("/admin/config/history").await?;
    print(&Report::History(history), format)?;
    Ok(Exit::Success)
}
