//! The entry's share in what all processes must agree on: configuration, members, heartbeats.
//!
//! docs/CONFIGURATION.md sets out the rules; the cores are in [`crate::config`] and
//! [`crate::members`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Set;
use crate::config::{codec, progress, replica, state};
use crate::entry::config_source::ConfigSource;
use crate::entry::core::events::CrashReport;
use crate::entry::links::Links;
use crate::entry::{force, frames};
use crate::external::host_list::{Host, HostRole};
use crate::members::addresses::{self, Address, LocalEntry};
use crate::members::leaving::Leaving;
use crate::members::table::{self, Listed, Role, Status, Table};
use crate::settings::entry::Peer;
use crate::wire;
use crate::wire::frame::Kind;

/// Membership is what one entry knows of all processes, and what it tells them.
pub struct Membership {
    own: wire::Member,
    replica: replica::Replica,
    progress: progress::Progress,
    table: Table,
    source: ConfigSource,
    board: force::Board,
    leaving: Option<Leaving>,
    /// Entries that the settings name.
    settings_peers: Vec<Peer>,
    /// Entries that the settings or the host list name, without this one.
    peers: Vec<Peer>,
    /// Other data centres that were ever named.
    data_centres: Set<String>,
    /// Requests in flight here.
    load: u32,
}

/// Parts is what a membership is made of.
pub struct Parts {
    /// This entry.
    pub own: wire::Member,
    /// The replica of the configuration.
    pub replica: replica::Replica,
    /// The times of the table of entries.
    pub timing: table::Timing,
    /// Carries out calls to the key-value service.
    pub source: ConfigSource,
    /// What operators are told.
    pub board: force::Board,
    /// Other entries that the settings name.
    pub peers: Vec<Peer>,
}

impl Membership {
    /// Returns a membership that has heard nobody.
    pub fn new(parts: Parts) -> Self {
        let Parts { own, replica, timing, source, board, peers } = parts;
        let mut table = Table::new(timing);
        table.set_settings(&listed(&peers));
        let mut membership = Self {
            own,
            replica,
            progress: progress::Progress::default(),
            table,
            source,
            board,
            leaving: None,
            settings_peers: peers.clone(),
            peers,
            data_centres: Set::default(),
            load: 0,
        };
        membership.expect_data_centres();
        membership
    }

    /// Returns the state in force here.
    pub fn state(&self) -> &Arc<state::State> {
        self.replica.state()
    }

    /// Returns this entry.
    pub fn own(&self) -> &wire::Member {
        &self.own
    }

    /// Takes the host list, which adds entries to those of the settings and ends nobody: an entry
    /// that it no longer names is kept for as long as it is heard.
    pub fn set_host_list(&mut self, hosts: &[Host], now: Duration) {
        let listed_peers: Vec<Peer> = hosts.iter().filter_map(listed_peer).collect();
        self.table.set_host_list(&listed(&listed_peers));
        let heard = self.peers.iter().filter(|peer| self.is_heard(&peer.name, now));
        let mut names: Set<String> = Set::default();
        names.insert(self.own.name.clone());
        let candidates = self.settings_peers.iter().chain(&listed_peers).chain(heard);
        self.peers = candidates.filter(|peer| names.insert(peer.name.clone())).cloned().collect();
        self.expect_data_centres();
    }

    /// A data centre that was once named may serve on while it is cut off, so none is forgotten.
    fn expect_data_centres(&mut self) {
        let named = self.peers.iter().map(|peer| peer.data_centre.clone());
        self.data_centres.extend(named.filter(|name| *name != self.own.data_centre));
        self.progress.set_data_centres(self.data_centres.iter().map(String::as_str));
    }

    fn is_heard(&self, entry: &str, now: Duration) -> bool {
        let status = self.table.status(entry, now);
        matches!(status, Some(Status::Live | Status::Leaving | Status::Suspect))
    }

    /// Returns the entries that the settings or the host list name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns until when new work may be taken, as far as is known now.
    pub fn may_serve_until(&self, now: Duration) -> Duration {
        let freshness = self.replica.options().timing.freshness;
        self.replica.confirmed_at(now).map_or(Duration::ZERO, |at| at + freshness)
    }

    /// Sets the agents of which word is expected.
    pub fn expect_agents<'a>(&mut self, targets: impl Iterator<Item = &'a str>) {
        let names: Vec<Arc<str>> =
            targets.map(|name| codec::process_name(wire::Role::Agent, name)).collect();
        self.progress.set_expected_processes(names.iter().map(|name| &**name));
    }

    /// Takes a heartbeat; returns whether a newer configuration is in force here.
    pub fn hear(
        &mut self,
        member: &wire::Member,
        heartbeat: &wire::Heartbeat,
        links: &Links,
        now: Duration,
    ) -> bool {
        let heard = codec::decode_heartbeat(member, heartbeat, &self.own.data_centre);
        let peer = Arc::clone(&heard.peer);
        let moved = self.handle(replica::Event::Heartbeat(heard), links, now);
        if member.role() == wire::Role::Entry {
            self.hear_entry(member, heartbeat, &peer);
        }
        for summary in &heartbeat.regions {
            self.progress.record_summary(summary, now);
        }
        moved
    }

    fn hear_entry(&mut self, member: &wire::Member, heartbeat: &wire::Heartbeat, peer: &str) {
        let peer = self.replica.peers().get(peer);
        self.table.record_heartbeat(&table::Heartbeat {
            name: &member.name,
            incarnation: member.incarnation,
            role: Role::Entry,
            data_centre: &member.data_centre,
            region: &member.region,
            address: &member.address,
            leaving: heartbeat.draining,
            load: heartbeat.load.map_or(0, |load| load.running),
            sent_after: peer.and_then(|peer| peer.sent_after),
        });
    }

    /// Takes the end of the link to another entry.
    pub fn disconnected(&mut self, entry: &str) {
        self.table.disconnected(entry);
    }

    /// Hands an event to the replica; returns whether a newer configuration is in force here.
    pub fn handle(&mut self, event: replica::Event, links: &Links, now: Duration) -> bool {
        let mut effects = Vec::new();
        self.replica.handle(event, now, &mut effects);
        self.follow(effects, links)
    }

    /// Does what time calls for; returns whether a newer configuration is in force here.
    pub fn tick(&mut self, links: &Links, now: Duration) -> bool {
        let own_data_centre = self.own.data_centre.clone();
        let voters: Vec<Arc<str>> = self
            .table
            .names(&own_data_centre, Role::Entry, now)
            .map(|name| codec::process_name(wire::Role::Entry, name))
            .collect();
        self.replica.set_voters(voters.iter().map(|name| &**name), now);
        let mut effects = Vec::new();
        self.replica.tick(now, &mut effects);
        let moved = self.follow(effects, links);
        self.table.tick(now);
        self.progress.tick(&self.replica, now);
        self.board.follow(&self.progress, &self.replica, now);
        moved
    }

    /// Sends a heartbeat on every link.
    pub fn beat(&mut self, load: u32, crashes: &[CrashReport], links: &Links, now: Duration) {
        let fingerprints = frames::fingerprints(crashes);
        self.load = load;
        let beat = self.replica.next_heartbeat(now);
        let regions = self.progress.summaries(&self.replica, now);
        for (process, link) in links.iter() {
            let to_entry = link.member.role() == wire::Role::Entry;
            let mut heartbeat = wire::Heartbeat {
                draining: self.leaving.is_some(),
                load: to_entry.then(|| wire::Load { running: load, ..wire::Load::default() }),
                fingerprints: fingerprints.clone(),
                regions: if to_entry { regions.clone() } else { Vec::new() },
                ..wire::Heartbeat::default()
            };
            codec::fill_heartbeat(&mut heartbeat, &beat, self.replica.peers().echo(process));
            links.send(process, Kind::Heartbeat(heartbeat));
        }
    }

    /// Begins a planned stop; returns how long callers may still come.
    pub fn leave(&mut self, keep: Duration, now: Duration) -> Duration {
        let leaving = Leaving::begin(now, keep, self.table.timing());
        self.leaving = Some(leaving);
        leaving.serve_until.saturating_sub(now)
    }

    /// Returns the addresses for a caller.
    pub fn addresses(&self, caller: u64, keep: Duration, now: Duration) -> Vec<Address> {
        let own = LocalEntry {
            name: &self.own.name,
            data_centre: &self.own.data_centre,
            region: &self.own.region,
            address: &self.own.address,
            load: self.load,
            leaving: self.leaving.is_some(),
        };
        addresses::choose(&own, &self.table, caller, keep, now)
    }

    /// Carries out what the replica asks for; returns whether a newer state is in force here.
    fn follow(&mut self, effects: Vec<replica::Effect>, links: &Links) -> bool {
        let mut moved = false;
        for effect in effects {
            match effect {
                replica::Effect::Store(call) => self.source.call(call),
                replica::Effect::RequestFrom(peer, have_revision) => {
                    links.send(&peer, Kind::ConfigRequest(wire::ConfigRequest { have_revision }));
                }
                replica::Effect::AnswerPeer(peer, state) => {
                    links.send(&peer, Kind::ConfigState(state));
                }
                replica::Effect::StateChanged(_) => moved = true,
            }
        }
        if moved {
            self.board.moved(self.replica.state());
        }
        moved
    }
}

/// Returns an entry that the host list names. Its address is where other entries connect; where
/// callers connect it says itself.
fn listed_peer(host: &Host) -> Option<Peer> {
    let link = host.address.parse().ok().filter(|_| host.role == HostRole::Entry)?;
    let (name, data_centre) = (host.name.clone(), host.data_centre.clone());
    Some(Peer { name, data_centre, address: link, link })
}

/// A listed address reaches no caller: only a heartbeat makes a member live.
fn listed<'a>(peers: &'a [Peer]) -> Vec<Listed<'a>> {
    let line = |Peer { name, data_centre, .. }: &'a Peer| -> Listed<'a> {
        Listed { name, role: Role::Entry, data_centre, address: "" }
    };
    peers.iter().map(line).collect()
}

/// Returns the caller's hash, by which answers differ between callers.
pub fn caller_hash(caller: Option<SocketAddr>) -> u64 {
    let text = caller.map(|address| address.ip().to_string()).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
