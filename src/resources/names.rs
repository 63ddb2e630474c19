//! Checks of resource names and change ids. Both become parts of store keys, so their characters
//! and length are restricted.

use std::result;

/// Maximum length of a name in bytes, the same as of a DNS label.
pub const MAX_NAME_LEN: usize = 63;
/// Maximum length of a change id in bytes.
pub const MAX_CHANGE_ID_LEN: usize = 64;

/// The result of checking a name or a change id.
pub type Result<T> = result::Result<T, NameError>;

/// The reason a name or a change id is rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The name is not a lower-case DNS label.
    #[error(
        "The name {name:?} is not allowed: 1 to 63 lower-case letters, digits and hyphens, with a \
         letter or digit at both ends."
    )]
    Name {
        /// The rejected name.
        name: String,
    },
    /// The change id is empty, too long or contains a character that is not allowed.
    #[error(
        "The change id {id:?} is not allowed: 1 to 64 letters, digits, hyphens, dots and \
         underscores."
    )]
    ChangeId {
        /// The rejected id.
        id: String,
    },
}

/// Checks that the name of a resource is a lower-case DNS label.
///
/// # Errors
///
/// Returns [`NameError::Name`] if the name is rejected.
pub fn check_name(name: &str) -> Result<()> {
    let alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let ends_alphanumeric =
        [name.bytes().next(), name.bytes().last()].into_iter().flatten().all(alphanumeric);
    let valid = (1..=MAX_NAME_LEN).contains(&name.len())
        && ends_alphanumeric
        && name.bytes().all(|byte| alphanumeric(byte) || byte == b'-');
    if valid { Ok(()) } else { Err(NameError::Name { name: String::from(name) }) }
}

/// Checks the length and the characters of a change id.
///
/// # Errors
///
/// Returns [`NameError::ChangeId`] if the id is rejected.
pub fn check_change_id(id: &str) -> Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    let valid = (1..=MAX_CHANGE_ID_LEN).contains(&id.len()) && id.bytes().all(allowed);
    if valid { Ok(()) } else { Err(NameError::ChangeId { id: String::from(id) }) }
}
