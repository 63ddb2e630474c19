//! Turns a daemon's command-line matches into checked options.

use std::path::PathBuf;
use std::result;

use clap::ArgMatches;

use crate::daemon::app;

/// The result of reading a command line.
pub type Result<T> = result::Result<T, OptionsError>;

/// OptionsError says what the command line lacks.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// No settings file is named.
    #[error("The command line names no settings file; give one with --settings.")]
    NoSettings,
}

/// Options is what a daemon's command line says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// True to check the settings only.
    pub check: bool,
}

impl Options {
    /// Reads the matches of [`app::build`].
    ///
    /// # Errors
    ///
    /// Returns [`OptionsError`] for what clap's own checks let through.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let settings = matches.get_one::<PathBuf>(app::SETTINGS).cloned();
        Ok(Self {
            settings: settings.ok_or(OptionsError::NoSettings)?,
            check: matches.get_flag(app::CHECK),
        })
    }
}
