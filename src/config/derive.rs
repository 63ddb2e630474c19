//! Derives the tables of a [`view::View`] from a state, kind by kind.
//!
//! Resources are added in the order of their keys, so that every process with the same state
//! derives the same tables and skips the same duplicates.

use serde::de::DeserializeOwned;

use crate::config::envelope::{self, EnvelopeError};
use crate::config::{state, view};
use crate::resources::kinds;

/// A stored resource whose key has been parsed.
struct Resource<'a> {
    key: &'a str,
    name: &'a str,
    value: &'a [u8],
}

impl Resource<'_> {
    fn parse<S: DeserializeOwned>(&self) -> envelope::Result<S> {
        Ok(envelope::parse::<S>(self.key, self.name, self.value)?.spec)
    }

    fn dangling(&self, kind: kinds::Kind, name: &str) -> EnvelopeError {
        EnvelopeError::Dangling { key: self.key.to_owned(), kind, name: name.to_owned() }
    }

    fn duplicate(&self, value: &str, owner: &str) -> EnvelopeError {
        let (value, owner) = (value.to_owned(), owner.to_owned());
        EnvelopeError::Duplicate { key: self.key.to_owned(), value, owner }
    }
}

/// Derives all tables of a state.
pub(super) fn view(state: &state::State) -> view::View {
    let mut view = view::View::empty_at(state.revision());
    let resources = resources(state, &mut view);
    let adders: [(kinds::Kind, AddResource); 6] = [
        (kinds::Kind::Customer, add_customer),
        (kinds::Kind::Service, add_service),
        (kinds::Kind::Policy, add_policy),
        (kinds::Kind::Target, add_target),
        (kinds::Kind::Group, add_group),
        (kinds::Kind::DataCentre, add_data_centre),
    ];
    for (kind, add) in adders {
        for (_, resource) in resources.iter().filter(|(resource_kind, _)| *resource_kind == kind) {
            if let Err(error) = add(&mut view, resource) {
                view.skipped.push(error);
            }
        }
    }
    view
}

type AddResource = fn(&mut view::View, &Resource) -> envelope::Result<()>;

/// Returns the resources with valid keys, sorted by key; the others are recorded as skipped.
fn resources<'a>(
    state: &'a state::State,
    view: &mut view::View,
) -> Vec<(kinds::Kind, Resource<'a>)> {
    let mut resources = Vec::with_capacity(state.resources().len());
    for (key, resource) in state.resources() {
        match envelope::parse_key(key) {
            Ok((kind, name)) => {
                resources.push((kind, Resource { key, name, value: &resource.value }))
            }
            Err(error) => view.skipped.push(error),
        }
    }
    resources.sort_unstable_by_key(|(_, resource)| resource.key);
    view.skipped.sort_unstable_by_key(ToString::to_string);
    resources
}

fn add_customer(view: &mut view::View, resource: &Resource) -> envelope::Result<()> {
    let spec: kinds::CustomerSpec = resource.parse()?;
    let Some(key_hash) = view::parse_key_hash(&spec.key_sha256) else {
        return Err(EnvelopeError::BadKeyHash {
            key: resource.key.to_owned(),
            hash: spec.key_sha256,
        });
    };
    if let Some((_, owner)) = view.customer_by_key(&key_hash) {
        return Err(resource.duplicate(&spec.key_sha256, &owner.name));
    }
    view.push_customer(view::Customer { name: resource.name.to_owned(), key_hash });
    Ok(())
}

fn add_service(view: &mut view::View, resource: &Resource) -> envelope::Result<()> {
    let spec: kinds::ServiceSpec = resource.parse()?;
    for model in &spec.models {
        if let Some((_, owner)) = view.service_by_model(model) {
            return Err(resource.duplicate(model, &owner.name));
        }
    }
    view.push_service(view::Service { name: resource.name.to_owned(), spec, targets: Vec::new() });
    Ok(())
}

/// A policy may name a customer or service that no longer exists: the rest of it still applies.
fn add_policy(view: &mut view::View, resource: &Resource) -> envelope::Result<()> {
    let spec: kinds::PolicySpec = resource.parse()?;
    let mut dangling = None;
    for customer in &spec.customers {
        let Some((customer_id, _)) = view.customer_by_name(customer) else {
            dangling = Some(resource.dangling(kinds::Kind::Customer, customer));
            continue;
        };
        for service in &spec.services {
            let Some((service_id, _)) = view.service_by_name(service) else {
                dangling = Some(resource.dangling(kinds::Kind::Service, service));
                continue;
            };
            let grant = view
                .grants
                .entry((customer_id, service_id))
                .or_insert(view::Grant { weight: spec.weight, max_in_flight: spec.max_in_flight });
            grant.weight = grant.weight.max(spec.weight);
            grant.max_in_flight = grant.max_in_flight.max(spec.max_in_flight);
        }
    }
    dangling.map_or(Ok(()), Err)
}

fn add_target(view: &mut view::View, resource: &Resource) -> envelope::Result<()> {
    let spec: kinds::TargetSpec = resource.parse()?;
    let Some((service, _)) = view.service_by_name(&spec.service) else {
        return Err(resource.dangling(kinds::Kind::Service, &spec.service));
    };
    view.push_target(view::Target { name: resource.name.to_owned(), service, spec });
    Ok(())
}

fn add_group(view: &mut view::View, resource: &Resource) -> envelope::Result<()> {
    let spec: kinds::GroupSpec = resource.parse()?;
    let Some((service, _)) = view.service_by_name(&spec.service) else {
        return Err(resource.dangling(kinds::Kind::Service, &spec.service));
    };
    let find = |name: &String| match view.target_by_name(name) {
        Some((id, _)) => Ok(id),
        None => Err(resource.dangling(kinds::Kind::Target, name)),
    };
    let ranks = spec.ranks.iter().map(find).collect::<envelope::Result<Vec<_>>>()?;
    view.groups.push(view::Group { name: resource.name.to_owned(), service, ranks, spec });
    Ok(())
}

fn add_data_centre(view: &mut view::View, resource: &Resource) -> envelope::Result<()> {
    let spec: kinds::DataCentreSpec = resource.parse()?;
    if spec.evacuated {
        view.evacuated.insert(resource.name.to_owned());
    }
    Ok(())
}
