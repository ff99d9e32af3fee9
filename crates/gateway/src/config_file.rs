//! TOML configuration files: reading, and checks of value ranges.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// A configuration file that cannot be used; `kind` names the kind of file in messages.
#[derive(Debug, Snafu)]
pub enum ConfigFileError {
    #[snafu(display("The {kind} {} cannot be read: {source}.", path.display()))]
    Read {
        kind: &'static str,
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has unexpected or missing keys or values.
    #[snafu(display("The {kind} {} cannot be used: {}", path.display(), source.message()))]
    Syntax {
        kind: &'static str,
        path: PathBuf,
        source: Box<toml::de::Error>,
    },
    #[snafu(display("{key}: {value} is out of range; give {range}."))]
    Range {
        key: &'static str,
        value: f64,
        /// Description of the allowed values.
        range: &'static str,
    },
}

/// Reads the text of a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read(kind: &'static str, path: &Path) -> Result<String, ConfigFileError> {
    std::fs::read_to_string(path).context(ReadSnafu { kind, path })
}

/// Parses the text of a file.
///
/// # Errors
///
/// Returns an error if the text is not TOML that can be deserialized as `T`.
pub fn parse<T: DeserializeOwned>(
    kind: &'static str,
    text: &str,
    path: &Path,
) -> Result<T, ConfigFileError> {
    let parsed = toml::from_str(text).map_err(Box::new);
    parsed.context(SyntaxSnafu { kind, path })
}

/// Checks that values are above 0.
///
/// # Errors
///
/// Returns an error for the first value that is 0, negative or not a number.
pub fn check_positive(values: &[(&'static str, f64)]) -> Result<(), ConfigFileError> {
    for (key, value) in values {
        let (key, value, range) = (*key, *value, "a number above 0");
        ensure!(value > 0.0, RangeSnafu { key, value, range });
    }
    Ok(())
}

/// Checks that a value is 0 or a finite number above.
///
/// # Errors
///
/// Returns an error if the value is negative, infinite or not a number.
pub fn check_not_negative(key: &'static str, value: f64) -> Result<(), ConfigFileError> {
    check_least(key, value, 0.0, "0 or a finite number above")
}

/// Checks that a value is from 0 to 1.
///
/// # Errors
///
/// Returns an error if the value is outside this range or not a number.
pub fn check_fraction(key: &'static str, value: f64) -> Result<(), ConfigFileError> {
    let range = "a number from 0 to 1";
    let within = (0.0..=1.0).contains(&value);
    ensure!(within, RangeSnafu { key, value, range });
    Ok(())
}

/// Checks that a value is finite and at least `least`.
///
/// # Errors
///
/// Returns an error if the value is less or not a number.
pub fn check_least(
    key: &'static str,
    value: f64,
    least: f64,
    range: &'static str,
) -> Result<(), ConfigFileError> {
    let within = value.is_finite() && value >= least;
    ensure!(within, RangeSnafu { key, value, range });
    Ok(())
}
