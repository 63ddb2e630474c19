//! Operators race on the model while answers are lost and transactions arrive late.

use std::collections::{BTreeMap, BTreeSet};

use bitternwall::audit::{self, Action, AuditRecord};
use bitternwall::resources::changes::{self, Change, Marker, Operation};
use bitternwall::resources::kinds::Kind;
use bitternwall::resources::plan::{self, VersionedHead, View};
use bitternwall::resources::specs::Spec;
use bitternwall::resources::stored::{self, StoredResource};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::json;

use crate::model::{ModelStore, Txn};

const WRITERS: usize = 3;
const SEED: u64 = 0x6269_7474;

/// Step is what happens next; numbers choose among what there is.
#[derive(Clone, Debug)]
enum Step {
    /// A writer reads the configuration and plans a change.
    Plan { writer: usize, target: usize, operation: usize },
    /// The writer's transaction is carried out, and its answer arrives or is lost.
    Commit { writer: usize, answered: bool },
    /// The writer's transaction stays under way, and the writer hears nothing.
    Delay { writer: usize },
    /// A transaction under way arrives, perhaps a second time.
    Arrive { index: usize, again: bool },
    /// A writer in doubt settles its change.
    Settle { writer: usize },
    /// A writer sends its last change again under its id.
    Resend { writer: usize },
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Idle,
    Planned(Change, Txn),
    InDoubt(Change),
    Done(Change),
}

#[derive(Default)]
struct Run {
    store: ModelStore,
    writers: [Stage; WRITERS],
    under_way: Vec<Txn>,
    /// What writers were told of their changes.
    told: BTreeMap<String, bool>,
    next_id: u64,
}

impl Run {
    fn view(&self) -> View {
        View::new(self.head(), &self.store.range(stored::CONFIG_PREFIX))
    }

    fn head(&self) -> VersionedHead {
        VersionedHead::decode(self.store.get(plan::HEAD_KEY)).unwrap()
    }

    fn marker(&self, id: &str) -> Option<Marker> {
        self.store.get(&changes::marker_key(id)).map(|kv| Marker::decode(kv).unwrap())
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Plan { writer, target, operation } => self.plan(writer, target, operation),
            Step::Commit { writer, answered } => self.commit(writer, answered),
            Step::Delay { writer } => self.delay(writer),
            Step::Arrive { index, again } => self.arrive(index, again),
            Step::Settle { writer } => self.settle(writer),
            Step::Resend { writer } => self.resend(writer),
        }
    }

    fn plan(&mut self, writer: usize, target: usize, operation: usize) {
        if matches!(self.writers[writer], Stage::InDoubt(_)) {
            return;
        }
        let (kind, name) = SUBJECTS[target];
        self.next_id += 1;
        let spec = spec(kind, self.next_id);
        let key = stored::key(kind, name);
        let resource_version = self.store.get(&key).map_or(1, |kv| kv.mod_revision);
        let operation = match operation {
            0 => Operation::Create { spec },
            1 => Operation::Replace { resource_version, spec },
            _ => Operation::Delete { resource_version },
        };
        let id = format!("change-{}", self.next_id);
        let (actor, name) = (format!("operator-{writer}"), String::from(name));
        self.plan_change(writer, Change { id, actor, kind, name, operation });
    }

    fn plan_change(&mut self, writer: usize, change: Change) {
        self.writers[writer] = match plan::plan(&self.view(), &change, self.store.revision) {
            Ok(plan) => {
                let txn = Txn { compares: plan.compares, writes: plan.writes };
                Stage::Planned(change, txn)
            }
            Err(_) => Stage::Idle,
        };
    }

    fn commit(&mut self, writer: usize, answered: bool) {
        let Stage::Planned(change, txn) = self.writers[writer].clone() else { return };
        let succeeded = self.store.commit(&txn);
        self.writers[writer] = match (answered, succeeded) {
            (false, _) => Stage::InDoubt(change),
            (true, true) => self.tell(change, true),
            (true, false) => Stage::Done(change),
        };
    }

    fn delay(&mut self, writer: usize) {
        let Stage::Planned(change, txn) = self.writers[writer].clone() else { return };
        self.under_way.push(txn);
        self.writers[writer] = Stage::InDoubt(change);
    }

    fn arrive(&mut self, index: usize, again: bool) {
        if self.under_way.is_empty() {
            return;
        }
        let index = index % self.under_way.len();
        let txn = self.under_way[index].clone();
        self.store.commit(&txn);
        if !again {
            self.under_way.remove(index);
        }
    }

    fn settle(&mut self, writer: usize) {
        let Stage::InDoubt(change) = self.writers[writer].clone() else { return };
        let made = match self.marker(&change.id) {
            Some(marker) => matches!(marker, Marker::Applied(_)),
            None => {
                let head = self.head();
                let txn = plan::plan_abandon(&head, &change.id, &change.actor, 0);
                assert!(self.store.commit(&Txn { compares: txn.compares, writes: txn.writes }));
                false
            }
        };
        self.writers[writer] = self.tell(change, made);
    }

    fn resend(&mut self, writer: usize) {
        let (Stage::InDoubt(change) | Stage::Done(change)) = self.writers[writer].clone() else {
            return;
        };
        match self.marker(&change.id) {
            Some(marker) => {
                self.writers[writer] = self.tell(change, matches!(marker, Marker::Applied(_)));
            }
            None => self.plan_change(writer, change),
        }
    }

    fn tell(&mut self, change: Change, made: bool) -> Stage {
        let before = self.told.insert(change.id.clone(), made);
        assert!(before.is_none_or(|before| before == made), "{} was told both", change.id);
        Stage::Done(change)
    }

    /// Lets all arrive that is under way.
    fn finish(&mut self) {
        for txn in std::mem::take(&mut self.under_way) {
            self.store.commit(&txn);
        }
    }
}

const SUBJECTS: [(Kind, &str); 6] = [
    (Kind::Customer, "delta"),
    (Kind::Customer, "guild"),
    (Kind::Service, "dispatch"),
    (Kind::Policy, "all"),
    (Kind::Target, "t1"),
    (Kind::Target, "t2"),
];

/// Customers have one of four keys, so that they meet.
fn spec(kind: Kind, draw: u64) -> serde_json::Value {
    match kind {
        Kind::Customer => json!({ "key_sha256": format!("{:064x}", draw % 4) }),
        Kind::Service => json!({ "kind": "plain", "timeout_ms": draw + 1 }),
        Kind::Policy => json!({ "customers": ["delta"], "services": ["dispatch"] }),
        Kind::Target | Kind::Group => {
            json!({ "service": "dispatch", "agent": "10.0.0.1:9000", "data_centre": "ikeja" })
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS;
    prop_oneof![
        5 => (writer.clone(), 0..SUBJECTS.len(), 0..3_usize)
            .prop_map(|(writer, target, operation)| Step::Plan { writer, target, operation }),
        5 => (writer.clone(), any::<bool>())
            .prop_map(|(writer, answered)| Step::Commit { writer, answered }),
        2 => writer.clone().prop_map(|writer| Step::Delay { writer }),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, again)| Step::Arrive { index, again }),
        2 => writer.clone().prop_map(|writer| Step::Settle { writer }),
        2 => writer.prop_map(|writer| Step::Resend { writer }),
    ]
}

fn records(store: &ModelStore) -> Vec<AuditRecord> {
    let range = store.range(audit::AUDIT_PREFIX);
    range.entries.iter().map(|kv| AuditRecord::decode(kv).unwrap()).collect()
}

fn resources(store: &ModelStore) -> Vec<StoredResource> {
    let range = store.range(stored::CONFIG_PREFIX);
    range.entries.iter().map(|kv| StoredResource::decode(kv).unwrap()).collect()
}

/// Each change that was made has one record, and writers were told the truth.
fn check_told(run: &Run) {
    let made: Vec<_> = records(&run.store)
        .into_iter()
        .filter(|record| record.action != Action::Abandon)
        .map(|record| record.change_id)
        .collect();
    let distinct: BTreeSet<_> = made.iter().cloned().collect();
    assert_eq!(made.len(), distinct.len(), "a change was made twice");
    for (id, told) in &run.told {
        assert_eq!(distinct.contains(id), *told, "{id} was told wrong");
    }
}

/// Each generation is one more than the one before, from one at the creation. Records are in the
/// order of the revisions that their changes were planned at, which is the order they were made.
fn check_generations(run: &Run) {
    let mut generations = BTreeMap::new();
    for record in records(&run.store) {
        let Some(subject) = record.subject else { continue };
        let key = (subject.kind, subject.name);
        let before = generations.insert(key.clone(), subject.generation);
        let expected = match record.action {
            Action::Create => 1,
            _ => before.unwrap_or_default() + 1,
        };
        assert_eq!(subject.generation, expected, "{key:?}");
    }
}

/// All references lead somewhere, and no two customers share a key.
fn check_integrity(run: &Run) {
    let resources = resources(&run.store);
    let present: BTreeSet<_> =
        resources.iter().map(|stored| (stored.resource.kind, &*stored.resource.name)).collect();
    let mut keys = BTreeSet::new();
    for stored in &resources {
        let spec = Spec::parse(stored.resource.kind, &stored.resource.spec).unwrap();
        for reference in spec.references() {
            assert!(present.contains(&(reference.kind, reference.name)), "{reference:?}");
        }
        if let Spec::Customer(customer) = &spec {
            assert!(keys.insert(customer.key_sha256.clone()), "two customers share a key");
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn racing_changes_are_made_once_and_told_truly(steps in prop::collection::vec(step(), 1..80)) {
        let mut run = Run::default();
        for step in &steps {
            run.take(step);
            check_integrity(&run);
        }
        run.finish();
        check_told(&run);
        check_generations(&run);
        check_integrity(&run);
        let counted = run.head().head.audit_records;
        prop_assert_eq!(counted, u64::try_from(records(&run.store).len()).unwrap());
    }
}
