//! The other entries, as known from their heartbeats.
//!
//! A heartbeat carries the sender's requests in flight and the versions of its cluster state.
//! Heartbeats show which entries are live, spread the load of each target, and let a few entries
//! read the store for all. What one entry sends and receives is bounded: in a large fleet each
//! heartbeat goes to a part of the entries, in rotation.

use std::cmp;
use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::direct::known::cluster_state::KnownVersions;
use crate::direct::known::heartbeat::{self, Heartbeat, PeerAddr};

/// Heartbeat intervals without a heartbeat after which an entry's load and address no longer count.
const MAX_MISSED_HEARTBEATS: u32 = 10;

/// The same for a large fleet, in rotations. Four losses in a row are rare.
const MAX_MISSED_ROTATIONS: u32 = 4;

/// Entries that one heartbeat goes to, of the own data centre and of the others. Requests mostly go to
/// targets of the own data centre, so the loads of its entries should be fresh. In a small fleet all
/// entries get each heartbeat.
pub const FANOUT: usize = 16;

/// Entries of other data centres that one heartbeat of a large fleet goes to. More would cost more
/// than fresher loads are worth: each entry has few requests in flight.
const REMOTE_FANOUT: usize = 12;

/// Addresses of entries in one heartbeat; the limit keeps it within one packet.
pub const MAX_PEER_ADDRS: usize = 32;

/// Limit of the entries on record, above the size of any fleet. New names are ignored beyond it.
pub const MAX_ENTRIES: usize = 4_096;

/// Every how many heartbeats to one entry one carries the addresses of other entries.
const PEER_EXCHANGE_INTERVAL: u64 = 5;

/// Time after an entry has joined in which addresses are exchanged more often in a large fleet, so
/// that it hears of all others soon and they of it.
const INTRODUCTION_TIME: Duration = Duration::from_secs(3);

/// Time without a heartbeat after which an entry is forgotten and sent none any more.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The part of what one entry hands out for all while the size of the fleet is not known.
const UNKNOWN_FLEET_SHARE: f64 = 1.0 / 3.0;

/// One other entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that arrived, on the local entry's clock.
    pub last_received: Duration,
    /// The address at which it receives heartbeats and serves its cluster state.
    pub addr: SocketAddr,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerUpdate {
    /// True if the entry is new, or is a new incarnation of a known one.
    pub joined: bool,
    /// True if its loads differ from those of its previous heartbeat.
    pub loads: bool,
}

/// The other entries, and the addresses that heartbeats are sent to.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Map<String, Peer>,
    addresses: Map<SocketAddr, Duration>,
    /// When an entry was last heard for the first time in its incarnation.
    last_joined: Option<Duration>,
    /// The live entries counted last, and when their number or an incarnation changed.
    live_entries: u32,
    changed_at: Duration,
    /// The local entry's data centre.
    data_centre: String,
    /// True if the settings name other entries.
    expects_others: bool,
    /// The largest number of live entries counted at once, including the local one.
    counted_entries: u32,
    /// The largest number that another entry has counted.
    reported_entries: u32,
}

impl Peers {
    /// Returns an empty table for an entry in a data centre.
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..Self::default() }
    }

    /// Records that the settings name other entries, so that the local one is not the whole fleet
    /// though it has heard no other yet.
    pub fn expect_others(&mut self) {
        self.expects_others = true;
    }

    /// Records a heartbeat received from an address. A repeated or late one changes nothing but the
    /// addresses.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Duration,
    ) -> PeerUpdate {
        let old = self.peers.get(&heartbeat.name);
        if old.is_none() && self.peers.len() >= MAX_ENTRIES {
            return PeerUpdate::default();
        }
        self.reported_entries = self.reported_entries.max(heartbeat.counted_entries);
        self.record_address(from, now);
        for addr in heartbeat.known_peers.iter().filter_map(|addr| addr.addr()) {
            if !self.addresses.contains_key(&addr) {
                self.record_address(addr, now);
            }
        }
        let old = self.peers.get(&heartbeat.name);
        let same_incarnation =
            old.is_some_and(|old| old.heartbeat.incarnation == heartbeat.incarnation);
        if same_incarnation && old.is_some_and(|old| old.heartbeat.sequence >= heartbeat.sequence) {
            return PeerUpdate::default();
        }
        let loads = old.is_none_or(|old| old.heartbeat.loads != heartbeat.loads);
        if !same_incarnation {
            self.last_joined = Some(now);
            self.changed_at = now;
        }
        let name = heartbeat.name.clone();
        self.peers.insert(name, Peer { heartbeat, last_received: now, addr: from });
        PeerUpdate { joined: !same_incarnation, loads }
    }

    fn record_address(&mut self, addr: SocketAddr, now: Duration) {
        if self.addresses.len() < MAX_ENTRIES || self.addresses.contains_key(&addr) {
            self.addresses.insert(addr, now);
        }
    }

    /// Makes heartbeats go to an entry that another source than a heartbeat names. Returns true unless
    /// the entry was heard recently or its address is known.
    pub fn introduce(&mut self, name: &str, addr: SocketAddr, now: Duration) -> bool {
        let heard = self.peers.get(name);
        if heard.is_some_and(|peer| now.saturating_sub(peer.last_received) < FORGET_AFTER)
            || self.addresses.contains_key(&addr)
        {
            return false;
        }
        self.record_address(addr, now);
        true
    }

    /// Returns the sorted addresses that heartbeats go to, and forgets entries that have been
    /// silent for too long. Addresses in `always` are included in any case.
    pub fn recipients(&mut self, always: &[SocketAddr], now: Duration) -> Vec<SocketAddr> {
        self.addresses.retain(|_, received| now.saturating_sub(*received) < FORGET_AFTER);
        self.peers.retain(|_, peer| now.saturating_sub(peer.last_received) < FORGET_AFTER);
        let mut recipients: Set<SocketAddr> = self.addresses.keys().copied().collect();
        recipients.extend(always);
        let mut recipients: Vec<SocketAddr> = recipients.into_iter().collect();
        recipients.sort_unstable();
        recipients
    }

    /// Returns the length of a rotation: the number of heartbeats after which every known entry has
    /// been sent one.
    pub fn rotation(&self) -> u64 {
        if self.addresses.len() <= FANOUT {
            return 1;
        }
        let near = self.near().len();
        let remote = self.addresses.len().saturating_sub(near).div_ceil(REMOTE_FANOUT);
        let rotation = remote.max(near.div_ceil(FANOUT)).max(1);
        u64::try_from(rotation).unwrap_or(u64::MAX)
    }

    /// Returns the addresses of the known entries of the local data centre.
    fn near(&self) -> Set<SocketAddr> {
        let near =
            self.peers.values().filter(|peer| peer.heartbeat.data_centre == self.data_centre);
        near.filter(|peer| self.addresses.contains_key(&peer.addr)).map(|peer| peer.addr).collect()
    }

    /// Returns the part of the recipients that the heartbeat `sequence` goes to: the entries of the
    /// local data centre, and some of the others in rotation.
    pub fn turn(&self, recipients: &[SocketAddr], sequence: u64) -> Vec<SocketAddr> {
        if recipients.len() <= FANOUT {
            return recipients.to_vec();
        }
        let near = self.near();
        let (near, remote): (Vec<SocketAddr>, Vec<SocketAddr>) =
            recipients.iter().partition(|addr| near.contains(addr));
        let rotation = |count: usize, fanout: usize| {
            u64::try_from(count.div_ceil(fanout).max(1)).unwrap_or(u64::MAX)
        };
        let near_rotation = rotation(near.len(), FANOUT);
        let remote_rotation = rotation(remote.len(), REMOTE_FANOUT);
        let near = rotation_part(&near, sequence, near_rotation);
        near.chain(rotation_part(&remote, sequence, remote_rotation)).collect()
    }

    /// Returns the addresses of live entries that a heartbeat carries. Only some heartbeats carry
    /// addresses; together these go through all live entries, at most [`MAX_PEER_ADDRS`] at a time.
    /// In a large fleet they would be half of all bytes between entries, so they are sent about as
    /// often as in a small one once no entry is new.
    pub fn peers_to_announce(
        &self,
        heartbeat_interval: Duration,
        now: Duration,
        sequence: u64,
    ) -> Vec<PeerAddr> {
        let rotation = self.rotation();
        let round = sequence / rotation;
        let introducing =
            self.last_joined.is_some_and(|at| now.saturating_sub(at) < INTRODUCTION_TIME);
        let every = match introducing {
            true => PEER_EXCHANGE_INTERVAL.div_ceil(rotation),
            false => PEER_EXCHANGE_INTERVAL,
        };
        if !round.is_multiple_of(every) {
            return Vec::new();
        }
        let mut live: Vec<SocketAddr> =
            self.live(heartbeat_interval, now).map(|peer| peer.addr).collect();
        live.sort_unstable();
        let part =
            round / every % u64::try_from(live.len().div_ceil(MAX_PEER_ADDRS).max(1)).unwrap_or(1);
        let first = usize::try_from(part).unwrap_or(0) * MAX_PEER_ADDRS;
        live.into_iter().skip(first).take(MAX_PEER_ADDRS).filter_map(PeerAddr::of).collect()
    }

    /// Returns the entries whose last heartbeat is recent.
    pub fn live(&self, heartbeat_interval: Duration, now: Duration) -> impl Iterator<Item = &Peer> {
        let rotation = u32::try_from(self.rotation()).unwrap_or(u32::MAX);
        let limit = heartbeat_interval
            * cmp::max(MAX_MISSED_HEARTBEATS, MAX_MISSED_ROTATIONS.saturating_mul(rotation));
        self.peers.values().filter(move |peer| now.saturating_sub(peer.last_received) <= limit)
    }

    /// Returns the requests that the other live entries have in flight, by target.
    pub fn loads(&self, heartbeat_interval: Duration, now: Duration) -> Map<String, u32> {
        let mut loads: Map<String, u32> = Map::default();
        for peer in self.live(heartbeat_interval, now) {
            for load in &peer.heartbeat.loads {
                match loads.get_mut(&load.target) {
                    Some(sum) => *sum += load.requests,
                    None => {
                        loads.insert(load.target.clone(), load.requests);
                    }
                }
            }
        }
        loads
    }

    /// Returns the requests a second for a service that come to the other live entries and are more
    /// urgent than `urgency`.
    pub fn more_urgent_per_s(
        &self,
        service: &str,
        urgency: u8,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> f64 {
        let service = heartbeat::service_hash(service);
        let live = self.live(heartbeat_interval, now);
        let kinds = live.flat_map(|peer| &peer.heartbeat.demand);
        let kinds = kinds.filter(|kind| kind.service == service);
        let more_urgent = kinds.filter(|kind| kind.urgency < u32::from(urgency));
        more_urgent.map(|kind| f64::from(kind.per_10s) / 10.0).sum()
    }

    /// Returns the number of live entries, including the local one, and remembers the largest
    /// number for [`Peers::fleet_size`].
    pub fn count(&mut self, heartbeat_interval: Duration, now: Duration) -> u32 {
        let live = u32::try_from(self.live(heartbeat_interval, now).count()).unwrap_or(u32::MAX);
        let entries = live.saturating_add(1);
        if entries != self.live_entries {
            (self.live_entries, self.changed_at) = (entries, now);
        }
        self.counted_entries = self.counted_entries.max(entries);
        entries
    }

    /// Returns when the live entries last changed, as far as this one has seen.
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Returns the part of what only one entry hands out for all that the local one may hand out, from
    /// 0 to 1. If at most half of those that were live at once are live now, the others may be fleets
    /// of their own that this entry does not hear, and their parts add up to at most one.
    pub fn permit_share(&self) -> f64 {
        match self.fleet_size() {
            Some(size) if size > 1 && self.live_entries.saturating_mul(2) <= size => {
                f64::from(self.live_entries) / f64::from(size)
            }
            Some(_) => 1.0,
            None => UNKNOWN_FLEET_SHARE,
        }
    }

    /// Returns the largest number of live entries that the local one has counted, which heartbeats
    /// carry. It does not contain what others report, so that no number outlives all processes
    /// that counted it.
    pub fn counted_entries(&self) -> u32 {
        self.counted_entries
    }

    /// Returns the largest number of entries that were live at once, as counted here or reported by
    /// another entry; `None` while that is unknown, since there are others and none was heard.
    /// Allowances of the whole fleet are divided by it.
    pub fn fleet_size(&self) -> Option<u32> {
        let size = self.counted_entries.max(self.reported_entries).max(1);
        (size > 1 || !self.expects_others).then_some(size)
    }

    /// Returns the address of the entry that hands out the permits of a target; `None` if it is the
    /// local one, of this name. `leaving` is true while the local entry is stopping.
    pub fn permit_owner(
        &self,
        target: &str,
        name: &str,
        leaving: bool,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> Option<SocketAddr> {
        let rank = |name: &str| name_hash(&format!("{target} {name}"));
        let others = self.live(heartbeat_interval, now).filter(|peer| !peer.heartbeat.leaving);
        let first = others.min_by_key(|peer| rank(&peer.heartbeat.name))?;
        let is_first = leaving || rank(&first.heartbeat.name) < rank(name);
        is_first.then_some(first.addr)
    }

    /// Returns a live entry that has a newer cluster state than the one known, in `data_centre` if
    /// possible. A newer configuration goes first, the target list last. `draw` is any random number; it
    /// spreads the requests over the entries that have the newer state, so that a change reaches a
    /// fleet sooner than one entry could send it to all.
    pub fn find_newer(
        &self,
        known: KnownVersions,
        data_centre: &str,
        draw: u64,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> Option<&Peer> {
        let pick = |newer: &dyn Fn(&Heartbeat) -> bool| {
            let mut candidates: Vec<&Peer> =
                self.live(heartbeat_interval, now).filter(|peer| newer(&peer.heartbeat)).collect();
            if candidates.iter().any(|peer| peer.heartbeat.data_centre == data_centre) {
                candidates.retain(|peer| peer.heartbeat.data_centre == data_centre);
            }
            let index = draw.checked_rem(u64::try_from(candidates.len()).ok()?)?;
            candidates.get(usize::try_from(index).ok()?).copied()
        };
        pick(&|heartbeat| heartbeat.version > known.version)
            .or_else(|| pick(&|heartbeat| heartbeat.known().standing_at > known.standing_at))
            .or_else(|| pick(&|heartbeat| heartbeat.known().targets_at > known.targets_at))
    }
}

/// Returns the part of the recipients that the heartbeat `sequence` goes to, where a rotation takes
/// `rotation` heartbeats.
pub fn rotation_part(
    recipients: &[SocketAddr],
    sequence: u64,
    rotation: u64,
) -> impl Iterator<Item = SocketAddr> {
    let rotation = usize::try_from(rotation).unwrap_or(usize::MAX).max(1);
    let offset = usize::try_from(sequence).unwrap_or(0) % rotation;
    recipients.iter().copied().skip(offset).step_by(rotation)
}

pub(super) fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
