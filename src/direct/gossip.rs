//! Sends and takes heartbeats, and fetches facts from entries that have newer ones.

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
use tokio::net::UdpSocket;
use tokio::time;

use crate::direct::facts::{Facts, Known, Listed};
use crate::direct::http::Codecs;
use crate::direct::internal::{self, ExchangeError, InternalRequest};
use crate::direct::peers::{self, Heartbeat, Load, RankNotice};
use crate::direct::store::Item;
use crate::direct::sync::Follower;
use crate::telemetry::events;

/// Bytes of the longest datagram, under what common links carry in one packet after its headers.
const MAX_DATAGRAM: usize = 1_400;

/// How long another entry may take to hand over its facts: two of the largest values that common
/// stores take, over the link of a small host.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Least pause before facts are asked for again after an entry was busy or did not answer.
const FETCH_RETRY: Duration = Duration::from_millis(30);

/// Entries that are handed facts at once. Each of them hands them on, so a fleet has them after a
/// few rounds.
pub const HAND_OVERS: usize = 2;

/// Bytes of facts that are given to the connection at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Bytes of the facts of one entry, above the store's limit for a value.
const MAX_FACTS: usize = 8 * 1024 * 1024;

/// The path at which an entry hands over its facts.
const FACTS_PATH: &str = "/facts";

/// FactsMessage is what an entry hands over.
#[derive(Clone, PartialEq, prost::Message)]
struct FactsMessage {
    /// The configuration as stored; empty where none is known.
    #[prost(bytes = "bytes", tag = "1")]
    configuration: Bytes,
    /// The targets as stored.
    #[prost(message, repeated, tag = "2")]
    targets: Vec<ListedMessage>,
    /// The revision of the list; 0 where none is known.
    #[prost(uint64, tag = "3")]
    targets_at: u64,
}

/// ListedMessage is one entry of the list of targets.
#[derive(Clone, PartialEq, prost::Message)]
struct ListedMessage {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
    #[prost(uint64, tag = "3")]
    revision: u64,
}

/// Identity is what stays the same in an entry's heartbeats.
#[derive(Clone, Debug)]
pub struct Identity {
    /// A number that differs between the incarnations (runs) of the process.
    pub incarnation: u64,
    /// Where callers connect.
    pub callers_addr: SocketAddr,
    /// Where other entries send heartbeats.
    pub peer_addr: SocketAddr,
    /// Entries that are written to in any case.
    pub seeds: Vec<SocketAddr>,
}

/// Sends heartbeats until the process ends: at each beat to those whose turn it is, and at once to
/// all when the facts change.
pub async fn send(follower: Rc<Follower>, socket: Rc<UdpSocket>, identity: Identity) {
    let mut sequence = 0;
    let mut changed = true;
    loop {
        sequence += 1;
        let now = follower.entry.now();
        let beat = heartbeat(&follower, &identity, sequence);
        let mut datagram = beat.encode_to_vec();
        if datagram.len() > MAX_DATAGRAM {
            datagram = Heartbeat { hears: Vec::new(), ..beat }.encode_to_vec();
        }
        let (audience, turns) = {
            let mut peers = follower.entry.peers.borrow_mut();
            let audience = peers.audience(&identity.seeds, now);
            (audience, if changed { 1 } else { peers.turns() })
        };
        let share = peers::share(&audience, sequence, turns);
        for addr in share.filter(|addr| *addr != identity.peer_addr) {
            // A datagram that is not sent counts as lost; the next heartbeat makes up for it.
            let _lost = socket.try_send_to(&datagram, addr);
        }
        tokio::select! {
            () = time::sleep(follower.heartbeat_interval) => changed = false,
            () = follower.changed.notified() => changed = true,
        }
    }
}

fn heartbeat(follower: &Follower, identity: &Identity, sequence: u64) -> Heartbeat {
    let entry = &follower.entry;
    let own: Vec<Load> = {
        let targets = entry.targets.borrow();
        let loads = targets.own();
        loads.map(|(target, requests)| Load { target: target.to_owned(), requests }).collect()
    };
    let now = entry.now();
    let peers = entry.peers.borrow();
    let hears = peers.introduced(follower.heartbeat_interval, now, sequence);
    let facts = entry.facts.borrow();
    Heartbeat {
        name: entry.options.name.clone(),
        incarnation: identity.incarnation,
        sequence,
        callers_addr: identity.callers_addr.to_string(),
        data_centre: entry.options.data_centre.clone(),
        ready: entry.is_ready(),
        version: facts.version(),
        targets_at: facts.targets_at(),
        reads_store: entry.store_answers.get(),
        loads: own,
        hears,
        leaving: entry.stopping.get(),
        rank: None,
    }
}

/// Takes heartbeats until the process ends.
pub async fn receive(follower: Rc<Follower>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0_u8; 64 * 1024];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match Heartbeat::decode(&buf[..length]) {
                Ok(beat) => take(&follower, beat, from),
                Err(error) => events::log(
                    events::HEARTBEAT_UNREADABLE,
                    format_args!("from={from} cause=\"{error}\""),
                ),
            },
            Err(error) => {
                events::log(events::HEARTBEAT_UNREADABLE, format_args!("cause=\"{error}\""));
                time::sleep(follower.heartbeat_interval).await;
            }
        }
    }
}

fn take(follower: &Follower, beat: Heartbeat, from: SocketAddr) {
    let entry = &follower.entry;
    if beat.name == entry.options.name {
        return;
    }
    let now = entry.now();
    if let Some(notice) = &beat.rank {
        take_notice(follower, notice);
        return;
    }
    let name = beat.name.clone();
    let (version, targets_at) = (beat.version, beat.targets_at);
    let news = entry.peers.borrow_mut().heard(beat, from, now);
    if news.joined {
        events::log(
            events::PEER_JOINED,
            format_args!("entry={name} addr={from} version={version} targets_at={targets_at}"),
        );
    }
    if news.loads {
        let loads = entry.peers.borrow().loads(follower.heartbeat_interval, now);
        entry.targets.borrow_mut().set_others(loads);
        entry.places.notify_one();
    }
    let facts = entry.facts.borrow();
    if version > facts.version() || targets_at > facts.targets_at() {
        follower.outdated.notify_one();
    }
}

fn take_notice(follower: &Follower, notice: &RankNotice) {
    let entry = &follower.entry;
    let Ok(engine) = notice.engine.parse::<SocketAddr>() else { return };
    let now = entry.now();
    let changed = entry.targets.borrow_mut().group_state(engine, &notice.group, notice.open, now);
    if let Some(target) = changed {
        events::log(
            events::GROUP_STATE,
            format_args!("target={target} addr={engine} open={}", notice.open),
        );
        entry.places.notify_waiters();
    }
}

/// Fetches newer facts from other entries until the process ends.
pub async fn catch_up(follower: Rc<Follower>) {
    let codecs = Codecs::new();
    loop {
        follower.outdated.notified().await;
        while let Some((name, addr)) = source(&follower) {
            let known = follower.entry.facts.borrow().known();
            match fetch(addr, known, &codecs).await {
                Ok(facts) => {
                    take_facts(&follower, facts, &name);
                    break;
                }
                // It is busy with others, which is no failure; another entry is asked.
                Err(ExchangeError::Status(StatusCode::TOO_MANY_REQUESTS)) => {}
                Err(error) => events::log(
                    events::PEER_FETCH_FAILED,
                    format_args!("entry={name} cause=\"{error}\""),
                ),
            }
            time::sleep(FETCH_RETRY.mul_f64(1.0 + follower.entry.draw())).await;
        }
    }
}

/// Returns the name and the address of an entry that has newer facts.
fn source(follower: &Follower) -> Option<(String, SocketAddr)> {
    let entry = &follower.entry;
    let known = entry.facts.borrow().known();
    let near = &entry.options.data_centre;
    let peers = entry.peers.borrow();
    let ahead = peers.ahead(known, near, rand::random(), follower.heartbeat_interval, entry.now());
    ahead.map(|peer| (peer.beat.name.clone(), peer.addr))
}

async fn fetch(addr: SocketAddr, known: Known, codecs: &Codecs) -> internal::Result<FactsMessage> {
    let request = InternalRequest {
        method: Method::GET,
        uri: facts_uri(known),
        body: Bytes::new(),
        timeout: FETCH_TIMEOUT,
        max_answer_bytes: MAX_FACTS,
    };
    internal::send(addr, request, codecs).await
}

/// Returns the path at which what is newer is handed over; the whole where it cannot be written.
fn facts_uri(known: Known) -> Uri {
    let uri = format!("{FACTS_PATH}?version={}&targets_at={}", known.version, known.targets_at);
    uri.parse().unwrap_or(Uri::from_static(FACTS_PATH))
}

fn take_facts(follower: &Follower, facts: FactsMessage, source: &str) {
    if !facts.configuration.is_empty() {
        follower.take_configuration(&facts.configuration, source);
    }
    if facts.targets_at > follower.entry.facts.borrow().targets_at() {
        let listed: Vec<(String, Listed)> = facts
            .targets
            .into_iter()
            .map(|ListedMessage { key, value, revision }| Item { key, value, revision })
            .map(|item| follower.read_target(item))
            .collect();
        follower.take_targets(listed, facts.targets_at, source);
    }
}

/// Adds the route at which other entries fetch facts.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route(FACTS_PATH, web::get().to(hand_over));
}

/// Hands over the facts that are newer than those that the asking entry knows. Few are served at
/// once, since a large configuration takes an entry's link a while; the others ask elsewhere.
async fn hand_over(follower: web::Data<Rc<Follower>>, known: web::Query<Known>) -> HttpResponse {
    let Ok(turn) = Arc::clone(&follower.hand_overs).try_acquire_owned() else {
        return HttpResponse::TooManyRequests().finish();
    };
    let message = newer_facts(&follower.entry.facts.borrow(), *known);
    let bytes = Bytes::from(message.encode_to_vec());
    let size = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    // Pieces are taken as the link takes them, so the turn ends about when the answer is sent.
    let pieces = stream::unfold((bytes, turn), |(mut rest, turn)| async move {
        let piece = rest.split_to(rest.len().min(PIECE_BYTES));
        (!piece.is_empty()).then_some((Ok::<_, Infallible>(piece), (rest, turn)))
    });
    HttpResponse::Ok().body(SizedStream::new(size, Box::pin(pieces)))
}

fn newer_facts(facts: &Facts, known: Known) -> FactsMessage {
    let configuration = facts.configuration_raw().filter(|_| facts.version() > known.version);
    let mut message = FactsMessage {
        configuration: configuration.cloned().unwrap_or_default(),
        ..FactsMessage::default()
    };
    if facts.targets_at() > known.targets_at {
        let targets = facts.listed().map(|(key, listed)| ListedMessage {
            key: key.clone(),
            value: listed.raw.clone(),
            revision: listed.revision,
        });
        message.targets = targets.collect();
        message.targets_at = facts.targets_at();
    }
    message
}
