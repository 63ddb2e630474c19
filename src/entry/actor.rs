//! The actor that drives the entry's core: it turns requests and frames into events, and effects
//! into frames and answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext as _, Context};
use tokio::task::JoinHandle;

pub use messages::{
    AcceptedLinkEvent, CallerDisconnected, CallerRead, ConfigEvent, DialledLinkEvent, GetAddresses,
    HostListRead, Leave, Submit,
};

mod linking;
mod messages;

use crate::clock::Clock;
use crate::collections::Map;
use crate::config::{codec, replica, view};
use crate::entry::accepted::AcceptedLinks;
use crate::entry::core::events::{self as core_events, Effect, Event};
use crate::entry::core::tables::{AttemptNumber, RequestId};
use crate::entry::core::{EntryWorld, Options, crashes};
use crate::entry::links::{self, Links};
use crate::entry::membership::Membership;
use crate::entry::{frames, metrics, outbound, relay};
use crate::telemetry::events;
use crate::wire;
use crate::wire::frame::Kind;

/// How often deadlines are checked while requests are open.
const DEADLINE_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often silent links, members and the age of the configuration are checked.
const MEMBERSHIP_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A request without a final answer.
struct OpenRequest {
    relay: relay::Relay,
    /// The latest attempt.
    attempt: Option<AttemptNumber>,
    outbound: outbound::Outbound,
}

/// The task that keeps a link to one process open.
struct DialTask {
    address: SocketAddr,
    handle: JoinHandle<()>,
}

/// Starts the task that keeps a link to the process at an address open and reports the link's
/// events to the actor.
pub type StartDial = Box<dyn Fn(&Arc<str>, SocketAddr, Addr<EntryActor>) -> JoinHandle<()>>;

/// The components of an entry's actor.
pub struct Parts {
    /// The location of the entry and the limits of the core.
    pub options: Options,
    /// The source of the core's time.
    pub clock: Clock,
    /// Configuration, members and heartbeats.
    pub membership: Membership,
    /// Starts the tasks that keep links to other processes open.
    pub start_dial: StartDial,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// How long an accepted link may be silent before it is dropped.
    pub link_deadline: Duration,
    /// How long callers may keep an address that this entry returned.
    pub address_keep: Duration,
    /// The counters and gauges of the entry.
    pub metrics: metrics::EntryMetrics,
    /// Set to true while the entry accepts requests; read by the readiness check.
    pub ready: Arc<AtomicBool>,
}

/// Owns the core and performs its effects.
pub struct EntryActor {
    world: EntryWorld,
    parts: Parts,
    requests: Map<RequestId, OpenRequest>,
    /// The requests of the attempts whose frames are expected.
    request_of_attempt: Map<AttemptNumber, RequestId>,
    links: Links,
    accepted: AcceptedLinks,
    /// Serials of the open links that this entry dialled, by process name.
    dialled_serials: Map<Arc<str>, u64>,
    dials: Map<Arc<str>, DialTask>,
    /// True while a check of the deadlines is scheduled.
    deadline_tick_scheduled: bool,
}

impl EntryActor {
    /// Returns an actor without a configuration and without links.
    pub fn new(parts: Parts) -> Self {
        Self {
            world: EntryWorld::new(parts.options.clone()),
            parts,
            requests: Map::default(),
            request_of_attempt: Map::default(),
            links: Links::default(),
            accepted: AcceptedLinks::default(),
            dialled_serials: Map::default(),
            dials: Map::default(),
            deadline_tick_scheduled: false,
        }
    }

    /// Returns the core, for explanations of its routing.
    pub(super) fn world(&self) -> &EntryWorld {
        &self.world
    }

    /// Returns the current time of the core's clock.
    pub(super) fn now(&self) -> Duration {
        self.parts.clock.monotonic()
    }

    fn incarnation(&self) -> u64 {
        self.parts.membership.local_member().incarnation
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
                if let Some(mut open) = self.remove_request(request) {
                    open.relay.refuse(refusal);
                }
            }
            Effect::Finish { request } => drop(self.remove_request(request)),
            Effect::BroadcastCrashes => self.send_heartbeats(),
        }
    }

    /// Removes a request and its latest attempt, whose frames are ignored from now on.
    fn remove_request(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(&request)?;
        if let Some(attempt) = open.attempt {
            self.request_of_attempt.remove(&attempt);
        }
        Some(open)
    }

    fn start(&mut self, start: &core_events::StartAttempt) {
        let incarnation = self.incarnation();
        let Some(open) = self.requests.get_mut(&start.request) else { return };
        self.parts.metrics.attempts.inc();
        if let Some(earlier) = open.attempt.replace(start.attempt) {
            self.request_of_attempt.remove(&earlier);
        }
        self.request_of_attempt.insert(start.attempt, start.request);
        open.relay.begin(start.attempt, &start.target);
        let resume_from = start.resume.then(|| open.relay.tokens());
        let frame = open.outbound.frame(start, incarnation, resume_from);
        self.links.send(&agent_name(&start.target), Kind::StartAttempt(frame));
    }

    fn cancel(&mut self, attempt: AttemptNumber, target: &str) {
        self.request_of_attempt.remove(&attempt);
        let id = wire::AttemptId { incarnation: self.incarnation(), counter: attempt.0 };
        let cancel = wire::CancelAttempt { id: Some(id) };
        self.links.send(&agent_name(target), Kind::CancelAttempt(cancel));
    }

    /// Passes a frame of an answer to the relay of its request. The core is only notified of the
    /// answer's start and end, so that bodies bypass it.
    fn relay_frame(
        &mut self,
        id: Option<&wire::AttemptId>,
        step: impl FnOnce(&mut relay::Relay, AttemptNumber) -> relay::Step,
    ) {
        let Some(attempt) = self.local_attempt(id) else { return };
        let Some(request) = self.request_of_attempt.get(&attempt) else { return };
        let Some(open) = self.requests.get_mut(request) else { return };
        let (request, step) = (*request, step(&mut open.relay, attempt));
        self.tell_taken(request);
        match step {
            relay::Step::Nothing => {}
            relay::Step::Started => self.tick(vec![Event::AnswerStarted(attempt)]),
            relay::Step::Answered => {
                self.request_of_attempt.remove(&attempt);
                self.tick(vec![Event::Answered(attempt)]);
            }
            relay::Step::Failed => {
                self.request_of_attempt.remove(&attempt);
                self.tick(vec![Event::AnswerInterrupted(attempt)]);
            }
        }
    }

    /// Tells the agent that answers a request how much of the answer its caller has taken, if that is
    /// much more than it was told.
    fn tell_taken(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some((attempt, bytes)) = open.attempt.zip(open.relay.newly_taken()) else { return };
        let agent = agent_name(open.relay.target());
        let id = wire::AttemptId { incarnation: self.incarnation(), counter: attempt.0 };
        let taken = wire::AnswerTaken { id: Some(id), bytes };
        self.links.send(&agent, Kind::AnswerTaken(taken));
    }

    /// Returns the attempt to which a frame belongs, or `None` if another incarnation of the entry
    /// made it.
    fn local_attempt(&self, id: Option<&wire::AttemptId>) -> Option<AttemptNumber> {
        let id = id.filter(|id| id.incarnation == self.incarnation())?;
        Some(AttemptNumber(id.counter))
    }

    /// Handles a frame from another process.
    fn handle_frame(&mut self, process: &Arc<str>, kind: Kind, cx: &mut Context<Self>) {
        match kind {
            Kind::Heartbeat(heartbeat) => self.handle_heartbeat(process, &heartbeat, cx),
            Kind::AnswerHead(head) => {
                let status = u16::try_from(head.status).unwrap_or_default();
                let headers = outbound::pairs(head.headers);
                self.relay_frame(head.id.as_ref(), |relay, id| relay.head(id, status, headers));
            }
            Kind::AnswerBody(body) => {
                self.relay_frame(body.id.as_ref(), |relay, id| {
                    relay.body(id, body.index, body.data)
                });
            }
            Kind::AnswerEnd(end) => self.relay_frame(end.id.as_ref(), |relay, id| {
                relay.end(id, end.pieces, end.length, end.complete)
            }),
            Kind::Refusal(refusal) => self.handle_refusal(&refusal),
            Kind::ConfigRequest(request) => {
                let event = replica::Event::PeerRequest(Arc::clone(process), request.have_revision);
                self.handle_config_event(event, cx);
            }
            Kind::ConfigState(state) => {
                self.handle_config_event(replica::Event::PeerState(state), cx);
            }
            Kind::Hello(_)
            | Kind::StartAttempt(_)
            | Kind::CancelAttempt(_)
            | Kind::AnswerTaken(_) => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        process: &Arc<str>,
        heartbeat: &wire::Heartbeat,
        cx: &mut Context<Self>,
    ) {
        let Some(member) = self.links.member(process).cloned() else { return };
        let now = self.now();
        let changed = self.parts.membership.receive_heartbeat(&member, heartbeat, &self.links, now);
        if !heartbeat.fingerprints.is_empty() {
            self.tick(vec![Event::CrashesReported(frames::crash_reports(heartbeat))]);
        }
        if member.role() == wire::Role::Agent {
            self.handle_agent_report(member.name, heartbeat);
        }
        self.update_core_configuration(changed, cx);
    }

    fn handle_agent_report(&mut self, target: String, heartbeat: &wire::Heartbeat) {
        if heartbeat.load.is_some() {
            let report = frames::target_report(heartbeat);
            self.tick(vec![Event::Heartbeat { target, report }]);
        }
    }

    fn handle_refusal(&mut self, refusal: &wire::Refusal) {
        let Some(attempt) = self.local_attempt(refusal.id.as_ref()) else { return };
        self.request_of_attempt.remove(&attempt);
        self.tick(frames::refused(refusal).into_iter().collect());
    }

    fn handle_config_event(&mut self, event: replica::Event, cx: &mut Context<Self>) {
        let now = self.now();
        let changed = self.parts.membership.handle(event, &self.links, now);
        self.update_core_configuration(changed, cx);
    }

    /// Notifies the core of a newer configuration, or of a change in how long the configuration
    /// counts as current.
    fn update_core_configuration(&mut self, changed: bool, cx: &mut Context<Self>) {
        if changed {
            self.apply_configuration(cx);
        }
        let until = self.parts.membership.may_serve_until(self.now());
        if until != self.world.tables.serves_until {
            self.parts.ready.store(until > self.now(), Ordering::Relaxed);
            self.tick(vec![Event::MayServeUntil(until)]);
        }
    }

    fn apply_configuration(&mut self, cx: &mut Context<Self>) {
        let view = Arc::new(view::View::new(self.parts.membership.state()));
        events::log(events::CONFIG_IN_FORCE, format_args!("revision={}", view.revision()));
        self.tick(vec![Event::ConfigChanged(Arc::clone(&view))]);
        let targets = links::targets_to_link(&view, &self.parts.options.data_centre);
        let names = targets.iter().map(|target| target.name.as_str());
        self.parts.membership.expect_agents(names);
        let agents = targets.iter().map(|target| (agent_name(&target.name), target.spec.agent));
        let agents: Map<Arc<str>, SocketAddr> = agents.collect();
        self.set_dialled(&agents, wire::Role::Agent, cx);
        self.send_heartbeats();
    }

    /// Schedules checks of the deadlines for as long as requests are open.
    fn schedule_deadline_tick(&mut self, cx: &mut Context<Self>) {
        if self.deadline_tick_scheduled || self.world.open_requests() == 0 {
            return;
        }
        self.deadline_tick_scheduled = true;
        cx.run_later(DEADLINE_TICK_INTERVAL, |actor, cx| {
            actor.deadline_tick_scheduled = false;
            actor.tick(Vec::new());
            actor.schedule_deadline_tick(cx);
        });
    }

    fn send_heartbeats(&mut self) {
        let now = self.now();
        let load = u32::try_from(self.world.open_requests()).unwrap_or(u32::MAX);
        let crashes = crashes::reports(&self.world.tables, now);
        self.parts.membership.send_heartbeats(load, &crashes, &self.links, now);
    }

    fn update_metrics(&self, now: Duration) {
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
        let changed = self.parts.membership.tick(&self.links, now);
        self.update_core_configuration(changed, cx);
        self.update_metrics(now);
    }
}

/// Returns the process name of a target's agent.
fn agent_name(target: &str) -> Arc<str> {
    codec::process_name(wire::Role::Agent, target)
}

impl Actor for EntryActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(MEMBERSHIP_TICK_INTERVAL, |actor, cx| actor.tick_membership(cx));
        cx.run_interval(self.parts.heartbeat, |actor, _| actor.send_heartbeats());
        self.dial_peers(cx);
    }
}
