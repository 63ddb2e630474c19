//! The representation of resources in the key-value store: one key with a JSON envelope for each.

use std::result;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::external::store;
use crate::resources::kinds::Kind;

/// Key prefix of all resources.
pub const CONFIG_PREFIX: &str = "/bitternwall/config/";

/// The result of decoding an envelope or a key.
pub type Result<T> = result::Result<T, StoredError>;

/// The reason a key or its value is not a valid resource.
#[derive(Debug, thiserror::Error)]
pub enum StoredError {
    /// The key does not have the form `/bitternwall/config/{kind}/{name}`.
    #[error("The key {key:?} is not the key of a resource.")]
    Key {
        /// The key as the store holds it, with its prefix.
        key: String,
    },
    /// The value is not a JSON envelope.
    #[error("The value of the key {key:?} is not a valid resource.")]
    Value {
        /// The key as the store holds it, with its prefix.
        key: String,
        /// The error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
    /// The envelope names a different resource than the key.
    #[error("The key {key:?} holds the resource of another key: {kind} {name:?}.")]
    Mismatch {
        /// The key as the store holds it, with its prefix.
        key: String,
        /// The kind given in the envelope.
        kind: Kind,
        /// The name given in the envelope.
        name: String,
    },
}

/// A resource as stored: its specification in an envelope. Unknown fields are ignored, so that
/// newer versions of the software can add fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resource {
    /// The kind of the resource; must match the key.
    pub kind: Kind,
    /// The name of the resource; must match the key.
    pub name: String,
    /// Number of times the resource was written; 1 after its creation.
    pub generation: u64,
    /// The id of the change that wrote this version.
    pub change_id: String,
    /// The name of the operator who requested that change.
    pub actor: String,
    /// The specification with defaults filled in; [`crate::resources::specs::Spec::parse`] converts
    /// it to its type.
    pub spec: serde_json::Value,
}

impl Resource {
    /// Returns the key of the resource.
    pub fn key(&self) -> String {
        key(self.kind, &self.name)
    }

    /// Encodes the envelope as the value of its key.
    ///
    /// # Panics
    ///
    /// Never: an envelope has string keys only, which JSON can hold.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("an envelope has string keys only"))
    }

    /// Decodes the envelope stored under a key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoredError`] if the key or the value is malformed, or the two do not match.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self> {
        let (kind, name) = parse_key(key)?;
        let resource: Self = serde_json::from_slice(value)
            .map_err(|source| StoredError::Value { key: String::from(key), source })?;
        if resource.kind == kind && resource.name == name {
            return Ok(resource);
        }
        let Self { kind, name, .. } = resource;
        Err(StoredError::Mismatch { key: String::from(key), kind, name })
    }
}

/// A stored resource with the revisions at which it was created and last written.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResource {
    /// The decoded envelope.
    pub resource: Resource,
    /// The revision at which the resource was created.
    pub create_revision: u64,
    /// The revision of the last write: the resource version.
    pub resource_version: u64,
}

impl StoredResource {
    /// Decodes a key-value pair read from the store.
    ///
    /// # Errors
    ///
    /// Returns a [`StoredError`] if it is not a valid resource.
    pub fn decode(kv: &store::KeyValue) -> Result<Self> {
        let resource = Resource::decode(&kv.key, &kv.value)?;
        Ok(Self {
            resource,
            create_revision: kv.create_revision,
            resource_version: kv.mod_revision,
        })
    }
}

/// Returns the key of a resource.
pub fn key(kind: Kind, name: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}/{name}")
}

/// Returns the key prefix of all resources of a kind.
pub fn kind_prefix(kind: Kind) -> String {
    format!("{CONFIG_PREFIX}{kind}/")
}

/// Splits the key of a resource into its kind and name.
///
/// # Errors
///
/// Returns [`StoredError::Key`] if the key has a different form.
pub fn parse_key(key: &str) -> Result<(Kind, &str)> {
    let parts = key.strip_prefix(CONFIG_PREFIX).and_then(|rest| rest.split_once('/'));
    let parsed = parts.and_then(|(kind, name)| Some((kind.parse().ok()?, name)));
    parsed.ok_or_else(|| StoredError::Key { key: String::from(key) })
}
