//! Validates a settings file as the daemon does at its start; docs/SETTINGS.md lists the fields.

use std::path::Path;

use crate::settings;
use crate::settings::{agent, entry};

/// The daemon that reads a settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// `bitternwall-entry`.
    Entry,
    /// `bitternwall-agent`.
    Agent,
}

/// Validates a settings file for a daemon.
///
/// # Errors
///
/// Returns a [`settings::SettingsError`] that names the file and the invalid field.
pub fn check(role: Role, file: &Path) -> settings::Result<()> {
    match role {
        Role::Entry => settings::load(file, entry::check).map(drop),
        Role::Agent => settings::load(file, agent::check).map(drop),
    }
}
