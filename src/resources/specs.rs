//! Parses specifications, checks their shape and limits, and lists the resources they refer to.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::result;

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::resources::kinds::{
    CustomerSpec, DataCentreSpec, GroupSpec, Kind, Operation, PolicySpec, ServiceKind, ServiceSpec,
    TargetSpec,
};
use crate::resources::names;

/// Length of a SHA-256 in hexadecimal digits.
const SHA256_HEX_LEN: usize = 64;
/// Maximum number of items in a list; every write of the list checks each of them.
const MAX_LIST_LEN: usize = 4096;
/// Allowed timeouts of requests, in milliseconds: up to one day.
const TIMEOUT_MS: RangeInclusive<u64> = 1..=86_400_000;
const CLAIM_SHARDS: RangeInclusive<u32> = 1..=256;
const WEIGHT: RangeInclusive<u32> = 1..=1_000;
const SKEW_OR_COST_WEIGHT: RangeInclusive<u32> = 0..=1_000;
const MAX_IN_FLIGHT: RangeInclusive<u32> = 1..=100_000;
const RANKS: RangeInclusive<usize> = 1..=1024;
const LAYERS: RangeInclusive<u32> = 1..=1024;
const EXPERTS: RangeInclusive<u32> = 1..=16_384;
const SLOTS_PER_RANK: RangeInclusive<u32> = 1..=16_384;

/// The result of parsing or checking a specification.
pub type Result<T> = result::Result<T, SpecError>;

/// The reason a specification is rejected, with the field, its value and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SpecError {
    /// The JSON value does not match the type of the specification.
    #[error("The field `{field}` is wrong: {reason}.")]
    Malformed {
        /// The path of the field, such as `ranks[1]`.
        field: String,
        /// The value and the error of the parser, which names what is allowed.
        reason: String,
    },
    /// The value of a field is outside its limits or refers to a missing resource.
    #[error("The field `{field}` is {value}; allowed is {allowed}.")]
    Invalid {
        /// The path of the field, such as `ranks[1]`.
        field: String,
        /// The rejected value.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
}

/// The specification of a resource, by kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Spec {
    /// The specification of a customer.
    Customer(CustomerSpec),
    /// The specification of a service.
    Service(ServiceSpec),
    /// The specification of a policy.
    Policy(PolicySpec),
    /// The specification of a target.
    Target(TargetSpec),
    /// The specification of a group.
    Group(GroupSpec),
    /// The specification of a data centre.
    DataCentre(DataCentreSpec),
}

impl Spec {
    /// Parses a specification and checks everything that does not depend on other resources.
    ///
    /// # Errors
    ///
    /// Returns a [`SpecError`] for the first invalid field.
    pub fn parse(kind: Kind, value: &Value) -> Result<Self> {
        let spec = Self::parse_shape(kind, value)?;
        spec.check_limits()?;
        Ok(spec)
    }

    /// Returns the specification as JSON with all defaults filled in.
    ///
    /// # Panics
    ///
    /// Never: specifications have string keys only, which JSON can hold.
    pub fn to_value(&self) -> Value {
        let value = match self {
            Self::Customer(spec) => serde_json::to_value(spec),
            Self::Service(spec) => serde_json::to_value(spec),
            Self::Policy(spec) => serde_json::to_value(spec),
            Self::Target(spec) => serde_json::to_value(spec),
            Self::Group(spec) => serde_json::to_value(spec),
            Self::DataCentre(spec) => serde_json::to_value(spec),
        };
        value.expect("specifications have string keys only")
    }

    /// Returns the resources that the specification refers to.
    pub fn references(&self) -> Vec<Reference<'_>> {
        match self {
            Self::Customer(_) | Self::Service(_) | Self::DataCentre(_) => Vec::new(),
            Self::Policy(spec) => {
                let customers = references("customers", Kind::Customer, &spec.customers);
                customers.chain(references("services", Kind::Service, &spec.services)).collect()
            }
            Self::Target(spec) => vec![Reference::service(&spec.service)],
            Self::Group(spec) => {
                let ranks = references("ranks", Kind::Target, &spec.ranks);
                ranks.chain([Reference::service(&spec.service)]).collect()
            }
        }
    }

    fn parse_shape(kind: Kind, value: &Value) -> Result<Self> {
        Ok(match kind {
            Kind::Customer => Self::Customer(parse(value)?),
            Kind::Service => Self::Service(parse(value)?),
            Kind::Policy => Self::Policy(parse(value)?),
            Kind::Target => Self::Target(parse(value)?),
            Kind::Group => Self::Group(parse(value)?),
            Kind::DataCentre => Self::DataCentre(parse(value)?),
        })
    }

    fn check_limits(&self) -> Result<()> {
        match self {
            Self::Customer(spec) => check_customer(spec),
            Self::Service(spec) => check_service(spec),
            Self::Policy(spec) => check_policy(spec),
            Self::Target(spec) => check_target(spec),
            Self::Group(spec) => check_group(spec),
            Self::DataCentre(DataCentreSpec { evacuated: _ }) => Ok(()),
        }
    }
}

/// A reference of a specification to another resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reference<'a> {
    /// The path of the referring field.
    pub field: String,
    /// The kind of the referenced resource.
    pub kind: Kind,
    /// The name of the referenced resource.
    pub name: &'a str,
}

impl<'a> Reference<'a> {
    fn service(name: &'a str) -> Self {
        Self { field: String::from("service"), kind: Kind::Service, name }
    }
}

fn references<'a>(
    field: &'static str,
    kind: Kind,
    names: &'a [String],
) -> impl Iterator<Item = Reference<'a>> {
    let names = names.iter().enumerate();
    names.map(move |(index, name)| Reference { field: format!("{field}[{index}]"), kind, name })
}

/// Returns the error for a field whose value is not allowed.
pub(crate) fn invalid(field: &str, value: &dyn fmt::Display, allowed: &str) -> SpecError {
    SpecError::Invalid {
        field: String::from(field),
        value: value.to_string(),
        allowed: String::from(allowed),
    }
}

fn parse<T: DeserializeOwned>(value: &Value) -> Result<T> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let found = find(value, error.path());
        let mismatch = found.map(|value| format!("{value} does not fit, ")).unwrap_or_default();
        SpecError::Malformed {
            field: error.path().to_string(),
            reason: format!("{mismatch}{}", error.inner()),
        }
    })
}

/// Returns the value at a path, or `None` if the path does not lead to one.
fn find<'a>(value: &'a Value, path: &Path) -> Option<&'a Value> {
    path.iter().try_fold(value, |value, segment| match segment {
        Segment::Seq { index } => value.get(index),
        Segment::Map { key } => value.get(key),
        Segment::Enum { .. } | Segment::Unknown => None,
    })
}

fn check_customer(spec: &CustomerSpec) -> Result<()> {
    let hash = &spec.key_sha256;
    if is_sha256_hex(hash) {
        return Ok(());
    }
    Err(invalid("key_sha256", hash, "a SHA-256 of 64 lower-case hex digits"))
}

/// Returns true if the text is a SHA-256 in lower-case hexadecimal digits.
pub fn is_sha256_hex(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == SHA256_HEX_LEN && text.bytes().all(digit)
}

fn check_service(spec: &ServiceSpec) -> Result<()> {
    check_range("timeout_ms", spec.timeout_ms, TIMEOUT_MS)?;
    check_range("claim_shards", spec.claim_shards, CLAIM_SHARDS)?;
    check_distinct("models", &spec.models)?;
    check_range("operations.length", spec.operations.len(), 0..=MAX_LIST_LEN)?;
    match spec.kind {
        ServiceKind::Model if spec.models.is_empty() => {
            Err(invalid("models", &"empty", "at least one model name for a model service"))
        }
        ServiceKind::Model if !spec.operations.is_empty() => {
            Err(invalid("operations", &"not empty", "none for a model service"))
        }
        ServiceKind::Plain if !spec.models.is_empty() => {
            Err(invalid("models", &spec.models[0], "none for a plain service"))
        }
        ServiceKind::Model | ServiceKind::Plain => check_operations(&spec.operations),
    }
}

fn check_operations(operations: &[Operation]) -> Result<()> {
    for (index, operation) in operations.iter().enumerate() {
        let Operation { method, path, .. } = operation;
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let field = format!("operations[{index}].method");
            return Err(invalid(&field, method, "an HTTP method in capitals"));
        }
        if !path.starts_with('/') {
            let field = format!("operations[{index}].path");
            return Err(invalid(&field, path, "a path that starts with `/`"));
        }
        let duplicate = |other: &Operation| other.method == *method && other.path == *path;
        if operations[..index].iter().any(duplicate) {
            let field = format!("operations[{index}]");
            return Err(invalid(&field, &format_args!("{method} {path}"), "each only once"));
        }
    }
    Ok(())
}

fn check_policy(spec: &PolicySpec) -> Result<()> {
    check_distinct_names("customers", &spec.customers)?;
    check_distinct_names("services", &spec.services)?;
    check_range("weight", spec.weight, WEIGHT)?;
    check_range("max_in_flight", spec.max_in_flight, MAX_IN_FLIGHT)
}

fn check_target(spec: &TargetSpec) -> Result<()> {
    check_name("service", &spec.service)?;
    check_name("data_centre", &spec.data_centre)?;
    if spec.agent.port() == 0 || spec.agent.ip().is_unspecified() {
        return Err(invalid("agent", &spec.agent, "an IP number and a port to connect to"));
    }
    Ok(())
}

fn check_group(spec: &GroupSpec) -> Result<()> {
    check_name("service", &spec.service)?;
    check_range("ranks.length", spec.ranks.len(), RANKS)?;
    check_distinct_names("ranks", &spec.ranks)?;
    check_range("layers", spec.layers, LAYERS)?;
    check_range("experts", spec.experts, EXPERTS)?;
    check_range("slots_per_rank", spec.slots_per_rank, SLOTS_PER_RANK)?;
    check_range("skew_weight", spec.skew_weight, SKEW_OR_COST_WEIGHT)?;
    check_range("cost_weight", spec.cost_weight, SKEW_OR_COST_WEIGHT)?;
    let ranks = u64::try_from(spec.ranks.len()).unwrap_or(u64::MAX);
    let slots = ranks.saturating_mul(u64::from(spec.slots_per_rank));
    if slots < u64::from(spec.experts) {
        let allowed = "enough for all ranks together to hold every expert";
        return Err(invalid("slots_per_rank", &spec.slots_per_rank, allowed));
    }
    Ok(())
}

fn check_range<T: Copy + PartialOrd + fmt::Display>(
    field: &str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<()> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(invalid(field, &value, &format!("{} to {}", range.start(), range.end())))
}

fn check_name(field: &str, name: &str) -> Result<()> {
    let allowed = "a name of 1 to 63 lower-case letters, digits and inner hyphens";
    names::check_name(name).map_err(|_| invalid(field, &format_args!("{name:?}"), allowed))
}

fn check_distinct_names(field: &str, list: &[String]) -> Result<()> {
    for (index, name) in list.iter().enumerate() {
        check_name(&format!("{field}[{index}]"), name)?;
    }
    check_distinct(field, list)
}

fn check_distinct(field: &str, list: &[String]) -> Result<()> {
    check_range(&format!("{field}.length"), list.len(), 0..=MAX_LIST_LEN)?;
    let mut seen = BTreeSet::new();
    for (index, item) in list.iter().enumerate() {
        let field = format!("{field}[{index}]");
        if item.is_empty() {
            return Err(invalid(&field, &"empty", "a text of at least one character"));
        }
        if !seen.insert(item) {
            return Err(invalid(&field, item, "each only once"));
        }
    }
    Ok(())
}
