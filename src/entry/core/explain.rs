//! Tells why a target gets work or not, from the same tables and by the same functions as the
//! routing, so that the two cannot drift apart.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::{envelope, view};
use crate::entry::core::events::TargetReport;
use crate::entry::core::tables::Target;
use crate::entry::core::{EntryWorld, routing};
use crate::entry::links;
use crate::resources::kinds::Kind;

/// Reason names one thing that keeps work from a target, in one word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// The entry takes no new work at all.
    EntryNotServing,
    /// No such target is declared.
    NotDeclared,
    /// The target is declared, but the declaration cannot be used.
    DeclarationSkipped,
    /// Operators declared that it drains.
    DrainDeclared,
    /// The entry has no link to its agent.
    NotLinked,
    /// The entry links only to nearer targets, as there are many.
    TooFar,
    /// Its agent has reported nothing yet.
    NotReported,
    /// Its agent takes no new work, since it drains.
    AgentDraining,
    /// Its agent says that the target is unwell or its own configuration too old.
    AgentTakesNone,
    /// It failed too often in a row.
    Ejected,
    /// It came back a short while ago.
    SlowStart,
    /// The entry's own data centre has targets with room.
    OtherDataCentre,
    /// It has many more requests than the other targets.
    Busy,
    /// A reason that a newer entry gives.
    #[serde(other)]
    Unknown,
}

/// Finding is one thing that keeps work from a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// What it is, in one word.
    pub reason: Reason,
    /// True where it keeps all work away, false where it lessens it.
    pub blocks: bool,
    /// What was found, in a sentence.
    pub message: String,
    /// What would change it, in a sentence.
    pub remedy: String,
}

/// Load is what is at a target, as far as the entry knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Attempts of this entry that are under way there.
    pub in_flight: u32,
    /// Requests at the target, by its agent's last report.
    pub running: u32,
    /// Requests that wait in the agent, by its last report.
    pub queued: u32,
    /// Requests that the target takes at once, by its agent's last report.
    pub slots: u32,
}

/// TargetExplanation is why one entry gives a target work or not.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetExplanation {
    /// The target's name.
    pub target: String,
    /// The revision of the configuration that the entry goes by.
    pub config_revision: u64,
    /// The service that it serves, where it is declared.
    pub service: Option<String>,
    /// True where it may get new work from this entry.
    pub takes_work: bool,
    /// The part of the service's next idempotent requests that it would get, were their prefixes
    /// all different; from 0 to 1.
    pub share: f64,
    /// What is there.
    pub load: Load,
    /// What keeps work from it; empty where nothing does.
    pub findings: Vec<Finding>,
}

/// Tells why a target gets work or not.
pub fn target(world: &EntryWorld, now: Duration, name: &str) -> TargetExplanation {
    let view = &world.tables.view;
    let declared = view.target_by_name(name).map(|(_, declared)| declared);
    let known = world.tables.targets.get(name).cloned().unwrap_or_default();
    let mut findings = Vec::new();
    if now >= world.tables.serves_until {
        findings.push(entry_not_serving());
    }
    match declared {
        None => findings.push(not_declared(view, name)),
        Some(declared) => findings.extend(blocks_of_target(world, declared, &known, now)),
    }
    let takes_work = findings.is_empty();
    let share = match declared {
        Some(declared) if takes_work => {
            lessened(world, now, declared, &known, &mut findings);
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

fn blocks(reason: Reason, message: String, remedy: String) -> Finding {
    Finding { reason, blocks: true, message, remedy }
}

fn lessens(reason: Reason, message: String, remedy: String) -> Finding {
    Finding { reason, blocks: false, message, remedy }
}

fn entry_not_serving() -> Finding {
    let message = "This entry takes no new work, as its configuration may be out of date.";
    let remedy = "It takes work again once it can tell that its configuration is current.";
    blocks(Reason::EntryNotServing, message.to_owned(), remedy.to_owned())
}

fn not_declared(view: &view::View, name: &str) -> Finding {
    let key = format!("{}{}/{name}", envelope::PREFIX, Kind::Target);
    if let Some(error) = view.skipped().iter().find(|error| error.key() == key) {
        let remedy = format!("Declare the target {name:?} again with what is wrong put right.");
        return blocks(Reason::DeclarationSkipped, error.to_string(), remedy);
    }
    let revision = view.revision();
    let message = format!("No target {name:?} is declared at revision {revision}.");
    let remedy = "Declare it by `bitternwall apply`, or wait until its declaration is in force.";
    blocks(Reason::NotDeclared, message, remedy.to_owned())
}

fn blocks_of_target(
    world: &EntryWorld,
    declared: &view::Target,
    target: &Target,
    now: Duration,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if declared.spec.drain {
        let message = "Operators declared that it drains.".to_owned();
        let remedy = format!("`bitternwall drain {} --undo` puts it back.", declared.name);
        findings.push(blocks(Reason::DrainDeclared, message, remedy));
    }
    if target.incarnation.is_none() {
        findings.push(not_linked(world, declared));
    } else {
        findings.extend(blocks_of_report(&target.report));
    }
    if target.ejected_until > now {
        findings.push(ejected(target, now));
    }
    findings
}

fn not_linked(world: &EntryWorld, declared: &view::Target) -> Finding {
    let wanted = links::wanted(&world.tables.view, &world.options.data_centre);
    if !wanted.iter().any(|target| target.name == declared.name) {
        let its = &declared.spec.data_centre;
        let message = "With so many targets, this entry links only to those near it.".to_owned();
        let remedy = format!("The entries of data centre {its:?} give it work.");
        return blocks(Reason::TooFar, message, remedy);
    }
    let address = declared.spec.agent;
    let message = format!("This entry has no link to its agent at {address}.");
    let remedy = "Its agent must run there and be reachable from this entry's host.";
    blocks(Reason::NotLinked, message, remedy.to_owned())
}

fn blocks_of_report(report: &TargetReport) -> Option<Finding> {
    if *report == TargetReport::default() {
        let message = "Its agent has reported nothing yet.";
        let remedy = "The agent's next heartbeat changes that.";
        return Some(blocks(Reason::NotReported, message.to_owned(), remedy.to_owned()));
    }
    if report.draining {
        let message = "Its agent takes no new work, as it drains or stops.";
        let remedy = "Work comes back once the agent has seen the end of the drain, or runs again.";
        return Some(blocks(Reason::AgentDraining, message.to_owned(), remedy.to_owned()));
    }
    if !report.takes_work {
        let message = "Its agent says that the target is unwell or the agent's configuration old.";
        let remedy = "The target must answer its agent, which must reach an entry or the \
                      key-value service.";
        return Some(blocks(Reason::AgentTakesNone, message.to_owned(), remedy.to_owned()));
    }
    None
}

fn ejected(target: &Target, now: Duration) -> Finding {
    let left = target.ejected_until.saturating_sub(now).as_millis();
    let message =
        format!("It failed {} times in a row and gets nothing for {left} ms.", target.failures);
    let remedy = "After that it gets work again; each further failure makes the next pause longer \
                  until a request is answered whole.";
    blocks(Reason::Ejected, message, remedy.to_owned())
}

/// Adds what lessens the work of a target that takes some.
fn lessened(
    world: &EntryWorld,
    now: Duration,
    declared: &view::Target,
    target: &Target,
    findings: &mut Vec<Finding>,
) {
    let counted = routing::slow_start_share(target, now, world.options.slow_start);
    if counted < 1.0 {
        let percent = 100.0 * counted;
        let message = format!("It came back lately and counts with {percent:.0}% of its slots.");
        let remedy = "It counts fully after the slow start.";
        findings.push(lessens(Reason::SlowStart, message, remedy.to_owned()));
    }
    let candidates = preferred(world, now, declared);
    let Some(own) = candidates.iter().find(|candidate| candidate.name == declared.name) else {
        findings.push(other_data_centre(world, declared));
        return;
    };
    let bound = routing::prefix_bound(&candidates);
    if own.requests > bound {
        let requests = own.requests;
        let message = format!(
            "It has {requests} requests, more than the {bound:.1} up to which it gets those whose \
             prefix it likely caches."
        );
        let remedy = "It gets them again once it has answered some or the others are as busy.";
        findings.push(lessens(Reason::Busy, message, remedy.to_owned()));
    }
}

fn other_data_centre(world: &EntryWorld, declared: &view::Target) -> Finding {
    let (own, its) = (&world.options.data_centre, &declared.spec.data_centre);
    let message = format!(
        "It stands in data centre {its:?}, and targets in this entry's, {own:?}, have room; only \
         requests that may not be repeated reach it."
    );
    let remedy = "It gets others from here once those targets are full.";
    lessens(Reason::OtherDataCentre, message, remedy.to_owned())
}

/// Returns the targets that an idempotent request is placed among.
fn preferred<'a>(
    world: &'a EntryWorld,
    now: Duration,
    declared: &view::Target,
) -> Vec<routing::Candidate<'a>> {
    let service = &world.tables.view.service(declared.service).name;
    let mut candidates = routing::candidates(world, now, service, &[]);
    routing::prefer_data_centre(&mut candidates, &world.options.data_centre);
    candidates
}

/// A prefix is as likely cached at one target as at another. Those that meet a busy target go to
/// the less loaded of two drawn, of which the first wins a tie.
fn share(world: &EntryWorld, now: Duration, declared: &view::Target) -> f64 {
    let candidates = preferred(world, now, declared);
    let Some(own) = candidates.iter().find(|candidate| candidate.name == declared.name) else {
        return 0.0;
    };
    let all = number(candidates.len());
    let bound = routing::prefix_bound(&candidates);
    let takes_prefixes = |candidate: &&routing::Candidate<'_>| candidate.requests <= bound;
    let prefixes_kept = number(candidates.iter().filter(takes_prefixes).count()) / all;
    let by_prefix = if takes_prefixes(&own) { 1.0 / all } else { 0.0 };
    let no_less = candidates.iter().filter(|other| other.load >= own.load).count();
    let more = candidates.iter().filter(|other| other.load > own.load).count();
    let by_draw = number(no_less + more) / (all * all);
    by_prefix + (1.0 - prefixes_kept) * by_draw
}

fn number(count: usize) -> f64 {
    u32::try_from(count).map(f64::from).unwrap_or(f64::MAX)
}
