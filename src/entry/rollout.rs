//! The status of a resource that operators are shown: whether a version is in force at all
//! processes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::config::progress::{InForce, Progress};
use crate::config::replica::Replica;
use crate::config::{envelope, state};
use crate::resources::kinds::Kind;
use crate::resources::status::{Condition, ConditionStatus, IN_FORCE, Status};

/// The maximum number of revisions that are tracked at once. The oldest is dropped first, since it
/// is in force wherever a newer one is.
const MAX_TRACKED_REVISIONS: usize = 64;

/// Tracks how far the revisions of the configuration have been rolled out. The entry's actor writes
/// it, and the threads of the operator API read it.
#[derive(Clone, Default)]
pub struct RolloutTracker {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    state: Arc<state::State>,
    /// The highest revision that is in force at all processes.
    in_force_everywhere: u64,
    /// The progress of the latest tracked revision.
    latest_progress: Option<InForce>,
    /// Revisions that are not in force at all processes yet, oldest first.
    tracked: VecDeque<u64>,
}

impl RolloutTracker {
    /// Replaces the state by a newer one, and tracks its revision.
    pub fn set_state(&self, state: &Arc<state::State>) {
        let mut shared = self.lock();
        shared.state = Arc::clone(state);
        shared.tracked.push_back(state.revision());
        if shared.tracked.len() > MAX_TRACKED_REVISIONS {
            shared.tracked.pop_front();
        }
    }

    /// Checks which tracked revisions have come into force at all processes.
    pub fn update(&self, progress: &Progress, replica: &Replica, now: Duration) {
        let mut shared = self.lock();
        while let Some(revision) = shared.tracked.back().copied() {
            let in_force = progress.in_force(replica, revision, now);
            let everywhere = in_force == InForce::Everywhere;
            shared.latest_progress = Some(in_force);
            if everywhere {
                shared.in_force_everywhere = revision;
                shared.tracked.clear();
                return;
            }
            let Some(oldest) = shared.tracked.front().copied().filter(|old| *old < revision) else {
                return;
            };
            if progress.in_force(replica, oldest, now) != InForce::Everywhere {
                return;
            }
            shared.in_force_everywhere = oldest;
            shared.tracked.pop_front();
        }
    }

    /// Returns the status of one version of a resource.
    pub fn status(&self, kind: Kind, name: &str, resource_version: u64) -> Status {
        let shared = self.lock();
        let condition = match resource_version <= shared.in_force_everywhere {
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
    match &shared.latest_progress {
        None | Some(InForce::Everywhere) => {
            condition(ConditionStatus::False, "Spreading", "It is being distributed.")
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
