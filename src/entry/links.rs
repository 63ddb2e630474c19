//! Which processes an entry links to, and the links that are open.

use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::collections::{Map, Set};
use crate::config::view;
use crate::settings::entry::Peer;
use crate::wire;
use crate::wire::frame::Kind;

/// Targets up to which an entry links to all of them; beyond, only to its own data centre's and to
/// those of services that its data centre lacks.
const LINK_ALL_LIMIT: usize = 400;

/// Returns the targets whose agents an entry in `data_centre` links to.
pub fn targets_to_link<'a>(view: &'a view::View, data_centre: &str) -> Vec<&'a view::Target> {
    let all = view.targets();
    if all.len() <= LINK_ALL_LIMIT {
        return all.iter().collect();
    }
    let near = |target: &&view::Target| target.spec.data_centre == data_centre;
    let near_services: Set<view::ServiceId> =
        all.iter().filter(near).map(|target| target.service).collect();
    all.iter().filter(|target| near(target) || !near_services.contains(&target.service)).collect()
}

/// Entries of another data centre that an entry dials.
const FAR_PEERS: usize = 2;

/// Returns the other entries that this one dials. The lower name dials within a data centre, and
/// the lower data centre between two of them, so that no pair has two links.
pub fn peers_to_dial<'a>(
    own_name: &str,
    own_data_centre: &str,
    peers: &'a [Peer],
) -> Vec<&'a Peer> {
    let near = |peer: &&Peer| peer.data_centre == own_data_centre && peer.name.as_str() > own_name;
    let mut dialled: Vec<&Peer> = peers.iter().filter(near).collect();
    let far: Set<&str> = peers.iter().map(|peer| peer.data_centre.as_str()).collect();
    for data_centre in far.into_iter().filter(|name| *name > own_data_centre) {
        let mut there: Vec<&Peer> =
            peers.iter().filter(|peer| peer.data_centre == data_centre).collect();
        there.sort_by_key(|peer| xxh3::xxh3_64(format!("{own_name} {}", peer.name).as_bytes()));
        dialled.extend(there.into_iter().take(FAR_PEERS));
    }
    dialled
}

/// Sends a frame on one link; a link that is gone drops it.
pub type SendFrame = Box<dyn Fn(Kind)>;

/// Link is one open link.
pub struct Link {
    /// The process at its other end.
    pub member: wire::Member,
    /// Tells this link from an earlier one to the same process.
    pub serial: u64,
    send: SendFrame,
}

/// Links is the table of open links by process name.
#[derive(Default)]
pub struct Links {
    rows: Map<Arc<str>, Link>,
    next_serial: u64,
}

impl Links {
    /// Adds a link, in place of an earlier one to the same process, and returns its serial.
    pub fn up(&mut self, process: Arc<str>, member: wire::Member, send: SendFrame) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.rows.insert(process, Link { member, serial, send });
        serial
    }

    /// Removes a link unless a later one took its place; returns whether it was there.
    pub fn down(&mut self, process: &str, serial: u64) -> bool {
        let present = self.rows.get(process).is_some_and(|link| link.serial == serial);
        if present {
            self.rows.remove(process);
        }
        present
    }

    /// Sends a frame to a process.
    pub fn send(&self, process: &str, kind: Kind) {
        if let Some(link) = self.rows.get(process) {
            (link.send)(kind);
        }
    }

    /// Returns who is at the other end of a link.
    pub fn member(&self, process: &str) -> Option<&wire::Member> {
        self.rows.get(process).map(|link| &link.member)
    }

    /// Returns the open links.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Link)> {
        self.rows.iter()
    }
}
