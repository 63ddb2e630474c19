//! The messages of the etcd v3 JSON gateway, as far as the stand-in speaks it.
//!
//! As in the published mapping, bytes are base64, 64-bit numbers are strings, and fields that
//! hold their default are left out of answers. Requests may use snake case or camel case.

use base64::Engine as _;
use base64::engine::general_purpose;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Int64 is a number that travels as a string and is read from either form.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "RawInt64", into = "String")]
pub struct Int64(pub i64);

#[derive(Deserialize)]
#[serde(untagged)]
enum RawInt64 {
    Number(i64),
    Text(String),
}

impl TryFrom<RawInt64> for Int64 {
    type Error = std::num::ParseIntError;

    fn try_from(raw: RawInt64) -> Result<Self, Self::Error> {
        match raw {
            RawInt64::Number(number) => Ok(Self(number)),
            RawInt64::Text(text) => text.parse().map(Self),
        }
    }
}

impl From<Int64> for String {
    fn from(number: Int64) -> Self {
        number.0.to_string()
    }
}

/// Base64 is a key or a value.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Base64(pub Bytes);

impl TryFrom<String> for Base64 {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        general_purpose::STANDARD.decode(text).map(|bytes| Self(bytes.into()))
    }
}

impl From<Base64> for String {
    fn from(bytes: Base64) -> Self {
        general_purpose::STANDARD.encode(&bytes.0)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// RangeRequest reads one key, or all from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The key after the last one; empty for one key, a zero byte for no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// The most keys to return; zero for all.
    pub limit: Int64,
    /// The revision to read at; the stand-in knows only the present one, zero.
    pub revision: Int64,
}

/// PutRequest sets one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// Its value.
    pub value: Base64,
    /// The lease that it goes with; zero for none.
    pub lease: Int64,
}

/// DeleteRangeRequest removes keys, which it names as a range does.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Base64,
    /// The key after the last one.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
}

/// RequestOp is one step of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Sets.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Removes.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// CompareTarget is what a condition looks at.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The revision of the key's last write.
    Mod,
    /// The revision at which the key came to be.
    Create,
}

/// CompareResult is how the two sides must relate; only equality is offered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Both are the same.
    #[default]
    Equal,
}

/// Compare is one condition; an absent key has revision zero.
#[derive(Clone, Debug, Deserialize)]
pub struct Compare {
    /// What is looked at.
    pub target: CompareTarget,
    /// How it must relate.
    #[serde(default)]
    pub result: CompareResult,
    /// The key.
    pub key: Base64,
    /// The other side for [`CompareTarget::Mod`].
    #[serde(default, alias = "modRevision")]
    pub mod_revision: Int64,
    /// The other side for [`CompareTarget::Create`].
    #[serde(default, alias = "createRevision")]
    pub create_revision: Int64,
}

/// TxnRequest runs `success` if all conditions hold and `failure` otherwise.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The steps if all hold.
    pub success: Vec<RequestOp>,
    /// The steps if one does not.
    pub failure: Vec<RequestOp>,
}

/// LeaseGrantRequest asks for a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Seconds that it lasts without a renewal.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
    /// The wanted id; zero to be given one.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// LeaseRequest names the lease to renew, revoke or lapse.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID", alias = "id")]
    pub id: Int64,
}

/// WatchRequest opens a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// WatchCreateRequest names the keys of a watch as a range does.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Base64,
    /// The key after the last one.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// The first revision to report; zero for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
    /// True for a header now and then while nothing changes.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// Header tells the revision that an answer was made at.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// The service's revision.
    pub revision: Int64,
}

/// KeyValue is one key as stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The revision at which the key came to be.
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Int64,
    /// The revision of its last write.
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: Int64,
    /// Writes since it came to be.
    #[serde(skip_serializing_if = "is_default")]
    pub version: Int64,
    /// Its value.
    #[serde(skip_serializing_if = "is_default")]
    pub value: Base64,
    /// The lease that it goes with.
    #[serde(skip_serializing_if = "is_default")]
    pub lease: Int64,
}

/// RangeResponse is what a range found.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The revision read at.
    pub header: Header,
    /// The keys in order.
    #[serde(skip_serializing_if = "is_default")]
    pub kvs: Vec<KeyValue>,
    /// True where the limit left some out.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// How many there are without the limit.
    #[serde(skip_serializing_if = "is_default")]
    pub count: Int64,
}

/// HeaderResponse is an answer that says no more than that it was done.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderResponse {
    /// The revision afterwards.
    pub header: Header,
}

/// DeleteRangeResponse tells how many keys went.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// The revision afterwards.
    pub header: Header,
    /// Keys removed.
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: Int64,
}

/// ResponseOp answers one step of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// To a read.
    ResponseRange(RangeResponse),
    /// To a write.
    ResponsePut(HeaderResponse),
    /// To a removal.
    ResponseDeleteRange(DeleteRangeResponse),
}

/// TxnResponse is the outcome of a transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The revision afterwards.
    pub header: Header,
    /// True where all conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// One answer a step.
    #[serde(skip_serializing_if = "is_default")]
    pub responses: Vec<ResponseOp>,
}

/// LeaseResponse tells how long a lease lasts; without a TTL it is gone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The present revision.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Seconds left.
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    pub ttl: Int64,
}

/// Streamed wraps each message of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// EventType is what happened to a key.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// It was set.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

/// Event is one change of one key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type", skip_serializing_if = "is_default")]
    pub kind: EventType,
    /// The key afterwards; without a value where it was removed.
    pub kv: KeyValue,
}

/// WatchResponse is one message of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Every change up to this revision was reported.
    pub header: Header,
    /// Which watch; the stand-in has one a stream, number zero.
    #[serde(skip_serializing_if = "is_default")]
    pub watch_id: Int64,
    /// True in the first message.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// True in the last message.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The oldest revision still held, where the watch began before it.
    #[serde(skip_serializing_if = "is_default")]
    pub compact_revision: Int64,
    /// The changes in order; those of one revision are never split.
    #[serde(skip_serializing_if = "is_default")]
    pub events: Vec<Event>,
}

/// GatewayError is the body of a refused call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayError {
    /// The message.
    pub error: String,
    /// The message again, as the gateway has it.
    pub message: String,
    /// The gRPC status code.
    pub code: u32,
}
