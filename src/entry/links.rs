//! Chooses the processes to which an entry opens links, and holds the table of open links.

use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::collections::{Map, Set};
use crate::config::view;
use crate::settings::entry::Peer;
use crate::wire;
use crate::wire::frame::Kind;

/// The number of targets up to which an entry links to the agents of all of them. With more, it
/// links only to those in its own data centre and to those of services without a target there.
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

/// The number of entries in each other data centre that an entry dials.
const MAX_DIALLED_PER_DATA_CENTRE: usize = 2;

/// Returns the other entries that this one dials. Within a data centre, the entry with the lower
/// name dials; between two data centres, the entries of the one with the lower name dial. So no
/// pair of entries opens two links.
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
        dialled.extend(there.into_iter().take(MAX_DIALLED_PER_DATA_CENTRE));
    }
    dialled
}

/// Sends a frame on a link; the frame is dropped if the link is closed.
pub type SendFrame = Box<dyn Fn(Kind)>;

/// An open link.
pub struct Link {
    /// The process at the other end.
    pub member: wire::Member,
    /// Distinguishes this link from earlier ones to the same process.
    pub serial: u64,
    send: SendFrame,
}

/// The table of open links, by process name.
#[derive(Default)]
pub struct Links {
    by_process: Map<Arc<str>, Link>,
    next_serial: u64,
}

impl Links {
    /// Adds a link, replacing an earlier one to the same process, and returns its serial.
    pub fn insert(&mut self, process: Arc<str>, member: wire::Member, send: SendFrame) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.by_process.insert(process, Link { member, serial, send });
        serial
    }

    /// Removes a link and returns true, unless a later one has replaced it.
    pub fn remove(&mut self, process: &str, serial: u64) -> bool {
        let present = self.by_process.get(process).is_some_and(|link| link.serial == serial);
        if present {
            self.by_process.remove(process);
        }
        present
    }

    /// Sends a frame to a process, or drops it if there is no link.
    pub fn send(&self, process: &str, kind: Kind) {
        if let Some(link) = self.by_process.get(process) {
            (link.send)(kind);
        }
    }

    /// Returns the process at the other end of a link.
    pub fn member(&self, process: &str) -> Option<&wire::Member> {
        self.by_process.get(process).map(|link| &link.member)
    }

    /// Returns the open links.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Link)> {
        self.by_process.iter()
    }
}
