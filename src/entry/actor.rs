//! The actor around the entry's core: frames and requests in, attempts and answers out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext as _, Context};
use tokio::task::JoinHandle;

pub use messages::{
    AskAddresses, CallerGone, ConfigEvent, Dialled, HostListRead, Leave, OnLink, Submit,
};

mod linking;
mod messages;

use crate::clock::Clock;
use crate::collections::Map;
use crate::config::{codec, replica, view};
use crate::entry::accepted::Accepted;
use crate::entry::core::events::{self as core_events, Effect, Event};
use crate::entry::core::tables::{AttemptNumber, RequestId};
use crate::entry::core::{EntryWorld, Options, crashes};
use crate::entry::links::{self, Links};
use crate::entry::membership::Membership;
use crate::entry::{frames, metrics, outbound, relay};
use crate::telemetry::events;
use crate::wire;
use crate::wire::frame::Kind;

/// How often deadlines are looked at while requests are open and nothing else happens.
const BEAT: Duration = Duration::from_millis(20);
/// How often members and the configuration's age are looked at.
const MEMBERSHIP_BEAT: Duration = Duration::from_millis(100);

/// Open is one request that has no final answer.
struct Open {
    relay: relay::Relay,
    /// The last attempt.
    attempt: Option<AttemptNumber>,
    outbound: outbound::Outbound,
}

/// Dial is the task that keeps a link to one process.
struct Dial {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Starts the task that keeps a link to the process at an address and reports to the actor.
pub type Dialler = Box<dyn Fn(&Arc<str>, SocketAddr, Addr<EntryActor>) -> JoinHandle<()>>;

/// Parts is what an entry's actor is made of.
pub struct Parts {
    /// The limits of the core.
    pub options: Options,
    /// The clock.
    pub clock: Clock,
    /// Configuration, members and heartbeats.
    pub membership: Membership,
    /// Keeps links to other processes.
    pub dialler: Dialler,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which an accepted link is dropped.
    pub link_deadline: Duration,
    /// How long callers keep an address.
    pub address_keep: Duration,
    /// The metrics.
    pub metrics: metrics::EntryMetrics,
    /// True while the entry takes new work.
    pub ready: Arc<AtomicBool>,
}

/// EntryActor owns the core and what it needs of I/O.
pub struct EntryActor {
    world: EntryWorld,
    parts: Parts,
    requests: Map<RequestId, Open>,
    waiting: Map<AttemptNumber, RequestId>,
    links: Links,
    accepted: Accepted,
    /// Serials of the links that this entry dialled.
    serials: Map<Arc<str>, u64>,
    dials: Map<Arc<str>, Dial>,
    /// True while a look at the deadlines is due.
    deadlines_watched: bool,
}

impl EntryActor {
    /// Returns an actor without any configuration or link.
    pub fn new(parts: Parts) -> Self {
        Self {
            world: EntryWorld::new(parts.options.clone()),
            parts,
            requests: Map::default(),
            waiting: Map::default(),
            links: Links::default(),
            accepted: Accepted::default(),
            serials: Map::default(),
            dials: Map::default(),
            deadlines_watched: false,
        }
    }

    /// Returns the core, for those who explain what it does.
    pub(super) fn world(&self) -> &EntryWorld {
        &self.world
    }

    /// Returns the time by which the core decides.
    pub(super) fn now(&self) -> Duration {
        self.parts.clock.monotonic()
    }

    fn incarnation(&self) -> u64 {
        self.parts.membership.own().incarnation
    }

    fn tick(&mut self, events: Vec<Event>) {
        let mut effects = Vec::new();
        self.world.tick(self.now(), events, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Start(start) => self.start(&start),
            Effect::Cancel { attempt, target } => self.cancel(attempt, &target),
            Effect::Refuse { request, refusal } | Effect::Abort { request, refusal } => {
                self.parts.metrics.refused(&refusal);
                if let Some(mut open) = self.forget(request) {
                    open.relay.refuse(refusal);
                }
            }
            Effect::Finish { request } => drop(self.forget(request)),
            Effect::BroadcastCrashes => self.beat(),
        }
    }

    /// Drops a request with its last attempt, whose frames are passed over from here on.
    fn forget(&mut self, request: RequestId) -> Option<Open> {
        let open = self.requests.remove(&request)?;
        if let Some(attempt) = open.attempt {
            self.waiting.remove(&attempt);
        }
        Some(open)
    }

    fn start(&mut self, start: &core_events::StartAttempt) {
        let incarnation = self.incarnation();
        let Some(open) = self.requests.get_mut(&start.request) else { return };
        self.parts.metrics.attempts.inc();
        if let Some(earlier) = open.attempt.replace(start.attempt) {
            self.waiting.remove(&earlier);
        }
        self.waiting.insert(start.attempt, start.request);
        open.relay.begin(start.attempt, &start.target);
        let resume_from = start.resume.then(|| open.relay.tokens());
        let frame = open.outbound.frame(start, incarnation, resume_from);
        self.links.send(&agent_of(&start.target), Kind::StartAttempt(frame));
    }

    fn cancel(&mut self, attempt: AttemptNumber, target: &str) {
        self.waiting.remove(&attempt);
        let id = wire::AttemptId { incarnation: self.incarnation(), counter: attempt.0 };
        let cancel = wire::CancelAttempt { id: Some(id) };
        self.links.send(&agent_of(target), Kind::CancelAttempt(cancel));
    }

    /// Passes a frame of an answer on; the body does not go through the core.
    fn relay(
        &mut self,
        id: Option<&wire::AttemptId>,
        step: impl FnOnce(&mut relay::Relay, AttemptNumber) -> relay::Step,
    ) {
        let Some(attempt) = self.own_attempt(id) else { return };
        let Some(request) = self.waiting.get(&attempt) else { return };
        let Some(open) = self.requests.get_mut(request) else { return };
        match step(&mut open.relay, attempt) {
            relay::Step::Nothing => {}
            relay::Step::Started => self.tick(vec![Event::AnswerStarted(attempt)]),
            relay::Step::Answered => {
                self.waiting.remove(&attempt);
                self.tick(vec![Event::Answered(attempt)]);
            }
            relay::Step::Failed => {
                self.waiting.remove(&attempt);
                self.tick(vec![Event::AnswerInterrupted(attempt)]);
            }
        }
    }

    /// Returns the attempt that a frame is for, where this life of the entry made it.
    fn own_attempt(&self, id: Option<&wire::AttemptId>) -> Option<AttemptNumber> {
        let id = id.filter(|id| id.incarnation == self.incarnation())?;
        Some(AttemptNumber(id.counter))
    }

    /// Takes a frame of another process.
    fn frame(&mut self, process: &Arc<str>, kind: Kind, cx: &mut Context<Self>) {
        match kind {
            Kind::Heartbeat(heartbeat) => self.heartbeat(process, &heartbeat, cx),
            Kind::AnswerHead(head) => {
                let status = u16::try_from(head.status).unwrap_or_default();
                let headers = outbound::pairs(head.headers);
                self.relay(head.id.as_ref(), |relay, id| relay.head(id, status, headers));
            }
            Kind::AnswerBody(body) => {
                self.relay(body.id.as_ref(), |relay, id| relay.body(id, body.index, body.data));
            }
            Kind::AnswerEnd(end) => self.relay(end.id.as_ref(), |relay, id| {
                relay.end(id, end.pieces, end.length, end.complete)
            }),
            Kind::Refusal(refusal) => self.refusal(&refusal),
            Kind::ConfigRequest(request) => {
                let event = replica::Event::PeerRequest(Arc::clone(process), request.have_revision);
                self.config_event(event, cx);
            }
            Kind::ConfigState(state) => {
                self.config_event(replica::Event::PeerState(state), cx);
            }
            Kind::Hello(_) | Kind::StartAttempt(_) | Kind::CancelAttempt(_) => {}
        }
    }

    fn heartbeat(
        &mut self,
        process: &Arc<str>,
        heartbeat: &wire::Heartbeat,
        cx: &mut Context<Self>,
    ) {
        let Some(member) = self.links.member(process).cloned() else { return };
        let now = self.now();
        let moved = self.parts.membership.hear(&member, heartbeat, &self.links, now);
        if !heartbeat.fingerprints.is_empty() {
            self.tick(vec![Event::CrashesReported(frames::crash_reports(heartbeat))]);
        }
        if member.role() == wire::Role::Agent {
            self.agent_reported(member.name, heartbeat);
        }
        self.after_config(moved, cx);
    }

    fn agent_reported(&mut self, target: String, heartbeat: &wire::Heartbeat) {
        if heartbeat.load.is_some() {
            let report = frames::target_report(heartbeat);
            self.tick(vec![Event::Heartbeat { target, report }]);
        }
    }

    fn refusal(&mut self, refusal: &wire::Refusal) {
        let Some(attempt) = self.own_attempt(refusal.id.as_ref()) else { return };
        self.waiting.remove(&attempt);
        self.tick(frames::refused(refusal).into_iter().collect());
    }

    fn config_event(&mut self, event: replica::Event, cx: &mut Context<Self>) {
        let now = self.now();
        let moved = self.parts.membership.handle(event, &self.links, now);
        self.after_config(moved, cx);
    }

    /// Lets the core know what changed in the configuration or in how long it may be relied on.
    fn after_config(&mut self, moved: bool, cx: &mut Context<Self>) {
        if moved {
            self.put_in_force(cx);
        }
        let until = self.parts.membership.may_serve_until(self.now());
        if until != self.world.tables.serves_until {
            self.parts.ready.store(until > self.now(), Ordering::Relaxed);
            self.tick(vec![Event::MayServeUntil(until)]);
        }
    }

    fn put_in_force(&mut self, cx: &mut Context<Self>) {
        let view = Arc::new(view::View::new(self.parts.membership.state()));
        events::log(events::CONFIG_IN_FORCE, format_args!("revision={}", view.revision()));
        self.tick(vec![Event::ConfigChanged(Arc::clone(&view))]);
        let targets = links::targets_to_link(&view, &self.parts.options.data_centre);
        let names = targets.iter().map(|target| target.name.as_str());
        self.parts.membership.expect_agents(names);
        let agents = targets.iter().map(|target| (agent_of(&target.name), target.spec.agent));
        let agents: Map<Arc<str>, SocketAddr> = agents.collect();
        self.dial_only(&agents, wire::Role::Agent, cx);
        self.beat();
    }

    /// Looks at deadlines again and again for as long as requests are open.
    fn watch_deadlines(&mut self, cx: &mut Context<Self>) {
        if self.deadlines_watched || self.world.open_requests() == 0 {
            return;
        }
        self.deadlines_watched = true;
        cx.run_later(BEAT, |actor, cx| {
            actor.deadlines_watched = false;
            actor.tick(Vec::new());
            actor.watch_deadlines(cx);
        });
    }

    fn beat(&mut self) {
        let now = self.now();
        let load = u32::try_from(self.world.open_requests()).unwrap_or(u32::MAX);
        let crashes = crashes::reports(&self.world.tables, now);
        self.parts.membership.beat(load, &crashes, &self.links, now);
    }

    fn publish(&self, now: Duration) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let metrics = &self.parts.metrics;
        metrics.targets_taking_work.set(gauge(self.world.targets_taking_work(now)));
        metrics.open_requests.set(gauge(self.world.open_requests()));
    }

    fn tick_membership(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let silent_since = now.saturating_sub(self.parts.link_deadline);
        for link in self.accepted.silent_since(silent_since) {
            self.drop_accepted(link, "silent");
        }
        let moved = self.parts.membership.tick(&self.links, now);
        self.after_config(moved, cx);
        self.publish(now);
    }
}

/// Returns the process name of the agent before a target.
fn agent_of(target: &str) -> Arc<str> {
    codec::process_name(wire::Role::Agent, target)
}

impl Actor for EntryActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(MEMBERSHIP_BEAT, |actor, cx| actor.tick_membership(cx));
        cx.run_interval(self.parts.heartbeat, |actor, _| actor.beat());
        self.dial_peers(cx);
    }
}
