//! The stored form of a resource, as far as the configuration's readers need it.

use std::result;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::resources::kinds;

/// Everything that operators declare lies under this prefix.
pub const PREFIX: &str = "/bitternwall/config/";

/// The result of reading an envelope.
pub type Result<T> = result::Result<T, EnvelopeError>;

/// EnvelopeError is why a stored resource was skipped.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// The key does not follow the layout.
    #[error("The key `{key}` is not {PREFIX}{{kind}}/{{name}} with a kind that is known.")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// The value is not the JSON envelope of the kind that the key names.
    #[error("The value under `{key}` is not a resource of its kind.")]
    Malformed {
        /// The key.
        key: String,
        /// What the parser says.
        #[source]
        source: serde_json::Error,
    },
    /// The value belongs under another key.
    #[error("The value under `{key}` names itself `{name}`.")]
    NameMismatch {
        /// The key.
        key: String,
        /// The name within the value.
        name: String,
    },
    /// A customer's key hash is not a SHA-256 in hex.
    #[error("The customer under `{key}` has `{hash}` for a SHA-256 in hex.")]
    BadKeyHash {
        /// The key.
        key: String,
        /// The hash.
        hash: String,
    },
    /// A resource refers to one that does not exist.
    #[error("The resource under `{key}` refers to the {kind:?} `{name}`, which does not exist.")]
    Dangling {
        /// The key.
        key: String,
        /// The kind referred to.
        kind: kinds::Kind,
        /// The name referred to.
        name: String,
    },
    /// Two resources claim what only one may have.
    #[error("The resource under `{key}` claims `{value}`, which `{owner}` has already.")]
    Duplicate {
        /// The key.
        key: String,
        /// What is claimed twice.
        value: String,
        /// The resource that has it.
        owner: String,
    },
}

impl EnvelopeError {
    /// Returns the key of the resource that is wrong.
    pub fn key(&self) -> &str {
        match self {
            Self::UnknownKey { key }
            | Self::Malformed { key, .. }
            | Self::NameMismatch { key, .. }
            | Self::BadKeyHash { key, .. }
            | Self::Dangling { key, .. }
            | Self::Duplicate { key, .. } => key,
        }
    }
}

/// Envelope is a stored resource of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Envelope<S> {
    /// The name, which the key repeats.
    pub name: String,
    /// Counts the changes of the specification.
    #[serde(default)]
    pub generation: u64,
    /// The change that wrote this value.
    #[serde(default)]
    pub change_id: String,
    /// Who made the change.
    #[serde(default)]
    pub actor: String,
    /// What the operators declared.
    pub spec: S,
}

/// Splits a key into its kind and name.
///
/// # Errors
///
/// Returns [`EnvelopeError::UnknownKey`] for any other key.
pub fn parse_key(key: &str) -> Result<(kinds::Kind, &str)> {
    let rest = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/'));
    match rest {
        Some(("customer", name)) => Ok((kinds::Kind::Customer, name)),
        Some(("service", name)) => Ok((kinds::Kind::Service, name)),
        Some(("policy", name)) => Ok((kinds::Kind::Policy, name)),
        Some(("target", name)) => Ok((kinds::Kind::Target, name)),
        Some(("group", name)) => Ok((kinds::Kind::Group, name)),
        _ => Err(EnvelopeError::UnknownKey { key: key.to_owned() }),
    }
}

/// Reads the value under a key whose name is already known.
///
/// # Errors
///
/// Returns an [`EnvelopeError`] that names the key.
pub fn parse<S: DeserializeOwned>(key: &str, name: &str, value: &[u8]) -> Result<Envelope<S>> {
    let envelope: Envelope<S> = serde_json::from_slice(value)
        .map_err(|source| EnvelopeError::Malformed { key: key.to_owned(), source })?;
    if envelope.name == name {
        return Ok(envelope);
    }
    Err(EnvelopeError::NameMismatch { key: key.to_owned(), name: envelope.name })
}
