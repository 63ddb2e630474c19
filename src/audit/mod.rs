//! The audit trail: one record for each applied or abandoned change. The record is written in the
//! same transaction as the change, so that neither exists without the other.

use std::result;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::external::store;
use crate::resources::kinds::Kind;

/// Key prefix of all records. The keys sort in the order of time.
pub const AUDIT_PREFIX: &str = "/bitternwall/audit/";
/// Number of digits, padded with zeros, of the time in a key, so that keys sort in the order of
/// time.
const TIME_DIGITS: usize = 20;

/// The result of decoding a record or its key.
pub type Result<T> = result::Result<T, AuditError>;

/// The reason a key or its value is not a valid audit record.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    /// The key does not have the form `/bitternwall/audit/{time}-{change id}`.
    #[error("The key {key:?} is not the key of an audit record.")]
    Key {
        /// The key as the store holds it, with its prefix.
        key: String,
    },
    /// The value is not an audit record in JSON.
    #[error("The value of the key {key:?} is not a valid audit record.")]
    Value {
        /// The key as the store holds it, with its prefix.
        key: String,
        /// The error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
}

/// The action that a record describes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// A resource was created.
    Create,
    /// The specification of a resource was replaced.
    Replace,
    /// A resource was deleted.
    Delete,
    /// A change that had not been applied was abandoned: it can no longer be applied under its id.
    Abandon,
}

/// The resource that a change created, replaced or deleted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Subject {
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: String,
    /// The generation after the change; a deletion increments it too.
    pub generation: u64,
    /// The resource version before the change; zero if the resource did not exist.
    pub previous_version: u64,
    /// The specification after the change; `None` after a deletion.
    pub spec: Option<Value>,
}

/// A record of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The time at which the change was planned, in milliseconds since 1970 by the clock of the
    /// entry.
    pub unix_ms: u64,
    /// The id of the change.
    pub change_id: String,
    /// The name of the operator who requested the change, or who queried a change and so abandoned
    /// it.
    pub actor: String,
    /// The action that was carried out.
    pub action: Action,
    /// The resource that was changed; `None` for an abandoned change.
    pub subject: Option<Subject>,
}

impl AuditRecord {
    /// Returns the key of the record, made of its time and change id.
    pub fn key(&self) -> String {
        format!("{AUDIT_PREFIX}{:0TIME_DIGITS$}-{}", self.unix_ms, self.change_id)
    }

    /// Encodes the record as the value of its key.
    ///
    /// # Panics
    ///
    /// Never: a record has string keys only, which JSON can hold.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a record has string keys only"))
    }

    /// Decodes a record from its key-value pair.
    ///
    /// # Errors
    ///
    /// Returns [`AuditError::Value`] if the value is not a record.
    pub fn decode(kv: &store::KeyValue) -> Result<Self> {
        serde_json::from_slice(&kv.value)
            .map_err(|source| AuditError::Value { key: kv.key.clone(), source })
    }
}

/// Splits the key of a record into its time, in milliseconds since 1970, and its change id.
///
/// # Errors
///
/// Returns [`AuditError::Key`] if the key has a different form.
pub fn parse_key(key: &str) -> Result<(u64, &str)> {
    let parts = key.strip_prefix(AUDIT_PREFIX).and_then(|rest| rest.split_at_checked(TIME_DIGITS));
    let parsed = parts.and_then(|(time, rest)| Some((time.parse().ok()?, rest.strip_prefix('-')?)));
    parsed.ok_or_else(|| AuditError::Key { key: String::from(key) })
}
