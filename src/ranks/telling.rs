//! What an agent tells entries and the other agents of its group, and what it hears of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::time;

use crate::direct::peers::{Heartbeat, RankNotice};
use crate::ranks::daemon::{Agent, DECIDE_EVERY, FLEET_EVERY};
use crate::ranks::engine::EngineError;
use crate::ranks::report::ExpertCounts;
use crate::ranks::status::{self, COUNTS_PER_MESSAGE, CountsMessage, RankMessage, StateMessage};
use crate::telemetry::events;

/// Every how many looks all agents of the group are told, not only those that may coordinate.
const TELL_GROUP_EVERY: u64 = 4;

/// Pause between two messages to entries that a group is closed; entries may have just started.
const CLOSED_EVERY: Duration = Duration::from_millis(200);

impl Agent {
    /// Tells the entries whether the rank's group takes requests: at once when that changes, and
    /// again each second, or more often while it does not.
    pub(super) fn tell_entries(&self) {
        let (open, group) = {
            let own = self.own.borrow();
            let open = own.as_ref().is_some_and(|report| report.open) && !self.stands_still.get();
            (open, own.as_ref().map(|report| report.group.clone()).unwrap_or_default())
        };
        let now = self.now();
        let told = self.told_open.get();
        let due = |(before, at): (bool, Duration)| {
            let again = if open { FLEET_EVERY } else { CLOSED_EVERY };
            before != open || now.saturating_sub(at) >= again
        };
        if !told.is_none_or(due) {
            return;
        }
        self.told_open.set(Some((open, now)));
        let notice = RankNotice { engine: self.settings.engine.to_string(), open, group };
        let name = self.settings.name.clone();
        let message = Heartbeat { name, rank: Some(notice), ..Heartbeat::default() };
        let datagram = message.encode_to_vec();
        for entry in self.entries.borrow().iter() {
            // One that is lost is made up for by the next.
            let _lost = self.socket.try_send_to(&datagram, *entry);
        }
    }

    /// Logs what could not be read from the own engine; the next look asks again.
    pub(super) fn note_unread(&self, what: &str, error: &EngineError) {
        let engine = self.settings.engine;
        events::log(
            events::ENGINE_READ_FAILED,
            format_args!("engine={engine} what={what} cause=\"{error}\""),
        );
    }

    pub(super) fn state(&self) -> Option<StateMessage> {
        let own = self.own.borrow();
        let reading = self.reading.get();
        own.as_ref().map(|report| StateMessage::of(report, &self.held.borrow(), reading))
    }

    pub(super) async fn tell(&self, sequence: u64) {
        let Some(state) = self.state() else { return };
        let now = self.now();
        let (candidates, group) = {
            let members = self.members.borrow();
            (members.candidates(now), members.hosts())
        };
        let everyone = candidates.len() < 2 || sequence.is_multiple_of(TELL_GROUP_EVERY);
        let ranks = super::wide(state.ranks);
        let message = RankMessage {
            engine: self.settings.engine.to_string(),
            life: self.life,
            state: Some(state),
            counts: None,
        };
        let audience = match (everyone, group) {
            (false, _) => candidates.clone(),
            (true, Some(group)) => group,
            (true, None) => self.others(),
        };
        self.send(&message, &audience);
        if !sequence.is_multiple_of(status::counts_interval(ranks)) {
            return;
        }
        match self.engines.picks(self.settings.engine).await {
            Ok(picks) => {
                for counts in parts(&picks) {
                    let message =
                        RankMessage { state: None, counts: Some(counts), ..message.clone() };
                    self.send(&message, &candidates);
                }
            }
            // Counts are sums, so the next ones make up for these.
            Err(error) => self.note_unread("picks", &error),
        }
    }

    /// Sends a message to agents, and takes it in where the own one is among them. One that is
    /// not sent counts as lost; the next one makes up for it.
    pub(super) fn send(&self, message: &RankMessage, audience: &[SocketAddr]) {
        let own = self.settings.engine;
        let datagram = message.encode_to_vec();
        for engine in audience.iter().filter(|engine| **engine != own) {
            let _lost = self.socket.try_send_to(&datagram, self.agent_of(*engine));
        }
        self.take(message);
    }

    pub(super) fn take(&self, message: &RankMessage) {
        let own = self.own.borrow();
        let Some(group) = own.as_ref().map(|report| report.group.as_str()) else { return };
        self.members.borrow_mut().receive_message(group, message, self.now());
    }

    /// Takes the messages of other agents until the process ends.
    pub(super) async fn listen(self: Rc<Self>) {
        let mut buf = vec![0_u8; 64 * 1024];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((length, from)) => match RankMessage::decode(&buf[..length]) {
                    Ok(message) => self.take(&message),
                    Err(error) => events::log(
                        events::HEARTBEAT_UNREADABLE,
                        format_args!("from={from} cause=\"{error}\""),
                    ),
                },
                Err(error) => {
                    events::log(events::HEARTBEAT_UNREADABLE, format_args!("cause=\"{error}\""));
                    time::sleep(DECIDE_EVERY).await;
                }
            }
        }
    }
}

/// Cuts counts into messages.
fn parts(picks: &ExpertCounts) -> Vec<CountsMessage> {
    let total = super::narrow(picks.counts.len());
    let chunks = picks.counts.chunks(COUNTS_PER_MESSAGE).enumerate();
    let parts = chunks.map(|(index, counts)| CountsMessage {
        epoch: picks.epoch,
        first: super::narrow(index * COUNTS_PER_MESSAGE),
        total,
        counts: counts.to_vec(),
    });
    parts.collect()
}
