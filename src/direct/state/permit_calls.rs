//! The requests for permits that an entry has sent to others.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time;

use crate::collections::Map;
use crate::direct::decisions::rate_limits::Rate;
use crate::direct::known::heartbeat::Heartbeat;
use crate::direct::known::permit::{Grant, PermitReply, PermitRequest};

/// Time for a reply. Entries of a region reply within a few milliseconds; a request waits meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

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
    pub async fn ask(&self, name: &str, owner: SocketAddr, target: &str, rate: Rate) -> Grant {
        let Some(socket) = self.socket.get() else { return Grant::NoReply };
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        let Rate { per_s, cold } = rate;
        let request = PermitRequest { target: target.to_owned(), per_s, id, cold };
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
