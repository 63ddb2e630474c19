//! The client of the platform's list of hosts, which lags behind the truth.

use std::result;
use std::time::Duration;

use serde::Deserialize;

/// The path of the list below its base address.
const HOSTS_PATH: &str = "/v1/hosts";
/// The largest list that is read, in bytes.
const LARGEST_LIST: usize = 8 << 20;

/// The result of a call to the host list.
pub type Result<T> = result::Result<T, HostListError>;

/// HostListError is why there is no list.
#[derive(Debug, thiserror::Error)]
pub enum HostListError {
    /// The service gave no answer.
    #[error("The host list at {endpoint} gave no answer: {reason}.")]
    Unavailable {
        /// Where the call went.
        endpoint: String,
        /// What the connection said.
        reason: String,
    },
    /// The answer is no list of hosts.
    #[error("The host list at {endpoint} answered with something else: {reason}.")]
    Malformed {
        /// Where the call went.
        endpoint: String,
        /// What does not fit.
        reason: String,
    },
}

/// HostRole is what runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// A target with its agent.
    Agent,
}

/// HostState is whether a host stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host serves.
    Live,
    /// The host is about to go.
    Leaving,
}

/// Host is one line of the list. Fields that are not known are passed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Host {
    /// The name, which its settings give the process on it as well.
    pub name: String,
    /// The address that other processes use.
    pub address: String,
    /// What runs on it.
    pub role: HostRole,
    /// Where it stands.
    pub data_centre: String,
    /// Whether it stays.
    pub state: HostState,
}

#[derive(Deserialize)]
struct HostListAnswer {
    hosts: Vec<Host>,
}

/// HostList is a client of the list; it lives on one arbiter.
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

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns a [`HostListError`] where there is no answer or no list in it.
    pub async fn read(&self) -> Result<Vec<Host>> {
        let reading = tokio::time::timeout(self.call_timeout, self.fetch());
        let body = reading.await.map_err(|elapsed| self.unavailable(&elapsed))??;
        let answer: HostListAnswer = serde_json::from_slice(&body).map_err(|error| {
            HostListError::Malformed { endpoint: self.base.clone(), reason: error.to_string() }
        })?;
        Ok(answer.hosts)
    }

    async fn fetch(&self) -> Result<bytes::Bytes> {
        let request = self.client.get(format!("{}{HOSTS_PATH}", self.base));
        let mut answer = request.send().await.map_err(|error| self.unavailable(&error))?;
        if !answer.status().is_success() {
            return Err(self.unavailable(&format_args!("status {}", answer.status())));
        }
        answer.body().limit(LARGEST_LIST).await.map_err(|error| self.unavailable(&error))
    }

    fn unavailable(&self, reason: &dyn std::fmt::Display) -> HostListError {
        HostListError::Unavailable { endpoint: self.base.clone(), reason: reason.to_string() }
    }
}
