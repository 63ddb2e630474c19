//! Typed tables of one state, which an entry reads on each request.
//!
//! A resource that cannot be used is skipped and named in [`View::skipped`], so that one bad
//! value never takes the others out of force: see docs/CONFIGURATION.md.

use crate::collections::Map;
use crate::config::{envelope, state};
use crate::resources::kinds;

/// The bytes of a SHA-256.
pub type KeyHash = [u8; KEY_HASH_BYTES];

const KEY_HASH_BYTES: usize = 32;

/// CustomerId is a row of the customers' table of one view.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CustomerId(usize);

/// ServiceId is a row of the services' table of one view.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceId(usize);

/// TargetId is a row of the targets' table of one view.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetId(usize);

/// Customer is one row of the customers' table.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The resource's name.
    pub name: String,
    /// The hash of the bearer key.
    pub key_hash: KeyHash,
}

/// Service is one row of the services' table.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The resource's name.
    pub name: String,
    /// What the operators declared.
    pub spec: kinds::ServiceSpec,
    /// Its targets, by name.
    pub targets: Vec<TargetId>,
}

/// Target is one row of the targets' table.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The resource's name.
    pub name: String,
    /// The service that it serves.
    pub service: ServiceId,
    /// What the operators declared.
    pub spec: kinds::TargetSpec,
}

/// Group is one row of the groups' table.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The resource's name.
    pub name: String,
    /// The service that it serves.
    pub service: ServiceId,
    /// The targets of its ranks, in order.
    pub ranks: Vec<TargetId>,
    /// What the operators declared.
    pub spec: kinds::GroupSpec,
}

/// Grant is what the policies give one customer at one service. Where several apply, the
/// largest of each value counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The customer's share at a target's queue.
    pub weight: u32,
    /// Requests in flight at one entry.
    pub max_in_flight: u32,
}

/// View is every table of one state.
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

    /// Returns the service that answers for a model.
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

    /// Returns what a customer may use of a service; without a policy, nothing.
    pub fn grant(&self, customer: CustomerId, service: ServiceId) -> Option<Grant> {
        self.grants.get(&(customer, service)).copied()
    }

    /// Returns a row of the customers' table of this view.
    pub fn customer(&self, id: CustomerId) -> &Customer {
        &self.customers[id.0]
    }

    /// Returns a row of the services' table of this view.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.0]
    }

    /// Returns a row of the targets' table of this view.
    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id.0]
    }

    /// Returns the targets of a service, in the order of their names.
    pub fn targets_of(&self, service: ServiceId) -> impl Iterator<Item = (TargetId, &Target)> {
        self.service(service).targets.iter().map(|&id| (id, self.target(id)))
    }

    /// Returns the customers' table.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Returns the services' table.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the targets' table.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the groups' table.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns why resources of the state are not in the tables.
    pub fn skipped(&self) -> &[envelope::EnvelopeError] {
        &self.skipped
    }

    pub(super) fn at(revision: u64) -> Self {
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

/// Reads a SHA-256 from its lower-case hex.
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
