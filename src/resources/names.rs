//! Names of resources and ids of changes: both become parts of keys, so what they may hold is
//! narrow.

use std::result;

/// The longest name, in characters, as for a DNS label.
pub const LONGEST_NAME: usize = 63;
/// The longest change id, in characters.
pub const LONGEST_CHANGE_ID: usize = 64;

/// The result of checking a name.
pub type Result<T> = result::Result<T, NameError>;

/// NameError is why a name cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The name is no DNS label.
    #[error(
        "The name {name:?} is not allowed: 1 to 63 lower-case letters, digits and hyphens, with a \
         letter or digit at both ends."
    )]
    Name {
        /// The name.
        name: String,
    },
    /// The change id cannot be part of a key.
    #[error(
        "The change id {id:?} is not allowed: 1 to 64 letters, digits, hyphens, dots and \
         underscores."
    )]
    ChangeId {
        /// The id.
        id: String,
    },
}

/// Checks the name of a resource.
///
/// # Errors
///
/// Returns [`NameError::Name`] with the name.
pub fn check_name(name: &str) -> Result<()> {
    let inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let edges_fit = [name.bytes().next(), name.bytes().last()].into_iter().flatten().all(inner);
    let fits = (1..=LONGEST_NAME).contains(&name.len())
        && edges_fit
        && name.bytes().all(|byte| inner(byte) || byte == b'-');
    if fits { Ok(()) } else { Err(NameError::Name { name: String::from(name) }) }
}

/// Checks the id of a change.
///
/// # Errors
///
/// Returns [`NameError::ChangeId`] with the id.
pub fn check_change_id(id: &str) -> Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    let fits = (1..=LONGEST_CHANGE_ID).contains(&id.len()) && id.bytes().all(allowed);
    if fits { Ok(()) } else { Err(NameError::ChangeId { id: String::from(id) }) }
}
