//! The table of the agent's connections with entries.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::codec;
use crate::wire;
use crate::wire::frame;
use crate::wire::server;

struct Link {
    sender: server::FrameSender,
    member: Option<wire::Member>,
    /// Bytes of an answer that may be sent ahead of what the entry has taken; 0 for no limit.
    answer_window: u64,
    last_received: Duration,
}

/// Links is the table of open connections.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<server::LinkId, Link>,
}

impl Links {
    /// Adds a connection.
    pub fn open(&mut self, link: server::LinkId, sender: server::FrameSender, now: Duration) {
        self.links
            .insert(link, Link { sender, member: None, answer_window: 0, last_received: now });
    }

    /// Removes a connection, which closes it. Returns true if it was open.
    pub fn close(&mut self, link: server::LinkId) -> bool {
        self.links.remove(&link).is_some()
    }

    /// Records that a frame was received.
    pub fn record_received(&mut self, link: server::LinkId, now: Duration) {
        if let Some(row) = self.links.get_mut(&link) {
            row.last_received = now;
        }
    }

    /// Sets the identity of the entry at the other end, and the bytes of an answer that it takes ahead.
    pub fn set_member(&mut self, link: server::LinkId, member: wire::Member, answer_window: u64) {
        if let Some(row) = self.links.get_mut(&link) {
            (row.member, row.answer_window) = (Some(member), answer_window);
        }
    }

    /// Returns the entry's name, or `unknown` before its hello.
    pub fn peer_name(&self, link: server::LinkId) -> &str {
        let member = self.links.get(&link).and_then(|row| row.member.as_ref());
        member.map_or("unknown", |member| &member.name)
    }

    /// Returns the entry's identity, or `None` before its hello.
    pub fn member(&self, link: server::LinkId) -> Option<&wire::Member> {
        self.links.get(&link)?.member.as_ref()
    }

    /// Sends a frame to the named process on its latest connection, if it has one.
    pub fn send_to(&self, process: &str, kind: frame::Kind) {
        let is_process = |member: &wire::Member| *codec::name_of(member) == *process;
        let mut links = self.links.iter().rev();
        let link = links.find(|(_, row)| row.member.as_ref().is_some_and(is_process));
        if let Some((link, _)) = link {
            self.send(*link, kind);
        }
    }

    /// Returns the connections on which no frame has been received since the given time.
    pub fn silent_since(&self, time: Duration) -> Vec<server::LinkId> {
        let silent = self.links.iter().filter(|(_, row)| row.last_received < time);
        silent.map(|(link, _)| *link).collect()
    }

    /// Returns the sender of a connection, if it is open.
    pub fn sender(&self, link: server::LinkId) -> Option<server::FrameSender> {
        self.links.get(&link).map(|row| row.sender.clone())
    }

    /// Returns the bytes of an answer that may be sent on a connection ahead of what the entry has
    /// taken; 0 for no limit.
    pub fn answer_window(&self, link: server::LinkId) -> u64 {
        self.links.get(&link).map_or(0, |row| row.answer_window)
    }

    /// Sends a frame on a connection, if it is open.
    pub fn send(&self, link: server::LinkId, kind: frame::Kind) {
        if let Some(row) = self.links.get(&link) {
            row.sender.post(kind);
        }
    }

    /// Returns the ids of the open connections, oldest first.
    pub fn ids(&self) -> Vec<server::LinkId> {
        self.links.keys().copied().collect()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
