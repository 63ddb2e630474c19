//! The messages that the entry's actor handles.

use std::sync::Arc;
use std::time::Duration;

use actix::{Context, Handler, Message, MessageResult};

use super::{EntryActor, OpenRequest};
use crate::config::replica;
use crate::entry::core::events::{Event, NewRequest};
use crate::entry::core::tables::RequestId;
use crate::entry::links::SendFrame;
use crate::entry::{outbound, relay};
use crate::external::host_list;
use crate::members::addresses::Address;
use crate::wire::{client, server};

/// A request from a caller.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// The properties on which the core decides.
    pub request: NewRequest,
    /// The request in the form in which the target receives it.
    pub outbound: outbound::Outbound,
    /// Relays the answer.
    pub relay: relay::Relay,
}

impl Handler<Submit> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: Submit, cx: &mut Context<Self>) {
        let Submit { request, outbound, relay } = message;
        self.parts.metrics.requests.inc();
        let open = OpenRequest { relay, attempt: None, outbound };
        self.requests.insert(request.id, open);
        self.tick(vec![Event::Submitted(request)]);
        self.schedule_deadline_tick(cx);
    }
}

/// The caller of a request has read most of what waited for it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallerRead(pub RequestId);

impl Handler<CallerRead> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: CallerRead, _: &mut Context<Self>) {
        self.tell_taken(message.0);
    }
}

/// The caller of a request disconnected before its answer was complete.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallerDisconnected(pub RequestId);

impl Handler<CallerDisconnected> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: CallerDisconnected, _: &mut Context<Self>) {
        self.tick(vec![Event::CallerDisconnected(message.0)]);
    }
}

/// An event of a link that this entry dialled.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DialledLinkEvent {
    /// The name of the dialled process.
    pub process: Arc<str>,
    /// The link came up, a frame arrived, or the link went down.
    pub event: client::LinkEvent,
}

impl Handler<DialledLinkEvent> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: DialledLinkEvent, cx: &mut Context<Self>) {
        let DialledLinkEvent { process, event } = message;
        match event {
            client::LinkEvent::Up { hello, tx } => {
                let send: SendFrame = Box::new(move |kind| client::send(&tx, kind));
                if let Some(serial) = self.link_up(&process, &hello, send, cx) {
                    self.dialled_serials.insert(process, serial);
                }
            }
            client::LinkEvent::Frame(kind) => self.handle_frame(&process, kind, cx),
            client::LinkEvent::Down(error) => self.drop_dialled(&process, &error.to_string()),
        }
    }
}

/// An event of a link that another process opened.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AcceptedLinkEvent(pub server::LinkEvent);

impl Handler<AcceptedLinkEvent> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: AcceptedLinkEvent, cx: &mut Context<Self>) {
        self.handle_accepted(message.0, cx);
    }
}

/// An answer of the key-value service, for the configuration replica.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigEvent(pub replica::Event);

impl Handler<ConfigEvent> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: ConfigEvent, cx: &mut Context<Self>) {
        self.handle_config_event(message.0, cx);
    }
}

/// Asks for the entries that a caller should use.
#[derive(Message)]
#[rtype(result = "Vec<Address>")]
pub struct GetAddresses {
    /// The hash of the caller's IP address.
    pub caller: u64,
}

impl Handler<GetAddresses> for EntryActor {
    type Result = Vec<Address>;

    fn handle(&mut self, message: GetAddresses, _: &mut Context<Self>) -> Vec<Address> {
        self.parts.membership.addresses(message.caller, self.parts.address_keep, self.now())
    }
}

/// Begins a planned stop. The result is how long callers may still use this entry's address.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct Leave;

impl Handler<Leave> for EntryActor {
    type Result = MessageResult<Leave>;

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> Self::Result {
        let (keep, now) = (self.parts.address_keep, self.now());
        let left = self.parts.membership.leave(keep, now);
        self.send_heartbeats();
        MessageResult(left)
    }
}

/// The hosts on the platform's host list, after it was read.
#[derive(Message)]
#[rtype(result = "()")]
pub struct HostListRead(pub Vec<host_list::Host>);

impl Handler<HostListRead> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: HostListRead, cx: &mut Context<Self>) {
        let now = self.now();
        self.parts.membership.set_host_list(&message.0, now);
        self.dial_peers(cx);
    }
}
