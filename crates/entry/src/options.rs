//! The daemon's command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{OptionParser, Parser, construct, long};

/// The command-line options.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// What to do with the settings.
    pub action: Action,
    /// Protocols towards callers and the platform.
    pub interface: Interface,
}

/// The protocols that the daemon speaks towards callers and the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Interface {
    /// Completions and named services, on the product's own platform protocols.
    #[default]
    Completions,
    /// Routes by host and path, on the users' platform.
    Routed,
}

impl FromStr for Interface {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "completions" => Ok(Self::Completions),
            "routed" => Ok(Self::Routed),
            _ => Err(format!(
                "`{text}` is no interface; give `completions` or `routed`"
            )),
        }
    }
}

/// What the daemon does with its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Checks the settings and exits.
    Check,
    /// Serves requests.
    Serve,
}

/// Parses the command line; exits the process on an error, `--help` or `--version`.
pub fn parse() -> Options {
    parser().run()
}

fn parser() -> OptionParser<Options> {
    let settings = long("settings")
        .env("APRICOTLEDGE_SETTINGS")
        .help("Settings file, in TOML")
        .argument::<PathBuf>("FILE");
    let action = long("check")
        .help("Check the settings and end")
        .flag(Action::Check, Action::Serve);
    let interface = long("interface")
        .help("What is spoken: `completions` (as it stands) or `routed`")
        .argument::<Interface>("NAME")
        .fallback(Interface::default());
    construct!(Options {
        settings,
        action,
        interface
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Daemon of apricotledge: one per entry VM")
}
