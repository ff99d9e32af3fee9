//! `drain`: makes one daemon finish its requests and end.

use bytes::Bytes;
use conf::admin::DrainReply;
use http::Method;

use crate::client::Client;
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Format, Report, print};

/// Runs the command.
pub async fn run(connection: &Connection, format: Format) -> Result<Exit, CliError> {
    let client = Client::open(connection)?;
    client.require_one()?;
    let answer = client
        .send(Method::POST, "/admin/drain", Bytes::new())
        .await?;
    let reply: DrainReply = answer.read()?;
    print(&Report::Drain(reply), format)?;
    Ok(Exit::Success)
}
