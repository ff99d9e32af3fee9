//! `config apply`: offers a document against a base version and waits until it is in force.

mod wait;

use std::path::Path;

use base::units::Millisecond;
use bytes::Bytes;
use conf::Config;
use conf::admin::{ApplyReply, ConfigView, History};
use http::Method;

use super::{config_check, read_file};
use crate::client::{Client, Earlier};
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Connection;
use crate::output::{Applied, Format, Report, print};

/// Runs the command.
pub async fn run(
    connection: &Connection,
    format: Format,
    base: Option<u64>,
    wait_ms: Millisecond,
    file: &Path,
) -> Result<Exit, CliError> {
    let config = match Config::parse(&read_file(file)?) {
        Ok(config) => config,
        Err(faults) => return config_check::report(file, faults, format),
    };
    let client = Client::open(connection)?;
    let base = match base {
        Some(base) => base,
        None => version_in_force(&client).await?,
    };
    let (exit, applied) = match offer(&client, base, &config).await? {
        ApplyReply::Invalid { faults } => return config_check::report(file, faults, format),
        ApplyReply::Conflict {
            current_version,
            diff,
        } => (
            Exit::Conflict,
            Applied::Conflict {
                current_version,
                diff,
            },
        ),
        ApplyReply::Accepted { version } if wait_ms == 0 => {
            (Exit::Success, Applied::Accepted { version })
        }
        ApplyReply::Accepted { version } => wait::until_in_force(&client, version, wait_ms).await,
    };
    print(&Report::Applied(applied), format)?;
    Ok(exit)
}

/// The version in force; 0 before the first one.
async fn version_in_force(client: &Client) -> Result<u64, CliError> {
    match client.get::<ConfigView>("/admin/config").await {
        Ok(view) => Ok(view.version),
        Err(CliError::NotFound { .. }) => Ok(0),
        Err(error) => Err(error),
    }
}

/// Offers the document. The base version makes the offer safe to repeat at another daemon when an
/// answer is lost: it takes effect once at most.
async fn offer(client: &Client, base: u64, config: &Config) -> Result<ApplyReply, CliError> {
    let path = format!("/admin/config?base={base}");
    let body = Bytes::from(config.to_text());
    let answer = client.send(Method::POST, &path, body).await?;
    let reply = answer.read()?;
    let in_doubt = answer.earlier == Earlier::Unanswered;
    if in_doubt
        && matches!(reply, ApplyReply::Conflict { .. })
        && took_effect(client, base + 1, config).await?
    {
        return Ok(ApplyReply::Accepted { version: base + 1 });
    }
    Ok(reply)
}

/// Whether a version is the one offered: an offer without an answer may be what it lost against.
async fn took_effect(client: &Client, version: u64, config: &Config) -> Result<bool, CliError> {
    let history: History = client.get("/admin/config/history").await?;
    let digest = config.digest_hex();
    let entry = history
        .entries
        .iter()
        .find(|entry| entry.version == version);
    Ok(entry.is_some_and(|entry| entry.digest == digest))
}
