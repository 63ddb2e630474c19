//! Reads the configuration from the platform's key-value service and watches it.

use std::time::Duration;

use actix::Addr;
use tokio::time;

use crate::config::state;
use crate::entry::actor;
use crate::platform::store;
use crate::telemetry;

/// The prefix of every resource's key.
pub const CONFIG_PREFIX: &str = "/bitternwall/config/";
/// How long to wait before the service is asked again after it failed.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Reads and watches until the task is dropped.
pub async fn run(store: store::Store, actor: Addr<actor::EntryActor>) {
    loop {
        if let Err(error) = follow(&store, &actor).await {
            telemetry::events::log(
                telemetry::events::CONFIG_READ_FAILED,
                format_args!("cause={error}"),
            );
        }
        time::sleep(RETRY_WAIT).await;
    }
}

async fn follow(store: &store::Store, actor: &Addr<actor::EntryActor>) -> store::Result<()> {
    let range = store.range(CONFIG_PREFIX).await?;
    let mut revision = range.revision;
    actor.do_send(actor::ConfigFeed::Whole(range));
    let mut watch = store.watch(CONFIG_PREFIX, revision + 1).await?;
    loop {
        let batch = watch.next().await?;
        if batch.revision <= revision || batch.events.is_empty() {
            continue;
        }
        let mut delta = state::Delta {
            base_revision: revision,
            revision: batch.revision,
            ..state::Delta::default()
        };
        for event in batch.events {
            match event {
                store::WatchEvent::Put(entry) => delta.changed.push(entry),
                store::WatchEvent::Delete { key, .. } => delta.deleted.push(key),
            }
        }
        revision = batch.revision;
        actor.do_send(actor::ConfigFeed::Changed(delta));
    }
}
