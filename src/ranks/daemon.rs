//! Runs the agent beside one rank: looks at its engine, tells the other agents, and coordinates
//! its group while it has the lowest rank of those whose agents live.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use prometheus::Registry;
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::time;

use crate::clock::Clock;
use crate::daemon::{reload, signals};
use crate::direct::fleet::{self, FleetMessage, ShapeMessage};
use crate::direct::http::Codecs;
use crate::direct::listener;
use crate::direct::pool::Pool;
use crate::direct::process::{self, Result};
use crate::ranks::demand::DemandEstimator;
use crate::ranks::engine::Engines;
use crate::ranks::metrics::Metrics;
use crate::ranks::orders::{self, OrderAnswer, OrderMessage};
use crate::ranks::report::{EngineProtocol, HeldExperts, Order, OrderOutcome, RankReport};
use crate::ranks::stall::StallDetector;
use crate::ranks::status::Members;
use crate::ranks::switch::{Progress, Switcher};
use crate::settings;
use crate::settings::rank::RankSettings;
use crate::telemetry::{events, logs};

/// Pause between two looks at the entries' list of targets.
pub(super) const FLEET_EVERY: Duration = Duration::from_secs(1);

/// Pause before another entry is asked after one did not answer.
const FLEET_RETRY: Duration = Duration::from_millis(150);

/// Pause between two decisions of a coordinator.
pub(super) const DECIDE_EVERY: Duration = Duration::from_millis(50);

/// Pause between two looks at an engine that loads experts, since the whole group waits for it.
const LOADING_BEAT: Duration = Duration::from_millis(40);

/// Agent is the state that the tasks of one process share.
pub(super) struct Agent {
    pub(super) clock: Clock,
    pub(super) settings: RankSettings,
    pub(super) life: u64,
    pub(super) engines: Engines,
    pub(super) codecs: Codecs,
    pub(super) socket: UdpSocket,
    pub(super) metrics: Metrics,
    pub(super) engine_answers: Cell<Option<bool>>,
    pub(super) reading: Cell<u64>,
    pub(super) stall: RefCell<StallDetector>,
    pub(super) stands_still: Cell<bool>,
    pub(super) own: RefCell<Option<RankReport>>,
    pub(super) held: RefCell<HeldExperts>,
    pub(super) members: RefCell<Members>,
    pub(super) fleet: RefCell<FleetMessage>,
    pub(super) entries: RefCell<Vec<SocketAddr>>,
    pub(super) told_open: Cell<Option<(bool, Duration)>>,
    pub(super) switcher: RefCell<Switcher>,
    pub(super) demand: RefCell<DemandEstimator>,
    pub(super) coordinates: Cell<bool>,
    pub(super) loading: Cell<bool>,
    pub(super) progress: Cell<Progress>,
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns an error where the agent cannot start.
pub async fn run(file: PathBuf, settings: RankSettings, protocol: EngineProtocol) -> Result<()> {
    logs::start_on_stdout(&settings.log)?;
    actix_rt::spawn(reload::watch(file, settings.clone(), settings::rank::check));
    let clock = Clock::system();
    let registry = Registry::new();
    let metrics = Metrics::register(&registry)?;
    let address = settings.listen.peers;
    let socket = process::bind_udp(address, "states").await?;
    let life = process::new_incarnation(clock.wall());
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
    listener::serve(agent.settings.listen.peers, process::INTERNAL_IDLE_TIMEOUT, move |cfg| {
        cfg.app_data(data.clone());
        cfg.route(orders::ORDERS_PATH, web::post().to(take_order));
    })
    .await?;
    process::serve_admin(agent.settings.listen.metrics, registry).await
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
    pub(super) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Follows the entries' list of targets until the process ends.
    pub(super) async fn follow_fleet(self: Rc<Self>) {
        let mut known = self.settings.seed_entries();
        self.entries.borrow_mut().clone_from(&known);
        let mut lost = false;
        let mut turn: usize = rand::random_range(0..known.len().max(1));
        loop {
            let Some(entry) = known.get(turn % known.len().max(1)).copied() else { return };
            match fleet::fetch(entry, &self.codecs).await {
                Ok(message) => {
                    if lost {
                        events::log(events::ENTRIES_REACHABLE, format_args!("entry={entry}"));
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
                            events::ENTRIES_UNREACHABLE,
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
    pub(super) fn shape(&self) -> Option<ShapeMessage> {
        let fleet = self.fleet.borrow();
        let engine = self.settings.engine.to_string();
        let own = fleet.targets.iter().find(|target| target.addr == engine)?;
        fleet.services.iter().find(|shape| shape.service == own.service).cloned()
    }

    /// Returns the hosts of the service's other ranks.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let fleet = self.fleet.borrow();
        let own = self.settings.engine;
        let engines = fleet.targets.iter().filter_map(|target| target.addr.parse().ok());
        engines.filter(|engine| *engine != own).collect()
    }

    pub(super) fn agent_of(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.settings.listen.peers.port())
    }

    /// Looks at the own engine and tells the other agents until the process ends.
    pub(super) async fn look(self: Rc<Self>) {
        let mut sequence = 0;
        loop {
            let found = self.refresh().await;
            self.tell_entries();
            if found {
                sequence += 1;
                self.tell(sequence).await;
            }
            let pause =
                if self.loading.get() { LOADING_BEAT } else { self.settings.poll_interval() };
            time::sleep(pause).await;
        }
    }

    /// Reads the own engine's state. Tells whether it answers.
    pub(super) async fn refresh(&self) -> bool {
        let engine = self.settings.engine;
        let report = match self.engines.report(engine).await {
            Ok(report) => report,
            Err(error) => {
                *self.own.borrow_mut() = None;
                if self.engine_answers.replace(Some(false)) != Some(false) {
                    events::log(
                        events::ENGINE_UNREACHABLE,
                        format_args!("engine={engine} cause=\"{error}\""),
                    );
                }
                return false;
            }
        };
        if self.engine_answers.replace(Some(true)) == Some(false) {
            events::log(events::ENGINE_REACHABLE, format_args!("engine={engine}"));
        }
        let stale = {
            let held = self.held.borrow();
            held.version != report.version || held.layers.is_empty()
        };
        if stale {
            match self.engines.held(engine).await {
                Ok(held) => *self.held.borrow_mut() = held,
                Err(error) => self.note_unread("held", &error),
            }
        }
        self.metrics.map_version.set(i64::try_from(report.version).unwrap_or(i64::MAX));
        self.reading.set(self.reading.get() + 1);
        let stands_still = self.stall.borrow_mut().observe(&report, self.now());
        if stands_still != self.stands_still.replace(stands_still) {
            events::log(
                events::GROUP_STALLED,
                format_args!(
                    "group={} rank={} step={} active={} held={:?} stalled={stands_still}",
                    report.group, report.rank, report.step, report.active, report.held_step
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

    /// Ends a switch that is under way before the process exits, within its time.
    pub(super) async fn finish(&self) {
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
