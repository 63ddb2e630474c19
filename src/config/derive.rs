//! Derives the tables of a [`view::View`] from a state, kind by kind.
//!
//! Keys are taken in order, so that every process with the same state has the same tables and
//! settles duplicates the same way.

use serde::de::DeserializeOwned;

use crate::config::envelope::{self, EnvelopeError};
use crate::config::{state, view};
use crate::resources::kinds;

struct Row<'a> {
    key: &'a str,
    name: &'a str,
    value: &'a [u8],
}

impl Row<'_> {
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

pub(super) fn view(state: &state::State) -> view::View {
    let mut view = view::View::at(state.revision());
    let rows = rows(state, &mut view);
    let systems: [(kinds::Kind, AddRow); 5] = [
        (kinds::Kind::Customer, add_customer),
        (kinds::Kind::Service, add_service),
        (kinds::Kind::Policy, add_policy),
        (kinds::Kind::Target, add_target),
        (kinds::Kind::Group, add_group),
    ];
    for (kind, add) in systems {
        for (_, row) in rows.iter().filter(|(row_kind, _)| *row_kind == kind) {
            if let Err(error) = add(&mut view, row) {
                view.skipped.push(error);
            }
        }
    }
    view
}

type AddRow = fn(&mut view::View, &Row) -> envelope::Result<()>;

fn rows<'a>(state: &'a state::State, view: &mut view::View) -> Vec<(kinds::Kind, Row<'a>)> {
    let mut rows = Vec::with_capacity(state.resources().len());
    for (key, resource) in state.resources() {
        match envelope::parse_key(key) {
            Ok((kind, name)) => rows.push((kind, Row { key, name, value: &resource.value })),
            Err(error) => view.skipped.push(error),
        }
    }
    rows.sort_unstable_by_key(|(_, row)| row.key);
    view.skipped.sort_unstable_by_key(ToString::to_string);
    rows
}

fn add_customer(view: &mut view::View, row: &Row) -> envelope::Result<()> {
    let spec: kinds::CustomerSpec = row.parse()?;
    let Some(key_hash) = view::parse_key_hash(&spec.key_sha256) else {
        return Err(EnvelopeError::BadKeyHash { key: row.key.to_owned(), hash: spec.key_sha256 });
    };
    if let Some((_, owner)) = view.customer_by_key(&key_hash) {
        return Err(row.duplicate(&spec.key_sha256, &owner.name));
    }
    view.push_customer(view::Customer { name: row.name.to_owned(), key_hash });
    Ok(())
}

fn add_service(view: &mut view::View, row: &Row) -> envelope::Result<()> {
    let spec: kinds::ServiceSpec = row.parse()?;
    for model in &spec.models {
        if let Some((_, owner)) = view.service_by_model(model) {
            return Err(row.duplicate(model, &owner.name));
        }
    }
    view.push_service(view::Service { name: row.name.to_owned(), spec, targets: Vec::new() });
    Ok(())
}

/// A policy may name a customer or service that is gone: the rest of it stays in force.
fn add_policy(view: &mut view::View, row: &Row) -> envelope::Result<()> {
    let spec: kinds::PolicySpec = row.parse()?;
    let mut dangling = None;
    for customer in &spec.customers {
        let Some((customer_id, _)) = view.customer_by_name(customer) else {
            dangling = Some(row.dangling(kinds::Kind::Customer, customer));
            continue;
        };
        for service in &spec.services {
            let Some((service_id, _)) = view.service_by_name(service) else {
                dangling = Some(row.dangling(kinds::Kind::Service, service));
                continue;
            };
            let wider = view
                .grants
                .entry((customer_id, service_id))
                .or_insert(view::Grant { weight: spec.weight, max_in_flight: spec.max_in_flight });
            wider.weight = wider.weight.max(spec.weight);
            wider.max_in_flight = wider.max_in_flight.max(spec.max_in_flight);
        }
    }
    dangling.map_or(Ok(()), Err)
}

fn add_target(view: &mut view::View, row: &Row) -> envelope::Result<()> {
    let spec: kinds::TargetSpec = row.parse()?;
    let Some((service, _)) = view.service_by_name(&spec.service) else {
        return Err(row.dangling(kinds::Kind::Service, &spec.service));
    };
    view.push_target(view::Target { name: row.name.to_owned(), service, spec });
    Ok(())
}

fn add_group(view: &mut view::View, row: &Row) -> envelope::Result<()> {
    let spec: kinds::GroupSpec = row.parse()?;
    let Some((service, _)) = view.service_by_name(&spec.service) else {
        return Err(row.dangling(kinds::Kind::Service, &spec.service));
    };
    let find = |name: &String| match view.target_by_name(name) {
        Some((id, _)) => Ok(id),
        None => Err(row.dangling(kinds::Kind::Target, name)),
    };
    let ranks = spec.ranks.iter().map(find).collect::<envelope::Result<Vec<_>>>()?;
    view.groups.push(view::Group { name: row.name.to_owned(), service, ranks, spec });
    Ok(())
}
