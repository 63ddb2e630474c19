//! The entry's part in the protocols between processes: configuration, members and heartbeats.
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
use crate::entry::{frames, rollout};
use crate::external::host_list::{Host, HostRole};
use crate::members::addresses::{self, Address, LocalEntry};
use crate::members::leaving::Leaving;
use crate::members::table::{self, Listed, Role, Status, Table};
use crate::settings::entry::Peer;
use crate::wire;
use crate::wire::frame::Kind;

/// The entry's knowledge of all processes, and the heartbeats that it sends them.
pub struct Membership {
    local_member: wire::Member,
    replica: replica::Replica,
    progress: progress::Progress,
    table: Table,
    source: ConfigSource,
    rollout: rollout::RolloutTracker,
    leaving: Option<Leaving>,
    /// Other entries that the settings list.
    settings_peers: Vec<Peer>,
    /// Other entries that the settings or the host list contain, and those removed from the host
    /// list that still send heartbeats.
    peers: Vec<Peer>,
    /// Other data centres that were ever listed.
    other_data_centres: Set<String>,
    /// Open requests at this entry, as of the last heartbeat.
    load: u32,
}

/// The components of a membership.
pub struct Parts {
    /// The description of this entry.
    pub local_member: wire::Member,
    /// The replica of the configuration.
    pub replica: replica::Replica,
    /// The timing of the table of entries.
    pub timing: table::Timing,
    /// Performs calls to the key-value service.
    pub source: ConfigSource,
    /// The rollout status that operators are shown.
    pub rollout: rollout::RolloutTracker,
    /// Other entries that the settings list.
    pub peers: Vec<Peer>,
}

impl Membership {
    /// Returns a membership that has received no heartbeat.
    pub fn new(parts: Parts) -> Self {
        let Parts { local_member, replica, timing, source, rollout, peers } = parts;
        let mut table = Table::new(timing);
        table.set_settings(&listed_members(&peers));
        let mut membership = Self {
            local_member,
            replica,
            progress: progress::Progress::default(),
            table,
            source,
            rollout,
            leaving: None,
            settings_peers: peers.clone(),
            peers,
            other_data_centres: Set::default(),
            load: 0,
        };
        membership.expect_data_centres();
        membership
    }

    /// Returns the configuration state in force at this entry.
    pub fn state(&self) -> &Arc<state::State> {
        self.replica.state()
    }

    /// Returns the description of this entry.
    pub fn local_member(&self) -> &wire::Member {
        &self.local_member
    }

    /// Applies the host list, which only adds entries to those of the settings: an entry that it no
    /// longer contains is kept while heartbeats arrive from it.
    pub fn set_host_list(&mut self, hosts: &[Host], now: Duration) {
        let listed_peers: Vec<Peer> = hosts.iter().filter_map(listed_peer).collect();
        self.table.set_host_list(&listed_members(&listed_peers));
        let present = self.peers.iter().filter(|peer| self.is_present(&peer.name, now));
        let mut names: Set<String> = Set::default();
        names.insert(self.local_member.name.clone());
        let candidates = self.settings_peers.iter().chain(&listed_peers).chain(present);
        self.peers = candidates.filter(|peer| names.insert(peer.name.clone())).cloned().collect();
        self.expect_data_centres();
    }

    /// Adds the data centres of the peers to those whose progress is expected. A data centre may go
    /// on serving while it is disconnected, so none is ever removed.
    fn expect_data_centres(&mut self) {
        let listed = self.peers.iter().map(|peer| peer.data_centre.clone());
        self.other_data_centres
            .extend(listed.filter(|name| *name != self.local_member.data_centre));
        self.progress.set_data_centres(self.other_data_centres.iter().map(String::as_str));
    }

    fn is_present(&self, entry: &str, now: Duration) -> bool {
        let status = self.table.status(entry, now);
        matches!(status, Some(Status::Live | Status::Leaving | Status::Suspect))
    }

    /// Returns the other entries that the settings or the host list contain, and those removed from
    /// the host list that still send heartbeats.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns until when requests may be accepted: the time at which the configuration was last
    /// confirmed as current, plus the freshness limit.
    pub fn may_serve_until(&self, now: Duration) -> Duration {
        let freshness = self.replica.options().timing.freshness;
        self.replica.confirmed_at(now).map_or(Duration::ZERO, |at| at + freshness)
    }

    /// Sets the agents whose progress with the configuration is expected, by their targets.
    pub fn expect_agents<'a>(&mut self, targets: impl Iterator<Item = &'a str>) {
        let names: Vec<Arc<str>> =
            targets.map(|name| codec::process_name(wire::Role::Agent, name)).collect();
        self.progress.set_expected_processes(names.iter().map(|name| &**name));
    }

    /// Processes a heartbeat. Returns true if a newer configuration came into force at this entry.
    pub fn receive_heartbeat(
        &mut self,
        member: &wire::Member,
        heartbeat: &wire::Heartbeat,
        links: &Links,
        now: Duration,
    ) -> bool {
        let received = codec::decode_heartbeat(member, heartbeat, &self.local_member.data_centre);
        let peer = Arc::clone(&received.peer);
        let changed = self.handle(replica::Event::Heartbeat(received), links, now);
        if member.role() == wire::Role::Entry {
            self.update_entry(member, heartbeat, &peer);
        }
        for summary in &heartbeat.regions {
            self.progress.record_summary(summary, now);
        }
        changed
    }

    fn update_entry(&mut self, member: &wire::Member, heartbeat: &wire::Heartbeat, peer: &str) {
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

    /// Records that the link to another entry was closed.
    pub fn disconnected(&mut self, entry: &str) {
        self.table.disconnected(entry);
    }

    /// Passes an event to the replica. Returns true if a newer configuration came into force at
    /// this entry.
    pub fn handle(&mut self, event: replica::Event, links: &Links, now: Duration) -> bool {
        let mut effects = Vec::new();
        self.replica.handle(event, now, &mut effects);
        self.carry_out(effects, links)
    }

    /// Runs the timers of the replica, the member table and the rollout status. Returns true if a
    /// newer configuration came into force at this entry.
    pub fn tick(&mut self, links: &Links, now: Duration) -> bool {
        let own_data_centre = self.local_member.data_centre.clone();
        let voters: Vec<Arc<str>> = self
            .table
            .names(&own_data_centre, Role::Entry, now)
            .map(|name| codec::process_name(wire::Role::Entry, name))
            .collect();
        self.replica.set_voters(voters.iter().map(|name| &**name), now);
        let mut effects = Vec::new();
        self.replica.tick(now, &mut effects);
        let changed = self.carry_out(effects, links);
        self.table.tick(now);
        self.progress.tick(&self.replica, now);
        self.rollout.update(&self.progress, &self.replica, now);
        changed
    }

    /// Sends a heartbeat on every link.
    pub fn send_heartbeats(
        &mut self,
        load: u32,
        crashes: &[CrashReport],
        links: &Links,
        now: Duration,
    ) {
        let fingerprints = frames::fingerprints(crashes);
        self.load = load;
        let local = self.replica.next_heartbeat(now);
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
            codec::fill_heartbeat(&mut heartbeat, &local, self.replica.peers().echo(process));
            links.send(process, Kind::Heartbeat(heartbeat));
        }
    }

    /// Begins a planned stop. Returns how long callers may still use this entry's address.
    pub fn leave(&mut self, keep: Duration, now: Duration) -> Duration {
        let leaving = Leaving::begin(now, keep, self.table.timing());
        self.leaving = Some(leaving);
        leaving.serve_until.saturating_sub(now)
    }

    /// Returns the addresses of entries for a caller, who may keep them for `keep` at most.
    pub fn addresses(&self, caller: u64, keep: Duration, now: Duration) -> Vec<Address> {
        let local = LocalEntry {
            name: &self.local_member.name,
            data_centre: &self.local_member.data_centre,
            region: &self.local_member.region,
            address: &self.local_member.address,
            load: self.load,
            leaving: self.leaving.is_some(),
        };
        addresses::choose(&local, &self.table, caller, keep, now)
    }

    /// Carries out the effects of the replica. Returns true if a newer configuration came into
    /// force at this entry.
    fn carry_out(&mut self, effects: Vec<replica::Effect>, links: &Links) -> bool {
        let mut changed = false;
        for effect in effects {
            match effect {
                replica::Effect::Store(call) => self.source.call(call),
                replica::Effect::RequestFrom(peer, have_revision) => {
                    links.send(&peer, Kind::ConfigRequest(wire::ConfigRequest { have_revision }));
                }
                replica::Effect::AnswerPeer(peer, state) => {
                    links.send(&peer, Kind::ConfigState(state));
                }
                replica::Effect::StateChanged(_) => changed = true,
            }
        }
        if changed {
            self.rollout.set_state(self.replica.state());
        }
        changed
    }
}

/// Converts a host to a peer; `None` if it is not an entry or its address is invalid. The address
/// is the one for links between entries; an entry reports its address for callers in its hello.
fn listed_peer(host: &Host) -> Option<Peer> {
    let link = host.address.parse().ok().filter(|_| host.role == HostRole::Entry)?;
    let (name, data_centre) = (host.name.clone(), host.data_centre.clone());
    Some(Peer { name, data_centre, address: link, link })
}

/// Converts peers for the member table. They get no address, since callers are only given the
/// addresses of members that send heartbeats.
fn listed_members<'a>(peers: &'a [Peer]) -> Vec<Listed<'a>> {
    let member = |Peer { name, data_centre, .. }: &'a Peer| -> Listed<'a> {
        Listed { name, role: Role::Entry, data_centre, address: "" }
    };
    peers.iter().map(member).collect()
}

/// Returns a hash of the caller's IP address, by which the chosen addresses differ between callers.
pub fn caller_hash(caller: Option<SocketAddr>) -> u64 {
    let text = caller.map(|address| address.ip().to_string()).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
