//! The links of an entry: dialling other processes, accepting links, and reporting to the core and
//! the membership which links are up.

use std::net::SocketAddr;
use std::sync::Arc;

use actix::{AsyncContext as _, Context};

use super::{DialTask, EntryActor};
use crate::collections::Map;
use crate::config::codec;
use crate::entry::core::events::Event;
use crate::entry::links::{self, SendFrame};
use crate::settings::entry::Peer;
use crate::telemetry::events;
use crate::wire;
use crate::wire::frame::Kind;
use crate::wire::server;

impl EntryActor {
    pub(super) fn dial_peers(&mut self, cx: &mut Context<Self>) {
        let membership = &self.parts.membership;
        let local = membership.local_member();
        let peers = links::peers_to_dial(&local.name, &local.data_centre, membership.peers());
        let name = |peer: &Peer| codec::process_name(wire::Role::Entry, &peer.name);
        let peers = peers.into_iter().map(|peer| (name(peer), peer.link)).collect();
        self.set_dialled(&peers, wire::Role::Entry, cx);
    }

    /// Dials these processes of a role, and closes dialled links to all others of the role.
    pub(super) fn set_dialled(
        &mut self,
        wanted: &Map<Arc<str>, SocketAddr>,
        role: wire::Role,
        cx: &mut Context<Self>,
    ) {
        let prefix = codec::process_name(role, "");
        let is_dropped = |(process, dial): &(&Arc<str>, &DialTask)| {
            process.starts_with(&*prefix) && wanted.get(*process) != Some(&dial.address)
        };
        let dropped: Vec<Arc<str>> =
            self.dials.iter().filter(is_dropped).map(|(process, _)| Arc::clone(process)).collect();
        for process in dropped {
            if let Some(dial) = self.dials.remove(&process) {
                dial.handle.abort();
            }
            self.drop_dialled(&process, "the configuration no longer names it");
        }
        for (process, address) in wanted {
            if !self.dials.contains_key(process) {
                let handle = (self.parts.start_dial)(process, *address, cx.address());
                self.dials.insert(Arc::clone(process), DialTask { address: *address, handle });
            }
        }
    }

    pub(super) fn link_up(
        &mut self,
        process: &Arc<str>,
        hello: &wire::Hello,
        send: SendFrame,
        cx: &mut Context<Self>,
    ) -> Option<u64> {
        let member = hello.member.clone().unwrap_or_default();
        if codec::name_of(&member) != *process {
            let details = format_args!("expected={process} found={}", codec::name_of(&member));
            events::log(events::LINK_MISMATCH, details);
            return None;
        }
        events::log(events::LINK_UP, format_args!("process={process}"));
        let (role, name, incarnation) = (member.role(), member.name.clone(), member.incarnation);
        let region = member.region.clone();
        let serial = self.links.insert(Arc::clone(process), member, send);
        if role == wire::Role::Agent {
            self.tick(vec![Event::LinkUp { target: name, incarnation, region }]);
        }
        if let Some(heartbeat) = &hello.heartbeat {
            self.handle_heartbeat(process, heartbeat, cx);
        }
        self.send_heartbeats();
        Some(serial)
    }

    pub(super) fn link_down(&mut self, process: &Arc<str>, serial: u64, cause: &str) {
        let Some(member) = self.links.member(process).cloned() else { return };
        if !self.links.remove(process, serial) {
            return;
        }
        events::log(events::LINK_DOWN, format_args!("process={process} cause={cause}"));
        match member.role() {
            wire::Role::Agent => self.tick(vec![Event::LinkDown { target: member.name }]),
            wire::Role::Entry => self.parts.membership.disconnected(&member.name),
            wire::Role::Unspecified => {}
        }
    }

    pub(super) fn drop_dialled(&mut self, process: &Arc<str>, cause: &str) {
        if let Some(serial) = self.dialled_serials.remove(process) {
            self.link_down(process, serial, cause);
        }
    }

    pub(super) fn handle_accepted(&mut self, event: server::LinkEvent, cx: &mut Context<Self>) {
        let now = self.now();
        match event {
            server::LinkEvent::Opened { link, sender } => {
                let member = Some(self.parts.membership.local_member().clone());
                let hello = wire::Hello { member, heartbeat: None, answer_window: 0 };
                self.accepted.open(link, sender, now, hello);
            }
            server::LinkEvent::Frame { link, kind } => match *kind {
                Kind::Hello(hello) => {
                    let process = codec::name_of(&hello.member.clone().unwrap_or_default());
                    let Some(send) = self.accepted.sender(link) else { return };
                    let serial = self.link_up(&process, &hello, send, cx);
                    self.accepted.identify(link, process, serial);
                }
                kind => {
                    if let Some(process) = self.accepted.record_frame(link, now) {
                        self.handle_frame(&process, kind, cx);
                    }
                }
            },
            server::LinkEvent::Closed(link) => self.drop_accepted(link, "closed"),
        }
    }

    pub(super) fn drop_accepted(&mut self, link: server::LinkId, cause: &str) {
        if let Some((process, serial)) = self.accepted.close(link) {
            self.link_down(&process, serial, cause);
        }
    }
}
