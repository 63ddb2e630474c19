//! Encodes and decodes the gateway's JSON bodies, in which keys and values are base64 and 64-bit
//! numbers are strings.

use std::fmt;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, de};

use super::calls::CallKind;
use super::{Commit, Compare, KeyValue, LeaseId, Range, Result, StoreError, Write};

/// The gateway takes the time to live in whole seconds, so that less would become zero.
const MIN_LEASE_TTL: Duration = Duration::from_secs(1);

#[derive(Serialize)]
pub(super) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<String>,
}

impl RangeRequest {
    pub(super) fn key(key: &str) -> Self {
        Self { key: STANDARD.encode(key), range_end: None, limit: None }
    }

    pub(super) fn prefix(prefix: &str) -> Self {
        Self { range_end: Some(STANDARD.encode(prefix_end(prefix))), ..Self::key(prefix) }
    }

    pub(super) fn first(self, limit: u32) -> Self {
        Self { limit: Some(limit.to_string()), ..self }
    }
}

#[derive(Serialize)]
struct CompareRequest {
    key: String,
    result: &'static str,
    target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
}

#[derive(Serialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

#[derive(Serialize)]
struct DeleteRequest {
    key: String,
}

#[derive(Serialize)]
enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<Operation>,
}

impl TxnRequest {
    pub(super) fn new(compares: &[Compare], writes: &[Write]) -> Self {
        Self {
            compare: compares.iter().map(encode_compare).collect(),
            success: writes.iter().map(encode_write).collect(),
        }
    }
}

#[derive(Serialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    ttl: String,
}

impl GrantRequest {
    pub(super) fn new(ttl: Duration) -> Self {
        Self { ttl: ttl.max(MIN_LEASE_TTL).as_secs().to_string() }
    }
}

#[derive(Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    id: String,
}

impl LeaseRequest {
    pub(super) fn new(id: LeaseId) -> Self {
        Self { id: id.0.to_string() }
    }
}

#[derive(Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreateRequest,
}

#[derive(Serialize)]
struct WatchCreateRequest {
    key: String,
    range_end: String,
    start_revision: String,
    progress_notify: bool,
}

impl WatchRequest {
    pub(super) fn new(prefix: &str, from_revision: u64) -> Self {
        Self {
            create_request: WatchCreateRequest {
                key: STANDARD.encode(prefix),
                range_end: STANDARD.encode(prefix_end(prefix)),
                start_revision: from_revision.to_string(),
                progress_notify: true,
            },
        }
    }
}

#[derive(Default, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "number")]
    revision: u64,
}

#[derive(Deserialize)]
struct WireKeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    create_revision: u64,
    #[serde(default, deserialize_with = "number")]
    mod_revision: u64,
}

impl WireKeyValue {
    fn decode(self, call: CallKind) -> Result<KeyValue> {
        let key = decode_base64(&self.key, call)?;
        let key = String::from_utf8(key).map_err(|error| malformed(call, &error))?;
        let value = Bytes::from(decode_base64(&self.value, call)?);
        let Self { create_revision, mod_revision, .. } = self;
        Ok(KeyValue { key, value, create_revision, mod_revision })
    }
}

#[derive(Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<WireKeyValue>,
}

#[derive(Deserialize)]
struct TxnResponse {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseResponse {
    #[serde(default, rename = "ID", deserialize_with = "signed_number")]
    id: i64,
    #[serde(default, rename = "TTL", deserialize_with = "signed_number")]
    ttl: i64,
}

#[derive(Deserialize)]
struct StreamMessage<T> {
    result: T,
}

#[derive(Deserialize)]
struct WatchResponse {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default, deserialize_with = "number")]
    compact_revision: u64,
    #[serde(default)]
    cancel_reason: String,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
struct WireEvent {
    #[serde(default, rename = "type")]
    type_: WireEventType,
    kv: WireKeyValue,
}

#[derive(Default, Deserialize)]
enum WireEventType {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

/// WatchMessage is one message of a watch, which the gateway sends as one line.
pub(super) enum WatchMessage {
    /// The watch is established; holds the service's current revision.
    Created { revision: u64 },
    /// Changes with the revision of the last one, or no changes, which means that all changes up to
    /// the revision have been sent.
    Progress { revision: u64, events: Vec<super::WatchEvent> },
    /// The service ended the watch.
    Cancelled { reason: String },
}

pub(super) fn decode_range(response: &[u8]) -> Result<Range> {
    let RangeResponse { header, kvs } = parse(response, CallKind::Range)?;
    let entries = kvs.into_iter().map(|kv| kv.decode(CallKind::Range)).collect::<Result<_>>()?;
    Ok(Range { revision: header.revision, entries })
}

pub(super) fn decode_commit(response: &[u8]) -> Result<Commit> {
    let TxnResponse { header, succeeded } = parse(response, CallKind::Txn)?;
    Ok(Commit { succeeded, revision: header.revision })
}

pub(super) fn decode_grant(response: &[u8]) -> Result<LeaseId> {
    let LeaseResponse { id, .. } = parse(response, CallKind::LeaseGrant)?;
    Ok(LeaseId(id))
}

pub(super) fn decode_keep_alive(response: &[u8]) -> Result<Duration> {
    let StreamMessage { result } = parse_first::<StreamMessage<LeaseResponse>>(response)?;
    Ok(Duration::from_secs(u64::try_from(result.ttl).unwrap_or_default()))
}

pub(super) fn decode_watch(line: &[u8]) -> Result<WatchMessage> {
    let StreamMessage { result } = parse::<StreamMessage<WatchResponse>>(line, CallKind::Watch)?;
    if result.compact_revision > 0 {
        return Err(StoreError::Compacted { revision: result.compact_revision });
    }
    if result.canceled {
        return Ok(WatchMessage::Cancelled { reason: result.cancel_reason });
    }
    if result.created {
        return Ok(WatchMessage::Created { revision: result.header.revision });
    }
    let events = result.events.into_iter().map(decode_event).collect::<Result<Vec<_>>>()?;
    // While the watch catches up, the header of a batch holds the service's current revision
    // although more changes follow. Only the batch's own changes show up to where it is complete.
    let last_revision = events.iter().map(super::WatchEvent::mod_revision).max();
    Ok(WatchMessage::Progress { revision: last_revision.unwrap_or(result.header.revision), events })
}

fn decode_event(event: WireEvent) -> Result<super::WatchEvent> {
    let kv = event.kv.decode(CallKind::Watch)?;
    Ok(match event.type_ {
        WireEventType::Put => super::WatchEvent::Put(kv),
        WireEventType::Delete => {
            super::WatchEvent::Delete { key: kv.key, mod_revision: kv.mod_revision }
        }
    })
}

fn encode_compare(compare: &Compare) -> CompareRequest {
    let (key, target, mod_revision, create_revision) = match compare {
        Compare::ModRevision(key, revision) => (key, "MOD", Some(revision.to_string()), None),
        Compare::CreateRevision(key, revision) => (key, "CREATE", None, Some(revision.to_string())),
    };
    CompareRequest {
        key: STANDARD.encode(key),
        result: "EQUAL",
        target,
        mod_revision,
        create_revision,
    }
}

fn encode_write(write: &Write) -> Operation {
    match write {
        Write::Put { key, value, lease } => Operation::Put(PutRequest {
            key: STANDARD.encode(key),
            value: STANDARD.encode(value),
            lease: lease.map(|LeaseId(id)| id.to_string()),
        }),
        Write::Delete { key } => Operation::Delete(DeleteRequest { key: STANDARD.encode(key) }),
    }
}

/// Returns the least key that is greater than all keys under the prefix. If there is none, returns
/// a zero byte, which the gateway takes as the end of the key space.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn parse<'a, T: Deserialize<'a>>(response: &'a [u8], call: CallKind) -> Result<T> {
    serde_json::from_slice(response).map_err(|error| malformed(call, &error))
}

fn parse_first<T: de::DeserializeOwned>(response: &[u8]) -> Result<T> {
    let call = CallKind::LeaseKeepAlive;
    let first = serde_json::Deserializer::from_slice(response).into_iter().next();
    match first {
        Some(parsed) => parsed.map_err(|error| malformed(call, &error)),
        None => Err(malformed(call, &"the response is empty")),
    }
}

fn decode_base64(text: &str, call: CallKind) -> Result<Vec<u8>> {
    STANDARD.decode(text).map_err(|error| malformed(call, &error))
}

pub(super) fn malformed(call: CallKind, reason: &dyn fmt::Display) -> StoreError {
    StoreError::Malformed { call: call.name(), reason: reason.to_string() }
}

fn number<'de, D: Deserializer<'de>>(deserializer: D) -> std::result::Result<u64, D::Error> {
    let number = signed_number(deserializer)?;
    u64::try_from(number).map_err(de::Error::custom)
}

fn signed_number<'de, D: Deserializer<'de>>(deserializer: D) -> std::result::Result<i64, D::Error> {
    deserializer.deserialize_any(NumberVisitor)
}

/// NumberVisitor parses a 64-bit number written as a string, which is the gateway's form, or as a
/// plain JSON number.
struct NumberVisitor;

impl de::Visitor<'_> for NumberVisitor {
    type Value = i64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit number, as a string or a plain number")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> std::result::Result<i64, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> std::result::Result<i64, E> {
        Ok(number)
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> std::result::Result<i64, E> {
        i64::try_from(number).map_err(E::custom)
    }
}
