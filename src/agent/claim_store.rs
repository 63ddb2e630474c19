//! Reads and writes claim shards in the key-value service.

use std::result;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use prost::Message;

use crate::agent::{events, segment};
use crate::external::store;

/// Number of segments that are read concurrently when a shard is read for the first time.
const PARALLEL_READS: usize = 8;

/// The result of a read of the claim store.
pub type Result<T> = result::Result<T, ClaimStoreError>;

/// ClaimStoreError is the reason why a read of the claim store failed.
#[derive(Debug, thiserror::Error)]
pub enum ClaimStoreError {
    /// The key-value service failed.
    #[error("The claims in the key-value service cannot be read or written.")]
    Store(#[from] store::StoreError),
    /// A value cannot be decoded.
    #[error("The value under the key `{key}` is not a valid record of a claim shard.")]
    Malformed {
        /// The key of the value.
        key: String,
    },
    /// A segment that the head names is gone.
    #[error("The claim segment `{key}` was dropped while the shard was being read.")]
    Dropped {
        /// The key of the segment.
        key: String,
    },
}

/// Reads the number of a service's shards. If there is none, the proposed number is saved. It never
/// changes afterwards, since another number would assign claims to other shards.
///
/// # Errors
///
/// Returns a [`ClaimStoreError`] if the key-value service fails or the value is not a positive
/// number.
pub async fn read_shard_count(store: &store::Store, service: &str, proposed: u32) -> Result<u32> {
    let key = segment::shard_count_key(service);
    if let (_, Some(found)) = store.get(&key).await? {
        return parse_layout(&found);
    }
    let compares = [store::Compare::ModRevision(key.clone(), 0)];
    let value = Bytes::from(proposed.to_string());
    let writes = [store::Write::Put { key: key.clone(), value, lease: None }];
    if store.commit(&compares, &writes).await?.succeeded {
        return Ok(proposed);
    }
    let (_, found) = store.get(&key).await?;
    parse_layout(&found.ok_or(ClaimStoreError::Malformed { key })?)
}

/// Reads a shard: first its head, then its segments beginning with `from`, so that every segment
/// before the current one is final when it is read.
///
/// # Errors
///
/// Returns a [`ClaimStoreError`] if the key-value service fails, a value is malformed, or a segment
/// is dropped meanwhile.
pub async fn read_shard(
    store: &store::Store,
    service: &str,
    shard: u32,
    from: Option<u64>,
) -> Result<segment::Snapshot> {
    let (_, found) = store.get(&segment::head_key(service, shard)).await?;
    let Some(found) = found else { return Ok(segment::Snapshot::default()) };
    let head: segment::Versioned<segment::Head> = decode(&found)?;
    let first = from.unwrap_or(0).max(head.value.first);
    let reads =
        (first..=head.value.current).map(|number| read_segment(store, service, shard, number));
    let segments: Vec<_> = stream::iter(reads).buffered(PARALLEL_READS).collect().await;
    let segments = segments.into_iter().collect::<Result<_>>()?;
    Ok(segment::Snapshot { head: Some(head), segments })
}

/// Saves claims in one transaction, and returns whether they were saved.
pub async fn commit(
    store: &store::Store,
    compares: &[store::Compare],
    writes: &[store::Write],
) -> events::CommitOutcome {
    match store.commit(compares, writes).await {
        Ok(store::Commit { succeeded: true, revision }) => {
            events::CommitOutcome::Saved { revision }
        }
        Ok(store::Commit { succeeded: false, .. }) => events::CommitOutcome::Conflict,
        Err(store::StoreError::Refused { .. }) => events::CommitOutcome::Refused,
        Err(_) => events::CommitOutcome::Unknown,
    }
}

async fn read_segment(
    store: &store::Store,
    service: &str,
    shard: u32,
    number: u64,
) -> Result<(u64, segment::Versioned<segment::Segment>)> {
    let key = segment::segment_key(service, shard, number);
    let (_, found) = store.get(&key).await?;
    let found = found.ok_or(ClaimStoreError::Dropped { key })?;
    Ok((number, decode(&found)?))
}

fn decode<T: Message + Default>(found: &store::KeyValue) -> Result<segment::Versioned<T>> {
    let decoded = T::decode(found.value.clone());
    let value = decoded.map_err(|_| ClaimStoreError::Malformed { key: found.key.clone() })?;
    Ok(segment::Versioned { mod_revision: found.mod_revision, value })
}

fn parse_layout(found: &store::KeyValue) -> Result<u32> {
    let text = std::str::from_utf8(&found.value).ok();
    let shards = text.and_then(|text| text.parse().ok()).filter(|shards| *shards > 0);
    shards.ok_or_else(|| ClaimStoreError::Malformed { key: found.key.clone() })
}
