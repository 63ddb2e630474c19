//! The specification of each kind of resource; docs/OPERATING.md shows one of each.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind names a table of resources.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Who may send requests.
    Customer,
    /// What requests are for.
    Service,
    /// Which customers may use which services, and how much.
    Policy,
    /// One back end with the agent before it.
    Target,
    /// Targets whose ranks advance in lock-step on one expert map.
    Group,
}

impl Kind {
    /// Every kind, in the order in which they may refer to each other.
    pub const ALL: [Self; 5] =
        [Self::Customer, Self::Service, Self::Policy, Self::Target, Self::Group];

    /// Returns the name that keys and paths use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Service => "service",
            Self::Policy => "policy",
            Self::Target => "target",
            Self::Group => "group",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// UnknownKind is a text that names no kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "There is no kind of resource {text:?}; there are customer, service, policy, target and group."
)]
pub struct UnknownKind {
    /// The text.
    pub text: String,
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| UnknownKind { text: String::from(text) })
    }
}

/// CustomerSpec declares one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Lower-case hex SHA-256 of the bearer key; the key itself is never stored.
    pub key_sha256: String,
}

/// ServiceKind tells which of the callers' APIs leads to a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Chat completions, streamed or whole.
    Model,
    /// Plain HTTP calls under `/v1/services/{service}/`.
    Plain,
}

/// Operation declares whether one call of a plain service may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path's prefix at the target, such as `/holds`.
    pub path: String,
    /// True where running it twice does no harm.
    pub idempotent: bool,
}

/// ServiceSpec declares one service. A plain call that no operation names counts as idempotent
/// only for GET and HEAD.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Which API leads to the service.
    pub kind: ServiceKind,
    /// The model names that callers may ask for; empty for a plain service.
    #[serde(default)]
    pub models: Vec<String>,
    /// The operations of a plain service.
    #[serde(default)]
    pub operations: Vec<Operation>,
    /// Milliseconds that a request may take where its caller sets no deadline.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Shards that the claims of operations that may not be repeated are spread over.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
}

/// PolicySpec binds customers to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Names of customers.
    pub customers: Vec<String>,
    /// Names of services.
    pub services: Vec<String>,
    /// The customer's share at a target's queue, relative to others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests that a customer may have in flight at one entry.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
}

/// TargetSpec declares one back end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The service that it serves.
    pub service: String,
    /// Where its agent listens for entries.
    pub agent: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// True to take it out of service: its agent finishes what runs and takes nothing new.
    #[serde(default)]
    pub drain: bool,
}

/// GroupSpec declares the ranks that share an expert map.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The model service that the group serves.
    pub service: String,
    /// Names of targets, in the order of their ranks; rank 0 coordinates.
    pub ranks: Vec<String>,
    /// Mixture-of-experts layers of the model.
    pub layers: u32,
    /// Experts in each layer.
    pub experts: u32,
    /// Expert replicas that one rank can hold in each layer.
    pub slots_per_rank: u32,
    /// How much step-time skew weighs against [`GroupSpec::cost_weight`].
    #[serde(default = "default_weight")]
    pub skew_weight: u32,
    /// How much the cost of moving experts weighs.
    #[serde(default = "default_weight")]
    pub cost_weight: u32,
}

const DEFAULT_TIMEOUT_MS: u64 = 60_000;
const DEFAULT_CLAIM_SHARDS: u32 = 4;
const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_MAX_IN_FLIGHT: u32 = 64;

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_claim_shards() -> u32 {
    DEFAULT_CLAIM_SHARDS
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

fn default_max_in_flight() -> u32 {
    DEFAULT_MAX_IN_FLIGHT
}
