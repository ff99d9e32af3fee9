//! `config apply`: offers a document against a base version and waits until it is in force.

mod wait;

use std::path::Path;

use base::units::Millisecond;
use bytes::Bytes;
use conf::Config;
use conf::admin::{ApplyReply, ConfigView};
use http::Method;

use super::{config_check, read_file};
use crate::client::Client;
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
    let text = read_file(file)?;
    if let Err(faults) = Config::parse(&text) {
        return config_check::report(file, faults, format);
    }
    let client = Client::open(connection)?;
    let base = match base {
        Some(base) => base,
        None => client.get::<ConfigView>("/admin/config").await?.version,
    };
    let (exit, applied) = match offer(&client, base, text).await? {
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

/// Offers the document. The base version makes the offer safe to repeat at another daemon when an
/// answer is lost: if the first took effect, the second conflicts with a version that equals it.
async fn offer(client: &Client, base: u64, text: String) -> Result<ApplyReply, CliError> {
    let path = format!("/admin/config?base={base}");
    let answer = client.send(Method::POST, &path, Bytes::from(text)).await?;
    let reply = answer.read()?;
    match reply {
        ApplyReply::Conflict {
            current_version,
            diff,
        } if diff.is_empty() => Ok(ApplyReply::Accepted {
            version: current_version,
        }),
        reply => Ok(reply),
    }
}
