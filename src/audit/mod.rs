//! The audit trail: one record for each accepted change, written by the transaction that makes
//! the change, so that neither exists without the other.

use std::result;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::external::store;
use crate::resources::kinds::Kind;

/// The prefix of all records; their keys are in the order of time.
pub const AUDIT_PREFIX: &str = "/bitternwall/audit/";
/// The digits of the time in a key, which keep the order of keys the order of time.
const TIME_DIGITS: usize = 20;

/// The result of reading a record.
pub type Result<T> = result::Result<T, AuditError>;

/// AuditError is why a key holds no record.
#[derive(Debug, thiserror::Error)]
pub enum AuditError {
    /// The key is not of the form of a record's.
    #[error("The key {key:?} names no audit record.")]
    Key {
        /// The key.
        key: String,
    },
    /// The value is no record.
    #[error("The value of the key {key:?} is no audit record.")]
    Value {
        /// The key.
        key: String,
        /// What the parser says.
        #[source]
        source: serde_json::Error,
    },
}

/// Action is what a change does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// A resource came to be.
    Create,
    /// A resource got another specification.
    Replace,
    /// A resource was removed.
    Delete,
    /// A change in doubt was found not made, and can no longer be made.
    Abandon,
}

/// Subject is the resource that a record is about.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Subject {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Its generation after the change; a deletion counts as one.
    pub generation: u64,
    /// Its resource version before the change; zero where it did not exist.
    pub previous_version: u64,
    /// Its specification after the change; none after a deletion.
    pub spec: Option<Value>,
}

/// AuditRecord is one record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// When the change was planned, in milliseconds since 1970 on the entry's clock.
    pub unix_ms: u64,
    /// The change's id.
    pub change_id: String,
    /// The operator's name.
    pub actor: String,
    /// What was done.
    pub action: Action,
    /// What it was done to; none for an abandoned change.
    pub subject: Option<Subject>,
}

impl AuditRecord {
    /// Returns the key.
    pub fn key(&self) -> String {
        format!("{AUDIT_PREFIX}{:0TIME_DIGITS$}-{}", self.unix_ms, self.change_id)
    }

    /// Returns the value of the key.
    ///
    /// # Panics
    ///
    /// Never: a record has string keys only, which JSON can hold.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a record has string keys only"))
    }

    /// Reads the record of a key.
    ///
    /// # Errors
    ///
    /// Returns [`AuditError::Value`] where the key holds no record.
    pub fn decode(kv: &store::KeyValue) -> Result<Self> {
        serde_json::from_slice(&kv.value)
            .map_err(|source| AuditError::Value { key: kv.key.clone(), source })
    }
}

/// Returns the time and the change id that a key is made of.
///
/// # Errors
///
/// Returns [`AuditError::Key`] where the key is of another form.
pub fn parse_key(key: &str) -> Result<(u64, &str)> {
    let parts = key.strip_prefix(AUDIT_PREFIX).and_then(|rest| rest.split_at_checked(TIME_DIGITS));
    let parsed = parts.and_then(|(time, rest)| Some((time.parse().ok()?, rest.strip_prefix('-')?)));
    parsed.ok_or_else(|| AuditError::Key { key: String::from(key) })
}
