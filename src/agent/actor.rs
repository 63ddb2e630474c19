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

/// How often time alone moves the core.
const BEAT: Duration = Duration::from_millis(100);

/// Timing is how the actor times its connections.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats and between probes.
    pub heartbeat: Duration,
    /// Silence after which a connection is dropped.
    pub deadline: Duration,
}

/// Parts is what an agent is made of.
pub struct Parts {
    /// The clock.
    pub clock: clock::Clock,
    /// Who the agent is.
    pub member: wire::Member,
    /// The decision core.
    pub world: world::AgentWorld,
    /// The client of the target.
    pub target: target::TargetClient,
    /// The client of the key-value service.
    pub store: store::Store,
    /// The service that the target serves.
    pub service: Rc<str>,
    /// The configuration.
    pub config: config_view::ConfigHolder,
    /// The metrics.
    pub metrics: metrics::Metrics,
    /// Whether the agent takes work.
    pub readiness: Arc<AtomicBool>,
    /// The timing.
    pub timing: Timing,
    /// The platform's host list, and how often it is read.
    pub host_list: Option<(host_list::HostList, Duration)>,
    /// Told when a drain by signal is done.
    pub drained: oneshot::Sender<()>,
}

/// AgentActor owns everything that one agent holds.
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
    pub(crate) exchanges: collections::Map<events::JobId, task::JoinHandle<()>>,
    pub(crate) probing: bool,
    pub(crate) probe_outdated: bool,
    pending: Vec<events::Event>,
    ticking: bool,
    wake: Option<(Duration, SpawnHandle)>,
    last_beat: Duration,
}

impl AgentActor {
    /// Returns an actor that is yet to be started.
    pub fn new(parts: Parts) -> Self {
        let last_beat = parts.clock.monotonic();
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
            relay: relay::Relay::default(),
            exchanges: collections::Map::default(),
            probing: false,
            probe_outdated: false,
            pending: Vec::new(),
            ticking: false,
            wake: None,
            last_beat,
        }
    }

    /// Queues an event for the next tick, which comes as soon as the mailbox is read.
    pub(crate) fn push(&mut self, event: events::Event, cx: &mut Context<Self>) {
        self.pending.push(event);
        self.schedule(cx);
    }

    fn schedule(&mut self, cx: &mut Context<Self>) {
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
        self.wake_later(cx);
        self.publish();
    }

    fn wake_later(&mut self, cx: &mut Context<Self>) {
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
            actor.schedule(cx);
        });
        self.wake = Some((at, handle));
    }

    fn publish(&self) {
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

    /// Drops every connection where the process was paused, since what their buffers hold was
    /// sent to a process that its peers have given up.
    fn check_pause(&mut self, cx: &mut Context<Self>) {
        let now = self.clock.monotonic();
        let gap = now.saturating_sub(self.last_beat);
        self.last_beat = now;
        if gap < self.timing.deadline {
            return;
        }
        log::log(log::AGENT_PAUSED, format_args!("for {gap:?}"));
        for link in self.links.ids() {
            self.close(link, cx);
        }
    }

    fn beat(&mut self, cx: &mut Context<Self>) {
        self.check_pause(cx);
        let before = self.clock.monotonic().saturating_sub(self.timing.deadline);
        for link in self.links.silent_since(before) {
            log::log(log::LINK_SILENT, format_args!("entry {}", self.links.peer(link)));
            self.close(link, cx);
        }
        frames::tick_config(self, cx);
        self.schedule(cx);
    }

    /// Forgets a connection and tells the core.
    pub(crate) fn close(&mut self, link: server::LinkId, cx: &mut Context<Self>) {
        let peer = self.links.peer(link).to_owned();
        if self.links.close(link) {
            log::log(log::LINK_CLOSED, format_args!("entry {peer}"));
            self.push(events::Event::LinkDown(link), cx);
        }
    }
}

impl Actor for AgentActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.run_interval(BEAT, Self::beat);
        cx.run_interval(self.timing.heartbeat, |actor, cx| {
            frames::beat_all(actor);
            effects::probe(actor, cx);
        });
        effects::probe(self, cx);
        if let Some((_, poll)) = self.host_list {
            cx.run_interval(poll, |actor, cx| effects::read_host_list(actor, cx));
        }
    }
}

/// Tick runs the core over the events that wait.
#[derive(Message)]
#[rtype(result = "()")]
struct Tick;

impl Handler<Tick> for AgentActor {
    type Result = ();

    fn handle(&mut self, _: Tick, cx: &mut Context<Self>) {
        self.tick(cx);
    }
}

/// OnLink says what happened to a connection.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OnLink(pub server::LinkEvent);

impl Handler<OnLink> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: OnLink, cx: &mut Context<Self>) {
        self.check_pause(cx);
        frames::take(self, message.0, cx);
    }
}

/// Happened hands an event to the core.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Happened(pub events::Event);

impl Handler<Happened> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: Happened, cx: &mut Context<Self>) {
        self.push(message.0, cx);
    }
}

/// Exchanged says how an exchange with the target ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Exchanged {
    pub(crate) job: events::JobId,
    pub(crate) keep: bool,
    pub(crate) outcome: target::Outcome,
}

impl Handler<Exchanged> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: Exchanged, cx: &mut Context<Self>) {
        effects::exchanged(self, &message, cx);
    }
}

/// ProbeDone brings the outcome of a health probe.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ProbeDone(pub(crate) events::ProbeOutcome);

impl Handler<ProbeDone> for AgentActor {
    type Result = ();

    fn handle(&mut self, message: ProbeDone, cx: &mut Context<Self>) {
        effects::probed(self, message.0, cx);
    }
}

/// IsIdle asks whether every answer has been sent.
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
