//! The records in the store by which entries find each other.
//!
//! Seeds come from the settings and may all be gone; the store is the one address that every entry
//! has. See docs/PLATFORM.md.

use std::net::SocketAddr;
use std::result;

use serde::{Deserialize, Serialize};

use crate::direct::known::store::{Item, UnreadableValue};

/// The result of decoding a record.
pub type Result<T> = result::Result<T, UnreadableValue>;

/// The record of one entry; its key is the entry's name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// The entry's name.
    pub name: String,
    /// The address at which it receives heartbeats.
    pub addr: SocketAddr,
}

#[derive(Deserialize, Serialize)]
struct ContactDocument {
    peers: SocketAddr,
}

impl Contact {
    /// Returns the value of the record.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::json!(ContactDocument { peers: self.addr }).to_string().into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the value holds no address that heartbeats can be sent to.
    pub fn decode(item: &Item) -> Result<Self> {
        let unreadable =
            |field: &str, reason: String| UnreadableValue { field: field.into(), reason };
        let document: ContactDocument = serde_json::from_slice(&item.value)
            .map_err(|error| unreadable(".", error.to_string()))?;
        let addr = document.peers;
        if addr.ip().is_unspecified() || addr.ip().is_multicast() || addr.port() == 0 {
            return Err(unreadable("peers", format!("{addr} is no host")));
        }
        Ok(Self { name: item.key.clone(), addr })
    }
}
