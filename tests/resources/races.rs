//! Concurrent changes on the model of the store, with lost responses and with transactions that
//! arrive late or twice. Guards against changes that are applied twice or reported wrongly, and
//! against dangling references and shared bearer keys.

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

/// One step of a run. Numbers select among the writers, subjects and transactions that exist.
#[derive(Clone, Debug)]
enum Step {
    /// A writer reads the configuration and plans a change.
    Plan { writer: usize, subject: usize, operation: usize },
    /// The writer's transaction is carried out, and its response arrives or is lost.
    Commit { writer: usize, answered: bool },
    /// The writer's transaction stays in flight, and the writer gets no response.
    Delay { writer: usize },
    /// A transaction in flight arrives at the store, and stays in flight if it is duplicated.
    Arrive { index: usize, duplicated: bool },
    /// A writer in doubt settles its change.
    Settle { writer: usize },
    /// A writer sends its last change again under the same id.
    Resend { writer: usize },
}

/// The progress of a writer's last change.
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
    in_flight: Vec<Txn>,
    /// Outcomes reported to writers, by change id: true if the change was applied.
    reported: BTreeMap<String, bool>,
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

    fn execute(&mut self, step: &Step) {
        match *step {
            Step::Plan { writer, subject, operation } => self.plan(writer, subject, operation),
            Step::Commit { writer, answered } => self.commit(writer, answered),
            Step::Delay { writer } => self.delay(writer),
            Step::Arrive { index, duplicated } => self.arrive(index, duplicated),
            Step::Settle { writer } => self.settle(writer),
            Step::Resend { writer } => self.resend(writer),
        }
    }

    fn plan(&mut self, writer: usize, subject: usize, operation: usize) {
        if matches!(self.writers[writer], Stage::InDoubt(_)) {
            return;
        }
        let (kind, name) = SUBJECTS[subject];
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
            (true, true) => self.report(change, true),
            (true, false) => Stage::Done(change),
        };
    }

    fn delay(&mut self, writer: usize) {
        let Stage::Planned(change, txn) = self.writers[writer].clone() else { return };
        self.in_flight.push(txn);
        self.writers[writer] = Stage::InDoubt(change);
    }

    fn arrive(&mut self, index: usize, duplicated: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let txn = self.in_flight[index].clone();
        self.store.commit(&txn);
        if !duplicated {
            self.in_flight.remove(index);
        }
    }

    fn settle(&mut self, writer: usize) {
        let Stage::InDoubt(change) = self.writers[writer].clone() else { return };
        let applied = match self.marker(&change.id) {
            Some(marker) => matches!(marker, Marker::Applied(_)),
            None => {
                let head = self.head();
                let txn = plan::plan_abandon(&head, &change.id, &change.actor, 0);
                assert!(self.store.commit(&Txn { compares: txn.compares, writes: txn.writes }));
                false
            }
        };
        self.writers[writer] = self.report(change, applied);
    }

    fn resend(&mut self, writer: usize) {
        let (Stage::InDoubt(change) | Stage::Done(change)) = self.writers[writer].clone() else {
            return;
        };
        match self.marker(&change.id) {
            Some(marker) => {
                self.writers[writer] = self.report(change, matches!(marker, Marker::Applied(_)));
            }
            None => self.plan_change(writer, change),
        }
    }

    fn report(&mut self, change: Change, applied: bool) -> Stage {
        let before = self.reported.insert(change.id.clone(), applied);
        assert!(before.is_none_or(|before| before == applied), "two outcomes of {}", change.id);
        Stage::Done(change)
    }

    /// Delivers all transactions that are in flight.
    fn deliver_all(&mut self) {
        for txn in std::mem::take(&mut self.in_flight) {
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

/// Returns a specification. Customers get one of four keys, so that collisions occur.
fn spec(kind: Kind, number: u64) -> serde_json::Value {
    match kind {
        Kind::Customer => json!({ "key_sha256": format!("{:064x}", number % 4) }),
        Kind::Service => json!({ "kind": "plain", "timeout_ms": number + 1 }),
        Kind::Policy => json!({ "customers": ["delta"], "services": ["dispatch"] }),
        Kind::DataCentre => json!({ "evacuated": number.is_multiple_of(2) }),
        Kind::Target | Kind::Group => {
            json!({ "service": "dispatch", "agent": "10.0.0.1:9000", "data_centre": "ikeja" })
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS;
    prop_oneof![
        5 => (writer.clone(), 0..SUBJECTS.len(), 0..3_usize)
            .prop_map(|(writer, subject, operation)| Step::Plan { writer, subject, operation }),
        5 => (writer.clone(), any::<bool>())
            .prop_map(|(writer, answered)| Step::Commit { writer, answered }),
        2 => writer.clone().prop_map(|writer| Step::Delay { writer }),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, duplicated)| Step::Arrive { index, duplicated }),
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

/// Checks that each applied change has one record, and that the outcomes reported to writers are
/// true.
fn check_reported(run: &Run) {
    let applied: Vec<_> = records(&run.store)
        .into_iter()
        .filter(|record| record.action != Action::Abandon)
        .map(|record| record.change_id)
        .collect();
    let distinct: BTreeSet<_> = applied.iter().cloned().collect();
    assert_eq!(applied.len(), distinct.len(), "a change was applied twice");
    for (id, reported) in &run.reported {
        assert_eq!(distinct.contains(id), *reported, "{id} was reported wrongly");
    }
}

/// Checks that the generations of a resource start at one and increase by one. Records are ordered
/// by the revision at which their changes were planned, which is the order in which they were
/// applied.
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

/// Checks that all references are valid and that no two customers share a key.
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
    fn racing_changes_apply_once_and_report_truly(steps in prop::collection::vec(step(), 1..80)) {
        let mut run = Run::default();
        for step in &steps {
            run.execute(step);
            check_integrity(&run);
        }
        run.deliver_all();
        check_reported(&run);
        check_generations(&run);
        check_integrity(&run);
        let counted = run.head().head.audit_records;
        prop_assert_eq!(counted, u64::try_from(records(&run.store).len()).unwrap());
    }
}
