//! The links that other processes dialled to this one.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::entry::links::SendFrame;
use crate::wire;
use crate::wire::frame::Kind;
use crate::wire::server;

struct Row {
    sender: server::FrameSender,
    /// The process and its link's serial, once it said hello.
    process: Option<(Arc<str>, u64)>,
    heard_at: Duration,
}

/// Accepted is the table of links that other processes dialled.
#[derive(Default)]
pub struct Accepted {
    rows: Map<server::LinkId, Row>,
}

impl Accepted {
    /// Adds a link and says hello on it.
    pub fn open(
        &mut self,
        link: server::LinkId,
        sender: server::FrameSender,
        now: Duration,
        hello: wire::Hello,
    ) {
        sender.post(Kind::Hello(hello));
        self.rows.insert(link, Row { sender, process: None, heard_at: now });
    }

    /// Returns what sends frames on a link.
    pub fn send_on(&self, link: server::LinkId) -> Option<SendFrame> {
        let sender = self.rows.get(&link)?.sender.clone();
        Some(Box::new(move |kind| sender.post(kind)))
    }

    /// Notes who is at the other end; without a serial the link is not used.
    pub fn name(&mut self, link: server::LinkId, process: Arc<str>, serial: Option<u64>) {
        if let Some(row) = self.rows.get_mut(&link) {
            row.process = serial.map(|serial| (process, serial));
        }
    }

    /// Notes that a frame came, and returns who sent it.
    pub fn heard(&mut self, link: server::LinkId, now: Duration) -> Option<Arc<str>> {
        let row = self.rows.get_mut(&link)?;
        row.heard_at = now;
        row.process.as_ref().map(|(process, _)| Arc::clone(process))
    }

    /// Removes a link, which closes it, and returns whose it was.
    pub fn close(&mut self, link: server::LinkId) -> Option<(Arc<str>, u64)> {
        self.rows.remove(&link)?.process
    }

    /// Returns the links on which nothing was heard since a time.
    pub fn silent_since(&self, time: Duration) -> Vec<server::LinkId> {
        let silent = self.rows.iter().filter(|(_, row)| row.heard_at < time);
        silent.map(|(link, _)| *link).collect()
    }
}
