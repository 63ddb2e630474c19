//! How a resource stands in the key-value service: one JSON envelope a key.

use std::result;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::external::store;
use crate::resources::kinds::Kind;

/// The prefix of all resources.
pub const CONFIG_PREFIX: &str = "/bitternwall/config/";

/// The result of reading an envelope.
pub type Result<T> = result::Result<T, StoredError>;

/// StoredError is why a key holds no resource.
#[derive(Debug, thiserror::Error)]
pub enum StoredError {
    /// The key is not of the form of a resource's.
    #[error("The key {key:?} names no resource.")]
    Key {
        /// The key.
        key: String,
    },
    /// The value is no envelope.
    #[error("The value of the key {key:?} is no resource.")]
    Value {
        /// The key.
        key: String,
        /// What the parser says.
        #[source]
        source: serde_json::Error,
    },
    /// The envelope belongs to another key.
    #[error("The key {key:?} holds the {kind} {name:?}.")]
    Mismatch {
        /// The key.
        key: String,
        /// The kind that the envelope names.
        kind: Kind,
        /// The name that the envelope gives.
        name: String,
    },
}

/// Resource is the envelope. Fields that are not known are passed over, so that a newer process
/// may add some.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resource {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: String,
    /// How many times it was written; one after its creation.
    pub generation: u64,
    /// The change that wrote it.
    pub change_id: String,
    /// The operator who wrote it.
    pub actor: String,
    /// The specification, with defaults filled in; [`crate::resources::specs::Spec::parse`] types
    /// it.
    pub spec: serde_json::Value,
}

impl Resource {
    /// Returns the key.
    pub fn key(&self) -> String {
        key(self.kind, &self.name)
    }

    /// Returns the value of the key.
    ///
    /// # Panics
    ///
    /// Never: an envelope has string keys only, which JSON can hold.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("an envelope has string keys only"))
    }

    /// Reads the envelope of a key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoredError`] where the key holds no resource of that name.
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

/// StoredResource is a resource with its place in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResource {
    /// The envelope.
    pub resource: Resource,
    /// The revision of its creation.
    pub create_revision: u64,
    /// The revision of its last write: the resource version.
    pub resource_version: u64,
}

impl StoredResource {
    /// Reads a key as the service holds it.
    ///
    /// # Errors
    ///
    /// Returns a [`StoredError`] where the key holds no resource.
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

/// Returns the prefix of all resources of a kind.
pub fn kind_prefix(kind: Kind) -> String {
    format!("{CONFIG_PREFIX}{kind}/")
}

/// Returns the kind and the name that a key is made of.
///
/// # Errors
///
/// Returns [`StoredError::Key`] where the key is of another form.
pub fn parse_key(key: &str) -> Result<(Kind, &str)> {
    let parts = key.strip_prefix(CONFIG_PREFIX).and_then(|rest| rest.split_once('/'));
    let parsed = parts.and_then(|(kind, name)| Some((kind.parse().ok()?, name)));
    parsed.ok_or_else(|| StoredError::Key { key: String::from(key) })
}
