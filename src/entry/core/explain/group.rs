//! Explains which ranks of a group get requests from this entry. The ranks advance in lock-step, so
//! one that gets no requests, or fewer than the others, affects all of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Finding, Reason, TargetExplanation};
use crate::entry::core::EntryWorld;
use crate::resources::kinds::{GroupSpec, Kind};

/// An explanation of which ranks of a group get requests from one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupExplanation {
    /// The group's name.
    pub group: String,
    /// The revision of the configuration in force at the entry.
    pub config_revision: u64,
    /// The declaration in force at the entry; `None` if the group is not declared.
    pub spec: Option<GroupSpec>,
    /// The targets of the ranks, ordered by rank.
    pub ranks: Vec<TargetExplanation>,
    /// The problems of the group; empty if there is none.
    pub findings: Vec<Finding>,
}

/// Explains which ranks of a group get requests.
pub fn group(world: &EntryWorld, now: Duration, name: &str) -> GroupExplanation {
    let view = &world.tables.view;
    let declared = view.groups().iter().find(|group| group.name == name);
    let targets = declared.into_iter().flat_map(|group| &group.ranks);
    let names = targets.map(|&target| &view.target(target).name);
    let ranks: Vec<TargetExplanation> = names.map(|name| super::target(world, now, name)).collect();
    let findings = match declared {
        None => vec![super::not_declared(view, Kind::Group, name)],
        Some(_) => ranks.iter().enumerate().filter_map(without_work).collect(),
    };
    GroupExplanation {
        group: name.to_owned(),
        config_revision: view.revision(),
        spec: declared.map(|group| group.spec.clone()),
        ranks,
        findings,
    }
}

fn without_work((rank, target): (usize, &TargetExplanation)) -> Option<Finding> {
    if target.takes_work {
        return None;
    }
    let blocks = target.findings.iter().filter(|finding| finding.blocks);
    let (messages, remedies): (Vec<&str>, Vec<&str>) =
        blocks.map(|finding| (finding.message.as_str(), finding.remedy.as_str())).unzip();
    let (name, reasons) = (&target.target, messages.join(" "));
    let message =
        format!("Rank {rank}, target {name:?}, gets no requests from this entry: {reasons}");
    Some(super::reducing(Reason::RankWithoutWork, message, remedies.join(" ")))
}
