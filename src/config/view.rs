//! Typed tables derived from one state, which an entry reads on each request.
//!
//! An invalid resource is skipped and reported by [`View::skipped`], so that one bad value does
//! not disable the others: see docs/CONFIGURATION.md.

use crate::collections::{Map, Set};
use crate::config::{envelope, state};
use crate::resources::kinds;

/// SHA-256 hash of a bearer key.
pub type KeyHash = [u8; KEY_HASH_BYTES];

const KEY_HASH_BYTES: usize = 32;

/// Index into the customers of one view; not valid for any other view.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CustomerId(usize);

/// Index into the services of one view; not valid for any other view.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceId(usize);

/// Index into the targets of one view; not valid for any other view.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(usize);

/// A declared customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The resource's name, unique among customers.
    pub name: String,
    /// The hash of the bearer key that identifies the customer's requests.
    pub key_hash: KeyHash,
}

/// A declared service with its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The resource's name, unique among services.
    pub name: String,
    /// The specification that the operators declared.
    pub spec: kinds::ServiceSpec,
    /// The service's targets, in the order of their names.
    pub targets: Vec<TargetId>,
}

/// A declared target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The resource's name, unique among targets.
    pub name: String,
    /// The service whose requests the target answers.
    pub service: ServiceId,
    /// The specification that the operators declared.
    pub spec: kinds::TargetSpec,
}

/// A declared group of ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The resource's name, unique among groups.
    pub name: String,
    /// The service whose requests the group answers.
    pub service: ServiceId,
    /// The targets of the ranks; the index is the rank's number.
    pub ranks: Vec<TargetId>,
    /// The specification that the operators declared.
    pub spec: kinds::GroupSpec,
}

/// The rights that the policies give one customer at one service. Where several policies apply,
/// the largest of each value counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The customer's weight in a target's queue, relative to other customers.
    pub weight: u32,
    /// The most requests that the customer may have in flight at one entry.
    pub max_in_flight: u32,
}

/// All tables derived from one state.
#[derive(Debug, Default)]
pub struct View {
    revision: u64,
    pub(super) customers: Vec<Customer>,
    pub(super) services: Vec<Service>,
    pub(super) targets: Vec<Target>,
    pub(super) groups: Vec<Group>,
    pub(super) customers_by_hash: Map<KeyHash, CustomerId>,
    pub(super) customers_by_name: Map<String, CustomerId>,
    pub(super) services_by_name: Map<String, ServiceId>,
    pub(super) services_by_model: Map<String, ServiceId>,
    pub(super) targets_by_name: Map<String, TargetId>,
    pub(super) grants: Map<(CustomerId, ServiceId), Grant>,
    /// The names of the data centres that operators have emptied.
    pub(super) evacuated: Set<String>,
    pub(super) skipped: Vec<envelope::EnvelopeError>,
}

impl View {
    /// Derives the tables of a state.
    pub fn new(state: &state::State) -> Self {
        super::derive::view(state)
    }

    /// Returns the revision of the state that the view was derived from.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the customer whose bearer key has this hash.
    pub fn customer_by_key(&self, hash: &KeyHash) -> Option<(CustomerId, &Customer)> {
        let id = *self.customers_by_hash.get(hash)?;
        Some((id, self.customer(id)))
    }

    /// Returns the customer of this name.
    pub fn customer_by_name(&self, name: &str) -> Option<(CustomerId, &Customer)> {
        let id = *self.customers_by_name.get(name)?;
        Some((id, self.customer(id)))
    }

    /// Returns the service that serves a model.
    pub fn service_by_model(&self, model: &str) -> Option<(ServiceId, &Service)> {
        let id = *self.services_by_model.get(model)?;
        Some((id, self.service(id)))
    }

    /// Returns the service of this name.
    pub fn service_by_name(&self, name: &str) -> Option<(ServiceId, &Service)> {
        let id = *self.services_by_name.get(name)?;
        Some((id, self.service(id)))
    }

    /// Returns the target of this name.
    pub fn target_by_name(&self, name: &str) -> Option<(TargetId, &Target)> {
        let id = *self.targets_by_name.get(name)?;
        Some((id, self.target(id)))
    }

    /// Returns the rights of a customer at a service, or `None` if no policy applies.
    pub fn grant(&self, customer: CustomerId, service: ServiceId) -> Option<Grant> {
        self.grants.get(&(customer, service)).copied()
    }

    /// Returns the customer with an id of this view.
    pub fn customer(&self, id: CustomerId) -> &Customer {
        &self.customers[id.0]
    }

    /// Returns the service with an id of this view.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.0]
    }

    /// Returns the target with an id of this view.
    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id.0]
    }

    /// Returns the targets of a service, in the order of their names.
    pub fn targets_of(&self, service: ServiceId) -> impl Iterator<Item = (TargetId, &Target)> {
        self.service(service).targets.iter().map(|&id| (id, self.target(id)))
    }

    /// Returns all customers, in the order of their names.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Returns all services, in the order of their names.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns all targets, in the order of their names.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns all groups, in the order of their names.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns true if operators have emptied a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the errors of the resources, or parts of policies, that were skipped.
    pub fn skipped(&self) -> &[envelope::EnvelopeError] {
        &self.skipped
    }

    /// Creates empty tables for a revision.
    pub(super) fn empty_at(revision: u64) -> Self {
        Self { revision, ..Self::default() }
    }

    pub(super) fn push_customer(&mut self, customer: Customer) {
        let id = CustomerId(self.customers.len());
        self.customers_by_hash.insert(customer.key_hash, id);
        self.customers_by_name.insert(customer.name.clone(), id);
        self.customers.push(customer);
    }

    pub(super) fn push_service(&mut self, service: Service) {
        let id = ServiceId(self.services.len());
        self.services_by_name.insert(service.name.clone(), id);
        self.services_by_model.extend(service.spec.models.iter().map(|m| (m.clone(), id)));
        self.services.push(service);
    }

    pub(super) fn push_target(&mut self, target: Target) {
        let id = TargetId(self.targets.len());
        self.services[target.service.0].targets.push(id);
        self.targets_by_name.insert(target.name.clone(), id);
        self.targets.push(target);
    }
}

/// Parses a SHA-256 in lower-case hex; returns `None` for anything else.
pub fn parse_key_hash(hex: &str) -> Option<KeyHash> {
    let mut hash = [0; KEY_HASH_BYTES];
    if hex.len() != 2 * KEY_HASH_BYTES {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(hex.as_bytes().chunks_exact(2)) {
        *byte = 16 * hex_digit(pair[0])? + hex_digit(pair[1])?;
    }
    Some(hash)
}

fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
