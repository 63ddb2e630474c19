//! The kinds of resources and their specifications; docs/OPERATING.md shows an example of each.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The kind of a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A tenant that may send requests.
    Customer,
    /// A model or an HTTP API that customers send requests to.
    Service,
    /// Grants customers access to services, with weights and limits.
    Policy,
    /// A back end and the agent in front of it.
    Target,
    /// Targets that form the ranks of one model instance: they advance in lock-step and share an
    /// expert map.
    Group,
    /// A data centre that operators have emptied, or have taken back into service.
    #[serde(rename = "data_centre")]
    DataCentre,
}

impl Kind {
    /// All kinds. A resource refers only to resources of kinds before its own.
    pub const ALL: [Self; 6] =
        [Self::Customer, Self::Service, Self::Policy, Self::Target, Self::Group, Self::DataCentre];

    /// Returns the name used in store keys and API paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Service => "service",
            Self::Policy => "policy",
            Self::Target => "target",
            Self::Group => "group",
            Self::DataCentre => "data_centre",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is not the name of a kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "Unknown kind of resource {text:?}; allowed are customer, service, policy, target, group and \
     data_centre."
)]
pub struct UnknownKind {
    /// The rejected text.
    pub text: String,
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| UnknownKind { text: String::from(text) })
    }
}

/// The specification of a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// SHA-256 of the bearer key in lower-case hex. The key itself is never stored.
    pub key_sha256: String,
}

/// The API through which callers reach a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// The chat completions API, streamed or not.
    Model,
    /// Plain HTTP calls under `/v1/services/{service}/`.
    Plain,
}

/// An operation of a plain service, with whether its calls may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path at the target, such as `/holds`.
    pub path: String,
    /// True if carrying out the call twice does no harm.
    pub idempotent: bool,
}

/// The specification of a service. A call of a plain service that matches none of its operations
/// counts as idempotent only if its method is GET or HEAD.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The API through which callers reach the service.
    pub kind: ServiceKind,
    /// The model names under which callers can request the service; empty for a plain service.
    #[serde(default)]
    pub models: Vec<String>,
    /// The operations of a plain service; empty for a model service.
    #[serde(default)]
    pub operations: Vec<Operation>,
    /// Timeout of a request whose caller sets no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Number of shards over which the claims of non-idempotent operations are distributed.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
}

/// The specification of a policy, which grants each of its customers each of its services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// The names of the customers.
    pub customers: Vec<String>,
    /// The names of the services.
    pub services: Vec<String>,
    /// The weight of each customer in the queue of a target, relative to other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests that a customer may have in flight at one entry.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
}

/// The specification of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The name of the service that the target provides.
    pub service: String,
    /// The address on which the target's agent listens for links from entries.
    pub agent: SocketAddr,
    /// The data centre in which the target is located.
    pub data_centre: String,
    /// True to take the target out of service: its agent finishes running requests and accepts no
    /// new ones.
    #[serde(default)]
    pub drain: bool,
}

/// The specification of a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The name of the model service that the group provides.
    pub service: String,
    /// The names of the targets in the order of their ranks; rank 0 is the coordinator.
    pub ranks: Vec<String>,
    /// Number of mixture-of-experts layers of the model.
    pub layers: u32,
    /// Number of experts in each layer.
    pub experts: u32,
    /// Number of expert replicas that one rank can hold in each layer.
    pub slots_per_rank: u32,
    /// Weight of the step-time skew between ranks, relative to [`GroupSpec::cost_weight`].
    #[serde(default = "default_weight")]
    pub skew_weight: u32,
    /// Weight of the cost of moving experts, relative to [`GroupSpec::skew_weight`].
    #[serde(default = "default_weight")]
    pub cost_weight: u32,
}

/// The specification of a data centre. It need not be declared before targets name it; one that is
/// not declared is in service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// True to empty the data centre: its targets finish what runs and take nothing new.
    #[serde(default)]
    pub evacuated: bool,
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
