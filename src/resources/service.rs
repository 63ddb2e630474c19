//! Reads and changes resources through the key-value service, and settles changes in doubt.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::time;

use crate::audit::{self, AuditRecord};
use crate::clock::Clock;
use crate::external::store::{Commit, Range, Store, StoreError};
use crate::resources::changes::{self, Accepted, Applied, Change, ChangeState, Marker};
use crate::resources::error::{ResourceError, Result};
use crate::resources::kinds::Kind;
use crate::resources::names;
use crate::resources::plan::{self, HeadView, Plan, View};
use crate::resources::stored::{self, StoredResource};
use crate::resources::watch::ResourceWatch;
use crate::telemetry::events;

/// How many times a change is planned anew because another one came first.
const PLAN_ATTEMPTS: u32 = 32;
/// The longest pause before a change is planned anew.
const PLAN_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause between two tries to settle a change.
const SETTLE_PAUSE: Duration = Duration::from_millis(60);
/// Records that one transaction prunes; each takes two of the 128 operations that the gateway
/// allows.
const PRUNE_BATCH: u32 = 50;
/// The share of the audit trail's bound by which it may overrun, so that entries which prune do
/// not all do so at once.
const PRUNE_JITTER_SHARE: u64 = 8;

/// ResourcesOptions tells how long to settle and how much to keep.
#[derive(Clone, Debug)]
pub struct ResourcesOptions {
    /// How long to read back a change whose answer was lost.
    pub settle_timeout: Duration,
    /// Records that the audit trail keeps, and markers of changes with them.
    pub audit_limit: u64,
}

/// Resources is the way to all resources. It lives on one arbiter and clones cheaply.
#[derive(Clone)]
pub struct Resources {
    store: Store,
    options: ResourcesOptions,
    clock: Clock,
    /// Draws a random number.
    draw: Rc<dyn Fn() -> u64>,
}

/// List is the resources of one kind at one revision.
#[derive(Clone, Debug)]
pub struct List {
    /// The revision, from which a watch may follow on.
    pub resource_version: u64,
    /// The resources in the order of their names.
    pub resources: Vec<StoredResource>,
}

impl Resources {
    /// Returns the way to the resources in a store; `draw` gives the random numbers of change ids
    /// and pauses.
    pub fn new(
        store: Store,
        options: ResourcesOptions,
        clock: Clock,
        draw: Rc<dyn Fn() -> u64>,
    ) -> Self {
        Self { store, options, clock, draw }
    }

    /// Draws the id of a new change.
    pub fn new_change_id(&self) -> String {
        format!("{:016x}{:016x}", (self.draw)(), (self.draw)())
    }

    /// Reads one resource.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::NotFound`] where there is none.
    pub async fn read(&self, kind: Kind, name: &str) -> Result<StoredResource> {
        names::check_name(name)?;
        let (_, found) = self.store.get(&stored::key(kind, name)).await?;
        let kv = found.ok_or_else(|| ResourceError::NotFound { kind, name: String::from(name) })?;
        StoredResource::decode(&kv).map_err(|_| ResourceError::Unreadable { key: kv.key })
    }

    /// Reads all resources of a kind; a key that holds none is passed over.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] where the store gives no answer.
    pub async fn list(&self, kind: Kind) -> Result<List> {
        let Range { revision, entries } = self.store.range(&stored::kind_prefix(kind)).await?;
        let resources = entries.iter().filter_map(plan::decode_or_log).collect();
        Ok(List { resource_version: revision, resources })
    }

    /// Watches the resources of a kind for changes after a resource version.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] where the watch cannot be opened.
    pub async fn watch(&self, kind: Kind, after_version: u64) -> Result<ResourceWatch> {
        let watch = self.store.watch(&stored::kind_prefix(kind), after_version + 1).await?;
        Ok(ResourceWatch::new(watch))
    }

    /// Reads the newest records of the audit trail, newest first.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] where the store gives no answer.
    pub async fn audit(&self, limit: usize) -> Result<Vec<AuditRecord>> {
        let range = self.store.range(audit::AUDIT_PREFIX).await?;
        let newest = range.entries.iter().rev().take(limit);
        Ok(newest.filter_map(|kv| AuditRecord::decode(kv).ok()).collect())
    }

    /// Makes a change, at most once whatever becomes of answers. A change that was made under its
    /// id before gets its first outcome.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::OutcomeUnknown`] where the change may have been made; any other
    /// error says that it was not.
    pub async fn apply(&self, change: &Change) -> Result<Accepted> {
        names::check_name(&change.name)?;
        names::check_change_id(&change.id)?;
        for _ in 0..PLAN_ATTEMPTS {
            if let Some(marker) = self.read_marker(&change.id).await? {
                return first_outcome(change, marker);
            }
            let view = self.read_view().await?;
            let plan = plan::plan(&view, change, self.unix_ms())?;
            if let Some(accepted) = self.commit(change, plan).await? {
                self.prune_later(&view);
                return Ok(accepted);
            }
            time::sleep(self.jittered(PLAN_PAUSE)).await;
        }
        Err(ResourceError::Contended { change_id: change.id.clone(), attempts: PLAN_ATTEMPTS })
    }

    /// Tells what became of a change. One that is not known is given up, so that the answer stays
    /// true: no transaction of it that may still be under way can succeed afterwards.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] where the store gives no answer.
    pub async fn settle_change(&self, change_id: &str, actor: &str) -> Result<ChangeState> {
        names::check_change_id(change_id)?;
        for _ in 0..PLAN_ATTEMPTS {
            if let Some(state) = self.settle_once(change_id, actor).await? {
                return self.state_of(change_id, state).await;
            }
            time::sleep(self.jittered(PLAN_PAUSE)).await;
        }
        let change_id = String::from(change_id);
        Err(ResourceError::Contended { change_id, attempts: PLAN_ATTEMPTS })
    }

    /// Removes the oldest records of the audit trail beyond its bound, as many as one transaction
    /// takes, and returns how many it removed.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] where the store gives no answer.
    pub async fn prune(&self) -> Result<u64> {
        let head = self.read_head().await?;
        let excess = head.head.audit_records.saturating_sub(self.options.audit_limit);
        let batch = u32::try_from(excess).unwrap_or(PRUNE_BATCH).min(PRUNE_BATCH);
        if batch == 0 {
            return Ok(0);
        }
        let oldest = self.store.range_first(audit::AUDIT_PREFIX, batch).await?.entries;
        let pruning = plan::plan_prune(&head, &oldest);
        let commit = self.store.commit(&pruning.compares, &pruning.writes).await?;
        let removed = if commit.succeeded { oldest.len() } else { 0 };
        Ok(u64::try_from(removed).unwrap_or_default())
    }

    /// Commits a plan; none where another change came first.
    async fn commit(&self, change: &Change, plan: Plan) -> Result<Option<Accepted>> {
        let Plan { compares, writes, applied } = plan;
        match self.store.commit(&compares, &writes).await {
            Ok(Commit { succeeded: false, .. }) => Ok(None),
            Ok(Commit { succeeded: true, revision }) => {
                Ok(Some(accepted(&change.id, applied, revision)))
            }
            Err(source @ StoreError::Unknown { .. }) => {
                events::log(events::CHANGE_IN_DOUBT, format_args!("{}: {source}", change.id));
                self.settle(change, source).await.map(Some)
            }
            Err(source) => Err(ResourceError::Unavailable { source }),
        }
    }

    /// Reads back what became of a change in doubt, until the deadline.
    async fn settle(&self, change: &Change, mut source: StoreError) -> Result<Accepted> {
        let deadline = self.clock.monotonic() + self.options.settle_timeout;
        while self.clock.monotonic() < deadline {
            match self.settle_once(&change.id, &change.actor).await {
                Ok(Some(marker)) => {
                    events::log(events::CHANGE_SETTLED, format_args!("{}", change.id));
                    return first_outcome(change, marker);
                }
                Err(ResourceError::Unavailable { source: newest }) => source = newest,
                Err(error) => return Err(error),
                Ok(None) => {}
            }
            time::sleep(self.jittered(SETTLE_PAUSE)).await;
        }
        events::log(events::CHANGE_UNSETTLED, format_args!("{}: {source}", change.id));
        Err(ResourceError::OutcomeUnknown { change_id: change.id.clone(), source })
    }

    /// Reads a change's marker, and where there is none, tries to write that it is given up. None
    /// where that was not done, so that it must be tried again.
    async fn settle_once(&self, change_id: &str, actor: &str) -> Result<Option<FoundMarker>> {
        if let Some(found) = self.read_marker(change_id).await? {
            return Ok(Some(found));
        }
        let head = self.read_head().await?;
        let unix_ms = self.unix_ms();
        let abandoning = plan::plan_abandon(&head, change_id, actor, unix_ms);
        let commit = self.store.commit(&abandoning.compares, &abandoning.writes).await?;
        let marker = Marker::Abandoned { unix_ms };
        Ok(commit.succeeded.then_some(FoundMarker { marker, revision: commit.revision }))
    }

    async fn state_of(&self, change_id: &str, found: FoundMarker) -> Result<ChangeState> {
        match found.marker {
            Marker::Applied(applied) => {
                let accepted = Accepted {
                    change_id: String::from(change_id),
                    applied,
                    resource_version: found.revision,
                };
                Ok(ChangeState::Accepted(accepted))
            }
            Marker::Abandoned { .. } => {
                let oldest = self.store.range_first(audit::AUDIT_PREFIX, 1).await?.entries;
                let key = oldest.first().map(|kv| audit::parse_key(&kv.key));
                let known_since_unix_ms = key.and_then(|parsed| parsed.ok()).map(|(time, _)| time);
                Ok(ChangeState::NotApplied { known_since_unix_ms })
            }
        }
    }

    async fn read_marker(&self, change_id: &str) -> Result<Option<FoundMarker>> {
        let (_, found) = self.store.get(&changes::marker_key(change_id)).await?;
        let Some(kv) = found else { return Ok(None) };
        Ok(Some(FoundMarker { marker: Marker::decode(&kv)?, revision: kv.mod_revision }))
    }

    async fn read_head(&self) -> Result<HeadView> {
        let (_, head) = self.store.get(plan::HEAD_KEY).await?;
        HeadView::decode(head.as_ref())
    }

    async fn read_view(&self) -> Result<View> {
        let head = self.read_head().await?;
        let range = self.store.range(stored::CONFIG_PREFIX).await?;
        Ok(View::new(head, &range))
    }

    /// Prunes the audit trail beside the answer, if it has grown far enough past its bound.
    fn prune_later(&self, view: &View) {
        let limit = self.options.audit_limit;
        let overrun = (self.draw)() % (limit / PRUNE_JITTER_SHARE + 1);
        if view.audit_records() < limit.saturating_add(overrun) {
            return;
        }
        let resources = self.clone();
        actix::spawn(async move {
            match resources.prune().await {
                Ok(0) => {}
                Ok(removed) => {
                    events::log(events::AUDIT_PRUNED, format_args!("{removed} records"));
                }
                Err(error) => events::log(events::AUDIT_PRUNE_FAILED, format_args!("{error}")),
            }
        });
    }

    fn unix_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn jittered(&self, longest: Duration) -> Duration {
        let micros = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX).max(2);
        Duration::from_micros(micros / 2 + (self.draw)() % (micros / 2))
    }
}

/// FoundMarker is a marker with the revision of its change.
struct FoundMarker {
    marker: Marker,
    revision: u64,
}

fn first_outcome(change: &Change, found: FoundMarker) -> Result<Accepted> {
    let change_id = change.id.clone();
    match found.marker {
        Marker::Abandoned { .. } => Err(ResourceError::Abandoned { change_id }),
        Marker::Applied(applied) if applied.digest != change.digest() => {
            Err(ResourceError::ChangeIdReused { change_id })
        }
        Marker::Applied(applied) => {
            Ok(Accepted { change_id, applied, resource_version: found.revision })
        }
    }
}

fn accepted(change_id: &str, applied: Applied, resource_version: u64) -> Accepted {
    let Applied { action, kind, name, actor, .. } = &applied;
    events::log(
        events::CHANGE_ACCEPTED,
        format_args!("{change_id}: {action:?} {kind} {name} by {actor} at {resource_version}"),
    );
    Accepted { change_id: String::from(change_id), applied, resource_version }
}
