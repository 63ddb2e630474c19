//! Client of the platform's host list. The list is updated with a delay, so that it may name hosts
//! that are gone and lack hosts that are up.

use std::result;
use std::time::Duration;

use serde::Deserialize;

/// Path of the list, relative to the base address.
const HOSTS_PATH: &str = "/v1/hosts";
/// Size limit of a response, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// The result of a call to the host list.
pub type Result<T> = result::Result<T, HostListError>;

/// HostListError is the reason why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum HostListError {
    /// The service could not be reached, did not respond in time or returned an error status.
    #[error("The host list at {endpoint} is unavailable: {reason}.")]
    Unavailable {
        /// The base address of the service.
        endpoint: String,
        /// The error of the connection, the timeout or the HTTP status.
        reason: String,
    },
    /// The response is not a list of hosts.
    #[error("The host list at {endpoint} returned a malformed response: {reason}.")]
    Malformed {
        /// The base address of the service.
        endpoint: String,
        /// The error of the JSON parser.
        reason: String,
    },
}

/// HostRole is the kind of process that runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// A target with its agent.
    Agent,
}

/// HostState is the state of a host in its lifecycle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be taken out of service.
    Leaving,
}

/// Host is one item of the list. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Host {
    /// The host's name; the process on it has the same name in its settings.
    pub name: String,
    /// The address at which other processes connect to it.
    pub address: String,
    /// The kind of process that runs on it.
    pub role: HostRole,
    /// The name of the data centre in which it is located.
    pub data_centre: String,
    /// Whether the host is in service or about to leave.
    pub state: HostState,
}

#[derive(Deserialize)]
struct HostListResponse {
    hosts: Vec<Host>,
}

/// HostList is a client of the host list. It must be used on the arbiter that created it.
#[derive(Clone)]
pub struct HostList {
    client: awc::Client,
    base: String,
    call_timeout: Duration,
}

impl HostList {
    /// Returns a client of the list at a base address such as `http://127.0.0.1:8500`.
    pub fn new(base: &str, call_timeout: Duration) -> Self {
        let client = awc::Client::builder().timeout(call_timeout).disable_redirects().finish();
        Self { client, base: String::from(base.trim_end_matches('/')), call_timeout }
    }

    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Returns a [`HostListError`] if the service is unavailable or the response is malformed.
    pub async fn read(&self) -> Result<Vec<Host>> {
        let fetch = tokio::time::timeout(self.call_timeout, self.fetch());
        let body = fetch.await.map_err(|elapsed| self.unavailable(&elapsed))??;
        let response: HostListResponse = serde_json::from_slice(&body).map_err(|error| {
            HostListError::Malformed { endpoint: self.base.clone(), reason: error.to_string() }
        })?;
        Ok(response.hosts)
    }

    async fn fetch(&self) -> Result<bytes::Bytes> {
        let request = self.client.get(format!("{}{HOSTS_PATH}", self.base));
        let mut response = request.send().await.map_err(|error| self.unavailable(&error))?;
        if !response.status().is_success() {
            return Err(self.unavailable(&format_args!("status {}", response.status())));
        }
        response.body().limit(MAX_LIST_BYTES).await.map_err(|error| self.unavailable(&error))
    }

    fn unavailable(&self, reason: &dyn std::fmt::Display) -> HostListError {
        HostListError::Unavailable { endpoint: self.base.clone(), reason: reason.to_string() }
    }
}
