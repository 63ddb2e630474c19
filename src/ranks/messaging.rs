//! Messages between an agent, the entries and the other agents of its group.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::time;

use crate::direct::known::heartbeat::{Heartbeat, RankNotice};
use crate::ranks::daemon::{Agent, DECISION_INTERVAL, FLEET_POLL_INTERVAL};
use crate::ranks::engine::EngineError;
use crate::ranks::expert_counts;
use crate::ranks::messages::{CountsMessage, RankMessage, StateMessage};
use crate::ranks::reach::{self, Reach};
use crate::ranks::report::ExpertCounts;
use crate::telemetry::events;

/// Interval at which entries are notified that a group is closed; it is short because entries may
/// have just started.
const CLOSED_NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which entries are notified that ranks answer nobody.
const SILENCE_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a failed poll of an engine no longer shows that it answers nobody.
const SILENCE_LIFETIME: Duration = Duration::from_millis(1_000);

impl Agent {
    /// Notifies the entries whether the rank's group accepts requests: immediately on a change,
    /// then every second, or more often while it does not.
    pub(super) fn notify_entries(&self) {
        let notice = self.rank_notice();
        let open = notice.open;
        let now = self.now();
        let last_notice = self.last_notice.get();
        let due = |(before, at): (bool, Duration)| {
            let interval = if open { FLEET_POLL_INTERVAL } else { CLOSED_NOTICE_INTERVAL };
            before != open || now.saturating_sub(at) >= interval
        };
        if !last_notice.is_none_or(due) {
            return;
        }
        self.last_notice.set(Some((open, now)));
        self.send_notice(notice);
    }

    /// Notifies the entries of the group's ranks that answer nobody: at once when there is another
    /// one, then at intervals while it lasts.
    pub(super) fn notify_silence(&self) {
        let now = self.now();
        let mut failed_at = self.silent_engines.borrow_mut();
        failed_at.retain(|_, at| now.saturating_sub(*at) < SILENCE_LIFETIME);
        let silent = self.members.borrow().confirmed_silent(&failed_at).unwrap_or_default();
        let (known, at) = self.last_silence_notice.take();
        let due = silent.iter().any(|engine| !known.contains(engine))
            || now.saturating_sub(at) >= SILENCE_NOTICE_INTERVAL;
        if silent.is_empty() || !due {
            self.last_silence_notice.set((known, at));
            return;
        }
        let names = silent.iter().map(SocketAddr::to_string).collect();
        self.last_silence_notice.set((silent, now));
        self.send_notice(RankNotice { silent: names, ..self.rank_notice() });
    }

    /// Returns what entries are told of the local rank.
    fn rank_notice(&self) -> RankNotice {
        let local_report = self.local_report.borrow();
        let report = local_report.as_ref();
        RankNotice {
            engine: self.settings.engine.to_string(),
            open: report.is_some_and(|report| report.open) && !self.stalled.get(),
            group: report.map(|report| report.group.clone()).unwrap_or_default(),
            silent: Vec::new(),
            slowness_percent: report.map(|report| report.slowness).unwrap_or_default().percent(),
        }
    }

    fn send_notice(&self, notice: RankNotice) {
        let name = self.settings.name.clone();
        let message = Heartbeat { name, rank: Some(notice), ..Heartbeat::default() };
        let datagram = message.encode_to_vec();
        for entry in self.entries.borrow().all(self.now()) {
            // The next notice makes up for a lost one.
            let _lost = self.socket.try_send_to(&datagram, entry);
        }
    }

    /// Logs a failed read from the local engine; the next poll repeats the read.
    pub(super) fn log_read_failure(&self, what: &str, error: &EngineError) {
        let engine = self.settings.engine;
        events::log(
            events::ENGINE_READ_FAILED,
            format_args!("engine={engine} what={what} cause=\"{error}\""),
        );
    }

    pub(super) fn local_state(&self) -> Option<StateMessage> {
        let local_report = self.local_report.borrow();
        let poll_sequence = self.poll_sequence.get();
        local_report
            .as_ref()
            .map(|report| StateMessage::of(report, &self.local_experts.borrow(), poll_sequence))
    }

    /// Sends the state to the agents that may coordinate, and less often to others; see [`reach`].
    pub(super) async fn notify_agents(&self, sequence: u64) {
        let Some(state) = self.local_state() else { return };
        let (rank, ranks) = (super::to_usize(state.rank), super::to_usize(state.ranks));
        let (candidates, group) = {
            let members = self.members.borrow();
            (members.candidates(self.now()), members.hosts())
        };
        let reach =
            if candidates.len() < 2 { Reach::Group } else { reach::of(rank, ranks, sequence) };
        let experts_changed =
            self.notified_experts.replace(state.held_version) != state.held_version;
        let with_experts = reach.carries_experts() || experts_changed;
        let state = if with_experts { state } else { state.without_experts() };
        let recipients = match (reach, group) {
            (Reach::Coordinators, _) => candidates,
            (Reach::Group, Some(group)) => group,
            (Reach::Neighbours, Some(group)) => {
                let group = group.into_iter().enumerate();
                let near = |(other, engine): &(usize, SocketAddr)| {
                    reach::is_neighbour(rank, *other, ranks) || candidates.contains(engine)
                };
                group.filter(near).map(|(_, engine)| engine).collect()
            }
            (Reach::Group | Reach::Neighbours, None) => self.other_ranks(),
        };
        self.send_to_agents(&self.message(Some(state), None), &recipients);
        if !sequence.is_multiple_of(expert_counts::interval(ranks)) {
            return;
        }
        match self.engines.expert_counts(self.settings.engine).await {
            Ok(counts) => self.send_counts(&counts),
            Err(error) => self.log_read_failure("picks", &error),
        }
    }

    fn message(&self, state: Option<StateMessage>, counts: Option<CountsMessage>) -> RankMessage {
        RankMessage {
            engine: self.settings.engine.to_string(),
            incarnation: self.incarnation,
            state,
            counts,
            introduction: None,
        }
    }

    /// Sends what was counted since the last time to the rank's collector, or to the agents that may
    /// coordinate if the group needs no collectors. A collector passes on what it has summed up.
    fn send_counts(&self, counts: &ExpertCounts) {
        let Some(layers) = self.shape().map(|shape| super::to_usize(shape.layers)) else { return };
        let new = self.increments.borrow_mut().observe(counts.epoch, &counts.counts);
        let Some((rank, ranks)) =
            self.local_report.borrow().as_ref().map(|report| (report.rank, report.ranks))
        else {
            return;
        };
        let (candidates, collector) = {
            let members = self.members.borrow();
            let now = self.now();
            let is_live = |rank| members.has_live_agent(rank, now);
            let collector = expert_counts::collector(rank, ranks, is_live);
            (members.candidates(now), members.get(collector).map(|member| member.engine))
        };
        let needs_collector = expert_counts::ranks_per_collector(ranks) > 1;
        let recipients = match collector {
            Some(collector) if needs_collector => vec![collector],
            _ => candidates.clone(),
        };
        let rank = super::to_u32(rank);
        let parts = expert_counts::messages(counts.epoch, &new.unwrap_or_default(), layers);
        let parts = parts.into_iter();
        let own = parts.map(|part| CountsMessage { rank, summed: !needs_collector, ..part });
        self.send_parts(own, &recipients);
        let (epoch, sums) = self.collected.borrow_mut().take();
        let parts = expert_counts::messages(epoch, &sums, layers).into_iter();
        let collected = parts.map(|part| CountsMessage { rank, summed: true, ..part });
        self.send_parts(collected, &candidates);
    }

    fn send_parts(&self, parts: impl Iterator<Item = CountsMessage>, recipients: &[SocketAddr]) {
        for part in parts {
            let message = self.message(None, Some(part));
            let datagram = message.encode_to_vec();
            for engine in recipients {
                if *engine == self.settings.engine {
                    self.record_message(&message);
                } else {
                    // Counts are samples, so lost ones only make the estimate coarser.
                    let _lost = self.socket.try_send_to(&datagram, self.agent_addr(*engine));
                }
            }
        }
    }

    /// Sends a message to other agents and records it locally. A message that cannot be sent counts
    /// as lost; the next one makes up for it.
    pub(super) fn send_to_agents(&self, message: &RankMessage, recipients: &[SocketAddr]) {
        let local_engine = self.settings.engine;
        let datagram = message.encode_to_vec();
        for engine in recipients.iter().filter(|engine| **engine != local_engine) {
            let _lost = self.socket.try_send_to(&datagram, self.agent_addr(*engine));
        }
        self.record_message(message);
    }

    pub(super) fn record_message(&self, message: &RankMessage) {
        let local_report = self.local_report.borrow();
        let Some(report) = local_report.as_ref() else { return };
        self.members.borrow_mut().receive_message(&report.group, message, self.now());
        let Some(counts) = &message.counts else { return };
        let recorded = counts.epoch == report.epoch
            && match counts.summed {
                true => {
                    let rank = super::to_usize(counts.rank);
                    self.count_table.borrow_mut().add(rank, report.ranks, counts)
                }
                false => self.collected.borrow_mut().add(counts),
            };
        if !recorded {
            self.metrics.ignored_counts.inc();
            events::log(
                events::COUNTS_IGNORED,
                format_args!(
                    "rank={} epoch={} own_epoch={} first={} of={}",
                    counts.rank, counts.epoch, report.epoch, counts.first, counts.total
                ),
            );
        }
    }

    /// Receives messages of other agents until the process ends.
    pub(super) async fn receive_messages(self: Rc<Self>) {
        let mut buf = vec![0_u8; 64 * 1024];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((length, from)) => match RankMessage::decode(&buf[..length]) {
                    Ok(RankMessage { introduction: Some(introduction), .. }) => {
                        self.record_introduction(from, &introduction.name);
                    }
                    Ok(message) => self.record_message(&message),
                    Err(error) => events::log(
                        events::HEARTBEAT_UNREADABLE,
                        format_args!("from={from} cause=\"{error}\""),
                    ),
                },
                Err(error) => {
                    events::log(events::HEARTBEAT_UNREADABLE, format_args!("cause=\"{error}\""));
                    time::sleep(DECISION_INTERVAL).await;
                }
            }
        }
    }
}
