//! The links that other processes opened to this one.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::entry::links::SendFrame;
use crate::wire;
use crate::wire::frame::Kind;
use crate::wire::server;

struct AcceptedLink {
    sender: server::FrameSender,
    /// The name of the process and the serial of the link in [`crate::entry::links::Links`]; `None`
    /// until a valid hello arrives.
    process: Option<(Arc<str>, u64)>,
    last_received: Duration,
}

/// The table of links that other processes opened, with or without a hello.
#[derive(Default)]
pub struct AcceptedLinks {
    links: Map<server::LinkId, AcceptedLink>,
}

impl AcceptedLinks {
    /// Adds a link and sends a hello on it.
    pub fn open(
        &mut self,
        link: server::LinkId,
        sender: server::FrameSender,
        now: Duration,
        hello: wire::Hello,
    ) {
        sender.post(Kind::Hello(hello));
        self.links.insert(link, AcceptedLink { sender, process: None, last_received: now });
    }

    /// Returns a function that sends frames on a link.
    pub fn sender(&self, link: server::LinkId) -> Option<SendFrame> {
        let sender = self.links.get(&link)?.sender.clone();
        Some(Box::new(move |kind| sender.post(kind)))
    }

    /// Records the process at the other end; without a serial the link is not used.
    pub fn identify(&mut self, link: server::LinkId, process: Arc<str>, serial: Option<u64>) {
        if let Some(accepted) = self.links.get_mut(&link) {
            accepted.process = serial.map(|serial| (process, serial));
        }
    }

    /// Records that a frame arrived, and returns the process that sent it.
    pub fn record_frame(&mut self, link: server::LinkId, now: Duration) -> Option<Arc<str>> {
        let accepted = self.links.get_mut(&link)?;
        accepted.last_received = now;
        accepted.process.as_ref().map(|(process, _)| Arc::clone(process))
    }

    /// Removes and closes a link, and returns the process at the other end with the link's serial.
    pub fn close(&mut self, link: server::LinkId) -> Option<(Arc<str>, u64)> {
        self.links.remove(&link)?.process
    }

    /// Returns the links on which no frame has arrived since `time`.
    pub fn silent_since(&self, time: Duration) -> Vec<server::LinkId> {
        let silent = self.links.iter().filter(|(_, accepted)| accepted.last_received < time);
        silent.map(|(link, _)| *link).collect()
    }
}
