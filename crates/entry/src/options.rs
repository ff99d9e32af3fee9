//! The daemon's command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// What to do with it.
    pub action: Action,
}

/// What the daemon does with its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads and checks them, and ends.
    Check,
    /// Serves.
    Serve,
}

/// Reads the command line; ends the process on a mistake or `--help`.
pub fn parse() -> Options {
    parser().run()
}

fn parser() -> OptionParser<Options> {
    let settings = long("settings")
        .help("Settings file, in TOML")
        .argument::<PathBuf>("FILE");
    let action = long("check")
        .help("Check the settings and end")
        .flag(Action::Check, Action::Serve);
    construct!(Options { settings, action })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Daemon of apricotledge: one per entry VM")
}
