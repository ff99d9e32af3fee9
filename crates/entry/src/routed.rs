//! The daemon with the routed interface, on the users' platform.

use std::sync::Arc;

use events::{Format, LogError, Logger};
use gateway::config_file::ConfigFileError;
use gateway::daemon::{DaemonError, Platform};
use gateway::settings::Settings;
use platform::{Cloud, DIALECT, Store};
use snafu::Snafu;

use crate::options::{Action, Options};

/// The least severe level that is logged.
const LOG_LEVEL: &str = "info";

/// A failure to start the daemon.
#[derive(Debug, Snafu)]
pub enum RoutedError {
    /// The settings file cannot be read or is invalid.
    #[snafu(context(false), display("{source}"))]
    Settings { source: ConfigFileError },
    /// The logger cannot start.
    #[snafu(context(false), display("{source}"))]
    Log { source: LogError },
    /// The gateway cannot start.
    #[snafu(context(false), display("{source}"))]
    Daemon { source: DaemonError },
}

/// Runs the daemon until it has drained.
///
/// # Errors
///
/// Returns an error if the settings, the logger or the gateway prevent the start.
pub fn run(options: &Options) -> Result<(), RoutedError> {
    let settings = Settings::open(&options.settings)?;
    if options.action == Action::Check {
        println!("{}: the settings are valid.", options.settings.display());
        return Ok(());
    }
    let logger = Logger::open_queued(LOG_LEVEL, Format::Text)?;
    let result = gateway::daemon::run(&options.settings, settings, connect);
    logger.close();
    Ok(result?)
}

fn connect(settings: &Settings) -> Platform {
    let store = Arc::new(Store::open(settings.store.address));
    let cloud = settings.duties.address.map(Cloud::open);
    Platform {
        dialect: DIALECT,
        table: store.clone(),
        feed: store.clone(),
        rollouts: store,
        duties: cloud.map(|cloud| Arc::new(cloud) as _),
    }
}
