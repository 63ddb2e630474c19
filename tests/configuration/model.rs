//! A model of the store: its states by revision, its watches and the calls that it received.

use std::collections::BTreeMap;

use bitternwall::config::{source, state};
use bitternwall::external::store;
use bytes::Bytes;

pub type Table = BTreeMap<String, store::KeyValue>;

#[derive(Clone)]
pub struct Change {
    pub revision: u64,
    pub key: String,
}

pub struct Watch {
    pub owner: (usize, u64),
    pub id: source::CallId,
    pub delivered: u64,
}

pub struct Store {
    pub revision: u64,
    pub head: u64,
    pub compacted: u64,
    pub states: BTreeMap<u64, Table>,
    pub changes: Vec<Change>,
    pub watches: Vec<Watch>,
    /// The step at which each call was received.
    pub calls: Vec<u64>,
    pub reads: usize,
}

impl Store {
    pub fn new() -> Self {
        Self {
            revision: 1,
            head: 0,
            compacted: 0,
            states: BTreeMap::from([(0, Table::new())]),
            changes: Vec::new(),
            watches: Vec::new(),
            calls: Vec::new(),
            reads: 0,
        }
    }

    pub fn put(&mut self, key: &str) {
        let value = Bytes::from(format!("{key} at {}", self.revision + 1));
        let old = self.table().get(key);
        let create_revision = old.map_or(self.revision + 1, |old| old.create_revision);
        let mod_revision = self.revision + 1;
        let key = key.to_owned();
        let value = store::KeyValue { key: key.clone(), value, create_revision, mod_revision };
        self.change(key, Some(value));
    }

    pub fn delete(&mut self, key: &str) {
        if self.table().contains_key(key) {
            self.change(key.to_owned(), None);
        }
    }

    /// Returns the largest number of calls in any second since a step, plus one for each open
    /// watch.
    pub fn peak_calls(&self, since: u64, steps_per_second: u64) -> usize {
        let mut seconds = BTreeMap::<u64, usize>::new();
        for step in self.calls.iter().filter(|step| **step >= since) {
            *seconds.entry(step / steps_per_second).or_default() += 1;
        }
        seconds.values().max().copied().unwrap_or_default() + self.watches.len()
    }

    pub fn table(&self) -> &Table {
        self.states.last_key_value().expect("revision zero has a state").1
    }

    pub fn table_at(&self, revision: u64) -> &Table {
        self.states.range(..=revision).next_back().expect("revision zero has a state").1
    }

    pub fn read(&self) -> store::Range {
        let entries = self.table().values().cloned().collect();
        store::Range { revision: self.revision, entries }
    }

    pub fn close(&mut self, owner: (usize, u64), id: source::CallId) {
        self.watches.retain(|watch| watch.owner != owner || watch.id != id);
    }

    /// Returns the changes after the last one delivered to a watch.
    pub fn delta_after(&self, delivered: u64) -> Option<state::Delta> {
        let changes: Vec<_> = self.changes.iter().filter(|c| c.revision > delivered).collect();
        let mut delta = state::Delta {
            base_revision: delivered,
            revision: changes.last()?.revision,
            ..state::Delta::default()
        };
        let table = self.table_at(delta.revision);
        let mut keys: Vec<_> = changes.iter().map(|change| &change.key).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            match table.get(key) {
                Some(value) => delta.changed.push(value.clone()),
                None => delta.deleted.push(key.clone()),
            }
        }
        Some(delta)
    }

    fn change(&mut self, key: String, value: Option<store::KeyValue>) {
        self.revision += 1;
        self.head = self.revision;
        let mut table = self.table().clone();
        match value {
            Some(value) => table.insert(key.clone(), value),
            None => table.remove(&key),
        };
        self.states.insert(self.revision, table);
        self.changes.push(Change { revision: self.revision, key });
    }
}

pub fn table_of(state: &state::State) -> Table {
    let entries = state.resources().iter().map(|(key, stored)| {
        let value = store::KeyValue {
            key: key.to_string(),
            value: stored.value.clone(),
            create_revision: stored.create_revision,
            mod_revision: stored.mod_revision,
        };
        (key.to_string(), value)
    });
    entries.collect()
}
