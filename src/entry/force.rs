//! What operators are told of a declaration: whether it is in force everywhere.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::config::progress::{InForce, Progress};
use crate::config::replica::Replica;
use crate::config::{envelope, state};
use crate::resources::kinds::Kind;
use crate::resources::status::{Condition, ConditionStatus, IN_FORCE, Status};

/// Revisions whose spread is followed at once; an older one is in force when a newer one is.
const MAX_FOLLOWED: usize = 64;

/// Board is read by the operator API's threads and written by the entry's actor.
#[derive(Clone, Default)]
pub struct Board {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    state: Arc<state::State>,
    /// The highest revision that is in force everywhere.
    everywhere: u64,
    /// How far the latest revision has come.
    latest: Option<InForce>,
    /// Revisions that are not in force everywhere yet, oldest first.
    followed: VecDeque<u64>,
}

impl Board {
    /// Takes over a newer state.
    pub fn moved(&self, state: &Arc<state::State>) {
        let mut shared = self.lock();
        shared.state = Arc::clone(state);
        shared.followed.push_back(state.revision());
        if shared.followed.len() > MAX_FOLLOWED {
            shared.followed.pop_front();
        }
    }

    /// Looks which revisions have come into force since the last look.
    pub fn follow(&self, progress: &Progress, replica: &Replica, now: Duration) {
        let mut shared = self.lock();
        while let Some(revision) = shared.followed.back().copied() {
            let in_force = progress.in_force(replica, revision, now);
            let everywhere = in_force == InForce::Everywhere;
            shared.latest = Some(in_force);
            if everywhere {
                shared.everywhere = revision;
                shared.followed.clear();
                return;
            }
            let Some(oldest) = shared.followed.front().copied().filter(|old| *old < revision)
            else {
                return;
            };
            if progress.in_force(replica, oldest, now) != InForce::Everywhere {
                return;
            }
            shared.everywhere = oldest;
            shared.followed.pop_front();
        }
    }

    /// Returns what is known of one version of a resource.
    pub fn status(&self, kind: Kind, name: &str, resource_version: u64) -> Status {
        let shared = self.lock();
        let condition = match resource_version <= shared.everywhere {
            true => {
                condition(ConditionStatus::True, "Everywhere", "Every process has it in force.")
            }
            false => pending(&shared, resource_version),
        };
        Status {
            observed_generation: observed_generation(&shared.state, kind, name),
            conditions: vec![condition],
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn pending(shared: &Shared, resource_version: u64) -> Condition {
    if resource_version > shared.state.revision() {
        let message = "This entry has not received it yet.";
        return condition(ConditionStatus::False, "NotReceived", message);
    }
    match &shared.latest {
        None | Some(InForce::Everywhere) => {
            condition(ConditionStatus::False, "Spreading", "It is on its way.")
        }
        Some(InForce::Waiting { names }) => {
            let message = format!("Waiting for {}.", names.join(", "));
            condition(ConditionStatus::False, "Waiting", &message)
        }
        Some(InForce::Unreachable { data_centres, waiting }) => {
            let mut message = format!("Cannot reach data centre {}.", data_centres.join(", "));
            if !waiting.is_empty() {
                message.push_str(&format!(" Waiting for {}.", waiting.join(", ")));
            }
            condition(ConditionStatus::Unknown, "Unreachable", &message)
        }
    }
}

fn condition(status: ConditionStatus, reason: &str, message: &str) -> Condition {
    Condition {
        type_: IN_FORCE.to_owned(),
        status,
        reason: reason.to_owned(),
        message: message.to_owned(),
    }
}

fn observed_generation(state: &state::State, kind: Kind, name: &str) -> u64 {
    let key = format!("{}{kind}/{name}", envelope::PREFIX);
    let stored = state.get(&key);
    let parsed =
        stored.map(|stored| envelope::parse::<serde_json::Value>(&key, name, &stored.value));
    parsed.and_then(Result::ok).map_or(0, |envelope| envelope.generation)
}
