//! The actor around the entry's core: frames and requests in, attempts and answers out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext as _, Context, Handler, Message, MessageResult};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::collections::Map;
use crate::config::{codec, replica, view};
use crate::entry::accepted::Accepted;
use crate::entry::core::events::{self as core_events, Effect, Event, NewRequest};
use crate::entry::core::tables::{AttemptNumber, RequestId};
use crate::entry::core::{EntryWorld, Options, crashes};
use crate::entry::links::{self, Links, SendFrame};
use crate::entry::membership::Membership;
use crate::entry::{frames, metrics, outbound, relay};
use crate::members::addresses::Address;
use crate::settings::entry::Peer;
use crate::telemetry::events;
use crate::wire;
use crate::wire::frame::Kind;
use crate::wire::{client, server};

/// How often deadlines are looked at while requests are open and nothing else happens.
const BEAT: Duration = Duration::from_millis(20);
/// How often members and the configuration's age are looked at.
const MEMBERSHIP_BEAT: Duration = Duration::from_millis(100);

/// Open is one request that has no final answer.
struct Open {
    relay: relay::Relay,
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
            Effect::Refuse { request, refusal } | Effect::Break { request, refusal } => {
                self.parts.metrics.refused(&refusal);
                if let Some(mut open) = self.requests.remove(&request) {
                    open.relay.refuse(refusal);
                }
            }
            Effect::Finish { request } => drop(self.requests.remove(&request)),
            Effect::TellCrashes => self.beat(),
        }
    }

    fn start(&mut self, start: &core_events::StartAttempt) {
        let incarnation = self.incarnation();
        let Some(open) = self.requests.get_mut(&start.request) else { return };
        self.parts.metrics.attempts.inc();
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
            relay::Step::PassedOn => self.tick(vec![Event::PassedOn(attempt)]),
            relay::Step::Answered => {
                self.waiting.remove(&attempt);
                self.tick(vec![Event::Answered(attempt)]);
            }
            relay::Step::Broken => {
                self.waiting.remove(&attempt);
                self.tick(vec![Event::AnswerBroken(attempt)]);
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
            self.tick(vec![Event::CrashesHeard(frames::crash_reports(heartbeat))]);
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
        let targets = links::wanted(&view, &self.parts.options.data_centre);
        let names = targets.iter().map(|target| target.name.as_str());
        self.parts.membership.expect_agents(names);
        let agents = targets.iter().map(|target| (agent_of(&target.name), target.spec.agent));
        let agents: Map<Arc<str>, SocketAddr> = agents.collect();
        self.dial_only(&agents, wire::Role::Agent, cx);
        self.beat();
    }

    fn dial_peers(&mut self, cx: &mut Context<Self>) {
        let membership = &self.parts.membership;
        let own = membership.own();
        let peers = links::dialled_peers(&own.name, &own.data_centre, membership.peers());
        let name = |peer: &Peer| codec::process_name(wire::Role::Entry, &peer.name);
        let peers = peers.into_iter().map(|peer| (name(peer), peer.link)).collect();
        self.dial_only(&peers, wire::Role::Entry, cx);
    }

    /// Keeps links to these processes of a role, and to no others of it.
    fn dial_only(
        &mut self,
        wanted: &Map<Arc<str>, SocketAddr>,
        role: wire::Role,
        cx: &mut Context<Self>,
    ) {
        let prefix = codec::process_name(role, "");
        let is_dropped = |(process, dial): &(&Arc<str>, &Dial)| {
            process.starts_with(&*prefix) && wanted.get(*process) != Some(&dial.address)
        };
        let dropped: Vec<Arc<str>> =
            self.dials.iter().filter(is_dropped).map(|(process, _)| Arc::clone(process)).collect();
        for process in dropped {
            if let Some(dial) = self.dials.remove(&process) {
                dial.task.abort();
            }
            self.lose_dialled(&process, "the configuration no longer names it");
        }
        for (process, address) in wanted {
            if !self.dials.contains_key(process) {
                let task = (self.parts.dialler)(process, *address, cx.address());
                self.dials.insert(Arc::clone(process), Dial { address: *address, task });
            }
        }
    }

    fn link_up(
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
        let serial = self.links.up(Arc::clone(process), member, send);
        if role == wire::Role::Agent {
            self.tick(vec![Event::LinkUp { target: name, incarnation, region }]);
        }
        if let Some(heartbeat) = &hello.heartbeat {
            self.heartbeat(process, heartbeat, cx);
        }
        self.beat();
        Some(serial)
    }

    fn link_down(&mut self, process: &Arc<str>, serial: u64, cause: &str) {
        let Some(member) = self.links.member(process).cloned() else { return };
        if !self.links.down(process, serial) {
            return;
        }
        events::log(events::LINK_DOWN, format_args!("process={process} cause={cause}"));
        match member.role() {
            wire::Role::Agent => self.tick(vec![Event::LinkDown { target: member.name }]),
            wire::Role::Entry => self.parts.membership.disconnected(&member.name),
            wire::Role::Unspecified => {}
        }
    }

    fn lose_dialled(&mut self, process: &Arc<str>, cause: &str) {
        if let Some(serial) = self.serials.remove(process) {
            self.link_down(process, serial, cause);
        }
    }

    fn accepted(&mut self, event: server::LinkEvent, cx: &mut Context<Self>) {
        let now = self.now();
        match event {
            server::LinkEvent::Opened { link, sender } => {
                let member = Some(self.parts.membership.own().clone());
                let hello = wire::Hello { member, heartbeat: None };
                self.accepted.open(link, sender, now, hello);
            }
            server::LinkEvent::Frame { link, kind } => match *kind {
                Kind::Hello(hello) => {
                    let process = codec::name_of(&hello.member.clone().unwrap_or_default());
                    let Some(send) = self.accepted.send_on(link) else { return };
                    let serial = self.link_up(&process, &hello, send, cx);
                    self.accepted.name(link, process, serial);
                }
                kind => {
                    if let Some(process) = self.accepted.heard(link, now) {
                        self.frame(&process, kind, cx);
                    }
                }
            },
            server::LinkEvent::Closed(link) => self.drop_accepted(link, "closed"),
        }
    }

    fn drop_accepted(&mut self, link: server::LinkId, cause: &str) {
        if let Some((process, serial)) = self.accepted.close(link) {
            self.link_down(&process, serial, cause);
        }
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

    fn handle(&mut self, message: Submit, cx: &mut Self::Context) {
        let Submit { request, outbound, tx } = message;
        self.parts.metrics.requests.inc();
        let open = Open { relay: relay::Relay::new(tx), outbound };
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

    fn handle(&mut self, message: CallerGone, _: &mut Self::Context) {
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

    fn handle(&mut self, message: Dialled, cx: &mut Self::Context) {
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

    fn handle(&mut self, message: OnLink, cx: &mut Self::Context) {
        self.accepted(message.0, cx);
    }
}

/// ConfigEvent is what the key-value service answered.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigEvent(pub replica::Event);

impl Handler<ConfigEvent> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: ConfigEvent, cx: &mut Self::Context) {
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

    fn handle(&mut self, message: AskAddresses, _: &mut Self::Context) -> Vec<Address> {
        self.parts.membership.addresses(message.caller, self.parts.address_keep, self.now())
    }
}

/// Leave begins a planned stop; the answer is how long callers may still come.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct Leave;

impl Handler<Leave> for EntryActor {
    type Result = MessageResult<Leave>;

    fn handle(&mut self, _: Leave, _: &mut Self::Context) -> Self::Result {
        let (keep, now) = (self.parts.address_keep, self.now());
        let left = self.parts.membership.leave(keep, now);
        self.beat();
        MessageResult(left)
    }
}
