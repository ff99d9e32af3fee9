//! The commands, one in each file.

mod catalogue;
mod config_apply;
mod config_check;
mod config_diff;
mod config_history;
mod config_show;
mod drain;
mod explain;
mod request_show;
mod status;

use std::path::Path;

use snafu::ResultExt;

use crate::error::{CliError, RuntimeSnafu, UnreadableFileSnafu};
use crate::exit::Exit;
use crate::options::{Command, ConfigCommand, Options, RequestCommand};

/// Runs a command to its exit code.
pub fn run(options: Options) -> Result<Exit, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(dispatch(options.command))
}

async fn dispatch(command: Command) -> Result<Exit, CliError> {
    match command {
        Command::Config(command) => dispatch_config(command).await,
        Command::Status { connection, format } => status::run(&connection, format).await,
        Command::Drain { connection, format } => drain::run(&connection, format).await,
        Command::Request(RequestCommand::Show {
            connection,
            format,
            id,
        }) => request_show::run(&connection, format, id).await,
        Command::Explain { id, files } => explain::run(&id, &files),
        Command::Catalogue { catalogue_format } => catalogue::run(catalogue_format),
    }
}

async fn dispatch_config(command: ConfigCommand) -> Result<Exit, CliError> {
    match command {
        ConfigCommand::Check { format, file } => config_check::run(&file, format),
        ConfigCommand::Apply {
            connection,
            format,
            base,
            wait_ms,
            file,
        } => config_apply::run(&connection, format, base, wait_ms, &file).await,
        ConfigCommand::Show { connection, format } => config_show::run(&connection, format).await,
        ConfigCommand::Diff {
            connection,
            format,
            file,
        } => config_diff::run(&connection, format, &file).await,
        ConfigCommand::History { connection, format } => {
            config_history::run(&connection, format).await
        }
    }
}

fn read_file(file: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(file).context(UnreadableFileSnafu { file })
}
