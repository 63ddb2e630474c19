//! The messages of the etcd v3 JSON gateway that this fake supports.
//!
//! As in the published mapping, bytes are base64, 64-bit numbers are strings, and fields that
//! hold their default are omitted from responses. Requests may use snake case or camel case.

use base64::Engine as _;
use base64::engine::general_purpose;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A 64-bit number that is written as a string and parsed from a string or a number.
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

/// A key or a value, written as base64.
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

/// A request for one key, or for all keys from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key of the range.
    pub key: Base64,
    /// The exclusive end of the range; empty for the single key, a zero byte for no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// The largest number of keys to return; zero for all.
    pub limit: Int64,
    /// The revision to read at; zero for the current one, the only one that this fake supports.
    pub revision: Int64,
}

/// A request to set one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key to set.
    pub key: Base64,
    /// The new value, at most [`MAX_VALUE_BYTES`](super::store::MAX_VALUE_BYTES) long.
    pub value: Base64,
    /// The lease with which the key is removed; zero for none.
    pub lease: Int64,
}

/// A request to remove a range of keys, given as in [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key of the range.
    pub key: Base64,
    /// The exclusive end of the range, as in [`RangeRequest::range_end`].
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads a range of keys.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Sets a key.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Removes a range of keys.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// The property of a key that a condition compares.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The revision of the key's last write.
    Mod,
    /// The revision at which the key was created.
    Create,
}

/// The required relation between the two sides; only equality is supported.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Both sides are equal.
    #[default]
    Equal,
}

/// A condition of a transaction; an absent key has revision zero.
#[derive(Clone, Debug, Deserialize)]
pub struct Compare {
    /// The compared property, which selects the field that holds the expected value.
    pub target: CompareTarget,
    /// The required relation.
    #[serde(default)]
    pub result: CompareResult,
    /// The key whose property is compared.
    pub key: Base64,
    /// The expected value for [`CompareTarget::Mod`].
    #[serde(default, alias = "modRevision")]
    pub mod_revision: Int64,
    /// The expected value for [`CompareTarget::Create`].
    #[serde(default, alias = "createRevision")]
    pub create_revision: Int64,
}

/// A transaction, which runs `success` if all conditions hold and `failure` otherwise.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions; without any, `success` runs.
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// The operations to run if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// A request for a new lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Seconds until the lease expires without a renewal; less than one counts as one.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
    /// The requested id; zero to have one assigned.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// A request to renew, revoke or expire a lease.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LeaseRequest {
    /// The id of the lease.
    #[serde(rename = "ID", alias = "id")]
    pub id: Int64,
}

/// A request to open a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchRequest {
    /// The keys to watch and the revision to start at.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// The parameters of a watch; the keys are given as in [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key of the range.
    pub key: Base64,
    /// The exclusive end of the range, as in [`RangeRequest::range_end`].
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    /// The first revision to report; zero for the one after the current revision.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
    /// True to receive messages that carry only the current revision at intervals while nothing
    /// changes.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// The header of a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// The revision of the store when the response was made.
    pub revision: Int64,
}

/// A key as stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key itself.
    pub key: Base64,
    /// The revision at which the key was created.
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Int64,
    /// The revision of the last write to the key.
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: Int64,
    /// Number of writes since the key was created, including the first.
    #[serde(skip_serializing_if = "is_default")]
    pub version: Int64,
    /// The current value.
    #[serde(skip_serializing_if = "is_default")]
    pub value: Base64,
    /// The lease with which the key is removed; zero for none.
    #[serde(skip_serializing_if = "is_default")]
    pub lease: Int64,
}

/// The response to a [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The revision at which the keys were read.
    pub header: Header,
    /// The keys in ascending order.
    #[serde(skip_serializing_if = "is_default")]
    pub kvs: Vec<KeyValue>,
    /// True if the limit excluded keys.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// Number of keys in the range, regardless of the limit.
    #[serde(skip_serializing_if = "is_default")]
    pub count: Int64,
}

/// A response without further content, which confirms that the call was carried out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderResponse {
    /// The revision after the call.
    pub header: Header,
}

/// The response to a [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// The revision after the call.
    pub header: Header,
    /// Number of removed keys.
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: Int64,
}

/// The result of one operation of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// The result of a read.
    ResponseRange(RangeResponse),
    /// The result of a write.
    ResponsePut(HeaderResponse),
    /// The result of a removal.
    ResponseDeleteRange(DeleteRangeResponse),
}

/// The response to a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The revision after the call.
    pub header: Header,
    /// True if all conditions held, so that the `success` operations ran.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// The results of the operations that ran, in order.
    #[serde(skip_serializing_if = "is_default")]
    pub responses: Vec<ResponseOp>,
}

/// The response to the grant or renewal of a lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The current revision.
    pub header: Header,
    /// The id of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Seconds until the lease expires without a renewal; zero, which is omitted, if the lease does
    /// not exist.
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    pub ttl: Int64,
}

/// The wrapper of each message of a streamed response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Streamed<T> {
    /// The wrapped message.
    pub result: T,
}

/// The kind of change of a key.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was set.
    #[default]
    Put,
    /// The key was removed.
    Delete,
}

/// A change of one key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Event {
    /// Whether the key was set or removed.
    #[serde(rename = "type", skip_serializing_if = "is_default")]
    pub kind: EventType,
    /// The key after the change; a removed key has no value, and its `mod_revision` is that of the
    /// removal.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The revision up to which every change has been reported.
    pub header: Header,
    /// The watch that the message belongs to; always zero, since this fake has one watch per
    /// stream.
    #[serde(skip_serializing_if = "is_default")]
    pub watch_id: Int64,
    /// True in the first message, which has no events.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// True in the last message of a watch whose start is no longer in the history.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The oldest revision in the history, if the watch is cancelled since it needs an older one.
    #[serde(skip_serializing_if = "is_default")]
    pub compact_revision: Int64,
    /// The changes in order of revision; those of one revision are never split over messages.
    #[serde(skip_serializing_if = "is_default")]
    pub events: Vec<Event>,
}

/// The body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayError {
    /// The error message.
    pub error: String,
    /// The same message, which the gateway sends in both fields.
    pub message: String,
    /// The gRPC status code.
    pub code: u32,
}
