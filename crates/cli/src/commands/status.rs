//! `status`: shows the deployment as one daemon sees it.

use conf::admin::Status;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Format, Report, print};

/// Runs the command.
pub async fn run(connection: &Connection, format: Format) -> Result<Exit, CliError> {
    let client = Client::open(connection)?;
    let status: Status = client.get("/admin/status").await?;
    print(&Report::Status(status), format)?;
    Ok(Exit::Success)
}
