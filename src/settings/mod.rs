//! Settings files, which are JSON and are checked completely before a daemon starts.

pub mod agent;
pub mod common;
pub mod direct;
pub mod entry;
pub mod host;
pub mod rank;

use std::{fs, io, path, result};

use serde::de::DeserializeOwned;

/// The result of reading settings.
pub type Result<T> = result::Result<T, SettingsError>;

/// SettingsError is the reason why a settings file was rejected, with the file, the field, its
/// value and the allowed values where they are known.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("The settings file {file} could not be read.")]
    Unreadable {
        /// The path of the settings file.
        file: path::PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The file is not valid JSON, or lacks a field, or has an unknown one or one of a wrong type.
    #[error("The settings file {file} is wrong at `{field}`: {reason}.")]
    Malformed {
        /// The path of the settings file.
        file: path::PathBuf,
        /// The path of the field in the JSON document.
        field: String,
        /// The error of the parser, with the value found and what was expected.
        reason: String,
    },
    /// A value is not allowed.
    #[error("The settings file {file} has `{field}` = {value}; allowed is {allowed}.")]
    Invalid {
        /// The path of the settings file.
        file: path::PathBuf,
        /// The path of the field in the JSON document.
        field: String,
        /// The rejected value.
        value: String,
        /// A description of the allowed values, such as `1 to 100`.
        allowed: String,
    },
}

/// InvalidValue is a value in the settings that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidValue {
    /// The path of the field in the JSON document, such as `links.deadline_ms`.
    pub field: String,
    /// The rejected value.
    pub value: String,
    /// A description of the allowed values, such as `1 to 100`.
    pub allowed: String,
}

/// Reads a settings file and checks it with `check`, which returns the first invalid value.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the file cannot be read or parsed or a value is not allowed.
pub fn load<T: DeserializeOwned>(
    file: &path::Path,
    check: fn(&T) -> Option<InvalidValue>,
) -> Result<T> {
    let text = fs::read_to_string(file)
        .map_err(|source| SettingsError::Unreadable { file: file.to_owned(), source })?;
    let settings = parse(file, &text)?;
    match check(&settings) {
        None => Ok(settings),
        Some(InvalidValue { field, value, allowed }) => {
            Err(SettingsError::Invalid { file: file.to_owned(), field, value, allowed })
        }
    }
}

fn parse<T: DeserializeOwned>(file: &path::Path, text: &str) -> Result<T> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| SettingsError::Malformed {
        file: file.to_owned(),
        field: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}
