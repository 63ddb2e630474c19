//! The messages that the entry's actor takes.

use std::sync::Arc;
use std::time::Duration;

use actix::{Context, Handler, Message, MessageResult};
use tokio::sync::mpsc;

use super::{EntryActor, Open};
use crate::config::replica;
use crate::entry::core::events::{Event, NewRequest};
use crate::entry::core::tables::RequestId;
use crate::entry::links::SendFrame;
use crate::entry::{outbound, relay};
use crate::external::host_list;
use crate::members::addresses::Address;
use crate::wire::{client, server};

/// Submit hands a caller's request to the core.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// What decisions need.
    pub request: NewRequest,
    /// What the target gets.
    pub outbound: outbound::Outbound,
    /// Takes the answer.
    pub tx: mpsc::UnboundedSender<relay::Piece>,
}

impl Handler<Submit> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: Submit, cx: &mut Context<Self>) {
        let Submit { request, outbound, tx } = message;
        self.parts.metrics.requests.inc();
        let open = Open { relay: relay::Relay::new(tx), attempt: None, outbound };
        self.requests.insert(request.id, open);
        self.tick(vec![Event::Submitted(request)]);
        self.watch_deadlines(cx);
    }
}

/// CallerGone says that nobody waits for an answer any more.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallerGone(pub RequestId);

impl Handler<CallerGone> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: CallerGone, _: &mut Context<Self>) {
        self.tick(vec![Event::CallerGone(message.0)]);
    }
}

/// Dialled is something that happened on a link that this entry dialled.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Dialled {
    /// The process that was dialled.
    pub process: Arc<str>,
    /// What happened.
    pub event: client::LinkEvent,
}

impl Handler<Dialled> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: Dialled, cx: &mut Context<Self>) {
        let Dialled { process, event } = message;
        match event {
            client::LinkEvent::Up { hello, tx } => {
                let send: SendFrame = Box::new(move |kind| client::send(&tx, kind));
                if let Some(serial) = self.link_up(&process, &hello, send, cx) {
                    self.serials.insert(process, serial);
                }
            }
            client::LinkEvent::Frame(kind) => self.frame(&process, kind, cx),
            client::LinkEvent::Down(error) => self.lose_dialled(&process, &error.to_string()),
        }
    }
}

/// OnLink is something that happened on a link that this entry accepted.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OnLink(pub server::LinkEvent);

impl Handler<OnLink> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: OnLink, cx: &mut Context<Self>) {
        self.accepted(message.0, cx);
    }
}

/// ConfigEvent is what the key-value service answered.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigEvent(pub replica::Event);

impl Handler<ConfigEvent> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: ConfigEvent, cx: &mut Context<Self>) {
        self.config_event(message.0, cx);
    }
}

/// AskAddresses asks which entries a caller should use.
#[derive(Message)]
#[rtype(result = "Vec<Address>")]
pub struct AskAddresses {
    /// The caller's hash.
    pub caller: u64,
}

impl Handler<AskAddresses> for EntryActor {
    type Result = Vec<Address>;

    fn handle(&mut self, message: AskAddresses, _: &mut Context<Self>) -> Vec<Address> {
        self.parts.membership.addresses(message.caller, self.parts.address_keep, self.now())
    }
}

/// Leave begins a planned stop; the answer is how long callers may still come.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct Leave;

impl Handler<Leave> for EntryActor {
    type Result = MessageResult<Leave>;

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> Self::Result {
        let (keep, now) = (self.parts.address_keep, self.now());
        let left = self.parts.membership.leave(keep, now);
        self.beat();
        MessageResult(left)
    }
}

/// HostListRead brings the platform's list of hosts.
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
