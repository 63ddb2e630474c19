//! Sends and receives heartbeats.

use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::time;

use crate::direct::known::cluster_state::KnownVersions;
use crate::direct::known::heartbeat::{self, Heartbeat, Load};
use crate::direct::known::standing::StandingMessage;
use crate::direct::known::store::Collection;
use crate::direct::peering::permits;
use crate::direct::peering::rank_notices;
use crate::direct::peering::sync::StateSync;
use crate::direct::state::entry::Entry;
use crate::telemetry::events;

/// Bytes of the longest datagram; less than what common links carry in one packet after its
/// headers.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Bytes of a received datagram that are read. One with the loads of many targets is longer than others.
const MAX_RECEIVED_BYTES: usize = 16 * 1024;

/// The parts of an entry's heartbeats that stay the same, and where they go.
#[derive(Clone, Debug)]
pub struct Identity {
    /// A number that differs between the incarnations (runs) of the process.
    pub incarnation: u64,
    /// The address at which callers connect.
    pub callers_addr: SocketAddr,
    /// The address at which this entry receives heartbeats.
    pub peer_addr: SocketAddr,
}

/// Sends heartbeats until the process ends: each regular one to the entries of the own data centre and
/// to a part of the others, in rotation, and one to all entries as soon as the cluster state changes, a target crashes or names a rate.
pub async fn send(sync: Rc<StateSync>, socket: Rc<UdpSocket>, identity: Identity) {
    let mut sequence = 0;
    let mut changed = true;
    if sync.seeds.borrow().iter().any(|seed| *seed != identity.peer_addr) {
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
            let recipients = peers.recipients(&sync.seeds.borrow(), now);
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
    let answer = |collection| {
        let answer = entry.confirmations.answer(collection);
        answer.map_or((0, 0), |answer| (answer.origin, answer.number))
    };
    let (configuration_origin, configuration_answer) = answer(Collection::Configuration);
    let (targets_origin, targets_answer) = answer(Collection::Targets);
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
        reads_store: entry.store_calls.answers.get(),
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
        configuration_origin,
        configuration_answer,
        targets_origin,
        targets_answer,
        lapsed_since_ms: lapsed_since_ms(entry),
        store_failed_ms: entry
            .store_calls
            .failed_at
            .get()
            .map(|at| heartbeat::millis(now.saturating_sub(at))),
        store_answer_ms: entry.store_calls.answer_time.get().map(heartbeat::millis),
        demand: entry.places.borrow().report(now),
        standing: StandingMessage::brief(state.standing()),
    }
}

fn age_ms(entry: &Entry, collection: Collection) -> Option<u64> {
    entry.confirmations.age(collection, entry.now()).map(heartbeat::millis)
}

/// Returns the time since the end of the outage after which targets are kept beside the list, in
/// milliseconds; `None` while there are none.
fn lapsed_since_ms(entry: &Entry) -> Option<u64> {
    entry.cluster_state.borrow().lapsed().next()?;
    entry.store_outages.ended_at().map(|at| heartbeat::millis(entry.now().saturating_sub(at)))
}

/// Receives heartbeats until the process ends.
pub async fn receive(sync: Rc<StateSync>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0_u8; MAX_RECEIVED_BYTES];
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
        if let Ok(engine) = notice.engine.parse() {
            sync.agents.borrow_mut().record_notice(engine, now);
            rank_notices::record(entry, notice, engine);
        }
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
