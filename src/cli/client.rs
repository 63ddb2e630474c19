//! The client of the resource API, with failover between entries.
//!
//! Each change is made at most once: it carries an id, under which it is sent again if its answer
//! was lost, and the API answers a repeated id with the first outcome.

use std::time::Duration;

use actix_web::http::{Method, StatusCode, header};
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::cli::error::{CliError, Result};
use crate::cli::options::Connection;
use crate::entry::explain_api::Explained;
use crate::resources::documents::{AuditDocument, ChangeDocument, Document, ListDocument};
use crate::resources::kinds::Kind;

/// The timeout of one call; longer than an entry takes to resolve a change in doubt.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a change is retried while no entry answers it or all answer with temporary errors.
const CHANGE_RETRY_LIMIT: Duration = Duration::from_secs(30);
/// How long a read is retried.
const READ_RETRY_LIMIT: Duration = Duration::from_secs(5);
/// The delay before the next round once all entries have failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 256 << 20;
/// The header that carries the id of a change.
const CHANGE_ID_HEADER: &str = "change-id";

/// A client of the resource API. It must stay on the arbiter that created it.
pub struct Client {
    client: awc::Client,
    connection: Connection,
}

/// One entry's explanation of a target or a group, or the reason why it is missing.
#[derive(Debug, Serialize)]
pub struct EntryView<T> {
    /// The base address of the entry.
    pub address: String,
    /// The entry's explanation; `None` if it gave none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub explained: Option<Explained<T>>,
    /// The reason why there is no explanation, such as a connection error or a temporary failure.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// A call to the API, which may be sent several times.
struct Call {
    method: Method,
    path: String,
    body: Option<Document>,
    /// The version of the resource for `If-Match`.
    version: Option<u64>,
    /// The id of the change; `None` for a read.
    change_id: Option<String>,
}

/// A complete answer of one entry.
struct Reply {
    entry: String,
    status: StatusCode,
    body: Bytes,
}

/// The reason why an entry gave no final answer.
struct Failure {
    entry: String,
    reason: String,
    /// True if the entry may have executed the call.
    in_doubt: bool,
}

#[derive(Default, Deserialize)]
struct ProblemBody {
    #[serde(default, rename = "type")]
    type_: String,
    #[serde(default)]
    detail: String,
    /// `no` if the entry states that the call was not executed.
    executed: Option<String>,
}

impl Client {
    /// Creates a client; it connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Argument`] if the list of entries is empty.
    pub fn new(connection: Connection) -> Result<Self> {
        if connection.entries.is_empty() {
            let (argument, value) = ("--entry", String::new());
            return Err(CliError::Argument { argument, value, allowed: "at least one" });
        }
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Ok(Self { client, connection })
    }

    /// Reads one resource.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Refused`] with status 404 if the resource does not exist, or another
    /// [`CliError`].
    pub async fn read(&self, kind: Kind, name: &str) -> Result<Document> {
        self.call(&Call::get(format!("/v1/resources/{kind}/{name}"))).await
    }

    /// Reads all resources of a kind.
    ///
    /// # Errors
    ///
    /// Returns a [`CliError`] if no entry answers or the answer is an error.
    pub async fn list(&self, kind: Kind) -> Result<ListDocument> {
        self.call(&Call::get(format!("/v1/resources/{kind}"))).await
    }

    /// Reads the newest records of the audit trail.
    ///
    /// # Errors
    ///
    /// Returns a [`CliError`] if no entry answers or the answer is an error.
    pub async fn audit(&self, limit: u32) -> Result<AuditDocument> {
        self.call(&Call::get(format!("/v1/audit?limit={limit}"))).await
    }

    /// Reads the outcome of a change.
    ///
    /// # Errors
    ///
    /// Returns a [`CliError`] if no entry answers or the answer is an error.
    pub async fn change(&self, id: &str) -> Result<ChangeDocument> {
        self.call(&Call::get(format!("/v1/changes/{id}"))).await
    }

    /// Creates a resource.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Conflict`] if the resource exists, or another [`CliError`].
    pub async fn create(&self, document: &Document) -> Result<Document> {
        let path = format!("/v1/resources/{}", document.kind);
        self.call(&Call::change(Method::POST, path, Some(document.clone()), None)).await
    }

    /// Replaces a resource if it still has the version in the document.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Conflict`] if another change was made first, or another [`CliError`].
    pub async fn replace(&self, document: &Document) -> Result<Document> {
        let path = format!("/v1/resources/{}/{}", document.kind, document.metadata.name);
        let version = document.metadata.resource_version;
        self.call(&Call::change(Method::PUT, path, Some(document.clone()), version)).await
    }

    /// Deletes a resource if it still has the given version.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Conflict`] if another change was made first, or another [`CliError`].
    pub async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<ChangeDocument> {
        let path = format!("/v1/resources/{kind}/{name}");
        self.call(&Call::change(Method::DELETE, path, None, Some(version))).await
    }

    /// Requests the explanation of a target or a group from every entry once.
    ///
    /// # Errors
    ///
    /// Returns the first refusal by an entry, or a [`CliError`] if no entry answers.
    pub async fn explain<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Vec<EntryView<T>>> {
        let call = Call::get(format!("/v1/explain/{kind}/{name}"));
        let (mut views, mut failure) = (Vec::new(), None);
        for entry in &self.connection.entries {
            let failed = match self.exchange(entry, &call).await {
                Ok(reply) if reply.status.is_success() => {
                    let (address, explained) = (reply.entry.clone(), Some(decode(&reply)?));
                    views.push(EntryView { address, explained, failure: None });
                    continue;
                }
                Ok(reply) if !is_temporary(reply.status) => {
                    return Err(refusal(reply.status, &reply.body));
                }
                Ok(reply) => Failure::temporary(reply),
                Err(failed) => failed,
            };
            let (address, reason) = (failed.entry.clone(), failed.reason.clone());
            views.push(EntryView { address, explained: None, failure: Some(reason) });
            failure = Some(failed);
        }
        if views.iter().any(|view| view.explained.is_some()) {
            return Ok(views);
        }
        Err(failure.map_or_else(no_entry, |failure| failure.into_error(&call)))
    }

    /// Opens a watch at the first entry that answers. `after` is the version after which changes
    /// are sent; `None` begins with all current resources.
    ///
    /// # Errors
    ///
    /// Returns the refusal by that entry, or a [`CliError`] if no entry answers.
    pub async fn watch(&self, kind: Kind, after: Option<u64>) -> Result<awc::ClientResponse> {
        let mut path = format!("/v1/resources/{kind}?watch=true");
        if let Some(version) = after {
            path.push_str(&format!("&resource_version={version}"));
        }
        let call = Call::get(path);
        let mut failure = None;
        for entry in &self.connection.entries {
            let sent = time::timeout(CALL_TIMEOUT, self.send(entry, &call)).await;
            match sent.unwrap_or_else(|elapsed| Err(Failure::without_answer(entry, &elapsed))) {
                Ok(answer) if answer.status().is_success() => return Ok(answer),
                Ok(mut answer) => {
                    let body = answer.body().await.unwrap_or_default();
                    return Err(refusal(answer.status(), &body));
                }
                Err(error) => failure = Some(error),
            }
        }
        Err(failure.map_or_else(no_entry, |failure| failure.into_error(&call)))
    }

    /// Sends a call to the entries in turn until one gives a final answer or the retry limit is
    /// reached.
    async fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T> {
        let deadline = time::Instant::now() + call.retry_limit();
        let mut in_doubt = false;
        loop {
            let mut failure = None;
            for entry in &self.connection.entries {
                match self.exchange(entry, call).await {
                    Ok(reply) if reply.status.is_success() => return decode(&reply),
                    Ok(reply) if !is_temporary(reply.status) => {
                        return Err(refusal(reply.status, &reply.body));
                    }
                    Ok(reply) => failure = Some(Failure::temporary(reply)),
                    Err(error) => failure = Some(error),
                }
                in_doubt |= failure.as_ref().is_some_and(|failure| failure.in_doubt);
            }
            if time::Instant::now() + RETRY_DELAY >= deadline {
                let failure = failure.map(|failure| Failure { in_doubt, ..failure });
                return Err(failure.map_or_else(no_entry, |failure| failure.into_error(call)));
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    async fn exchange(&self, entry: &str, call: &Call) -> std::result::Result<Reply, Failure> {
        let exchange = async {
            let mut answer = self.send(entry, call).await?;
            let body = answer.body().limit(MAX_ANSWER_BYTES).await;
            let body = body.map_err(|error| Failure::without_answer(entry, &error))?;
            Ok(Reply { entry: String::from(entry), status: answer.status(), body })
        };
        let answered = time::timeout(CALL_TIMEOUT, exchange).await;
        answered.unwrap_or_else(|elapsed| Err(Failure::without_answer(entry, &elapsed)))
    }

    async fn send(
        &self,
        entry: &str,
        call: &Call,
    ) -> std::result::Result<awc::ClientResponse, Failure> {
        let mut request = self.client.request(call.method.clone(), format!("{entry}{}", call.path));
        if let Some(token) = &self.connection.token {
            request = request.bearer_auth(token);
        }
        if let Some(id) = &call.change_id {
            request = request.insert_header((CHANGE_ID_HEADER, id.as_str()));
        }
        if let Some(version) = call.version {
            request = request.insert_header((header::IF_MATCH, format!("\"{version}\"")));
        }
        let sent = match &call.body {
            Some(document) => request.send_json(document).await,
            None => request.send().await,
        };
        sent.map_err(|error| Failure::from_send_error(entry, &error))
    }
}

impl Call {
    fn get(path: String) -> Self {
        Self { method: Method::GET, path, body: None, version: None, change_id: None }
    }

    fn retry_limit(&self) -> Duration {
        if self.change_id.is_some() { CHANGE_RETRY_LIMIT } else { READ_RETRY_LIMIT }
    }

    fn change(method: Method, path: String, body: Option<Document>, version: Option<u64>) -> Self {
        let change_id = format!("{:032x}", rand::random::<u128>());
        Self { method, path, body, version, change_id: Some(change_id) }
    }
}

impl Failure {
    fn without_answer(entry: &str, reason: &dyn std::fmt::Display) -> Self {
        Self { entry: String::from(entry), reason: reason.to_string(), in_doubt: true }
    }

    fn from_send_error(entry: &str, error: &SendRequestError) -> Self {
        let not_sent = match error {
            // The HTTP client also reports `Disconnected` if the entry closed the connection after
            // receiving the request.
            SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => false,
            SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
            _ => false,
        };
        Self { in_doubt: !not_sent, ..Self::without_answer(entry, error) }
    }

    fn temporary(reply: Reply) -> Self {
        let problem: ProblemBody = serde_json::from_slice(&reply.body).unwrap_or_default();
        let in_doubt = problem.executed.as_deref() != Some("no");
        Self { entry: reply.entry, reason: problem.detail, in_doubt }
    }

    fn into_error(self, call: &Call) -> CliError {
        match &call.change_id {
            Some(id) if self.in_doubt => CliError::OutcomeUnknown { change_id: id.clone() },
            _ => CliError::Unreachable { entry: self.entry, reason: self.reason },
        }
    }
}

fn is_temporary(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY
    )
}

fn decode<T: DeserializeOwned>(reply: &Reply) -> Result<T> {
    serde_json::from_slice(&reply.body).map_err(|error| CliError::InvalidAnswer {
        entry: reply.entry.clone(),
        reason: error.to_string(),
    })
}

fn refusal(status: StatusCode, body: &[u8]) -> CliError {
    let ProblemBody { type_, mut detail, .. } = serde_json::from_slice(body).unwrap_or_default();
    if detail.is_empty() {
        detail = format!("The entry answered with status {status}.");
    }
    match status {
        StatusCode::CONFLICT => CliError::Conflict { detail },
        _ => CliError::Refused { status: status.as_u16(), type_, detail },
    }
}

fn no_entry() -> CliError {
    CliError::Unreachable {
        entry: String::from("(none)"),
        reason: String::from("no entry was specified"),
    }
}
