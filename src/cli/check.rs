//! Checks a settings file as the daemon would, without starting it; docs/SETTINGS.md lists the
//! fields.

use std::path::Path;

use crate::settings;
use crate::settings::{agent, entry};

/// Role is the daemon that a settings file is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// `bitternwall-entry`.
    Entry,
    /// `bitternwall-agent`.
    Agent,
}

/// Checks a settings file.
///
/// # Errors
///
/// Returns a [`settings::SettingsError`] that names the file and the field.
pub fn check(role: Role, file: &Path) -> settings::Result<()> {
    match role {
        Role::Entry => settings::load(file, entry::check).map(drop),
        Role::Agent => settings::load(file, agent::check).map(drop),
    }
}
