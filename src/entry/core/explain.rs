//! Explains why a target gets requests from this entry or not. The explanation is computed from the
//! same tables and by the same functions as the routing, so that the two cannot diverge.

pub mod group;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::{envelope, view};
use crate::entry::core::events::TargetReport;
use crate::entry::core::tables::Target;
use crate::entry::core::{EntryWorld, routing};
use crate::entry::links;
use crate::resources::kinds::Kind;

/// A reason why a target gets no requests, or fewer than others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// The entry accepts no new requests at all.
    EntryNotServing,
    /// No target or group is declared under that name.
    NotDeclared,
    /// It is declared, but the declaration is invalid and was skipped.
    DeclarationSkipped,
    /// Operators set its declaration to drain.
    DrainDeclared,
    /// Operators have emptied its data centre.
    DataCentreEvacuated,
    /// The entry has no link to its agent.
    NotLinked,
    /// There are so many targets that the entry links only to nearer ones.
    TooFar,
    /// Its agent has not sent a report yet.
    NotReported,
    /// Its agent accepts no new requests because it is draining.
    AgentDraining,
    /// Its agent reports that the target is unhealthy or the agent's configuration is out of date.
    AgentTakesNone,
    /// It failed too often in a row and is ejected for a while.
    Ejected,
    /// It became available recently and gets a growing part of its share.
    SlowStart,
    /// Targets in the entry's own data centre have free slots.
    OtherDataCentre,
    /// It has many more requests than the other targets.
    Busy,
    /// A rank of the group gets no requests.
    RankWithoutWork,
    /// A reason that this version does not know, sent by a newer entry.
    #[serde(other)]
    Unknown,
}

/// A reason why a target gets no requests or fewer, with an explanation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// The kind of the finding.
    pub reason: Reason,
    /// True if the target gets no requests because of it, false if it gets fewer.
    pub blocks: bool,
    /// A sentence for operators that says what was found.
    pub message: String,
    /// A sentence for operators that says what would change it.
    pub remedy: String,
}

/// The requests at a target, as far as the entry knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Attempts of this entry that are in progress at the target.
    pub in_flight: u32,
    /// Requests that the target is running, according to its agent's last report.
    pub running: u32,
    /// Requests that wait in the agent's queue, according to its last report.
    pub queued: u32,
    /// Requests that the target can run concurrently, according to its agent's last report.
    pub slots: u32,
}

/// An explanation of why one entry sends requests to a target or not.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetExplanation {
    /// The target's name.
    pub target: String,
    /// The revision of the configuration in force at the entry.
    pub config_revision: u64,
    /// The service that the target serves; `None` if the target is not declared.
    pub service: Option<String>,
    /// True if this entry may send requests to the target.
    pub takes_work: bool,
    /// The fraction, from 0 to 1, of the service's next idempotent requests that the target would
    /// get if their prefixes were all different.
    pub share: f64,
    /// The requests at the target.
    pub load: Load,
    /// The reasons why it gets no requests or fewer; empty if there is none.
    pub findings: Vec<Finding>,
}

/// Explains why a target gets requests or not.
pub fn target(world: &EntryWorld, now: Duration, name: &str) -> TargetExplanation {
    let view = &world.tables.view;
    let declared = view.target_by_name(name).map(|(_, declared)| declared);
    let known = world.tables.targets.get(name).cloned().unwrap_or_default();
    let mut findings = Vec::new();
    if now >= world.tables.serves_until {
        findings.push(entry_not_serving());
    }
    match declared {
        None => findings.push(not_declared(view, Kind::Target, name)),
        Some(declared) => findings.extend(blocking_findings(world, declared, &known, now)),
    }
    let takes_work = findings.is_empty();
    let share = match declared {
        Some(declared) if takes_work => {
            add_reducing_findings(world, now, declared, &known, &mut findings);
            share(world, now, declared)
        }
        _ => 0.0,
    };
    TargetExplanation {
        target: name.to_owned(),
        config_revision: view.revision(),
        service: declared.map(|declared| view.service(declared.service).name.clone()),
        takes_work,
        share,
        load: load(&known),
        findings,
    }
}

fn load(target: &Target) -> Load {
    let TargetReport { running, queued, slots, .. } = target.report;
    Load { in_flight: target.in_flight, running, queued, slots }
}

fn blocking(reason: Reason, message: String, remedy: String) -> Finding {
    Finding { reason, blocks: true, message, remedy }
}

fn reducing(reason: Reason, message: String, remedy: String) -> Finding {
    Finding { reason, blocks: false, message, remedy }
}

fn entry_not_serving() -> Finding {
    let message = "This entry accepts no new requests, as its configuration may be out of date.";
    let remedy = "It accepts requests again once it can tell that its configuration is current.";
    blocking(Reason::EntryNotServing, message.to_owned(), remedy.to_owned())
}

fn not_declared(view: &view::View, kind: Kind, name: &str) -> Finding {
    let key = format!("{}{}/{name}", envelope::PREFIX, kind);
    if let Some(error) = view.skipped().iter().find(|error| error.key() == key) {
        let remedy = format!("Correct the error and declare the {kind} {name:?} again.");
        return blocking(Reason::DeclarationSkipped, error.to_string(), remedy);
    }
    let revision = view.revision();
    let message = format!("No {kind} {name:?} is declared at revision {revision}.");
    let remedy = "Declare it with `bitternwall apply`, or wait until its declaration is in force.";
    blocking(Reason::NotDeclared, message, remedy.to_owned())
}

fn blocking_findings(
    world: &EntryWorld,
    declared: &view::Target,
    target: &Target,
    now: Duration,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if declared.spec.drain {
        let message = "Operators declared that it drains.".to_owned();
        let remedy = format!("`bitternwall drain {} --undo` ends the drain.", declared.name);
        findings.push(blocking(Reason::DrainDeclared, message, remedy));
    }
    let data_centre = &declared.spec.data_centre;
    if world.tables.view.is_evacuated(data_centre) {
        let message = format!("Operators have emptied its data centre {data_centre:?}.");
        let remedy = format!("`bitternwall evacuate {data_centre} --undo` takes it back.");
        findings.push(blocking(Reason::DataCentreEvacuated, message, remedy));
    }
    if target.incarnation.is_none() {
        findings.push(not_linked(world, declared));
    } else {
        findings.extend(blocking_report(&target.report));
    }
    if target.ejected_until > now {
        findings.push(ejected(target, now));
    }
    findings
}

fn not_linked(world: &EntryWorld, declared: &view::Target) -> Finding {
    let linked = links::targets_to_link(&world.tables.view, &world.options.data_centre);
    if !linked.iter().any(|target| target.name == declared.name) {
        let data_centre = &declared.spec.data_centre;
        let message =
            "There are so many targets that this entry links only to near ones.".to_owned();
        let remedy = format!("The entries of data centre {data_centre:?} send it requests.");
        return blocking(Reason::TooFar, message, remedy);
    }
    let address = declared.spec.agent;
    let message = format!("This entry has no link to its agent at {address}.");
    let remedy = "Its agent must run there and be reachable from this entry's host.";
    blocking(Reason::NotLinked, message, remedy.to_owned())
}

fn blocking_report(report: &TargetReport) -> Option<Finding> {
    if *report == TargetReport::default() {
        let message = "Its agent has not sent a report yet.";
        let remedy = "The agent's next heartbeat contains one.";
        return Some(blocking(Reason::NotReported, message.to_owned(), remedy.to_owned()));
    }
    if report.draining {
        let message = "Its agent accepts no new requests, as it is draining or stopping.";
        let remedy = "It gets requests again once the agent has learned that the drain ended, or \
                      has restarted.";
        return Some(blocking(Reason::AgentDraining, message.to_owned(), remedy.to_owned()));
    }
    if !report.takes_work {
        let message = "Its agent reports that the target is unhealthy or the agent's configuration \
                       is out of date.";
        let remedy = "The target must answer its agent's health checks, and the agent must reach \
                      an entry or the key-value service.";
        return Some(blocking(Reason::AgentTakesNone, message.to_owned(), remedy.to_owned()));
    }
    None
}

fn ejected(target: &Target, now: Duration) -> Finding {
    let left = target.ejected_until.saturating_sub(now).as_millis();
    let message =
        format!("It failed {} times in a row and gets no requests for {left} ms.", target.failures);
    let remedy = "After that it gets requests again; each further failure prolongs the next \
                  ejection until a request is answered completely.";
    blocking(Reason::Ejected, message, remedy.to_owned())
}

/// Adds the reasons why an available target gets fewer requests.
fn add_reducing_findings(
    world: &EntryWorld,
    now: Duration,
    declared: &view::Target,
    target: &Target,
    findings: &mut Vec<Finding>,
) {
    let slot_share = routing::slow_start_share(target, now, world.options.slow_start);
    if slot_share < 1.0 {
        let percent = 100.0 * slot_share;
        let message =
            format!("It became available recently and counts with {percent:.0}% of its slots.");
        let remedy = "It counts with all of its slots after the slow start.";
        findings.push(reducing(Reason::SlowStart, message, remedy.to_owned()));
    }
    let candidates = preferred_candidates(world, now, declared);
    let Some(candidate) = candidates.iter().find(|candidate| candidate.name == declared.name)
    else {
        findings.push(other_data_centre(world, declared));
        return;
    };
    let bound = routing::prefix_bound(&candidates);
    if candidate.requests > bound {
        let requests = candidate.requests;
        let message = format!(
            "It has {requests} requests, more than the {bound:.1} up to which it gets requests \
             whose prefix it likely caches."
        );
        let remedy =
            "It gets them again once it has fewer requests or the other targets are as busy.";
        findings.push(reducing(Reason::Busy, message, remedy.to_owned()));
    }
}

fn other_data_centre(world: &EntryWorld, declared: &view::Target) -> Finding {
    let (local, remote) = (&world.options.data_centre, &declared.spec.data_centre);
    let message = format!(
        "It is in data centre {remote:?}, and targets in this entry's, {local:?}, have free \
         slots; only requests that are not idempotent reach it."
    );
    let remedy = "It gets other requests from this entry once those targets are full.";
    reducing(Reason::OtherDataCentre, message, remedy.to_owned())
}

/// Returns the targets among which an idempotent request is routed.
fn preferred_candidates<'a>(
    world: &'a EntryWorld,
    now: Duration,
    declared: &view::Target,
) -> Vec<routing::Candidate<'a>> {
    let service = &world.tables.view.service(declared.service).name;
    let mut candidates = routing::candidates(world, now, service, &[]);
    routing::prefer_data_centre(&mut candidates, &world.options.data_centre);
    candidates
}

/// Returns the fraction of idempotent requests that the target gets. A prefix is as likely to be
/// cached at one target as at another. Requests whose prefix is cached at a busy target go to the
/// less loaded of two drawn targets, and to the first in case of a tie.
fn share(world: &EntryWorld, now: Duration, declared: &view::Target) -> f64 {
    let candidates = preferred_candidates(world, now, declared);
    let Some(target) = candidates.iter().find(|candidate| candidate.name == declared.name) else {
        return 0.0;
    };
    let all = to_f64(candidates.len());
    let bound = routing::prefix_bound(&candidates);
    let takes_prefixes = |candidate: &&routing::Candidate<'_>| candidate.requests <= bound;
    let prefixes_kept = to_f64(candidates.iter().filter(takes_prefixes).count()) / all;
    let by_prefix = if takes_prefixes(&target) { 1.0 / all } else { 0.0 };
    let not_less_loaded = candidates.iter().filter(|other| other.load >= target.load).count();
    let more_loaded = candidates.iter().filter(|other| other.load > target.load).count();
    let by_draw = to_f64(not_less_loaded + more_loaded) / (all * all);
    by_prefix + (1.0 - prefixes_kept) * by_draw
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map(f64::from).unwrap_or(f64::MAX)
}
