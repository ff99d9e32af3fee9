//! `request show`: shows one request.

use base::ids::RequestId;
use conf::admin::RequestView;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Format, Report, print};

/// Runs the command.
pub async fn run(connection: &Connection, format: Format, id: RequestId) -> Result<Exit, CliError> {
    let client = Client::open(connection)?;
    let view: RequestView = client.get(&format!("/admin/requests/{id}")).await?;
    print(&Report::Request(view), format)?;
    Ok(Exit::Success)
}
