//! Asks the entry that hands out a target's permits, and replies to entries that ask this one.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time;

use crate::collections::Map;
use crate::direct::entry::Entry;
use crate::direct::heartbeat::Heartbeat;
use crate::direct::rate_limits::Grant;

/// Time for a reply. Entries of a region reply within a few milliseconds; a request waits meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// A request of one entry for permits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitRequest {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The target's rate in requests per second, as the sender knows it.
    #[prost(double, tag = "2")]
    pub per_s: f64,
    /// A number that the reply repeats.
    #[prost(uint64, tag = "3")]
    pub id: u64,
}

/// The reply to a [`PermitRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PermitReply {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The number of permits; 0 if none is available yet.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Microseconds until the next permit, if there is none.
    #[prost(uint64, tag = "3")]
    pub after_us: u64,
}

impl PermitReply {
    fn new(id: u64, grant: Grant) -> Self {
        let (count, after) = match grant {
            Grant::Permits(count) => (count, Duration::ZERO),
            Grant::Denied(after) => (0, after),
            Grant::NoReply => (0, Duration::ZERO),
        };
        let after_us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
        Self { id, count, after_us }
    }

    fn grant(self) -> Grant {
        match self.count {
            0 => Grant::Denied(Duration::from_micros(self.after_us).min(MAX_DELAY)),
            count => Grant::Permits(count),
        }
    }
}

/// The longest time that a reply may state.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// The requests for permits that this entry waits for.
#[derive(Default)]
pub struct Permits {
    socket: OnceCell<Rc<UdpSocket>>,
    next_id: Cell<u64>,
    waiting: RefCell<Map<u64, oneshot::Sender<Grant>>>,
}

impl Permits {
    /// Sets the socket that requests are sent from.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // Only the daemon sets it, once.
        drop(self.socket.set(socket));
    }

    /// Handles a reply; one that comes too late is dropped.
    pub fn receive(&self, reply: PermitReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.id) {
            // Nothing waits any more if the request was given up.
            let _abandoned = waiting.send(reply.grant());
        }
    }

    /// Asks an entry and waits for its reply.
    async fn ask(&self, name: &str, owner: SocketAddr, target: &str, per_s: f64) -> Grant {
        let Some(socket) = self.socket.get() else { return Grant::NoReply };
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        let request = PermitRequest { target: target.to_owned(), per_s, id };
        let message = Heartbeat {
            name: name.to_owned(),
            permit_request: Some(request),
            ..Heartbeat::default()
        };
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tx);
        // A datagram that cannot be sent counts as lost.
        let _lost = socket.try_send_to(&message.encode_to_vec(), owner);
        let reply = time::timeout(REPLY_TIMEOUT, rx).await;
        self.waiting.borrow_mut().remove(&id);
        reply.ok().and_then(Result::ok).unwrap_or(Grant::NoReply)
    }
}

/// Ends an inquiry for which nothing waits any more.
struct Inquiry<'a> {
    entry: &'a Entry,
    target: &'a str,
    grant: Grant,
}

impl Drop for Inquiry<'_> {
    fn drop(&mut self) {
        let now = self.entry.now();
        self.entry.targets.borrow_mut().limits.end_asking(self.target, self.grant, now);
        self.entry.metrics.permits(self.grant);
        self.entry.slots_changed.notify_one();
    }
}

/// Asks for permits for a target, at the entry that hands them out.
pub async fn acquire(entry: &Entry, target: &str) {
    let Some(per_s) = entry.targets.borrow().limits.rate(target) else { return };
    entry.targets.borrow_mut().limits.begin_asking(target);
    let mut inquiry = Inquiry { entry, target, grant: Grant::NoReply };
    inquiry.grant = match entry.permit_owner(target) {
        None => entry.grant_permits(target, per_s),
        Some(owner) => entry.permits.ask(&entry.options.name, owner, target, per_s).await,
    };
}

/// Returns the reply to an entry that asks for permits, as a datagram.
pub fn reply(entry: &Entry, request: &PermitRequest) -> Vec<u8> {
    let grant = entry.grant_permits(&request.target, request.per_s);
    let message = Heartbeat {
        name: entry.options.name.clone(),
        permit_reply: Some(PermitReply::new(request.id, grant)),
        ..Heartbeat::default()
    };
    message.encode_to_vec()
}
