//! The stored form of a resource, as far as the configuration's consumers need it.

use std::result;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::resources::kinds;

/// Prefix of the keys of all resources that operators declare.
pub const PREFIX: &str = "/bitternwall/config/";

/// The result of parsing an envelope.
pub type Result<T> = result::Result<T, EnvelopeError>;

/// The reason a stored resource was skipped.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// The key does not have the form `PREFIX{kind}/{name}` with a known kind.
    #[error("The key `{key}` is not {PREFIX}{{kind}}/{{name}} with a known kind.")]
    UnknownKey {
        /// The full key of the resource.
        key: String,
    },
    /// The value is not the JSON envelope of the kind that the key names.
    #[error("The value under `{key}` is not a valid resource of the kind that the key names.")]
    Malformed {
        /// The full key of the resource.
        key: String,
        /// The parser's error.
        #[source]
        source: serde_json::Error,
    },
    /// The name in the value differs from the name in the key.
    #[error("The value under `{key}` has another name than its key: `{name}`.")]
    NameMismatch {
        /// The full key of the resource.
        key: String,
        /// The name in the value.
        name: String,
    },
    /// A customer's key hash is not a SHA-256 in lower-case hex.
    #[error("The key hash `{hash}` of the customer under `{key}` is no SHA-256 in lower-case hex.")]
    BadKeyHash {
        /// The full key of the resource.
        key: String,
        /// The declared value.
        hash: String,
    },
    /// A resource refers to one that does not exist.
    #[error("The resource under `{key}` refers to the {kind:?} `{name}`, which does not exist.")]
    Dangling {
        /// The full key of the resource.
        key: String,
        /// The kind of the missing resource.
        kind: kinds::Kind,
        /// The name of the missing resource.
        name: String,
    },
    /// A key hash or model that only one resource may have is declared by two.
    #[error("The resource under `{key}` declares `{value}`, which `{owner}` already has.")]
    Duplicate {
        /// The full key of the resource.
        key: String,
        /// The key hash or model declared twice.
        value: String,
        /// The name of the resource that has it.
        owner: String,
    },
}

impl EnvelopeError {
    /// Returns the full key of the skipped resource.
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

/// A stored resource whose specification is of type `S`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Envelope<S> {
    /// The resource's name, which must equal the name in its key.
    pub name: String,
    /// The number of changes of the specification so far.
    #[serde(default)]
    pub generation: u64,
    /// The id of the change that wrote this value.
    #[serde(default)]
    pub change_id: String,
    /// The operator who made the change.
    #[serde(default)]
    pub actor: String,
    /// The specification that the operator declared.
    pub spec: S,
}

/// Splits a key into its kind and name.
///
/// # Errors
///
/// Returns [`EnvelopeError::UnknownKey`] if the key is not one of a known kind.
pub fn parse_key(key: &str) -> Result<(kinds::Kind, &str)> {
    let rest = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/'));
    match rest {
        Some(("customer", name)) => Ok((kinds::Kind::Customer, name)),
        Some(("service", name)) => Ok((kinds::Kind::Service, name)),
        Some(("policy", name)) => Ok((kinds::Kind::Policy, name)),
        Some(("target", name)) => Ok((kinds::Kind::Target, name)),
        Some(("group", name)) => Ok((kinds::Kind::Group, name)),
        Some(("data_centre", name)) => Ok((kinds::Kind::DataCentre, name)),
        _ => Err(EnvelopeError::UnknownKey { key: key.to_owned() }),
    }
}

/// Parses the value under a key. `name` is the name in the key.
///
/// # Errors
///
/// Returns [`EnvelopeError::Malformed`] or [`EnvelopeError::NameMismatch`].
pub fn parse<S: DeserializeOwned>(key: &str, name: &str, value: &[u8]) -> Result<Envelope<S>> {
    let envelope: Envelope<S> = serde_json::from_slice(value)
        .map_err(|source| EnvelopeError::Malformed { key: key.to_owned(), source })?;
    if envelope.name == name {
        return Ok(envelope);
    }
    Err(EnvelopeError::NameMismatch { key: key.to_owned(), name: envelope.name })
}
