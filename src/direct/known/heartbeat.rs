//! The messages that entries, and agents beside ranks, send to entries at short intervals.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use crate::direct::known::cluster_state::KnownVersions;
use crate::direct::known::confirmation::AnswerId;
use crate::direct::known::crash_record::CrashReport;
use crate::direct::known::permit::{PermitReply, PermitRequest, RateReport};
use crate::direct::known::standing::StandingMessage;
use crate::direct::known::store::Position;

/// The periodic message of an entry to the others. An agent beside a rank sends it too, with `name`
/// and `rank` only.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender's name, from its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A number that differs between the incarnations (runs) of the process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within this incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The address at which callers connect, as `ip:port`.
    #[prost(string, tag = "4")]
    pub callers_addr: String,
    /// The entry's data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// True while it serves callers.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// The version of its configuration; 0 without one.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// The store's revision of its target list, in the era below; 0 without one.
    #[prost(uint64, tag = "8")]
    pub targets_at: u64,
    /// True while the store answers it.
    #[prost(bool, tag = "9")]
    pub reads_store: bool,
    /// Its requests in flight by target.
    #[prost(message, repeated, tag = "10")]
    pub loads: Vec<Load>,
    /// Addresses of some live entries; see
    /// [`Peers::peers_to_announce`](crate::direct::known::peers::Peers::peers_to_announce).
    #[prost(message, repeated, tag = "11")]
    pub known_peers: Vec<PeerAddr>,
    /// True once the process is stopping.
    #[prost(bool, tag = "12")]
    pub leaving: bool,
    /// The state of a rank, if an agent beside one sends the message.
    #[prost(message, optional, tag = "13")]
    pub rank: Option<RankNotice>,
    /// Requests under which targets crashed, as the sender has them on record.
    #[prost(message, repeated, tag = "14")]
    pub crashes: Vec<CrashReport>,
    /// The store's era of its target list.
    #[prost(uint64, tag = "15")]
    pub targets_era: u64,
    /// The largest number of live entries that it has counted at once, so that an entry that has
    /// just started knows the size of the fleet from one heartbeat.
    #[prost(uint32, tag = "16")]
    pub counted_entries: u32,
    /// The rates that targets named in answers to the sender.
    #[prost(message, repeated, tag = "17")]
    pub rates: Vec<RateReport>,
    /// A request for permits, which comes with the name only.
    #[prost(message, optional, tag = "18")]
    pub permit_request: Option<PermitRequest>,
    /// The reply to such a request, which comes with the name only.
    #[prost(message, optional, tag = "19")]
    pub permit_reply: Option<PermitReply>,
    /// Milliseconds since the store last confirmed its configuration; absent before that.
    #[prost(uint64, optional, tag = "20")]
    pub configuration_age_ms: Option<u64>,
    /// The same for its target list.
    #[prost(uint64, optional, tag = "21")]
    pub targets_age_ms: Option<u64>,
    /// Milliseconds since the store last left a call of the sender unanswered; absent while it answers.
    #[prost(uint64, optional, tag = "27")]
    pub store_failed_ms: Option<u64>,
    /// The process whose answer of the store confirmed its configuration last; 0 if that is not stated. See
    /// [`AnswerId`].
    #[prost(fixed64, tag = "30")]
    pub configuration_origin: u64,
    /// The number of that answer.
    #[prost(uint64, tag = "31")]
    pub configuration_answer: u64,
    /// The same for its target list.
    #[prost(fixed64, tag = "32")]
    pub targets_origin: u64,
    /// The number of that answer.
    #[prost(uint64, tag = "33")]
    pub targets_answer: u64,
    /// Milliseconds that the store took for its last answer to the sender, beyond the wait for changes;
    /// only from the entry that asks often.
    #[prost(uint64, optional, tag = "29")]
    pub store_answer_ms: Option<u64>,
    /// Milliseconds since the end of the outage after which the sender keeps targets beside its list;
    /// absent while it keeps none.
    #[prost(uint64, optional, tag = "28")]
    pub lapsed_since_ms: Option<u64>,
    /// The requests that come to the sender for services whose requests differ in urgency.
    #[prost(message, repeated, tag = "26")]
    pub demand: Vec<KindRate>,
    /// The store's era of what it knows of data centres that are being emptied.
    #[prost(uint64, tag = "22")]
    pub standing_era: u64,
    /// The store's revision of that; 0 for nothing.
    #[prost(uint64, tag = "23")]
    pub standing_at: u64,
    /// The data centres that are being emptied, where they are few.
    #[prost(message, optional, tag = "24")]
    pub standing: Option<StandingMessage>,
}

impl Heartbeat {
    /// Returns the answers of the store that confirmed the sender's configuration and its target list last,
    /// and their ages in milliseconds, in the order of
    /// [`Collection::ALL`](crate::direct::known::store::Collection::ALL).
    pub fn answers(&self) -> [(AnswerId, Option<u64>); 2] {
        let id = |origin, number| AnswerId { origin, number };
        [
            (id(self.configuration_origin, self.configuration_answer), self.configuration_age_ms),
            (id(self.targets_origin, self.targets_answer), self.targets_age_ms),
        ]
    }

    /// Returns how recent the sender's cluster state is.
    pub fn known(&self) -> KnownVersions {
        let targets_at = Position { era: self.targets_era, revision: self.targets_at };
        let standing_at = Position { era: self.standing_era, revision: self.standing_at };
        KnownVersions { version: self.version, targets_at, standing_at }
    }
}

/// A notice of an agent to the entries about its rank.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RankNotice {
    /// The address of the rank's engine, as `ip:port`; the target list has the same.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// True while the rank's group takes requests.
    #[prost(bool, tag = "2")]
    pub open: bool,
    /// The id of the group; empty while the engine does not answer.
    #[prost(string, tag = "3")]
    pub group: String,
    /// Engine addresses of the group's ranks that answer nobody; only the group's coordinator names
    /// any.
    #[prost(string, repeated, tag = "4")]
    pub silent: Vec<String>,
    /// The time that the rank takes for its work, in percent of that of a rank of normal speed; 0 if
    /// that is not known.
    #[prost(uint32, tag = "5")]
    pub slowness_percent: u32,
}

/// The datagram of an entry to an agent beside a rank. Agents read it as a
/// [`RankMessage`](crate::ranks::messages::RankMessage), which has the same field.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgentDatagram {
    /// Tells the agent of the entry that sends the datagram.
    #[prost(message, optional, tag = "5")]
    pub introduction: Option<Introduction>,
}

/// An introduction tells an agent of an entry, at the address that the datagram comes from.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Introduction {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub name: String,
}

/// The load that an entry puts on one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// How many requests of one urgency for a service come to an entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct KindRate {
    /// The [`service_hash`] of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The urgency; 0 is the most urgent.
    #[prost(uint32, tag = "2")]
    pub urgency: u32,
    /// Requests in ten seconds, by the recent rate.
    #[prost(uint32, tag = "3")]
    pub per_10s: u32,
}

/// Returns the number that stands for a service's name in heartbeats, to keep them short.
pub fn service_hash(service: &str) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}

/// The address at which an entry receives heartbeats.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PeerAddr {
    /// The IPv4 address, its first byte in the highest bits.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// The UDP port of heartbeats; the same TCP port serves the cluster state.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}

impl PeerAddr {
    /// Encodes an address; `None` for one that is not IPv4.
    pub fn of(addr: SocketAddr) -> Option<Self> {
        match addr {
            SocketAddr::V4(addr) => {
                Some(Self { ip: addr.ip().to_bits(), port: u32::from(addr.port()) })
            }
            SocketAddr::V6(_) => None,
        }
    }

    /// Decodes the address; `None` if the port is out of range.
    pub fn addr(self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        Some(SocketAddrV4::new(Ipv4Addr::from_bits(self.ip), port).into())
    }
}

/// Returns a time as messages between entries state it.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
