//! Sends and receives heartbeats, and fetches the cluster state from entries that have a newer one.

use std::convert::Infallible;
use std::mem;
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
use tokio::net::UdpSocket;
use tokio::time;

use crate::direct::connections::http::Codecs;
use crate::direct::connections::internal::{self, ExchangeError, InternalRequest};
use crate::direct::known::cluster_state::{ClusterState, KnownVersions, TargetRecord};
use crate::direct::known::heartbeat::{Heartbeat, Load};
use crate::direct::known::standing::StandingMessage;
use crate::direct::known::store::{Collection, Item, Position};
use crate::direct::peering::permits;
use crate::direct::peering::rank_notices;
use crate::direct::peering::sync::StateSync;
use crate::direct::state::entry::Entry;
use crate::telemetry::events;

/// Bytes of the longest datagram; less than what common links carry in one packet after its
/// headers.
const MAX_DATAGRAM_BYTES: usize = 1_400;

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

/// The parts of an entry's heartbeats that stay the same, and where they go.
#[derive(Clone, Debug)]
pub struct Identity {
    /// A number that differs between the incarnations (runs) of the process.
    pub incarnation: u64,
    /// The address at which callers connect.
    pub callers_addr: SocketAddr,
    /// The address at which this entry receives heartbeats.
    pub peer_addr: SocketAddr,
    /// Addresses of entries that are sent heartbeats in any case, from the settings.
    pub seeds: Vec<SocketAddr>,
}

/// Sends heartbeats until the process ends: each regular one to the entries of the own data centre and
/// to a part of the others, in rotation, and one to all entries as soon as the cluster state changes, a target crashes or names a rate.
pub async fn send(sync: Rc<StateSync>, socket: Rc<UdpSocket>, identity: Identity) {
    let mut sequence = 0;
    let mut changed = true;
    if identity.seeds.iter().any(|seed| *seed != identity.peer_addr) {
        sync.entry.peers.borrow_mut().expect_others();
    }
    loop {
        sequence += 1;
        let now = sync.entry.now();
        let heartbeat = heartbeat(&sync, &identity, sequence);
        let mut datagram = heartbeat.encode_to_vec();
        if datagram.len() > MAX_DATAGRAM_BYTES {
            datagram = Heartbeat { known_peers: Vec::new(), ..heartbeat }.encode_to_vec();
        }
        let recipients = {
            let mut peers = sync.entry.peers.borrow_mut();
            let recipients = peers.recipients(&identity.seeds, now);
            if changed { recipients } else { peers.turn(&recipients, sequence) }
        };
        for addr in recipients.into_iter().filter(|addr| *addr != identity.peer_addr) {
            // A datagram that cannot be sent counts as lost; the next heartbeat replaces it.
            let _lost = socket.try_send_to(&datagram, addr);
        }
        tokio::select! {
            () = time::sleep(sync.entry.options.heartbeat_interval) => changed = false,
            () = sync.changed.notified() => changed = true,
            () = sync.entry.crashes_changed.notified() => changed = true,
            () = sync.entry.rates_changed.notified() => changed = true,
        }
    }
}

fn heartbeat(sync: &StateSync, identity: &Identity, sequence: u64) -> Heartbeat {
    let entry = &sync.entry;
    let local_loads: Vec<Load> = {
        let targets = entry.targets.borrow();
        let loads = targets.local_loads();
        loads.map(|(target, requests)| Load { target: target.to_owned(), requests }).collect()
    };
    let now = entry.now();
    let peers = entry.peers.borrow();
    let known_peers = peers.peers_to_announce(entry.options.heartbeat_interval, now, sequence);
    let state = entry.cluster_state.borrow();
    Heartbeat {
        name: entry.options.name.clone(),
        incarnation: identity.incarnation,
        sequence,
        callers_addr: identity.callers_addr.to_string(),
        data_centre: entry.options.data_centre.clone(),
        ready: entry.is_ready(),
        version: state.version(),
        targets_era: state.targets_at().era,
        targets_at: state.targets_at().revision,
        standing_era: state.standing().position().era,
        standing_at: state.standing().position().revision,
        reads_store: entry.store_answers.get(),
        loads: local_loads,
        known_peers,
        leaving: entry.is_stopping(),
        rank: None,
        crashes: entry.crashes.borrow().reports(sequence, now),
        counted_entries: peers.counted_entries(),
        rates: entry.targets.borrow().limits.reports(sequence, now),
        permit_request: None,
        permit_reply: None,
        configuration_age_ms: age_ms(entry, Collection::Configuration),
        targets_age_ms: age_ms(entry, Collection::Targets),
        lapsed_since_ms: lapsed_since_ms(entry),
        store_failed_ms: entry.store_failed_at.get().map(|at| millis(now.saturating_sub(at))),
        demand: entry.places.borrow().report(now),
        standing: StandingMessage::brief(state.standing()),
    }
}

fn age_ms(entry: &Entry, collection: Collection) -> Option<u64> {
    entry.confirmations.age(collection, entry.now()).map(millis)
}

/// Returns the time since the end of the outage after which targets are kept beside the list, in
/// milliseconds; `None` while there are none.
fn lapsed_since_ms(entry: &Entry) -> Option<u64> {
    entry.cluster_state.borrow().lapsed().next()?;
    entry.store_outages.ended_at().map(|at| millis(entry.now().saturating_sub(at)))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Receives heartbeats until the process ends.
pub async fn receive(sync: Rc<StateSync>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0_u8; 64 * 1024];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match Heartbeat::decode(&buf[..length]) {
                Ok(Heartbeat { permit_request: Some(request), .. }) => {
                    // A reply that cannot be sent counts as lost; the other entry asks again.
                    let _lost = socket.try_send_to(&permits::reply(&sync.entry, &request), from);
                }
                Ok(Heartbeat { permit_reply: Some(reply), .. }) => {
                    sync.entry.permits.receive(reply);
                }
                Ok(heartbeat) => handle_heartbeat(&sync, heartbeat, from),
                Err(error) => events::log(
                    events::HEARTBEAT_UNREADABLE,
                    format_args!("from={from} cause=\"{error}\""),
                ),
            },
            Err(error) => {
                events::log(events::HEARTBEAT_UNREADABLE, format_args!("cause=\"{error}\""));
                time::sleep(sync.entry.options.heartbeat_interval).await;
            }
        }
    }
}

fn handle_heartbeat(sync: &StateSync, mut heartbeat: Heartbeat, from: SocketAddr) {
    let entry = &sync.entry;
    if heartbeat.name == entry.options.name {
        return;
    }
    let now = entry.now();
    if let Some(notice) = &heartbeat.rank {
        rank_notices::record(entry, notice);
        return;
    }
    let name = heartbeat.name.clone();
    entry.merge_crashes(&mem::take(&mut heartbeat.crashes), &name);
    entry.merge_rates(&mem::take(&mut heartbeat.rates), &name);
    let known = heartbeat.known();
    let standing = heartbeat.standing.take();
    let KnownVersions { version, targets_at, standing_at } = known;
    sync.record_peer_calls(&heartbeat);
    let has_lapsed = sync.lacks_lapsed(heartbeat.lapsed_since_ms);
    let update = entry.peers.borrow_mut().record_heartbeat(heartbeat, from, now);
    if update.joined {
        events::log(
            events::PEER_JOINED,
            format_args!(
                "entry={name} addr={from} version={version} targets_at={}",
                targets_at.revision
            ),
        );
        entry.crashes.borrow_mut().announce_refused(now);
    }
    if update.loads {
        entry.loads_changed.set(true);
        entry.slots_changed.notify_one();
    }
    if let Some(standing) = standing.filter(|_| standing_at > entry.standing_at()) {
        sync.apply_standing_message(standing, &name);
    }
    let state = entry.cluster_state.borrow();
    let own = state.known();
    let is_newer =
        version > own.version || targets_at > own.targets_at || standing_at > own.standing_at;
    if is_newer || has_lapsed {
        sync.outdated.notify_one();
    }
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
    message.outage_ended_ms = millis(entry.now().saturating_sub(ended_at));
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
