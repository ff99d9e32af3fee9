//! TOML files that are read into one value and then checked.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// A file that cannot be used; `what` names its kind in sentences.
#[derive(Debug, Snafu)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[snafu(display("The {what} {} cannot be read: {source}.", path.display()))]
    Read {
        /// Its kind.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not as it should be.
    #[snafu(display("The {what} {} cannot be used: {}", path.display(), source.message()))]
    Syntax {
        /// Its kind.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// What the TOML reader said.
        source: Box<toml::de::Error>,
    },
    /// A value is out of its range.
    #[snafu(display("{key}: {value} is out of range; give {range}."))]
    Range {
        /// The key.
        key: &'static str,
        /// What it holds.
        value: f64,
        /// What it may hold.
        range: &'static str,
    },
}

/// Reads a file's text.
///
/// # Errors
///
/// The file cannot be read.
pub fn read(what: &'static str, path: &Path) -> Result<String, ConfigFileError> {
    std::fs::read_to_string(path).context(ReadSnafu { what, path })
}

/// Reads a value from a file's text.
///
/// # Errors
///
/// The text is not TOML of the value's shape.
pub fn parse<T: DeserializeOwned>(
    what: &'static str,
    text: &str,
    path: &Path,
) -> Result<T, ConfigFileError> {
    let parsed = toml::from_str(text).map_err(Box::new);
    parsed.context(SyntaxSnafu { what, path })
}

/// Checks that values are above 0.
///
/// # Errors
///
/// One is not.
pub fn check_positive(values: &[(&'static str, f64)]) -> Result<(), ConfigFileError> {
    for (key, value) in values {
        let (key, value, range) = (*key, *value, "a number above 0");
        ensure!(value > 0.0, RangeSnafu { key, value, range });
    }
    Ok(())
}

/// Checks that a value is a part of one.
///
/// # Errors
///
/// It is not.
pub fn check_fraction(key: &'static str, value: f64) -> Result<(), ConfigFileError> {
    let range = "a number from 0 to 1";
    let within = (0.0..=1.0).contains(&value);
    ensure!(within, RangeSnafu { key, value, range });
    Ok(())
}
