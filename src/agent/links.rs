//! The agent's connections with entries.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::codec;
use crate::wire;
use crate::wire::frame;
use crate::wire::server;

struct Link {
    sender: server::FrameSender,
    member: Option<wire::Member>,
    heard_at: Duration,
}

/// Links is the table of open connections.
#[derive(Default)]
pub struct Links {
    rows: BTreeMap<server::LinkId, Link>,
}

impl Links {
    /// Adds a connection.
    pub fn open(&mut self, link: server::LinkId, sender: server::FrameSender, now: Duration) {
        self.rows.insert(link, Link { sender, member: None, heard_at: now });
    }

    /// Removes a connection, which closes it, and returns whether it was there.
    pub fn close(&mut self, link: server::LinkId) -> bool {
        self.rows.remove(&link).is_some()
    }

    /// Notes that a frame came.
    pub fn heard(&mut self, link: server::LinkId, now: Duration) {
        if let Some(row) = self.rows.get_mut(&link) {
            row.heard_at = now;
        }
    }

    /// Notes who the peer is.
    pub fn name(&mut self, link: server::LinkId, member: wire::Member) {
        if let Some(row) = self.rows.get_mut(&link) {
            row.member = Some(member);
        }
    }

    /// Returns the peer's name, or `unknown` before its hello.
    pub fn peer(&self, link: server::LinkId) -> &str {
        let member = self.rows.get(&link).and_then(|row| row.member.as_ref());
        member.map_or("unknown", |member| &member.name)
    }

    /// Returns who the peer is, once it said hello.
    pub fn member(&self, link: server::LinkId) -> Option<&wire::Member> {
        self.rows.get(&link)?.member.as_ref()
    }

    /// Sends a frame to a process on its latest connection.
    pub fn send_to(&self, process: &str, kind: frame::Kind) {
        let is_theirs = |member: &wire::Member| *codec::name_of(member) == *process;
        let mut links = self.rows.iter().rev();
        let link = links.find(|(_, row)| row.member.as_ref().is_some_and(is_theirs));
        if let Some((link, _)) = link {
            self.send(*link, kind);
        }
    }

    /// Returns the connections that have been silent since before the given time.
    pub fn silent_since(&self, before: Duration) -> Vec<server::LinkId> {
        let silent = self.rows.iter().filter(|(_, row)| row.heard_at < before);
        silent.map(|(link, _)| *link).collect()
    }

    /// Returns the sender of a connection.
    pub fn sender(&self, link: server::LinkId) -> Option<server::FrameSender> {
        self.rows.get(&link).map(|row| row.sender.clone())
    }

    /// Sends a frame.
    pub fn send(&self, link: server::LinkId, kind: frame::Kind) {
        if let Some(row) = self.rows.get(&link) {
            row.sender.post(kind);
        }
    }

    /// Returns the open connections.
    pub fn ids(&self) -> Vec<server::LinkId> {
        self.rows.keys().copied().collect()
    }

    /// Returns how many connections are open.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true where no connection is open.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
