//! Runs the agent beside one rank: looks at its engine, tells the other agents, and coordinates
//! its group while it has the lowest rank of those whose agents live.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::result;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::time;

use crate::clock::Clock;
use crate::daemon::{reload, signals};
use crate::direct::daemon::life;
use crate::direct::fleet::{self, FleetMessage, ShapeMessage};
use crate::direct::http::Codecs;
use crate::direct::listener;
use crate::direct::peers::{Heartbeat, RankNotice};
use crate::direct::pool::Pool;
use crate::expert_map::map::Shape;
use crate::ranks::demand::Demand;
use crate::ranks::engine::Engines;
use crate::ranks::orders::{self, OrderAnswer, OrderMessage};
use crate::ranks::rebalance::{self, Limits};
use crate::ranks::report::{EngineProtocol, Held, Order, OrderOutcome, Picks, RankReport};
use crate::ranks::stall::Stall;
use crate::ranks::status::{COUNTS_PER_MESSAGE, CountsMessage, Members, RankMessage, StateMessage};
use crate::ranks::switch::{Given, Progress, Switcher};
use crate::settings;
use crate::settings::rank::RankSettings;
use crate::telemetry::{admin, events, logs};

/// The result of running an agent.
pub type Result<T> = result::Result<T, AgentError>;

/// AgentError is why an agent cannot run.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// The metrics cannot be registered.
    #[error("The metrics cannot be registered.")]
    Metrics(#[from] prometheus::Error),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] listener::ListenError),
    /// The address for states cannot be used.
    #[error("The address {address} cannot be used for states.")]
    States {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: io::Error,
    },
    /// Signals cannot be waited for.
    #[error(transparent)]
    Signals(#[from] signals::SignalError),
}

/// Pause between two looks at the entries' list of targets.
const FLEET_EVERY: Duration = Duration::from_secs(1);

/// Pause between two messages to entries that a group is closed; entries may have just started.
const CLOSED_EVERY: Duration = Duration::from_millis(200);

/// Pause before another entry is asked after one did not answer.
const FLEET_RETRY: Duration = Duration::from_millis(150);

/// Pause between two decisions of a coordinator.
const DECIDE_EVERY: Duration = Duration::from_millis(50);

/// Decisions between two plans.
const DECISIONS_PER_PLAN: u32 = 2;

/// Every how many looks all agents of the service are told, not only those that may coordinate.
const TELL_ALL_EVERY: u64 = 4;

/// Pause between two looks at an engine that loads experts, since the whole group waits for it.
const LOADING_BEAT: Duration = Duration::from_millis(40);

/// Time after the start in which an agent only listens, so that a restarted one does not take a
/// group over from a coordinator that it has not heard yet.
const LISTEN_FIRST: Duration = Duration::from_millis(600);

/// Idle time of connections from other agents.
const INTERNAL_IDLE: Duration = Duration::from_secs(5);

/// Metrics counts what an agent does.
struct Metrics {
    orders: IntCounterVec,
    switches: IntCounter,
    map_version: IntGauge,
    skew_percent: IntGauge,
}

impl Metrics {
    fn register(registry: &Registry) -> result::Result<Self, prometheus::Error> {
        let opts = Opts::new("bitternwall_rank_orders_total", "Orders to engines by outcome.");
        let orders = IntCounterVec::new(opts, &["order", "outcome"])?;
        let switches =
            IntCounter::new("bitternwall_rank_switches_total", "Changes of the map begun here.")?;
        let map_version =
            IntGauge::new("bitternwall_rank_map_version", "The version of the map in use.")?;
        let skew_percent = IntGauge::new(
            "bitternwall_rank_skew_percent",
            "The busiest rank's expected work against the mean rank's, in percent.",
        )?;
        registry.register(Box::new(orders.clone()))?;
        registry.register(Box::new(switches.clone()))?;
        registry.register(Box::new(map_version.clone()))?;
        registry.register(Box::new(skew_percent.clone()))?;
        Ok(Self { orders, switches, map_version, skew_percent })
    }
}

/// Agent is the state that the tasks of one process share.
struct Agent {
    clock: Clock,
    settings: RankSettings,
    life: u64,
    engines: Engines,
    codecs: Codecs,
    socket: UdpSocket,
    metrics: Metrics,
    engine_answers: Cell<Option<bool>>,
    reading: Cell<u64>,
    stall: RefCell<Stall>,
    stands_still: Cell<bool>,
    own: RefCell<Option<RankReport>>,
    held: RefCell<Held>,
    members: RefCell<Members>,
    fleet: RefCell<FleetMessage>,
    entries: RefCell<Vec<SocketAddr>>,
    told_open: Cell<Option<(bool, Duration)>>,
    switcher: RefCell<Switcher>,
    demand: RefCell<Demand>,
    coordinates: Cell<bool>,
    loading: Cell<bool>,
    progress: Cell<Progress>,
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns an error where the agent cannot start.
pub async fn run(file: PathBuf, settings: RankSettings, protocol: EngineProtocol) -> Result<()> {
    logs::start_on_stdout(&settings.log)?;
    actix_rt::spawn(reload::follow(file, settings.clone(), settings::rank::check));
    let clock = Clock::system();
    let registry = Registry::new();
    let metrics = Metrics::register(&registry)?;
    let address = settings.listen.peers;
    let socket =
        UdpSocket::bind(address).await.map_err(|source| AgentError::States { address, source })?;
    let life = life(clock.wall());
    let agent = Rc::new(Agent {
        engines: Engines { protocol, pool: Pool::new(clock.clone()) },
        codecs: Codecs::new(),
        socket,
        metrics,
        engine_answers: Cell::new(None),
        reading: Cell::new(0),
        stall: RefCell::default(),
        stands_still: Cell::new(false),
        own: RefCell::default(),
        held: RefCell::default(),
        members: RefCell::default(),
        fleet: RefCell::default(),
        entries: RefCell::default(),
        told_open: Cell::new(None),
        switcher: RefCell::new(Switcher::new(life)),
        demand: RefCell::default(),
        coordinates: Cell::new(false),
        loading: Cell::new(false),
        progress: Cell::new(Progress::Idle),
        clock,
        life,
        settings,
    });
    serve(&agent, &registry).await?;
    actix_rt::spawn(Rc::clone(&agent).follow_fleet());
    actix_rt::spawn(Rc::clone(&agent).look());
    actix_rt::spawn(Rc::clone(&agent).listen());
    actix_rt::spawn(Rc::clone(&agent).coordinate());
    let RankSettings { name, data_centre, engine, .. } = &agent.settings;
    events::log(
        events::PROCESS_STARTED,
        format_args!("name={name} data_centre={data_centre} engine={engine} peers={address}"),
    );
    let signal = signals::stop_requested().await?;
    events::log(events::STOP_STARTED, format_args!("signal={signal}"));
    agent.finish().await;
    events::log(events::STOP_FINISHED, format_args!("name={}", agent.settings.name));
    Ok(())
}

async fn serve(agent: &Rc<Agent>, registry: &Registry) -> Result<()> {
    let data = web::Data::new(Rc::clone(agent));
    listener::serve(agent.settings.listen.peers, INTERNAL_IDLE, move |cfg| {
        cfg.app_data(data.clone());
        cfg.route(orders::ORDERS_PATH, web::post().to(take_order));
    })
    .await?;
    let pages = web::Data::new(admin::Admin::new(registry.clone()));
    listener::serve(agent.settings.listen.metrics, INTERNAL_IDLE, move |cfg| {
        cfg.app_data(pages.clone()).configure(admin::configure);
    })
    .await?;
    Ok(())
}

/// Carries an order of the coordinator to the own engine.
async fn take_order(agent: web::Data<Rc<Agent>>, body: Bytes) -> HttpResponse {
    let Some((order, epoch)) = OrderMessage::decode(body).ok().and_then(|message| message.order())
    else {
        return HttpResponse::BadRequest().finish();
    };
    let engine = agent.settings.engine;
    let outcome = agent.engines.order(engine, &order, epoch).await;
    if matches!(order, Order::Prepare { .. }) && outcome == OrderOutcome::Begun {
        agent.loading.set(true);
    }
    agent.note_order(order.name(), outcome, None);
    let state = agent.refresh().await.then(|| agent.state()).flatten();
    HttpResponse::Ok().body(OrderAnswer::of(outcome, state, agent.life).encode_to_vec())
}

impl Agent {
    fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Follows the entries' list of targets until the process ends.
    async fn follow_fleet(self: Rc<Self>) {
        let mut known = self.settings.seed_entries();
        self.entries.borrow_mut().clone_from(&known);
        let mut lost = false;
        let mut turn: usize = rand::random_range(0..known.len().max(1));
        loop {
            let Some(entry) = known.get(turn % known.len().max(1)).copied() else { return };
            match fleet::ask(entry, &self.codecs).await {
                Ok(message) => {
                    if lost {
                        events::log(events::ENTRIES_REGAINED, format_args!("entry={entry}"));
                        lost = false;
                    }
                    known = self.settings.seed_entries();
                    let told = message.entries.iter();
                    known.extend(told.filter_map(|addr| addr.parse::<SocketAddr>().ok()));
                    if let Some(place) = known.iter().position(|addr| *addr == entry) {
                        turn = place;
                    }
                    *self.fleet.borrow_mut() = message;
                    self.entries.borrow_mut().clone_from(&known);
                }
                Err(error) => {
                    if !lost {
                        events::log(
                            events::ENTRIES_LOST,
                            format_args!("entry={entry} cause=\"{error}\""),
                        );
                        lost = true;
                    }
                    turn += 1;
                }
            }
            time::sleep(if lost { FLEET_RETRY } else { FLEET_EVERY }).await;
        }
    }

    /// Returns the shape of the own service's groups.
    fn shape(&self) -> Option<ShapeMessage> {
        let fleet = self.fleet.borrow();
        let engine = self.settings.engine.to_string();
        let own = fleet.targets.iter().find(|target| target.addr == engine)?;
        fleet.services.iter().find(|shape| shape.service == own.service).cloned()
    }

    /// Returns the hosts of the service's other ranks.
    fn others(&self) -> Vec<SocketAddr> {
        let fleet = self.fleet.borrow();
        let own = self.settings.engine;
        let engines = fleet.targets.iter().filter_map(|target| target.addr.parse().ok());
        engines.filter(|engine| *engine != own).collect()
    }

    fn agent_of(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.settings.listen.peers.port())
    }

    /// Looks at the own engine and tells the other agents until the process ends.
    async fn look(self: Rc<Self>) {
        let mut sequence = 0;
        loop {
            let found = self.refresh().await;
            self.tell_entries();
            if found {
                sequence += 1;
                self.tell(sequence).await;
            }
            let pause = if self.loading.get() { LOADING_BEAT } else { self.settings.beat() };
            time::sleep(pause).await;
        }
    }

    /// Reads the own engine's state. Tells whether it answers.
    async fn refresh(&self) -> bool {
        let engine = self.settings.engine;
        let report = match self.engines.report(engine).await {
            Ok(report) => report,
            Err(error) => {
                *self.own.borrow_mut() = None;
                if self.engine_answers.replace(Some(false)) != Some(false) {
                    events::log(
                        events::ENGINE_LOST,
                        format_args!("engine={engine} cause=\"{error}\""),
                    );
                }
                return false;
            }
        };
        if self.engine_answers.replace(Some(true)) == Some(false) {
            events::log(events::ENGINE_REGAINED, format_args!("engine={engine}"));
        }
        let stale = {
            let held = self.held.borrow();
            held.version != report.version || held.layers.is_empty()
        };
        if stale && let Ok(held) = self.engines.held(engine).await {
            *self.held.borrow_mut() = held;
        }
        self.metrics.map_version.set(i64::try_from(report.version).unwrap_or(i64::MAX));
        self.reading.set(self.reading.get() + 1);
        let stands_still = self.stall.borrow_mut().observe(&report, self.now());
        if stands_still != self.stands_still.replace(stands_still) {
            events::log(
                events::GROUP_STALLED,
                format_args!(
                    "group={} rank={} step={} active={} held={:?} stalled={stands_still}",
                    report.group, report.rank, report.step, report.active, report.held
                ),
            );
        }
        if report.prepared.is_some() {
            self.loading.set(false);
        }
        let old = self.own.replace(Some(report.clone()));
        if old.as_ref().is_none_or(|old| {
            (old.epoch, old.open, old.version) != (report.epoch, report.open, report.version)
        }) {
            events::log(
                events::RANK_CHANGED,
                format_args!(
                    "group={} rank={} epoch={} open={} version={} step={}",
                    report.group,
                    report.rank,
                    report.epoch,
                    report.open,
                    report.version,
                    report.step
                ),
            );
        }
        true
    }

    /// Tells the entries whether the rank's group takes requests: at once when that changes, and
    /// again each second, or more often while it does not.
    fn tell_entries(&self) {
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

    fn state(&self) -> Option<StateMessage> {
        let own = self.own.borrow();
        let reading = self.reading.get();
        own.as_ref().map(|report| StateMessage::of(report, &self.held.borrow(), reading))
    }

    async fn tell(&self, sequence: u64) {
        let Some(state) = self.state() else { return };
        let picks = self.engines.picks(self.settings.engine).await.unwrap_or_default();
        let now = self.now();
        let candidates = self.members.borrow().candidates(now);
        let everyone = candidates.len() < 2 || sequence.is_multiple_of(TELL_ALL_EVERY);
        let message = RankMessage {
            engine: self.settings.engine.to_string(),
            life: self.life,
            state: Some(state),
            counts: None,
        };
        let audience = if everyone { self.others() } else { candidates.clone() };
        self.send(&message, &audience);
        for counts in parts(&picks) {
            let message = RankMessage { state: None, counts: Some(counts), ..message.clone() };
            self.send(&message, &candidates);
        }
    }

    /// Sends a message to agents, and takes it in where the own one is among them. One that is
    /// not sent counts as lost; the next one makes up for it.
    fn send(&self, message: &RankMessage, audience: &[SocketAddr]) {
        let own = self.settings.engine;
        let datagram = message.encode_to_vec();
        for engine in audience.iter().filter(|engine| **engine != own) {
            let _lost = self.socket.try_send_to(&datagram, self.agent_of(*engine));
        }
        self.take(message);
    }

    fn take(&self, message: &RankMessage) {
        let own = self.own.borrow();
        let Some(group) = own.as_ref().map(|report| report.group.as_str()) else { return };
        self.members.borrow_mut().heard(group, message, self.now());
    }

    /// Takes the messages of other agents until the process ends.
    async fn listen(self: Rc<Self>) {
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

    /// Coordinates the group while that is this agent's part, until the process ends.
    async fn coordinate(self: Rc<Self>) {
        time::sleep(LISTEN_FIRST).await;
        let mut decisions = 0_u32;
        let mut observed = self.now();
        loop {
            time::sleep(DECIDE_EVERY).await;
            let now = self.now();
            let Some(own) = self.own.borrow().clone() else { continue };
            let coordinates = self.members.borrow().coordinator(now) == Some(own.rank);
            if coordinates != self.coordinates.replace(coordinates) {
                events::log(
                    events::COORDINATOR_CHANGED,
                    format_args!("group={} rank={} here={coordinates}", own.group, own.rank),
                );
            }
            if !coordinates {
                continue;
            }
            decisions += 1;
            if decisions.is_multiple_of(DECISIONS_PER_PLAN) {
                self.plan(now.saturating_sub(observed));
                observed = now;
            }
            self.ask_silent().await;
            if self.progress.get() == Progress::Preparing {
                // The step to hold is counted from the newest one.
                self.refresh_own().await;
            }
            self.decide();
        }
    }

    /// Asks the engines of ranks whose agents are silent, while a switch may hang on them.
    async fn ask_silent(&self) {
        let silent = self.members.borrow().silent(self.now());
        let due = self.progress.get() != Progress::Idle;
        for (rank, engine) in silent {
            let age = {
                let members = self.members.borrow();
                members.get(rank).map(|member| self.now().saturating_sub(member.view.heard))
            };
            let stale = age.is_some_and(|age| age > FLEET_EVERY / 4);
            let parked = age.is_some_and(|age| age > FLEET_EVERY);
            if (due && stale) || parked {
                self.ask(rank, engine).await;
            }
        }
    }

    async fn ask(&self, rank: usize, engine: SocketAddr) {
        let report = match self.engines.report(engine).await {
            Ok(report) => report,
            Err(error) => {
                events::log(
                    events::RANK_UNREACHABLE,
                    format_args!("rank={rank} engine={engine} cause=\"{error}\""),
                );
                return;
            }
        };
        events::log(
            events::RANK_ASKED,
            format_args!(
                "rank={rank} engine={engine} version={} step={} armed={:?} held={:?}",
                report.version, report.step, report.armed, report.held
            ),
        );
        let version = report.version;
        let known = self.members.borrow().get(rank).map(|member| member.held.version);
        self.members.borrow_mut().asked(rank, report, self.now());
        if known != Some(version)
            && let Ok(held) = self.engines.held(engine).await
        {
            self.members.borrow_mut().holds(rank, held);
        }
    }

    /// Measures demand and wants a new map where one pays.
    fn plan(&self, elapsed: Duration) {
        let Some(shape) = self.shape() else { return };
        let layers = super::wide(shape.layers);
        let counts = self.members.borrow_mut().take_counts(layers);
        if counts.iter().all(|layer| !layer.is_empty()) {
            self.demand.borrow_mut().observe(&counts, elapsed);
        }
        let demand = self.demand.borrow();
        let (views, present) = {
            let members = self.members.borrow();
            (members.views(), members.present())
        };
        let (Some(views), Some(present)) = (views, present) else { return };
        if !demand.is_known() || !self.switcher.borrow().is_idle() {
            return;
        }
        let group = Shape {
            ranks: views.len(),
            layers,
            experts: super::wide(shape.experts),
            slots_per_rank: super::wide(shape.places),
        };
        if present.check(&group).is_err() {
            return;
        }
        let shares = demand.shares();
        let limits = Limits {
            new_per_rank: super::wide(shape.new_per_rank),
            load_price: rebalance::load_price(&views),
        };
        let skew = rebalance::skew(&present, &shares, group.ranks);
        #[allow(clippy::as_conversions, reason = "a skew is a small positive number")]
        self.metrics.skew_percent.set((skew * 100.0) as i64);
        let Some(proposal) = rebalance::propose(&group, &present, &shares, &limits) else { return };
        let wanted = self.switcher.borrow_mut().want(proposal.map, &views, self.now());
        if let Some(version) = wanted {
            self.metrics.switches.inc();
            events::log(
                events::MAP_WANTED,
                format_args!(
                    "version={version} before={} skew={:.2} planned={:.2} loads={} distance={:.3}",
                    views[0].report.version,
                    proposal.present_skew,
                    proposal.planned_skew,
                    proposal.loads,
                    demand.distance()
                ),
            );
        }
    }

    /// Gives the orders that are due.
    fn decide(self: &Rc<Self>) {
        let (views, present) = {
            let members = self.members.borrow();
            (members.views(), members.present())
        };
        let Some(views) = views else { return };
        let now = self.now();
        let (progress, orders) = self.switcher.borrow_mut().tick(&views, present.as_ref(), now);
        if progress != self.progress.replace(progress) {
            let version = self.switcher.borrow().version().unwrap_or(0);
            events::log(
                events::SWITCH_PROGRESS,
                format_args!(
                    "progress={progress:?} version={version} step={}",
                    views[0].report.step
                ),
            );
        }
        for given in orders {
            actix_rt::spawn(Rc::clone(self).give(given));
        }
    }

    /// Gives one order, by the rank's agent where it lives.
    async fn give(self: Rc<Self>, given: Given) {
        let member = self.members.borrow().get(given.rank).cloned();
        let Some(member) = member else { return };
        let silent = self.members.borrow().silent(self.now());
        let by_agent = !silent.iter().any(|(rank, _)| *rank == given.rank);
        let outcome = if member.engine == self.settings.engine {
            self.give_own(&given).await
        } else if by_agent {
            self.give_by_agent(&given, member.engine).await
        } else {
            let outcome = self.engines.order(member.engine, &given.order, given.epoch).await;
            self.ask(given.rank, member.engine).await;
            outcome
        };
        self.note_order(given.order.name(), outcome, Some(given.rank));
        self.switcher.borrow_mut().answered(&given, outcome, self.now());
        if self.coordinates.get() && self.progress.get() != Progress::Preparing {
            // A held step stalls the whole group, so the next order does not wait for the beat.
            self.decide();
        }
    }

    async fn give_own(&self, given: &Given) -> OrderOutcome {
        let engine = self.settings.engine;
        let outcome = self.engines.order(engine, &given.order, given.epoch).await;
        self.refresh_own().await;
        outcome
    }

    /// Reads the own engine's state and takes it in.
    async fn refresh_own(&self) {
        if self.refresh().await
            && let Some(state) = self.state()
        {
            let engine = self.settings.engine;
            self.members.borrow_mut().take_state(engine, self.life, &state, self.now());
        }
    }

    async fn give_by_agent(&self, given: &Given, engine: SocketAddr) -> OrderOutcome {
        let agent = self.agent_of(engine);
        match orders::send(agent, &self.codecs, &given.order, given.epoch).await {
            Ok(answer) => {
                if let Some(state) = &answer.state {
                    let now = self.now();
                    self.members.borrow_mut().take_state(engine, answer.life, state, now);
                }
                answer.outcome()
            }
            Err(error) => {
                events::log(
                    events::ORDER_UNANSWERED,
                    format_args!(
                        "order={} rank={} agent={agent} cause=\"{error}\"",
                        given.order.name(),
                        given.rank
                    ),
                );
                OrderOutcome::NoAnswer
            }
        }
    }

    fn note_order(&self, order: &str, outcome: OrderOutcome, rank: Option<usize>) {
        self.metrics.orders.with_label_values(&[order, &format!("{outcome:?}")]).inc();
        let rank = rank.map_or("own".to_owned(), |rank| rank.to_string());
        events::log(
            events::ORDER_GIVEN,
            format_args!("order={order} rank={rank} outcome={outcome:?}"),
        );
    }

    /// Ends a switch that is under way before the process exits, within its time.
    async fn finish(&self) {
        let deadline = self.now() + Duration::from_secs_f64(self.settings.grace_s / 2.0);
        while self.coordinates.get() && self.now() < deadline {
            let arming = matches!(self.progress.get(), Progress::Arming | Progress::Switching);
            if !arming {
                return;
            }
            time::sleep(DECIDE_EVERY).await;
        }
    }
}

/// Cuts counts into messages.
fn parts(picks: &Picks) -> Vec<CountsMessage> {
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
