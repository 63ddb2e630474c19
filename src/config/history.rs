//! The state that a process holds, with the latest steps that led to it.
//!
//! A peer that is a few steps behind is sent a delta, any other the complete state. A step stores
//! the keys that it touched but no values, so the history is small compared to the state. A step
//! computed as the difference of two states lacks keys that were created and deleted between
//! them, so it applies only to a peer at exactly its base revision: see docs/CONFIGURATION.md.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use crate::config::state::{self, Delta, State};
use crate::external::store;
use crate::wire;

/// Number of steps kept for peers that are behind.
const MAX_STEPS: usize = 256;

struct Step {
    base_revision: u64,
    keys: Vec<Arc<str>>,
    /// True if `keys` has every key that was touched after the base, also those that were created
    /// and deleted again.
    complete: bool,
}

/// The current state and the steps that led to it, oldest first.
#[derive(Default)]
pub struct History {
    state: Arc<State>,
    steps: VecDeque<Step>,
}

impl History {
    /// Returns the current state, to be shared.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the revision of the current state; zero before the first.
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Replaces the state with a complete one. The difference from the previous state becomes a
    /// step.
    ///
    /// # Errors
    ///
    /// Returns [`state::StateError::NotNewer`] for a revision that is not higher.
    pub fn replace(&mut self, range: &store::Range) -> state::Result<()> {
        let mut next = State::default();
        if range.revision <= self.revision() {
            let (held, offered) = (self.revision(), range.revision);
            return Err(state::StateError::NotNewer { held, offered });
        }
        next.replace(range)?;
        let keys = changed_keys(&self.state, &next);
        let previous = std::mem::replace(&mut self.state, Arc::new(next));
        self.push_step(Step { base_revision: previous.revision(), keys, complete: false });
        Ok(())
    }

    /// Applies a delta from the store's watch.
    ///
    /// # Errors
    ///
    /// Returns a [`state::StateError`] for a delta that is not newer or leaves a gap.
    pub fn apply_delta(&mut self, delta: &Delta) -> state::Result<()> {
        self.apply(delta, true)
    }

    /// Applies a complete state or delta that a peer sent.
    ///
    /// # Errors
    ///
    /// Returns a [`state::StateError`] for an answer that is not newer, or that is a delta from
    /// another revision than the one held.
    pub fn apply_answer(&mut self, answer: &wire::ConfigState) -> state::Result<()> {
        let entries: Vec<_> = answer.resources.iter().map(key_value).collect();
        if answer.base_revision == 0 {
            return self.replace(&store::Range { revision: answer.revision, entries });
        }
        if answer.base_revision != self.revision() {
            let (held, base) = (self.revision(), answer.base_revision);
            return Err(state::StateError::BaseMismatch { held, base });
        }
        let delta = Delta {
            base_revision: answer.base_revision,
            revision: answer.revision,
            changed: entries,
            deleted: answer.deleted.clone(),
        };
        self.apply(&delta, false)
    }

    /// Returns the delta or complete state that brings a peer from its revision to the current
    /// one, or `None` if the peer is not behind.
    pub fn answer(&self, peer_revision: u64) -> Option<wire::ConfigState> {
        if peer_revision >= self.revision() {
            return None;
        }
        Some(self.delta_since(peer_revision).unwrap_or_else(|| self.complete_state()))
    }

    fn apply(&mut self, delta: &Delta, complete: bool) -> state::Result<()> {
        let base_revision = self.revision();
        Arc::make_mut(&mut self.state).apply_delta(delta)?;
        let changed = delta.changed.iter().map(|entry| entry.key.as_str());
        let deleted = delta.deleted.iter().map(String::as_str);
        let keys = changed.chain(deleted).map(Arc::from).collect();
        self.push_step(Step { base_revision, keys, complete });
        Ok(())
    }

    /// Appends a step, unless it starts from no state: no peer needs a delta from there.
    fn push_step(&mut self, step: Step) {
        if step.base_revision == 0 {
            return;
        }
        self.steps.push_back(step);
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Returns the delta from a peer's revision, or `None` if the steps kept do not cover it.
    fn delta_since(&self, peer_revision: u64) -> Option<wire::ConfigState> {
        let first = self.steps.iter().rposition(|step| step.base_revision <= peer_revision)?;
        if self.steps[first].base_revision != peer_revision && !self.steps[first].complete {
            return None;
        }
        let touched: BTreeSet<_> = self.steps.range(first..).flat_map(|step| &step.keys).collect();
        let mut answer = wire::ConfigState {
            revision: self.revision(),
            base_revision: peer_revision,
            ..wire::ConfigState::default()
        };
        for key in touched {
            match self.state.get(key) {
                Some(stored) => answer.resources.push(resource(key, stored)),
                None => answer.deleted.push(key.to_string()),
            }
        }
        Some(answer)
    }

    fn complete_state(&self) -> wire::ConfigState {
        let resources = self.state.resources().iter().map(|(key, stored)| resource(key, stored));
        wire::ConfigState {
            revision: self.revision(),
            base_revision: 0,
            resources: resources.collect(),
            deleted: Vec::new(),
        }
    }
}

/// Returns the keys whose resources differ between two states.
fn changed_keys(old: &State, new: &State) -> Vec<Arc<str>> {
    let removed = old.resources().keys().filter(|key| new.get(key).is_none());
    let touched = new.resources().iter().filter(|(key, stored)| old.get(key) != Some(stored));
    removed.chain(touched.map(|(key, _)| key)).cloned().collect()
}

fn resource(key: &str, stored: &state::StoredResource) -> wire::Resource {
    wire::Resource {
        key: key.to_owned(),
        mod_revision: stored.mod_revision,
        create_revision: stored.create_revision,
        value: stored.value.clone(),
    }
}

fn key_value(resource: &wire::Resource) -> store::KeyValue {
    store::KeyValue {
        key: resource.key.clone(),
        value: resource.value.clone(),
        create_revision: resource.create_revision,
        mod_revision: resource.mod_revision,
    }
}
