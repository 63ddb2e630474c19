//! Messages between processes and the store: delayed, duplicated, reordered or lost.

use std::sync::Arc;

use bitternwall::config::replica::Event;
use bitternwall::config::source::Call;
use rand::Rng;

use super::{Fleet, Message, Packet, has_bit};
use crate::model;

const STORE_BIT: usize = 31;

impl Fleet {
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        let (side, until) = self.cut;
        let store = self.processes.len();
        let is_in = |index| has_bit(side, if index == store { STORE_BIT } else { index });
        self.step < until && is_in(from) != is_in(to)
    }

    pub(super) fn send(
        &mut self,
        from: usize,
        to: usize,
        incarnation: Option<u64>,
        message: &Message,
    ) {
        let lost = self.step < self.loss.1 && self.rng.random_range(0..100) < self.loss.0;
        if lost || self.is_cut(from, to) {
            return;
        }
        let slow = [from, to].into_iter().filter_map(|index| self.processes.get(index));
        let delay: u64 = slow.filter(|p| self.step < p.slow.1).map(|p| p.slow.0).sum();
        let mut copies = 1;
        if self.loss.1 > self.step && self.rng.random_bool(0.2) {
            copies = 2;
        }
        let sender = self.processes.get(from).map_or(0, |process| process.incarnation);
        for _ in 0..copies {
            let at = self.step + 1 + delay + self.rng.random_range(0..3);
            let packet =
                Packet { at, from: (from, sender), to, incarnation, message: message.clone() };
            self.packet_count += 1;
            self.packets.insert((at, self.packet_count), packet);
        }
    }

    pub(super) fn deliver(&mut self, mut packet: Packet) {
        let to = packet.to;
        if to == self.processes.len() {
            self.serve_call(&packet);
            return;
        }
        if self.is_cut(packet.from.0, to) || self.processes[to].down_until > self.step {
            return;
        }
        if self.processes[to].paused_until > self.step {
            // The message waits in the socket's buffer.
            packet.at = self.processes[to].paused_until;
            self.packet_count += 1;
            self.packets.insert((packet.at, self.packet_count), packet);
            return;
        }
        if packet
            .incarnation
            .is_some_and(|incarnation| incarnation != self.processes[to].incarnation)
        {
            return;
        }
        let now = self.now(to);
        let from = packet.from.0;
        let event = match packet.message {
            Message::Event(event) => event,
            Message::Heartbeat(heartbeat, summaries) => {
                for summary in &summaries {
                    self.processes[to].progress.record_summary(summary, now);
                }
                Event::Heartbeat(heartbeat)
            }
            Message::Request(have) => {
                Event::PeerRequest(Arc::clone(&self.processes[from].name), have)
            }
            Message::State(state) => Event::PeerState(state),
            Message::Call(_) => return,
        };
        let mut effects = Vec::new();
        self.processes[to].replica.handle(event, now, &mut effects);
        self.carry_out(to, effects);
    }

    fn serve_call(&mut self, packet: &Packet) {
        let Message::Call(call) = packet.message else { return };
        let (owner, incarnation) = packet.from;
        if self.step < self.store_down_until {
            let refused = match call {
                Call::Read(id) | Call::Probe(id) | Call::Watch { id, .. } => id,
                Call::Close(_) => return,
            };
            if self.rng.random_bool(0.5) {
                self.answer(owner, incarnation, Event::CallFailed(refused));
            }
            return;
        }
        match call {
            Call::Read(id) => {
                self.store.reads += 1;
                self.answer(owner, incarnation, Event::Snapshot(id, self.store.read()));
            }
            Call::Probe(id) => self.answer(owner, incarnation, Event::Head(id, self.store.head)),
            Call::Watch { id, after } if after < self.store.compacted => {
                self.answer(owner, incarnation, Event::Compacted(id));
            }
            Call::Watch { id, after } => {
                self.store.watches.push(model::Watch { owner: packet.from, id, delivered: after });
            }
            Call::Close(_) => {}
        }
    }

    fn answer(&mut self, owner: usize, incarnation: u64, event: Event) {
        self.send(self.processes.len(), owner, Some(incarnation), &Message::Event(event));
    }

    pub(super) fn push_watches(&mut self) {
        let down = self.step < self.store_down_until;
        let mut open_watches = Vec::new();
        for watch in &mut self.store.watches {
            let (owner, incarnation) = watch.owner;
            if self.processes[owner].incarnation != incarnation {
                continue;
            }
            open_watches.push((owner, incarnation, watch.id, watch.delivered));
        }
        for (owner, incarnation, id, after) in open_watches {
            if down && self.rng.random_bool(0.1) {
                self.store.close((owner, incarnation), id);
                self.answer(owner, incarnation, Event::CallFailed(id));
                continue;
            }
            let Some(delta) = self.store.delta_after(after).filter(|_| !down) else { continue };
            for watch in &mut self.store.watches {
                if watch.owner == (owner, incarnation) && watch.id == id {
                    watch.delivered = delta.revision;
                }
            }
            self.answer(owner, incarnation, Event::Changes(id, delta));
        }
    }
}
