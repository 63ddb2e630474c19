//! Plans a change against one view of the complete configuration, without I/O.
//!
//! Every transaction compares and rewrites the head key, so it fails if the configuration has
//! changed since the view was read: references stay valid and bearer keys stay unique however
//! concurrent changes interleave. Configuration changes are rare, so it is enough to commit
//! them one at a time.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::audit::{self, Action, AuditRecord, Subject};
use crate::external::store::{Compare, KeyValue, Range, Write};
use crate::resources::changes::{self, Applied, Change, Marker, Operation};
use crate::resources::error::{ResourceError, Result};
use crate::resources::kinds::Kind;
use crate::resources::names;
use crate::resources::specs::{self, Spec};
use crate::resources::stored::{self, Resource, StoredResource};
use crate::telemetry::events;

/// The key that every transaction on the configuration or the audit trail rewrites.
pub const HEAD_KEY: &str = "/bitternwall/config-head";

/// The value of [`HEAD_KEY`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of records in the audit trail.
    pub audit_records: u64,
}

/// The head as it was read, with its revision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionedHead {
    /// The decoded value; the default if the key does not exist.
    pub head: Head,
    /// The revision of the last write of the key; zero if the key does not exist.
    pub version: u64,
}

impl VersionedHead {
    /// Decodes the head from its key, or returns the default if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::Unreadable`] if the value is not a head.
    pub fn decode(kv: Option<&KeyValue>) -> Result<Self> {
        let Some(kv) = kv else { return Ok(Self::default()) };
        let head = serde_json::from_slice(&kv.value)
            .map_err(|_| ResourceError::Unreadable { key: kv.key.clone() })?;
        Ok(Self { head, version: kv.mod_revision })
    }

    /// Returns the condition that the head has not been written since it was read.
    pub fn compare(&self) -> Compare {
        Compare::ModRevision(String::from(HEAD_KEY), self.version)
    }
}

impl Head {
    /// Returns the write that stores this head.
    ///
    /// # Panics
    ///
    /// Never: a head is a number.
    pub fn write(&self) -> Write {
        let value = serde_json::to_vec(self).expect("a head is a number");
        Write::Put { key: String::from(HEAD_KEY), value: Bytes::from(value), lease: None }
    }
}

/// The complete configuration, on which a change is checked. The resources must be read after the
/// head: a change committed between the two reads then makes the comparison of the head fail.
#[derive(Clone, Debug, Default)]
pub struct View {
    head: VersionedHead,
    resources: BTreeMap<(Kind, String), StoredResource>,
}

impl View {
    /// Returns the view of a range that covers all resources. Keys that hold no valid resource are
    /// logged and skipped.
    pub fn new(head: VersionedHead, range: &Range) -> Self {
        let resources = range.entries.iter().filter_map(decode_or_log);
        let resources = resources.map(|stored| {
            let key = (stored.resource.kind, stored.resource.name.clone());
            (key, stored)
        });
        Self { head, resources: resources.collect() }
    }

    /// Returns the number of records in the audit trail when the head was read.
    pub fn audit_records(&self) -> u64 {
        self.head.head.audit_records
    }

    fn find(&self, kind: Kind, name: &str) -> Option<&StoredResource> {
        self.resources.get(&(kind, String::from(name)))
    }

    /// Returns all resources whose specification can be parsed.
    fn specs(&self) -> impl Iterator<Item = (&Resource, Spec)> {
        let resources = self.resources.values().map(|stored| &stored.resource);
        resources.filter_map(|resource| {
            Some((resource, Spec::parse(resource.kind, &resource.spec).ok()?))
        })
    }
}

/// The transaction that applies a change.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The conditions: the head and the resource are as they were read, and no marker exists.
    pub compares: Vec<Compare>,
    /// The writes: head, marker, audit record and resource.
    pub writes: Vec<Write>,
    /// The result to return once the transaction has succeeded; the marker holds the same.
    pub applied: Applied,
}

/// Checks a change against a view and returns the transaction that applies it. `unix_ms` is the
/// time to record, in milliseconds since 1970.
///
/// # Errors
///
/// Returns a [`ResourceError`] if the change is not allowed on this view.
pub fn plan(view: &View, change: &Change, unix_ms: u64) -> Result<Plan> {
    names::check_name(&change.name)?;
    names::check_change_id(&change.id)?;
    let present = check_resource_version(view, change)?;
    let generation = present.map_or(0, |stored| stored.resource.generation) + 1;
    let previous_version = present.map_or(0, |stored| stored.resource_version);
    let spec = check_spec(view, change)?;
    let resource = spec.as_ref().map(|spec| new_resource(change, generation, spec));
    let applied = Applied {
        action: change.operation.action(),
        kind: change.kind,
        name: change.name.clone(),
        generation,
        actor: change.actor.clone(),
        unix_ms,
        digest: change.digest(),
    };
    let subject = Subject {
        kind: change.kind,
        name: change.name.clone(),
        generation,
        previous_version,
        spec: resource.as_ref().map(|resource| resource.spec.clone()),
    };
    let record = AuditRecord {
        unix_ms,
        change_id: change.id.clone(),
        actor: change.actor.clone(),
        action: applied.action,
        subject: Some(subject),
    };
    let key = stored::key(change.kind, &change.name);
    let mut compares = common_compares(&view.head, &change.id);
    compares.push(Compare::ModRevision(key.clone(), previous_version));
    let mut writes = common_writes(&view.head, &record, &Marker::Applied(applied.clone()));
    writes.push(resource.map_or_else(|| Write::Delete { key }, |resource| put_resource(&resource)));
    Ok(Plan { compares, writes, applied })
}

/// Returns the transaction that abandons a change. Once it has succeeded, no transaction of that
/// change can succeed, because each requires that the marker does not exist.
pub fn plan_abandon(
    head: &VersionedHead,
    change_id: &str,
    actor: &str,
    unix_ms: u64,
) -> Transaction {
    let record = AuditRecord {
        unix_ms,
        change_id: String::from(change_id),
        actor: String::from(actor),
        action: Action::Abandon,
        subject: None,
    };
    let compares = common_compares(head, change_id);
    let writes = common_writes(head, &record, &Marker::Abandoned { unix_ms });
    Transaction { compares, writes }
}

/// Conditions, and the writes to make if all of them hold.
#[derive(Clone, Debug)]
pub struct Transaction {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes, made atomically.
    pub writes: Vec<Write>,
}

/// Returns the transaction that removes the given records, the oldest of the audit trail, and the
/// markers of their changes.
pub fn plan_prune(head: &VersionedHead, oldest: &[KeyValue]) -> Transaction {
    let removed = u64::try_from(oldest.len()).unwrap_or(u64::MAX);
    let audit_records = head.head.audit_records.saturating_sub(removed);
    let mut writes = vec![Head { audit_records }.write()];
    for kv in oldest {
        writes.push(Write::Delete { key: kv.key.clone() });
        if let Ok((_, change_id)) = audit::parse_key(&kv.key) {
            writes.push(Write::Delete { key: changes::marker_key(change_id) });
        }
    }
    Transaction { compares: vec![head.compare()], writes }
}

/// Decodes a resource, or logs the error and returns `None` if the key holds no valid resource.
pub(super) fn decode_or_log(kv: &KeyValue) -> Option<StoredResource> {
    match StoredResource::decode(kv) {
        Ok(stored) => Some(stored),
        Err(error) => {
            events::log(events::RESOURCE_UNREADABLE, format_args!("{error}"));
            None
        }
    }
}

/// Returns the current version of the resource if the change may build on it, or `None` if the
/// change creates the resource.
fn check_resource_version<'a>(
    view: &'a View,
    change: &Change,
) -> Result<Option<&'a StoredResource>> {
    let Change { kind, name, .. } = change;
    let present = view.find(*kind, name);
    let given_version = match change.operation {
        Operation::Create { .. } => 0,
        Operation::Replace { resource_version, .. } | Operation::Delete { resource_version } => {
            resource_version
        }
    };
    let is_create = matches!(change.operation, Operation::Create { .. });
    let (kind, name) = (*kind, name.clone());
    match present.map(|stored| stored.resource_version) {
        None if is_create => Ok(None),
        None => Err(ResourceError::NotFound { kind, name }),
        Some(present_version) if is_create => {
            Err(ResourceError::AlreadyExists { kind, name, present_version })
        }
        Some(present_version) if present_version != given_version => {
            Err(ResourceError::Conflict { kind, name, given_version, present_version })
        }
        Some(_) => Ok(present),
    }
}

/// Returns the checked specification of the change. For a deletion it checks that no other resource
/// refers to the resource, and returns `None`.
fn check_spec(view: &View, change: &Change) -> Result<Option<Spec>> {
    let value = match &change.operation {
        Operation::Create { spec } | Operation::Replace { spec, .. } => spec,
        Operation::Delete { .. } => {
            check_not_referenced(view, change)?;
            return Ok(None);
        }
    };
    let spec = Spec::parse(change.kind, value)?;
    check_references(view, &spec)?;
    check_key_is_unique(view, &change.name, &spec)?;
    Ok(Some(spec))
}

fn check_references(view: &View, spec: &Spec) -> Result<()> {
    for reference in spec.references() {
        if view.find(reference.kind, reference.name).is_none() {
            let allowed = format!("the name of a {} that exists", reference.kind);
            return Err(specs::invalid(&reference.field, &reference.name, &allowed).into());
        }
    }
    Ok(())
}

/// Checks that no other customer has the same bearer key, since the key identifies the customer.
fn check_key_is_unique(view: &View, name: &str, spec: &Spec) -> Result<()> {
    let Spec::Customer(customer) = spec else { return Ok(()) };
    let same_key = |(resource, other): &(&Resource, Spec)| match other {
        Spec::Customer(other) => other.key_sha256 == customer.key_sha256 && resource.name != name,
        _ => false,
    };
    if view.specs().any(|item| same_key(&item)) {
        let allowed = "a hash that no other customer has";
        return Err(specs::invalid("key_sha256", &customer.key_sha256, allowed).into());
    }
    Ok(())
}

fn check_not_referenced(view: &View, change: &Change) -> Result<()> {
    let Change { kind, name, .. } = change;
    let refers_to_it = |spec: &Spec| {
        let mut references = spec.references().into_iter();
        references.any(|reference| reference.kind == *kind && reference.name == *name)
    };
    match view.specs().find(|(_, spec)| refers_to_it(spec)) {
        None => Ok(()),
        Some((referrer, _)) => Err(ResourceError::InUse {
            kind: *kind,
            name: name.clone(),
            user_kind: referrer.kind,
            user_name: referrer.name.clone(),
        }),
    }
}

fn new_resource(change: &Change, generation: u64, spec: &Spec) -> Resource {
    Resource {
        kind: change.kind,
        name: change.name.clone(),
        generation,
        change_id: change.id.clone(),
        actor: change.actor.clone(),
        spec: spec.to_value(),
    }
}

/// Returns the conditions of both applying and abandoning a change: its marker does not exist, and
/// the head has not been written since it was read.
fn common_compares(head: &VersionedHead, change_id: &str) -> Vec<Compare> {
    vec![Compare::CreateRevision(changes::marker_key(change_id), 0), head.compare()]
}

/// Returns the writes of both applying and abandoning a change: the head with one more record, the
/// marker and the audit record.
fn common_writes(head: &VersionedHead, record: &AuditRecord, marker: &Marker) -> Vec<Write> {
    let audit_records = head.head.audit_records.saturating_add(1);
    let marker_key = changes::marker_key(&record.change_id);
    vec![
        Head { audit_records }.write(),
        Write::Put { key: marker_key, value: marker.encode(), lease: None },
        Write::Put { key: record.key(), value: record.encode(), lease: None },
    ]
}

fn put_resource(resource: &Resource) -> Write {
    Write::Put { key: resource.key(), value: resource.encode(), lease: None }
}
