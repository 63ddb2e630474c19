//! Plans a change against one view of the whole configuration, without I/O.
//!
//! Every transaction compares and rewrites the head, so the view that a change was checked
//! against is the one that it changes: references hold and bearer keys stay unique however
//! operators race. Configuration changes are few, so one at a time is enough.

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

/// The key that every change of the configuration rewrites.
pub const HEAD_KEY: &str = "/bitternwall/config-head";

/// Head is the value of [`HEAD_KEY`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Records in the audit trail.
    pub audit_records: u64,
}

/// HeadView is the head as it was read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeadView {
    /// The value.
    pub head: Head,
    /// The revision of its last write; zero where it was never written.
    pub version: u64,
}

impl HeadView {
    /// Reads the head.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::Unreadable`] where the key holds something else.
    pub fn decode(kv: Option<&KeyValue>) -> Result<Self> {
        let Some(kv) = kv else { return Ok(Self::default()) };
        let head = serde_json::from_slice(&kv.value)
            .map_err(|_| ResourceError::Unreadable { key: kv.key.clone() })?;
        Ok(Self { head, version: kv.mod_revision })
    }

    /// Returns the condition that the head is as it was read.
    pub fn compare(&self) -> Compare {
        Compare::ModRevision(String::from(HEAD_KEY), self.version)
    }
}

impl Head {
    /// Returns the write that sets the head.
    ///
    /// # Panics
    ///
    /// Never: a head is a number.
    pub fn write(&self) -> Write {
        let value = serde_json::to_vec(self).expect("a head is a number");
        Write::Put { key: String::from(HEAD_KEY), value: Bytes::from(value), lease: None }
    }
}

/// View is the whole configuration. It must be read after its head.
#[derive(Clone, Debug, Default)]
pub struct View {
    head: HeadView,
    resources: BTreeMap<(Kind, String), StoredResource>,
}

impl View {
    /// Returns the view of a range of all resources; a key that holds none is passed over.
    pub fn new(head: HeadView, range: &Range) -> Self {
        let resources = range.entries.iter().filter_map(decode_or_log);
        let resources = resources.map(|stored| {
            let key = (stored.resource.kind, stored.resource.name.clone());
            (key, stored)
        });
        Self { head, resources: resources.collect() }
    }

    /// Returns how many records the audit trail held.
    pub fn audit_records(&self) -> u64 {
        self.head.head.audit_records
    }

    fn find(&self, kind: Kind, name: &str) -> Option<&StoredResource> {
        self.resources.get(&(kind, String::from(name)))
    }

    fn specs(&self) -> impl Iterator<Item = (&Resource, Spec)> {
        let resources = self.resources.values().map(|stored| &stored.resource);
        resources.filter_map(|resource| {
            Some((resource, Spec::parse(resource.kind, &resource.spec).ok()?))
        })
    }
}

/// Plan is the transaction that makes a change.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its conditions.
    pub compares: Vec<Compare>,
    /// Its writes.
    pub writes: Vec<Write>,
    /// What is answered when it is done.
    pub applied: Applied,
}

/// Plans a change.
///
/// # Errors
///
/// Returns a [`ResourceError`] where the change is not allowed on this view.
pub fn plan(view: &View, change: &Change, unix_ms: u64) -> Result<Plan> {
    names::check_name(&change.name)?;
    names::check_change_id(&change.id)?;
    let present = check_version(view, change)?;
    let generation = present.map_or(0, |stored| stored.resource.generation) + 1;
    let previous_version = present.map_or(0, |stored| stored.resource_version);
    let spec = checked_spec(view, change)?;
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
    let mut compares = marker_compares(&view.head, &change.id);
    compares.push(Compare::ModRevision(key.clone(), previous_version));
    let mut writes = marker_writes(&view.head, &record, &Marker::Applied(applied.clone()));
    writes.push(resource.map_or_else(|| Write::Delete { key }, |resource| put_resource(&resource)));
    Ok(Plan { compares, writes, applied })
}

/// Plans to give up a change: once made, no transaction of that change can succeed any more.
pub fn plan_abandon(head: &HeadView, change_id: &str, actor: &str, unix_ms: u64) -> Transaction {
    let record = AuditRecord {
        unix_ms,
        change_id: String::from(change_id),
        actor: String::from(actor),
        action: Action::Abandon,
        subject: None,
    };
    let compares = marker_compares(head, change_id);
    let writes = marker_writes(head, &record, &Marker::Abandoned { unix_ms });
    Transaction { compares, writes }
}

/// Transaction is conditions and the writes that are made if all hold.
#[derive(Clone, Debug)]
pub struct Transaction {
    /// Its conditions.
    pub compares: Vec<Compare>,
    /// Its writes.
    pub writes: Vec<Write>,
}

/// Plans to remove the given oldest records of the audit trail with their markers.
pub fn plan_prune(head: &HeadView, oldest: &[KeyValue]) -> Transaction {
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

/// Reads a resource; a key that holds none is logged and passed over.
pub(super) fn decode_or_log(kv: &KeyValue) -> Option<StoredResource> {
    match StoredResource::decode(kv) {
        Ok(stored) => Some(stored),
        Err(error) => {
            events::log(events::RESOURCE_UNREADABLE, format_args!("{error}"));
            None
        }
    }
}

fn check_version<'a>(view: &'a View, change: &Change) -> Result<Option<&'a StoredResource>> {
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

fn checked_spec(view: &View, change: &Change) -> Result<Option<Spec>> {
    let value = match &change.operation {
        Operation::Create { spec } | Operation::Replace { spec, .. } => spec,
        Operation::Delete { .. } => {
            check_unused(view, change)?;
            return Ok(None);
        }
    };
    let spec = Spec::parse(change.kind, value)?;
    check_references(view, &spec)?;
    check_unique_key(view, &change.name, &spec)?;
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

fn check_unique_key(view: &View, name: &str, spec: &Spec) -> Result<()> {
    let Spec::Customer(customer) = spec else { return Ok(()) };
    let same_key = |(resource, other): &(&Resource, Spec)| match other {
        Spec::Customer(other) => other.key_sha256 == customer.key_sha256 && resource.name != name,
        _ => false,
    };
    if view.specs().any(|entry| same_key(&entry)) {
        let allowed = "a hash that no other customer has";
        return Err(specs::invalid("key_sha256", &customer.key_sha256, allowed).into());
    }
    Ok(())
}

fn check_unused(view: &View, change: &Change) -> Result<()> {
    let Change { kind, name, .. } = change;
    let names_it = |spec: &Spec| {
        let mut references = spec.references().into_iter();
        references.any(|reference| reference.kind == *kind && reference.name == *name)
    };
    match view.specs().find(|(_, spec)| names_it(spec)) {
        None => Ok(()),
        Some((user, _)) => Err(ResourceError::InUse {
            kind: *kind,
            name: name.clone(),
            user_kind: user.kind,
            user_name: user.name.clone(),
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

fn marker_compares(head: &HeadView, change_id: &str) -> Vec<Compare> {
    vec![Compare::CreateRevision(changes::marker_key(change_id), 0), head.compare()]
}

fn marker_writes(head: &HeadView, record: &AuditRecord, marker: &Marker) -> Vec<Write> {
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
