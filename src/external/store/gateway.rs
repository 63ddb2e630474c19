//! The JSON bodies of the gateway: keys and values in base64, 64-bit numbers as strings.

use std::fmt;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, de};

use super::calls::CallKind;
use super::{Commit, Compare, KeyValue, LeaseId, Range, Result, StoreError, Write};

/// The gateway takes leases in whole seconds.
const SHORTEST_LEASE: Duration = Duration::from_secs(1);

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
        Self { ttl: ttl.max(SHORTEST_LEASE).as_secs().to_string() }
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
    create_request: CreateWatch,
}

#[derive(Serialize)]
struct CreateWatch {
    key: String,
    range_end: String,
    start_revision: String,
    progress_notify: bool,
}

impl WatchRequest {
    pub(super) fn new(prefix: &str, from_revision: u64) -> Self {
        Self {
            create_request: CreateWatch {
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
struct RangeAnswer {
    header: Header,
    #[serde(default)]
    kvs: Vec<WireKeyValue>,
}

#[derive(Deserialize)]
struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseAnswer {
    #[serde(default, rename = "ID", deserialize_with = "signed_number")]
    id: i64,
    #[serde(default, rename = "TTL", deserialize_with = "signed_number")]
    ttl: i64,
}

#[derive(Deserialize)]
struct Streamed<T> {
    result: T,
}

#[derive(Deserialize)]
struct WatchAnswer {
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

/// WatchMessage is one line of a watch.
pub(super) enum WatchMessage {
    /// The watch stands, and this is the service's present revision.
    Created { revision: u64 },
    /// Changes, with the revision of the last one; or none, and all up to the revision are told.
    Progress { revision: u64, events: Vec<super::WatchEvent> },
    /// The service ended the watch.
    Cancelled { reason: String },
}

pub(super) fn decode_range(answer: &[u8]) -> Result<Range> {
    let RangeAnswer { header, kvs } = parse(answer, CallKind::Range)?;
    let entries = kvs.into_iter().map(|kv| kv.decode(CallKind::Range)).collect::<Result<_>>()?;
    Ok(Range { revision: header.revision, entries })
}

pub(super) fn decode_commit(answer: &[u8]) -> Result<Commit> {
    let TxnAnswer { header, succeeded } = parse(answer, CallKind::Txn)?;
    Ok(Commit { succeeded, revision: header.revision })
}

pub(super) fn decode_grant(answer: &[u8]) -> Result<LeaseId> {
    let LeaseAnswer { id, .. } = parse(answer, CallKind::LeaseGrant)?;
    Ok(LeaseId(id))
}

pub(super) fn decode_keep_alive(answer: &[u8]) -> Result<Duration> {
    let Streamed { result } = parse_first::<Streamed<LeaseAnswer>>(answer)?;
    Ok(Duration::from_secs(u64::try_from(result.ttl).unwrap_or_default()))
}

pub(super) fn decode_watch(line: &[u8]) -> Result<WatchMessage> {
    let Streamed { result } = parse::<Streamed<WatchAnswer>>(line, CallKind::Watch)?;
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
    // A batch that catches up carries the service's present revision in its header, though more
    // changes follow; only its own changes tell how far it reaches.
    let last = events.iter().map(super::WatchEvent::mod_revision).max();
    Ok(WatchMessage::Progress { revision: last.unwrap_or(result.header.revision), events })
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

/// Returns the least key that is greater than all keys under the prefix; a zero byte, which the
/// gateway reads as "to the end", where there is none.
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

fn parse<'a, T: Deserialize<'a>>(answer: &'a [u8], call: CallKind) -> Result<T> {
    serde_json::from_slice(answer).map_err(|error| malformed(call, &error))
}

fn parse_first<T: de::DeserializeOwned>(answer: &[u8]) -> Result<T> {
    let call = CallKind::LeaseKeepAlive;
    let first = serde_json::Deserializer::from_slice(answer).into_iter().next();
    match first {
        Some(parsed) => parsed.map_err(|error| malformed(call, &error)),
        None => Err(malformed(call, &"the answer is empty")),
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

/// NumberVisitor takes a 64-bit number as the gateway writes it, in a string, or plain.
struct NumberVisitor;

impl de::Visitor<'_> for NumberVisitor {
    type Value = i64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit number, in a string or plain")
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
