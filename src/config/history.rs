//! The state that a process holds, with the latest steps that led to it.
//!
//! A peer that is a few steps behind gets a delta, any other the whole state. A step keeps the
//! keys that it touched, never values, so the history costs little beside the state. A step
//! that is the difference of two states leaves out what came and went between them, so it fits
//! a peer at its very base only: see docs/CONFIGURATION.md.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use crate::config::state::{self, Delta, State};
use crate::external::store;
use crate::wire;

/// Steps kept for peers that are behind.
const MAX_STEPS: usize = 256;

struct Step {
    base_revision: u64,
    keys: Vec<Arc<str>>,
    /// True where the keys are all that were touched since the base, even for a moment.
    complete: bool,
}

/// History holds the present state and the steps that led to it.
#[derive(Default)]
pub struct History {
    state: Arc<State>,
    steps: VecDeque<Step>,
}

impl History {
    /// Returns the present state, to be shared.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the revision of the present state.
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Takes over a whole state. The difference from the last one becomes a step.
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
        let keys = difference(&self.state, &next);
        let previous = std::mem::replace(&mut self.state, Arc::new(next));
        self.push_step(Step { base_revision: previous.revision(), keys, complete: false });
        Ok(())
    }

    /// Moves along a delta from the store's watch.
    ///
    /// # Errors
    ///
    /// Returns a [`state::StateError`] for a delta that is not newer or leaves a gap.
    pub fn apply_delta(&mut self, delta: &Delta) -> state::Result<()> {
        self.apply(delta, true)
    }

    /// Takes what a peer answered.
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

    /// Returns what brings a peer from its revision to the present one, or nothing where the
    /// peer is not behind.
    pub fn answer(&self, have: u64) -> Option<wire::ConfigState> {
        if have >= self.revision() {
            return None;
        }
        Some(self.delta_since(have).unwrap_or_else(|| self.whole()))
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

    fn push_step(&mut self, step: Step) {
        if step.base_revision == 0 {
            return;
        }
        self.steps.push_back(step);
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    fn delta_since(&self, have: u64) -> Option<wire::ConfigState> {
        let first = self.steps.iter().rposition(|step| step.base_revision <= have)?;
        if self.steps[first].base_revision != have && !self.steps[first].complete {
            return None;
        }
        let touched: BTreeSet<_> = self.steps.range(first..).flat_map(|step| &step.keys).collect();
        let mut answer = wire::ConfigState {
            revision: self.revision(),
            base_revision: have,
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

    fn whole(&self) -> wire::ConfigState {
        let resources = self.state.resources().iter().map(|(key, stored)| resource(key, stored));
        wire::ConfigState {
            revision: self.revision(),
            base_revision: 0,
            resources: resources.collect(),
            deleted: Vec::new(),
        }
    }
}

fn difference(old: &State, new: &State) -> Vec<Arc<str>> {
    let gone = old.resources().keys().filter(|key| new.get(key).is_none());
    let touched = new.resources().iter().filter(|(key, stored)| old.get(key) != Some(stored));
    gone.chain(touched.map(|(key, _)| key)).cloned().collect()
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
