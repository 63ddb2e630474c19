//! An in-memory model of the key-value store with the transaction semantics that plans rely on.

use std::collections::BTreeMap;

use bitternwall::external::store::{Compare, KeyValue, Range, Write};

/// A transaction to be sent to the store.
#[derive(Clone, Debug)]
pub struct Txn {
    pub compares: Vec<Compare>,
    pub writes: Vec<Write>,
}

#[derive(Default)]
pub struct ModelStore {
    pub revision: u64,
    keys: BTreeMap<String, KeyValue>,
}

impl ModelStore {
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    pub fn range(&self, prefix: &str) -> Range {
        let entries = self.keys.values().filter(|kv| kv.key.starts_with(prefix));
        Range { revision: self.revision, entries: entries.cloned().collect() }
    }

    /// Carries out a transaction if all its conditions hold, and returns whether they did.
    pub fn commit(&mut self, txn: &Txn) -> bool {
        if !txn.compares.iter().all(|compare| self.holds(compare)) {
            return false;
        }
        self.revision += 1;
        for write in &txn.writes {
            self.write(write);
        }
        true
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::ModRevision(key, revision) => {
                self.get(key).map_or(0, |kv| kv.mod_revision) == *revision
            }
            Compare::CreateRevision(key, revision) => {
                self.get(key).map_or(0, |kv| kv.create_revision) == *revision
            }
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Delete { key } => {
                self.keys.remove(key);
            }
            Write::Put { key, value, .. } => {
                let create_revision = self.get(key).map_or(self.revision, |kv| kv.create_revision);
                let (key, value) = (key.clone(), value.clone());
                let mod_revision = self.revision;
                let kv = KeyValue { key: key.clone(), value, create_revision, mod_revision };
                self.keys.insert(key, kv);
            }
        }
    }
}
