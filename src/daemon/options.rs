//! Converts a daemon's command-line matches into checked options.

use std::path::PathBuf;
use std::result;

use clap::ArgMatches;

use crate::daemon::app;

/// The result of reading a command line.
pub type Result<T> = result::Result<T, OptionsError>;

/// OptionsError is returned for an incomplete command line.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// The `--settings` argument is missing.
    #[error("The command line contains no settings file; specify one with --settings.")]
    NoSettings,
}

/// Options are the arguments of a daemon's command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The path of the settings file.
    pub settings: PathBuf,
    /// True to check the settings and exit without starting the daemon.
    pub check: bool,
}

impl Options {
    /// Converts the matches of the parser returned by [`app::build`].
    ///
    /// # Errors
    ///
    /// Returns [`OptionsError`] if the settings argument is missing, which clap's own checks should
    /// have rejected.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let settings = matches.get_one::<PathBuf>(app::SETTINGS).cloned();
        Ok(Self {
            settings: settings.ok_or(OptionsError::NoSettings)?,
            check: matches.get_flag(app::CHECK),
        })
    }
}
