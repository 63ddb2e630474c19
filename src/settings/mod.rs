//! Settings files: JSON, checked whole before anything starts.

pub mod agent;
pub mod common;
pub mod direct;
pub mod entry;
pub mod rank;

use std::{fs, io, path, result};

use serde::de::DeserializeOwned;

/// The result of reading settings.
pub type Result<T> = result::Result<T, SettingsError>;

/// SettingsError names the file, the field, the bad value and what is allowed.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("The settings file {file} cannot be read.")]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// Why not.
        #[source]
        source: io::Error,
    },
    /// The file is not JSON of the expected shape.
    #[error("The settings file {file} is wrong at `{field}`: {reason}.")]
    Malformed {
        /// The file.
        file: path::PathBuf,
        /// The path of the field.
        field: String,
        /// What the parser says, with the value and what is allowed.
        reason: String,
    },
    /// A value is outside what is allowed.
    #[error("The settings file {file} has `{field}` = {value}; allowed is {allowed}.")]
    Invalid {
        /// The file.
        file: path::PathBuf,
        /// The path of the field.
        field: String,
        /// The bad value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}

/// InvalidValue is one value outside what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidValue {
    /// The path of the field.
    pub field: String,
    /// The bad value.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// Reads a settings file and checks it with `check`, which returns the first problem.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the file and the field.
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
