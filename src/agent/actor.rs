//! The actor that turns I/O into the core's events and the core's effects into I/O.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::prelude::*;
use actix_rt::task;
use tokio::sync::oneshot;

use crate::agent::{config_view, effects, events, frames, links, metrics, relay, target, world};
use crate::clock;
use crate::collections;
use crate::external::{host_list, store};
use crate::telemetry::events as log;
use crate::wire;
use crate::wire::server;

/// Interval of the actor's own timer, on which it checks its connections and ticks the core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timing holds the actor's intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The interval of heartbeats and of health probes.
    pub heartbeat: Duration,
    /// The time without a frame after which a connection is closed.
    pub deadline: Duration,
}

/// Parts holds the components from which an [`AgentActor`] is built.
pub struct Parts {
    /// The source of the time.
    pub clock: clock::Clock,
    /// The agent's identity, sent to each entry.
    pub member: wire::Member,
    /// The decision core.
    pub world: world::AgentWorld,
    /// The client of the target.
    pub target: target::TargetClient,
    /// The bytes that answers in progress may keep for resends.
    pub kept_bytes: u64,
    /// The client of the key-value service.
    pub store: store::Store,
    /// The service that the target serves.
    pub service: Rc<str>,
    /// The agent's replica of the configuration.
    pub config: config_view::ConfigHolder,
    /// The metrics that the actor updates.
    pub metrics: metrics::Metrics,
    /// True while the agent is ready, as the admin server's readiness page reports.
    pub readiness: Arc<AtomicBool>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// The client of the platform's host list, with its poll interval; `None` if there is no list.
    pub host_list: Option<(host_list::HostList, Duration)>,
    /// Notified when the drain after a stop signal is done.
    pub drained: oneshot::Sender<()>,
}

/// AgentActor owns the state of one agent and performs its I/O.
pub struct AgentActor {
    pub(crate) clock: clock::Clock,
    pub(crate) member: wire::Member,
    pub(crate) world: world::AgentWorld,
    pub(crate) target: target::TargetClient,
    pub(crate) store: store::Store,
    pub(crate) service: Rc<str>,
    pub(crate) config: config_view::ConfigHolder,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) readiness: Arc<AtomicBool>,
    pub(crate) timing: Timing,
    pub(crate) host_list: Option<(host_list::HostList, Duration)>,
    pub(crate) drained: Option<oneshot::Sender<()>>,
    pub(crate) links: links::Links,
    pub(crate) relay: relay::Relay,
    /// The task that talks to the target for each running job.
    pub(crate) exchanges: collections::Map<events::JobId, task::JoinHandle<()>>,
    pub(crate) probing: bool,
    /// True if the outcome of the probe in progress is to be discarded.
    pub(crate) probe_outdated: bool,
    pending: Vec<events::Event>,
    /// True if a tick is in the mailbox.
    ticking: bool,
    /// The timer of the core's next wake-up, with its time.
    wake: Option<(Duration, SpawnHandle)>,
    /// When the process was last seen running.
    last_check: Duration,
}

impl AgentActor {
    /// Creates an actor that is not started yet.
    pub fn new(parts: Parts) -> Self {
        let last_check = parts.clock.monotonic();
        Self {
            clock: parts.clock,
            member: parts.member,
            world: parts.world,
            target: parts.target,
            store: parts.store,
            service: parts.service,
            config: parts.config,
            metrics: parts.metrics,
            readiness: parts.readiness,
            timing: parts.timing,
            host_list: parts.host_list,
            drained: Some(parts.drained),
            links: links::Links::default(),
            relay: relay::Relay::new(parts.kept_bytes),
            exchanges: collections::Map::default(),
            probing: false,
            probe_outdated: false,
            pending: Vec::new(),
            ticking: false,
            wake: None,
            last_check,
        }
    }

    /// Queues an event for the next tick, which runs once the messages already in the mailbox are
    /// handled.
    pub(crate) fn queue_event(&mut self, event: events::Event, cx: &mut Context<Self>) {
        self.pending.push(event);
        self.schedule_tick(cx);
    }

    fn schedule_tick(&mut self, cx: &mut Context<Self>) {
        if !self.ticking {
            self.ticking = true;
            cx.notify(Tick);
        }
    }

    fn tick(&mut self, cx: &mut Context<Self>) {
        self.ticking = false;
        let mut out = Vec::new();
        let events = std::mem::take(&mut self.pending);
        self.world.tick(self.clock.monotonic(), self.clock.wall(), events, &mut out);
        for effect in out {
            effects::perform(self, effect, cx);
        }
        self.schedule_wake(cx);
        self.publish_metrics();
    }

    fn schedule_wake(&mut self, cx: &mut Context<Self>) {
        let next = self.world.next_wake();
        if next == self.wake.map(|(at, _)| at) {
            return;
        }
        if let Some((_, handle)) = self.wake.take() {
            cx.cancel_future(handle);
        }
        let Some(at) = next else { return };
        let delay = at.saturating_sub(self.clock.monotonic());
        let handle = cx.run_later(delay, |actor, cx| {
            actor.wake = None;
            actor.schedule_tick(cx);
        });
        self.wake = Some((at, handle));
    }

    fn publish_metrics(&self) {
        let load = self.world.load();
        let draining = self.world.draining();
        self.metrics.running.set(i64::from(load.running));
        self.metrics.queued.set(i64::from(load.queued));
        self.metrics.target_healthy.set(i64::from(load.target_healthy));
        self.metrics.draining.set(i64::from(draining));
        self.metrics.links.set(i64::try_from(self.links.len()).unwrap_or(i64::MAX));
        let revision = self.config.revision();
        self.metrics.config_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        let ready = load.target_healthy && !draining && revision > 0;
        self.readiness.store(ready, Ordering::Relaxed);
    }

    /// Closes every connection if the process was paused for longer than their deadline, since the
    /// frames in their buffers were sent to a process that its peers have given up.
    fn detect_pause(&mut self, cx: &mut Context<Self>) {
        let now = self.clock.monotonic();
        let gap = now.saturating_sub(self.last_check);
        self.last_check = now;
        if gap < self.timing.deadline {
            return;
        }
        log::log(
            log::AGENT_PAUSED,
            format_args!("no progress for {gap:?}; closing all connections"),
        );
        for link in self.links.ids() {
            self.close(link, cx);
        }
    }

    fn on_interval(&mut self, cx: &mut Context<Self>) {
        self.detect_pause(cx);
        let limit = self.clock.monotonic().saturating_sub(self.timing.deadline);
        for link in self.links.silent_since(limit) {
            log::log(log::LINK_SILENT, format_args!("entry {}", self.links.peer_name(link)));
            self.close(link, cx);
        }
        frames::tick_config(self, cx);
        self.schedule_tick(cx);
    }

    /// Closes a connection and notifies the core.
    pub(crate) fn close(&mut self, link: server::LinkId, cx: &mut Context<Self>) {
        let peer = self.links.peer_name(link).to_owned();
        if self.links.close(link) {
            log::log(log::LINK_CLOSED, format_args!("entry {peer}"));
            self.queue_event(events::Event::LinkDown(link), cx);
        }
    }
}

impl Actor for AgentActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.run_interval(TICK_INTERVAL, Self::on_interval);
        cx.run_interval(self.timing.heartbeat, |actor, cx| {
            frames::send_heartbeats(actor);
            effects::probe(actor, cx);
        });
        effects::probe(self, cx);
        if let Some((_, poll)) = self.host_list {
            cx.run_interval(poll, |actor, cx| effects::read_host_list(actor, cx));
        }
    }
}

/// Tick runs the core over the queued events.
#[derive(Message)]
#[rtype(result = "()")]
struct Tick;

impl Handler<Tick> for AgentActor {
    type Result = ();

    fn handle(&mut self, _: Tick, cx: &mut Context<Self>) {
        self.tick(cx);
    }
}

/// OnLinkEvent delivers an event of a connection.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OnLinkEvent(pub server::LinkEvent);

impl Handler<OnLinkEvent> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: OnLinkEvent, cx: &mut Context<Self>) {
        self.detect_pause(cx);
        frames::handle_link_event(self, message.0, cx);
    }
}

/// CoreEvent delivers an event to the decision core.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CoreEvent(pub events::Event);

impl Handler<CoreEvent> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: CoreEvent, cx: &mut Context<Self>) {
        self.queue_event(message.0, cx);
    }
}

/// ExchangeDone delivers the outcome of an exchange with the target.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ExchangeDone {
    pub(crate) job: events::JobId,
    pub(crate) keep: bool,
    pub(crate) outcome: target::Outcome,
}

impl Handler<ExchangeDone> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: ExchangeDone, cx: &mut Context<Self>) {
        effects::exchange_done(self, &message, cx);
    }
}

/// ProbeDone delivers the outcome of a health probe.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ProbeDone(pub(crate) events::ProbeOutcome);

impl Handler<ProbeDone> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: ProbeDone, cx: &mut Context<Self>) {
        effects::probe_done(self, message.0, cx);
    }
}

/// IsIdle asks whether all answers have been sent to entries.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsIdle;

impl Handler<IsIdle> for AgentActor {
    type Result = bool;

    fn handle(&mut self, _: IsIdle, _: &mut Context<Self>) -> bool {
        self.relay.is_idle()
    }
}

/// CloseLinks closes every connection.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CloseLinks;

impl Handler<CloseLinks> for AgentActor {
    type Result = ();

    fn handle(&mut self, _: CloseLinks, cx: &mut Context<Self>) {
        for link in self.links.ids() {
            self.close(link, cx);
        }
    }
}
