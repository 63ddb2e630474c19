//! Reads and changes resources in the key-value store, and settles changes whose outcome is in
//! doubt after a lost response.

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
use crate::resources::plan::{self, Plan, VersionedHead, View};
use crate::resources::stored::{self, StoredResource};
use crate::resources::watch::ResourceWatch;
use crate::telemetry::events;

/// Attempts to plan or settle a change before it fails because of concurrent changes.
const MAX_PLAN_ATTEMPTS: u32 = 32;
/// Upper bound of the jittered pause between two such attempts.
const MAX_PLAN_PAUSE: Duration = Duration::from_millis(40);
/// Upper bound of the jittered pause between two attempts to settle a change after a lost response.
const MAX_SETTLE_PAUSE: Duration = Duration::from_millis(60);
/// Maximum number of records that one transaction prunes. Each needs two of the 128 operations
/// that the store's gateway allows in a transaction.
const MAX_PRUNE_BATCH: u32 = 50;
/// The audit trail may exceed its limit by a random amount of up to the limit divided by this
/// number, so that entries do not all prune at the same time.
const PRUNE_JITTER_DIVISOR: u64 = 8;

/// The options of [`Resources`].
#[derive(Clone, Debug)]
pub struct ResourcesOptions {
    /// How long [`Resources::apply`] tries to settle a change whose response was lost. With zero it
    /// reports the outcome as unknown at once.
    pub settle_timeout: Duration,
    /// Number of records to keep in the audit trail. The marker of a change is removed together
    /// with its record.
    pub audit_limit: u64,
}

/// A client for reading, watching and changing resources. It belongs to one arbiter and is cheap to
/// clone.
#[derive(Clone)]
pub struct Resources {
    store: Store,
    options: ResourcesOptions,
    clock: Clock,
    /// Returns a random number.
    random: Rc<dyn Fn() -> u64>,
}

/// All resources of one kind at one revision.
#[derive(Clone, Debug)]
pub struct List {
    /// The revision of the list; a watch after it continues without a gap.
    pub resource_version: u64,
    /// The resources, ordered by name.
    pub resources: Vec<StoredResource>,
}

impl Resources {
    /// Returns a client for the resources in a store. `random` supplies the random numbers for
    /// change ids, pauses and pruning.
    pub fn new(
        store: Store,
        options: ResourcesOptions,
        clock: Clock,
        random: Rc<dyn Fn() -> u64>,
    ) -> Self {
        Self { store, options, clock, random }
    }

    /// Returns a random id for a new change: 32 hexadecimal digits.
    pub fn new_change_id(&self) -> String {
        format!("{:016x}{:016x}", (self.random)(), (self.random)())
    }

    /// Reads one resource.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::NotFound`] if the resource does not exist.
    pub async fn read(&self, kind: Kind, name: &str) -> Result<StoredResource> {
        names::check_name(name)?;
        let (_, found) = self.store.get(&stored::key(kind, name)).await?;
        let kv = found.ok_or_else(|| ResourceError::NotFound { kind, name: String::from(name) })?;
        StoredResource::decode(&kv).map_err(|_| ResourceError::Unreadable { key: kv.key })
    }

    /// Reads all resources of a kind. Keys that hold no valid resource are logged and skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] if the store does not answer.
    pub async fn list(&self, kind: Kind) -> Result<List> {
        let Range { revision, entries } = self.store.range(&stored::kind_prefix(kind)).await?;
        let resources = entries.iter().filter_map(plan::decode_or_log).collect();
        Ok(List { resource_version: revision, resources })
    }

    /// Watches the resources of a kind for changes after the given resource version.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] if the watch cannot be opened.
    pub async fn watch(&self, kind: Kind, after_version: u64) -> Result<ResourceWatch> {
        let watch = self.store.watch(&stored::kind_prefix(kind), after_version + 1).await?;
        Ok(ResourceWatch::new(watch))
    }

    /// Reads up to `limit` of the newest records of the audit trail, newest first. Records that
    /// cannot be decoded are skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] if the store does not answer.
    pub async fn audit(&self, limit: usize) -> Result<Vec<AuditRecord>> {
        let range = self.store.range(audit::AUDIT_PREFIX).await?;
        let newest = range.entries.iter().rev().take(limit);
        Ok(newest.filter_map(|kv| AuditRecord::decode(kv).ok()).collect())
    }

    /// Applies a change at most once, even if responses of the store are lost. If the change was
    /// already applied under its id, the recorded result is returned.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::OutcomeUnknown`] if the change may have been applied; any other
    /// error means that it was not.
    pub async fn apply(&self, change: &Change) -> Result<Accepted> {
        names::check_name(&change.name)?;
        names::check_change_id(&change.id)?;
        for _ in 0..MAX_PLAN_ATTEMPTS {
            if let Some(marker) = self.read_marker(&change.id).await? {
                return recorded_outcome(change, marker);
            }
            let view = self.read_view().await?;
            let plan = plan::plan(&view, change, self.unix_ms())?;
            if let Some(accepted) = self.commit(change, plan).await? {
                self.prune_in_background(&view);
                return Ok(accepted);
            }
            time::sleep(self.jittered(MAX_PLAN_PAUSE)).await;
        }
        Err(ResourceError::Contended { change_id: change.id.clone(), attempts: MAX_PLAN_ATTEMPTS })
    }

    /// Returns the final state of a change. A change without a marker is abandoned first, so that
    /// the answer stays true: a transaction of the change that is still in flight can no longer
    /// succeed. The abandonment is recorded in the audit trail under `actor`.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] if the store does not answer.
    pub async fn settle_change(&self, change_id: &str, actor: &str) -> Result<ChangeState> {
        names::check_change_id(change_id)?;
        for _ in 0..MAX_PLAN_ATTEMPTS {
            if let Some(found) = self.settle_once(change_id, actor).await? {
                return self.change_state(change_id, found).await;
            }
            time::sleep(self.jittered(MAX_PLAN_PAUSE)).await;
        }
        let change_id = String::from(change_id);
        Err(ResourceError::Contended { change_id, attempts: MAX_PLAN_ATTEMPTS })
    }

    /// Removes the oldest records by which the audit trail exceeds its limit, at most as many as
    /// fit into one transaction, and returns the number of removed records. Returns zero if a
    /// concurrent change came first.
    ///
    /// # Errors
    ///
    /// Returns a [`ResourceError`] if the store does not answer.
    pub async fn prune(&self) -> Result<u64> {
        let head = self.read_head().await?;
        let excess = head.head.audit_records.saturating_sub(self.options.audit_limit);
        let batch = u32::try_from(excess).unwrap_or(MAX_PRUNE_BATCH).min(MAX_PRUNE_BATCH);
        if batch == 0 {
            return Ok(0);
        }
        let oldest = self.store.range_first(audit::AUDIT_PREFIX, batch).await?.entries;
        let txn = plan::plan_prune(&head, &oldest);
        let commit = self.store.commit(&txn.compares, &txn.writes).await?;
        let removed = if commit.succeeded { oldest.len() } else { 0 };
        Ok(u64::try_from(removed).unwrap_or_default())
    }

    /// Commits a plan. Returns `None` if a condition did not hold because of a concurrent change.
    async fn commit(&self, change: &Change, plan: Plan) -> Result<Option<Accepted>> {
        let Plan { compares, writes, applied } = plan;
        match self.store.commit(&compares, &writes).await {
            Ok(Commit { succeeded: false, .. }) => Ok(None),
            Ok(Commit { succeeded: true, revision }) => {
                Ok(Some(log_accepted(&change.id, applied, revision)))
            }
            Err(source @ StoreError::Unknown { .. }) => {
                events::log(events::CHANGE_IN_DOUBT, format_args!("{}: {source}", change.id));
                self.settle(change, source).await.map(Some)
            }
            Err(source) => Err(ResourceError::Unavailable { source }),
        }
    }

    /// Settles a change whose transaction got no definite response, within `settle_timeout`.
    /// `source` is the error of the transaction; it is replaced by the newest error of the store.
    async fn settle(&self, change: &Change, mut source: StoreError) -> Result<Accepted> {
        let deadline = self.clock.monotonic() + self.options.settle_timeout;
        while self.clock.monotonic() < deadline {
            match self.settle_once(&change.id, &change.actor).await {
                Ok(Some(marker)) => {
                    events::log(events::CHANGE_SETTLED, format_args!("{}", change.id));
                    return recorded_outcome(change, marker);
                }
                Err(ResourceError::Unavailable { source: newest }) => source = newest,
                Err(error) => return Err(error),
                Ok(None) => {}
            }
            time::sleep(self.jittered(MAX_SETTLE_PAUSE)).await;
        }
        events::log(events::CHANGE_UNSETTLED, format_args!("{}: {source}", change.id));
        Err(ResourceError::OutcomeUnknown { change_id: change.id.clone(), source })
    }

    /// Reads the marker of a change or, if there is none, tries to write one that abandons the
    /// change. Returns `None` if a concurrent change prevented the write; the caller tries again.
    async fn settle_once(&self, change_id: &str, actor: &str) -> Result<Option<VersionedMarker>> {
        if let Some(found) = self.read_marker(change_id).await? {
            return Ok(Some(found));
        }
        let head = self.read_head().await?;
        let unix_ms = self.unix_ms();
        let txn = plan::plan_abandon(&head, change_id, actor, unix_ms);
        let commit = self.store.commit(&txn.compares, &txn.writes).await?;
        let marker = Marker::Abandoned { unix_ms };
        Ok(commit.succeeded.then_some(VersionedMarker { marker, revision: commit.revision }))
    }

    /// Converts a marker into the state of its change, and reads how far back the audit trail
    /// reaches if the change was abandoned.
    async fn change_state(&self, change_id: &str, found: VersionedMarker) -> Result<ChangeState> {
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

    async fn read_marker(&self, change_id: &str) -> Result<Option<VersionedMarker>> {
        let (_, found) = self.store.get(&changes::marker_key(change_id)).await?;
        let Some(kv) = found else { return Ok(None) };
        Ok(Some(VersionedMarker { marker: Marker::decode(&kv)?, revision: kv.mod_revision }))
    }

    async fn read_head(&self) -> Result<VersionedHead> {
        let (_, head) = self.store.get(plan::HEAD_KEY).await?;
        VersionedHead::decode(head.as_ref())
    }

    /// Reads the head and then, as [`View`] requires, all resources.
    async fn read_view(&self) -> Result<View> {
        let head = self.read_head().await?;
        let range = self.store.range(stored::CONFIG_PREFIX).await?;
        Ok(View::new(head, &range))
    }

    /// Starts pruning the audit trail in a background task if the trail exceeds its limit by the
    /// jittered margin, so that the response does not wait for it.
    fn prune_in_background(&self, view: &View) {
        let limit = self.options.audit_limit;
        let margin = (self.random)() % (limit / PRUNE_JITTER_DIVISOR + 1);
        if view.audit_records() < limit.saturating_add(margin) {
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

    /// Returns a random duration of at least half of `max` and less than `max`.
    fn jittered(&self, max: Duration) -> Duration {
        let micros = u64::try_from(max.as_micros()).unwrap_or(u64::MAX).max(2);
        Duration::from_micros(micros / 2 + (self.random)() % (micros / 2))
    }
}

/// A marker and the revision of the transaction that wrote it.
struct VersionedMarker {
    marker: Marker,
    revision: u64,
}

/// Returns the result that the marker of a change records, or an error if the change was abandoned
/// or the marker belongs to a different change.
fn recorded_outcome(change: &Change, found: VersionedMarker) -> Result<Accepted> {
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

/// Logs an applied change and returns it with its id and revision.
fn log_accepted(change_id: &str, applied: Applied, resource_version: u64) -> Accepted {
    let Applied { action, kind, name, actor, .. } = &applied;
    events::log(
        events::CHANGE_ACCEPTED,
        format_args!("{change_id}: {action:?} {kind} {name} by {actor} at {resource_version}"),
    );
    Accepted { change_id: String::from(change_id), applied, resource_version }
}
