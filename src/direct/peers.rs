//! The other entries, as their heartbeats tell.
//!
//! Heartbeats carry what each entry has in flight and which facts it holds. They tell who lives,
//! spread the load that each target has, and let few entries read the store for all. What one entry
//! sends and known_peers is bounded: in a large fleet each heartbeat goes to some of the others, in turn.

use std::cmp;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::direct::cluster_state::KnownVersions;

/// Heartbeats that an entry may miss before its load and address no longer count.
const MAX_MISSED_HEARTBEATS: u32 = 10;

/// The same for entries whose heartbeats come in rotation. Four losses in a row are rare.
const MAX_MISSED_ROTATIONS: u32 = 4;

/// Entries that one heartbeat goes to. More would cost more than fresher loads are worth: entries
/// of a large fleet have little in flight each.
pub const FANOUT: usize = 16;

/// Addresses of entries in one heartbeat, which keeps it within one packet.
pub const MAX_PEER_ADDRS: usize = 32;

/// Heartbeats to an entry of which one introduces others.
const PEER_EXCHANGE_INTERVAL: u64 = 5;

/// An entry that was not heard for this long is forgotten and no longer written to.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Entries that read the store for all others.
pub const MAX_READERS: usize = 3;

/// Heartbeat is what an entry tells the others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A number that differs between the incarnations (runs) of the process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within this incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Where callers connect, as `ip:port`.
    #[prost(string, tag = "4")]
    pub callers_addr: String,
    /// The data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// True while it serves callers.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// The version of its configuration; 0 without one.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// The store's revision of its list of targets; 0 without one.
    #[prost(uint64, tag = "8")]
    pub targets_at: u64,
    /// True while the store answers it.
    #[prost(bool, tag = "9")]
    pub reads_store: bool,
    /// Its requests in flight by target.
    #[prost(message, repeated, tag = "10")]
    pub loads: Vec<Load>,
    /// Addresses of entries that it known_peers.
    #[prost(message, repeated, tag = "11")]
    pub known_peers: Vec<PeerAddr>,
    /// True once the process leaves.
    #[prost(bool, tag = "12")]
    pub leaving: bool,
    /// The state of a rank, where an agent beside one sends the message.
    #[prost(message, optional, tag = "13")]
    pub rank: Option<RankNotice>,
}

/// RankNotice is what an agent tells entries of its rank.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RankNotice {
    /// Where the rank's engine listens, as `ip:port`.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// True while the group takes requests.
    #[prost(bool, tag = "2")]
    pub open: bool,
    /// The group; empty while the engine does not answer.
    #[prost(string, tag = "3")]
    pub group: String,
}

/// Load is the requests that an entry has in flight at one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// PeerAddr is where an entry known_peers heartbeats.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PeerAddr {
    /// The IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}

impl PeerAddr {
    /// Returns the address as others write it; none for one that is not IPv4.
    pub fn of(addr: SocketAddr) -> Option<Self> {
        match addr {
            SocketAddr::V4(addr) => {
                Some(Self { ip: addr.ip().to_bits(), port: u32::from(addr.port()) })
            }
            SocketAddr::V6(_) => None,
        }
    }

    /// Returns the address, where the port is one.
    pub fn addr(self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        Some(SocketAddrV4::new(Ipv4Addr::from_bits(self.ip), port).into())
    }
}

/// Peer is one other entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that arrived.
    pub last_received: Duration,
    /// Where it known_peers heartbeats and serves its facts.
    pub addr: SocketAddr,
}

/// PeerUpdate is what a heartbeat changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerUpdate {
    /// The entry was not heard of before, or is back.
    pub joined: bool,
    /// Its loads differ from those before.
    pub loads: bool,
}

/// Peers is the table.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Map<String, Peer>,
    addresses: Map<SocketAddr, Duration>,
    max_entries: u32,
}

impl Peers {
    /// Takes in a heartbeat that came from an address.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Duration,
    ) -> PeerUpdate {
        self.addresses.insert(from, now);
        for addr in heartbeat.known_peers.iter().filter_map(|addr| addr.addr()) {
            self.addresses.entry(addr).or_insert(now);
        }
        let old = self.peers.get(&heartbeat.name);
        let same_incarnation =
            old.is_some_and(|old| old.heartbeat.incarnation == heartbeat.incarnation);
        if same_incarnation && old.is_some_and(|old| old.heartbeat.sequence >= heartbeat.sequence) {
            return PeerUpdate::default();
        }
        let loads = old.is_none_or(|old| old.heartbeat.loads != heartbeat.loads);
        let name = heartbeat.name.clone();
        self.peers.insert(name, Peer { heartbeat, last_received: now, addr: from });
        PeerUpdate { joined: !same_incarnation, loads }
    }

    /// Returns the addresses that heartbeats go to in order, and forgets those that are silent for
    /// long. Addresses in `always` are kept.
    pub fn recipients(&mut self, always: &[SocketAddr], now: Duration) -> Vec<SocketAddr> {
        self.addresses.retain(|_, received| now.saturating_sub(*received) < FORGET_AFTER);
        self.peers.retain(|_, peer| now.saturating_sub(peer.last_received) < FORGET_AFTER);
        let mut recipients: Set<SocketAddr> = self.addresses.keys().copied().collect();
        recipients.extend(always);
        let mut recipients: Vec<SocketAddr> = recipients.into_iter().collect();
        recipients.sort_unstable();
        recipients
    }

    /// Returns the heartbeats in which every known entry gets one.
    pub fn rotation(&self) -> u64 {
        let rotation = self.addresses.len().div_ceil(FANOUT).max(1);
        u64::try_from(rotation).unwrap_or(u64::MAX)
    }

    /// Returns the addresses of live entries that a heartbeat tells, if it is one that does.
    pub fn peers_to_announce(
        &self,
        heartbeat_interval: Duration,
        now: Duration,
        sequence: u64,
    ) -> Vec<PeerAddr> {
        let rotation = self.rotation();
        let round = sequence / rotation;
        let every = PEER_EXCHANGE_INTERVAL.div_ceil(rotation);
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

    /// Returns the entries that were heard within a few heartbeats.
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

    /// Counts the entries now; the largest count is remembered for shares of what all use.
    pub fn count(&mut self, heartbeat_interval: Duration, now: Duration) -> u32 {
        let live = u32::try_from(self.live(heartbeat_interval, now).count()).unwrap_or(u32::MAX);
        let entries = live.saturating_add(1);
        self.max_entries = self.max_entries.max(entries);
        entries
    }

    /// Returns the largest number of entries seen at once, with this one; at least 1.
    pub fn max_entries(&self) -> u32 {
        self.max_entries.max(1)
    }

    /// Tells whether the entry of this name is among those that read the store for all: the first
    /// ones by name's hash among the live entries that the store answers.
    pub fn is_reader(&self, name: &str, heartbeat_interval: Duration, now: Duration) -> bool {
        let own = name_hash(name);
        let ahead = self
            .live(heartbeat_interval, now)
            .filter(|peer| peer.heartbeat.reads_store && !peer.heartbeat.leaving)
            .filter(|peer| name_hash(&peer.heartbeat.name) < own)
            .count();
        ahead < MAX_READERS
    }

    /// Returns a live entry that has newer facts than those known, one of the data centre `near`
    /// where there is one. `draw` is any number; it spreads those that ask over those that have the
    /// facts, so that a change reaches a fleet sooner than one entry could hand it to all.
    pub fn find_newer(
        &self,
        known: KnownVersions,
        near: &str,
        draw: u64,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> Option<&Peer> {
        let pick = |newer: &dyn Fn(&Heartbeat) -> bool| {
            let mut ahead: Vec<&Peer> =
                self.live(heartbeat_interval, now).filter(|peer| newer(&peer.heartbeat)).collect();
            if ahead.iter().any(|peer| peer.heartbeat.data_centre == near) {
                ahead.retain(|peer| peer.heartbeat.data_centre == near);
            }
            let index = draw.checked_rem(u64::try_from(ahead.len()).ok()?)?;
            ahead.get(usize::try_from(index).ok()?).copied()
        };
        pick(&|heartbeat| heartbeat.version > known.version)
            .or_else(|| pick(&|heartbeat| heartbeat.targets_at > known.targets_at))
    }
}

/// Returns those of an recipients that a heartbeat goes to.
pub fn rotation_part(
    recipients: &[SocketAddr],
    sequence: u64,
    rotation: u64,
) -> impl Iterator<Item = SocketAddr> {
    let rotation = usize::try_from(rotation).unwrap_or(usize::MAX).max(1);
    let turn = usize::try_from(sequence).unwrap_or(0) % rotation;
    recipients.iter().copied().skip(turn).step_by(rotation)
}

fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
