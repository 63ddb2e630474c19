//! The actor around the entry's core: frames and requests in, attempts and answers out.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext as _, Context, Handler, Message};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::collections::Map;
use crate::config::{history, state, view};
use crate::entry::core::events::{self, Effect, Event, NewRequest, ServingState};
use crate::entry::core::tables::{AttemptNumber, RequestId};
use crate::entry::core::{EntryWorld, Options};
use crate::entry::{links, metrics, outbound, relay};
use crate::platform::store;
use crate::wire::client::{self, LinkEvent};
use crate::wire::frame::Kind;
use crate::{telemetry, wire};

/// How often deadlines are looked at while nothing else happens.
const BEAT: Duration = Duration::from_millis(20);

/// Board is what heartbeats say of this entry; the dialers read it.
#[derive(Debug, Default)]
pub struct Board {
    /// The revision of the configuration in force here.
    pub revision: Cell<u64>,
    /// True once this entry takes no new work.
    pub draining: Cell<bool>,
    /// Milliseconds since the configuration was known to be current.
    pub config_age_ms: Cell<u64>,
}

/// Open is one request that has no final answer.
struct Open {
    relay: relay::Relay,
    outbound: outbound::Outbound,
}

/// Dial is the task that keeps a link to one agent.
struct Dial {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Starts the task that keeps a link to a target's agent and reports to the actor.
pub type Dialler = Box<dyn Fn(&str, SocketAddr, Addr<EntryActor>) -> JoinHandle<()>>;

/// EntryActor owns the core and what it needs of I/O.
pub struct EntryActor {
    world: EntryWorld,
    clock: Clock,
    incarnation: u64,
    requests: Map<RequestId, Open>,
    waiting: Map<AttemptNumber, RequestId>,
    links: Map<String, client::Sender>,
    dials: Map<String, Dial>,
    dialler: Dialler,
    board: Rc<Board>,
    config: history::History,
    metrics: metrics::EntryMetrics,
}

impl EntryActor {
    /// Returns an actor without any configuration or link.
    pub fn new(
        options: Options,
        clock: Clock,
        incarnation: u64,
        board: Rc<Board>,
        dialler: Dialler,
        metrics: metrics::EntryMetrics,
    ) -> Self {
        Self {
            world: EntryWorld::new(options),
            clock,
            incarnation,
            requests: Map::default(),
            waiting: Map::default(),
            links: Map::default(),
            dials: Map::default(),
            dialler,
            board,
            config: history::History::default(),
            metrics,
        }
    }

    fn tick(&mut self, events: Vec<Event>) {
        let mut effects = Vec::new();
        self.world.tick(self.clock.monotonic(), events, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Start(start) => self.start(&start),
            Effect::Cancel { attempt, target } => self.cancel(attempt, &target),
            Effect::Refuse { request, refusal } | Effect::Break { request, refusal } => {
                self.metrics.refused(&refusal);
                if let Some(mut open) = self.requests.remove(&request) {
                    open.relay.refuse(refusal);
                }
            }
            Effect::Finish { request } => drop(self.requests.remove(&request)),
        }
    }

    fn start(&mut self, start: &events::StartAttempt) {
        let Some(open) = self.requests.get_mut(&start.request) else { return };
        self.metrics.attempts.inc();
        self.waiting.insert(start.attempt, start.request);
        open.relay.begin(start.attempt, &start.target);
        let resume_from = start.resume.then(|| open.relay.tokens());
        let frame = open.outbound.frame(start, self.incarnation, resume_from);
        if let Some(tx) = self.links.get(&start.target) {
            client::send(tx, Kind::StartAttempt(frame));
        }
    }

    fn cancel(&mut self, attempt: AttemptNumber, target: &str) {
        self.waiting.remove(&attempt);
        let id = wire::AttemptId { incarnation: self.incarnation, counter: attempt.0 };
        if let Some(tx) = self.links.get(target) {
            client::send(tx, Kind::CancelAttempt(wire::CancelAttempt { id: Some(id) }));
        }
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
        let id = id.filter(|id| id.incarnation == self.incarnation)?;
        Some(AttemptNumber(id.counter))
    }

    fn frame(&mut self, target: String, kind: Kind) {
        match kind {
            Kind::Heartbeat(heartbeat) => self.heartbeat(target, &heartbeat),
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
            Kind::ConfigRequest(request) => self.send_config(&target, request.have_revision),
            Kind::Hello(_)
            | Kind::StartAttempt(_)
            | Kind::CancelAttempt(_)
            | Kind::ConfigState(_) => {}
        }
    }

    fn heartbeat(&mut self, target: String, heartbeat: &wire::Heartbeat) {
        let mut events = Vec::new();
        if !heartbeat.fingerprints.is_empty() {
            events.push(Event::CrashesHeard(links::crash_reports(heartbeat)));
        }
        events.push(Event::Heartbeat { target, report: links::target_report(heartbeat) });
        self.tick(events);
    }

    fn refusal(&mut self, refusal: &wire::Refusal) {
        let Some(attempt) = self.own_attempt(refusal.id.as_ref()) else { return };
        self.waiting.remove(&attempt);
        self.tick(links::refused(refusal).into_iter().collect());
    }

    fn send_config(&self, target: &str, have_revision: u64) {
        let Some(answer) = self.config.answer(have_revision) else { return };
        if let Some(tx) = self.links.get(target) {
            client::send(tx, Kind::ConfigState(answer));
        }
    }

    /// Puts the configuration that was just taken over in force here.
    fn put_in_force(&mut self, cx: &mut Context<Self>) {
        self.board.revision.set(self.config.revision());
        let view = Arc::new(view::View::new(self.config.state()));
        self.tick(vec![Event::ConfigChanged(Arc::clone(&view))]);
        if self.world.tables.serving == ServingState::StaleConfig {
            self.tick(vec![Event::Serving(ServingState::Serving)]);
        }
        self.redial(&view, cx);
    }

    /// Links to the agents that the configuration names now, and to no others.
    fn redial(&mut self, view: &view::View, cx: &mut Context<Self>) {
        let wanted: Map<String, SocketAddr> = links::wanted(view, &self.world.options.data_centre)
            .into_iter()
            .map(|target| (target.name.clone(), target.spec.agent))
            .collect();
        let stale = |(name, dial): &(&String, &Dial)| wanted.get(*name) != Some(&dial.address);
        let dropped: Vec<String> =
            self.dials.iter().filter(stale).map(|(name, _)| name.clone()).collect();
        for target in dropped {
            if let Some(dial) = self.dials.remove(&target) {
                dial.task.abort();
            }
            self.lose_link(target, "the configuration no longer names it");
        }
        for (target, address) in wanted {
            let dial = || Dial { address, task: (self.dialler)(&target, address, cx.address()) };
            self.dials.entry(target.clone()).or_insert_with(dial);
        }
    }

    fn link_up(&mut self, target: String, hello: &wire::Hello, tx: client::Sender) {
        let incarnation = hello.member.as_ref().map_or(0, |member| member.incarnation);
        telemetry::events::log(
            telemetry::events::LINK_UP,
            format_args!("target={target} incarnation={incarnation:x}"),
        );
        self.links.insert(target.clone(), tx);
        let heartbeat = hello.heartbeat.clone().unwrap_or_default();
        self.tick(vec![Event::LinkUp { target: target.clone(), incarnation }]);
        self.heartbeat(target, &heartbeat);
    }

    fn lose_link(&mut self, target: String, cause: &str) {
        if self.links.remove(&target).is_none() {
            return;
        }
        telemetry::events::log(
            telemetry::events::LINK_DOWN,
            format_args!("target={target} cause={cause}"),
        );
        self.tick(vec![Event::LinkDown { target }]);
    }
}

impl Actor for EntryActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(BEAT, |actor, _| actor.tick(Vec::new()));
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

    fn handle(&mut self, message: Submit, _: &mut Self::Context) {
        let Submit { request, outbound, tx } = message;
        self.metrics.requests.inc();
        let open = Open { relay: relay::Relay::new(tx), outbound };
        self.requests.insert(request.id, open);
        self.tick(vec![Event::Submitted(request)]);
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

/// TargetLink is something that happened on the link to a target's agent.
#[derive(Message)]
#[rtype(result = "()")]
pub struct TargetLink {
    /// The target.
    pub target: String,
    /// What happened.
    pub event: LinkEvent,
}

impl Handler<TargetLink> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: TargetLink, _: &mut Self::Context) {
        let TargetLink { target, event } = message;
        match event {
            LinkEvent::Up { hello, tx } => self.link_up(target, &hello, tx),
            LinkEvent::Frame(kind) => self.frame(target, kind),
            LinkEvent::Down(error) => self.lose_link(target, &error.to_string()),
        }
    }
}

/// ConfigFeed is what the store said of the configuration.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum ConfigFeed {
    /// The whole configuration.
    Whole(store::Range),
    /// What changed since the last feed.
    Changed(state::Delta),
}

impl Handler<ConfigFeed> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: ConfigFeed, cx: &mut Self::Context) {
        let moved = match message {
            ConfigFeed::Whole(range) => self.config.replace(&range),
            ConfigFeed::Changed(delta) => self.config.apply_delta(&delta),
        };
        if moved.is_ok() {
            self.put_in_force(cx);
        }
    }
}

/// SetServing tells the core whether to take new work.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetServing(pub ServingState);

impl Handler<SetServing> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: SetServing, _: &mut Self::Context) {
        self.board.draining.set(message.0 == ServingState::Draining);
        self.tick(vec![Event::Serving(message.0)]);
    }
}
