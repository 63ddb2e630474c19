//! Fetches the cluster state from entries that have a newer one, and serves it to others.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Method, StatusCode, Uri};
use actix_web::body::SizedStream;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use prost::Message as _;
use tokio::time;

use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::internal::{self, ExchangeError, InternalRequest};
use crate::direct::known::cluster_state::{ClusterState, KnownVersions, TargetRecord};
use crate::direct::known::heartbeat;
use crate::direct::known::standing::StandingMessage;
use crate::direct::known::store::{Item, Position};
use crate::direct::peering::sync::StateSync;
use crate::direct::state::entry::Entry;
use crate::telemetry::events;

/// Time for a peer to send its cluster state: two of the largest values that common stores accept,
/// over the network link of a small host.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Shortest pause before the cluster state is requested again after a peer was busy or did not
/// answer.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Entries that the cluster state is sent to at once. Each of them sends it to others, so a fleet
/// has it after a few rounds.
pub const MAX_TRANSFERS: usize = 2;

/// Bytes of the cluster state that are passed to the connection at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Bytes of the longest cluster state accepted from a peer; more than the store's limit for a
/// value.
const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;

/// The path at which an entry serves its cluster state.
const STATE_PATH: &str = "/facts";

/// The answer to a request for the cluster state: the parts that are newer than the requester's.
#[derive(Clone, PartialEq, prost::Message)]
struct ClusterStateMessage {
    /// The configuration as stored; empty where the requester's is as new.
    #[prost(bytes = "bytes", tag = "1")]
    configuration: Bytes,
    /// All records of the target list; empty where the requester's list is as new.
    #[prost(message, repeated, tag = "2")]
    targets: Vec<TargetRecordMessage>,
    /// The store's revision of the list; 0 where the requester's list is as new.
    #[prost(uint64, tag = "3")]
    targets_at: u64,
    /// The store's era of the list.
    #[prost(uint64, tag = "4")]
    targets_era: u64,
    /// The data centres that are being emptied; absent where the requester knows as much.
    #[prost(message, optional, tag = "5")]
    standing: Option<StandingMessage>,
    /// The targets that are off the list and may register again; empty unless the requester asks.
    #[prost(message, repeated, tag = "6")]
    lapsed: Vec<TargetRecordMessage>,
    /// Milliseconds since the end of the outage in which they lapsed.
    #[prost(uint64, tag = "7")]
    outage_ended_ms: u64,
}

/// The query of a request for the cluster state: what the requester knows.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(default)]
struct StateQuery {
    version: u64,
    targets_era: u64,
    targets_at: u64,
    standing_era: u64,
    standing_at: u64,
    /// 1 to be sent what is kept beside the list as well.
    lapsed: u8,
}

/// One record of the target list.
#[derive(Clone, PartialEq, prost::Message)]
struct TargetRecordMessage {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
    #[prost(uint64, tag = "3")]
    revision: u64,
}

/// Fetches newer cluster state from other entries until the process ends.
pub async fn fetch_newer_state(sync: Rc<StateSync>) {
    let codecs = Codecs::new();
    loop {
        sync.outdated.notified().await;
        while let Some((name, addr)) = choose_source(&sync) {
            let known = sync.entry.cluster_state.borrow().known();
            let began = sync.entry.now();
            match fetch(addr, known, sync.entry.store_outages.ended_at().is_none(), &codecs).await {
                Ok(state) => {
                    apply_state(&sync, state, &name, began);
                    break;
                }
                // The peer is sending its state to others, which is no failure; try another one.
                Err(ExchangeError::Status(StatusCode::TOO_MANY_REQUESTS)) => {}
                Err(error) => events::log(
                    events::PEER_FETCH_FAILED,
                    format_args!("entry={name} cause=\"{error}\""),
                ),
            }
            time::sleep(FETCH_RETRY_DELAY.mul_f64(1.0 + sync.entry.random_fraction())).await;
        }
    }
}

/// Returns the name and the address of an entry that has a newer cluster state, if there is one.
fn choose_source(sync: &StateSync) -> Option<(String, SocketAddr)> {
    let entry = &sync.entry;
    let known = entry.cluster_state.borrow().known();
    let data_centre = &entry.options.data_centre;
    let peers = entry.peers.borrow();
    let source = peers.find_newer(
        known,
        data_centre,
        rand::random(),
        entry.options.heartbeat_interval,
        entry.now(),
    );
    let lapsed = || {
        let mut live = peers.live(entry.options.heartbeat_interval, entry.now());
        live.find(|peer| sync.lacks_lapsed(peer.heartbeat.lapsed_since_ms))
    };
    source.or_else(lapsed).map(|peer| (peer.heartbeat.name.clone(), peer.addr))
}

/// Fetches what is newer than the known state, and what is kept beside the target list if asked for.
async fn fetch(
    addr: SocketAddr,
    known: KnownVersions,
    lapsed: bool,
    codecs: &Codecs,
) -> internal::Result<ClusterStateMessage> {
    let request = InternalRequest {
        method: Method::GET,
        uri: state_uri(known, lapsed),
        body: Bytes::new(),
        timeout: FETCH_TIMEOUT,
        max_answer_bytes: MAX_STATE_BYTES,
    };
    internal::send(addr, request, codecs).await
}

/// Returns the URI of the state that is newer than the known one, or of the complete state if that
/// URI is invalid.
fn state_uri(known: KnownVersions, lapsed: bool) -> Uri {
    let KnownVersions { version, targets_at, standing_at } = known;
    let targets = format!("targets_era={}&targets_at={}", targets_at.era, targets_at.revision);
    let standing = format!("standing_era={}&standing_at={}", standing_at.era, standing_at.revision);
    let lapsed = u8::from(lapsed);
    let uri = format!("{STATE_PATH}?version={version}&{targets}&{standing}&lapsed={lapsed}");
    uri.parse().unwrap_or(Uri::from_static(STATE_PATH))
}

/// Applies what another entry has sent in answer to a request that began at a time.
fn apply_state(sync: &StateSync, state: ClusterStateMessage, source: &str, began: Duration) {
    if let Some(standing) = state.standing {
        sync.apply_standing_message(standing, source);
    }
    if !state.configuration.is_empty() {
        sync.apply_configuration(&state.configuration, source);
    }
    let targets_at = Position { era: state.targets_era, revision: state.targets_at };
    if targets_at > sync.entry.cluster_state.borrow().targets_at() {
        sync.replace_targets(decode_records(sync, state.targets), targets_at, source);
    }
    if !state.lapsed.is_empty() && sync.lacks_lapsed(Some(state.outage_ended_ms)) {
        // The time since the answer was written is not known, so it counts from the request.
        let ended_at = began.saturating_sub(Duration::from_millis(state.outage_ended_ms));
        sync.adopt_lapsed(decode_records(sync, state.lapsed), ended_at, source);
    }
}

fn decode_records(
    sync: &StateSync,
    records: Vec<TargetRecordMessage>,
) -> Vec<(String, TargetRecord)> {
    let items = records.into_iter().map(|TargetRecordMessage { key, value, revision }| Item {
        key,
        value,
        revision,
    });
    items.map(|item| sync.decode_target(item)).collect()
}

/// Adds the route at which other entries fetch the cluster state.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route(STATE_PATH, web::get().to(serve_state));
}

/// Answers with the parts of the cluster state that are newer than those that the peer knows. Only
/// [`MAX_TRANSFERS`] peers are served at once, since a large configuration occupies an entry's
/// network link for a while; the others get status 429 and try another entry.
async fn serve_state(
    sync: web::Data<Rc<StateSync>>,
    query: web::Query<StateQuery>,
) -> HttpResponse {
    let Ok(permit) = Arc::clone(&sync.transfers).try_acquire_owned() else {
        return HttpResponse::TooManyRequests().finish();
    };
    let targets_at = Position { era: query.targets_era, revision: query.targets_at };
    let standing_at = Position { era: query.standing_era, revision: query.standing_at };
    let known = KnownVersions { version: query.version, targets_at, standing_at };
    let mut message = newer_state(&sync.entry.cluster_state.borrow(), known);
    if query.lapsed > 0 {
        add_lapsed(&sync.entry, &mut message);
    }
    let bytes = Bytes::from(message.encode_to_vec());
    let size = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    // The connection polls for chunks as fast as it can send them, so the permit is released about
    // when the answer has been sent.
    let chunks = stream::unfold((bytes, permit), |(mut rest, permit)| async move {
        let chunk = rest.split_to(rest.len().min(CHUNK_BYTES));
        (!chunk.is_empty()).then_some((Ok::<_, Infallible>(chunk), (rest, permit)))
    });
    HttpResponse::Ok().body(SizedStream::new(size, Box::pin(chunks)))
}

/// Adds the targets that are off the list and may register again.
fn add_lapsed(entry: &Entry, message: &mut ClusterStateMessage) {
    let Some(ended_at) = entry.store_outages.ended_at() else { return };
    message.lapsed = record_messages(entry.cluster_state.borrow().lapsed());
    message.outage_ended_ms = heartbeat::millis(entry.now().saturating_sub(ended_at));
}

fn record_messages<'a>(
    records: impl Iterator<Item = (&'a String, &'a TargetRecord)>,
) -> Vec<TargetRecordMessage> {
    let message = |(key, record): (&String, &TargetRecord)| TargetRecordMessage {
        key: key.clone(),
        value: record.raw.clone(),
        revision: record.revision,
    };
    records.map(message).collect()
}

fn newer_state(state: &ClusterState, known: KnownVersions) -> ClusterStateMessage {
    let configuration = state.raw_configuration().filter(|_| state.version() > known.version);
    let mut message = ClusterStateMessage {
        configuration: configuration.cloned().unwrap_or_default(),
        standing: StandingMessage::newer(state.standing(), known.standing_at),
        ..ClusterStateMessage::default()
    };
    if state.targets_at() > known.targets_at {
        message.targets = record_messages(state.target_records());
        message.targets_era = state.targets_at().era;
        message.targets_at = state.targets_at().revision;
    }
    message
}
