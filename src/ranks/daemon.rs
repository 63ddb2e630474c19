//! Runs the agent of one rank: it polls the rank's engine, sends the state to the group's other
//! agents, and coordinates the group while its rank is the lowest one with a live agent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web;
use prometheus::Registry;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time;

use crate::clock::Clock;
use crate::collections::{Map, Set};
use crate::daemon::{reload, signals};
use crate::direct::connections::backlog::Backlog;
use crate::direct::connections::buffers::Buffers;
use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::listener;
use crate::direct::connections::pool::Pool;
use crate::direct::connections::port::{self, Port};
use crate::direct::connections::port_metrics::PortMetrics;
use crate::direct::connections::process::{self, Result};
use crate::direct::peering::fleet::{self, FleetMessage, ShapeMessage};
use crate::ranks::demand::DemandEstimator;
use crate::ranks::engine::Engines;
use crate::ranks::expert_counts::{CountSums, CountTable, Increments};
use crate::ranks::known_entries::KnownEntries;
use crate::ranks::metrics::Metrics;
use crate::ranks::ordering;
use crate::ranks::orders;
use crate::ranks::report::{EngineProtocol, HeldExperts, RankReport};
use crate::ranks::stall::StallDetector;
use crate::ranks::status::Members;
use crate::ranks::switch::{Coordinator, Progress};
use crate::settings;
use crate::settings::rank::RankSettings;
use crate::telemetry::{events, logs};

/// Interval at which the entries' list of targets is polled.
pub(super) const FLEET_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before another entry is polled after one has failed to answer.
const FLEET_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Interval between two decisions of a coordinator.
pub(super) const DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an engine that loads experts is polled; the whole group waits for it.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Agent is the state shared by the tasks of one process.
pub(super) struct Agent {
    pub(super) clock: Clock,
    pub(super) settings: RankSettings,
    /// What is buffered for those that send orders.
    pub(super) buffers: Buffers,
    pub(super) incarnation: u64,
    pub(super) engines: Engines,
    pub(super) codecs: Codecs,
    pub(super) socket: UdpSocket,
    pub(super) metrics: Metrics,
    pub(super) engine_reachable: Cell<Option<bool>>,
    pub(super) poll_sequence: Cell<u64>,
    pub(super) stall: RefCell<StallDetector>,
    pub(super) stalled: Cell<bool>,
    pub(super) local_report: RefCell<Option<RankReport>>,
    pub(super) local_experts: RefCell<HeldExperts>,
    pub(super) members: RefCell<Members>,
    pub(super) fleet: RefCell<FleetMessage>,
    pub(super) entries: Rc<RefCell<KnownEntries>>,
    /// Notified when an entry that was not known has introduced itself.
    pub(super) introduced: Notify,
    /// The engines that answer nobody, and when that was last found.
    pub(super) silent_engines: RefCell<Map<SocketAddr, Duration>>,
    /// The ranks whose engines are being polled.
    pub(super) polled_ranks: RefCell<Set<usize>>,
    /// The engines that entries were last told to be silent, and when.
    pub(super) last_silence_notice: Cell<(Vec<SocketAddr>, Duration)>,
    pub(super) last_notice: Cell<Option<(bool, Duration)>>,
    pub(super) coordinator: RefCell<Coordinator>,
    pub(super) demand: RefCell<DemandEstimator>,
    pub(super) is_coordinator: Cell<bool>,
    /// The version of the experts held that was sent last.
    pub(super) notified_experts: Cell<u64>,
    pub(super) increments: RefCell<Increments>,
    /// The counts of the ranks that this agent collects for.
    pub(super) collected: RefCell<CountSums>,
    pub(super) count_table: RefCell<CountTable>,
    /// When counts were last added to the demand estimate.
    pub(super) last_counts_at: Cell<Duration>,
    /// Orders in a row that the agents beside these engines did not answer.
    pub(super) unanswered: RefCell<Map<SocketAddr, u32>>,
    pub(super) loading: Cell<bool>,
    pub(super) progress: Cell<Progress>,
}

/// Runs an agent until the process receives a signal to stop.
///
/// # Errors
///
/// Returns an error if the agent cannot start.
pub async fn run(file: PathBuf, settings: RankSettings, protocol: EngineProtocol) -> Result<()> {
    logs::start_on_stdout(&settings.log)?;
    let stop_signal = signals::stop_requested()?;
    let draw = rand::random_range(0..usize::MAX);
    let entries = KnownEntries::new(settings.seed_entries(), draw);
    let entries = Rc::new(RefCell::new(entries));
    let reloaded_entries = Rc::clone(&entries);
    let apply = move |settings: &RankSettings| {
        reloaded_entries.borrow_mut().set_seeds(settings.seed_entries());
    };
    actix_rt::spawn(reload::watch(file, settings.clone(), settings::rank::check, apply));
    let clock = Clock::system();
    let registry = Registry::new();
    let metrics = Metrics::register(&registry)?;
    let address = settings.listen.peers;
    let socket = process::bind_udp(address, "states").await?;
    let incarnation = process::new_incarnation(clock.wall());
    let agent = Rc::new(Agent {
        engines: Engines { protocol, pool: Pool::new(clock.clone()) },
        buffers: Buffers::new(settings.buffers.limits()),
        codecs: Codecs::new(),
        socket,
        metrics,
        engine_reachable: Cell::new(None),
        poll_sequence: Cell::new(0),
        stall: RefCell::default(),
        stalled: Cell::new(false),
        local_report: RefCell::default(),
        local_experts: RefCell::default(),
        members: RefCell::default(),
        fleet: RefCell::default(),
        entries,
        introduced: Notify::new(),
        silent_engines: RefCell::default(),
        polled_ranks: RefCell::default(),
        last_silence_notice: Cell::default(),
        last_notice: Cell::new(None),
        coordinator: RefCell::new(Coordinator::new(incarnation)),
        demand: RefCell::default(),
        is_coordinator: Cell::new(false),
        notified_experts: Cell::new(0),
        increments: RefCell::default(),
        collected: RefCell::default(),
        count_table: RefCell::default(),
        last_counts_at: Cell::default(),
        unanswered: RefCell::default(),
        loading: Cell::new(false),
        progress: Cell::new(Progress::Idle),
        clock,
        incarnation,
        settings,
    });
    serve(&agent, &registry).await?;
    actix_rt::spawn(Rc::clone(&agent).poll_fleet());
    actix_rt::spawn(Rc::clone(&agent).poll_engine());
    actix_rt::spawn(Rc::clone(&agent).receive_messages());
    actix_rt::spawn(Rc::clone(&agent).coordinate());
    let RankSettings { name, data_centre, engine, .. } = &agent.settings;
    events::log(
        events::PROCESS_STARTED,
        format_args!("name={name} data_centre={data_centre} engine={engine} peers={address}"),
    );
    let signal = stop_signal.await;
    events::log(events::STOP_STARTED, format_args!("signal={signal}"));
    agent.finish_switch().await;
    events::log(events::STOP_FINISHED, format_args!("name={}", agent.settings.name));
    Ok(())
}

async fn serve(agent: &Rc<Agent>, registry: &Registry) -> Result<()> {
    let RankSettings { listen, buffers, connections, .. } = &agent.settings;
    let limits = connections.limits(buffers);
    let clock = &agent.clock;
    let port = |name, max| {
        Backlog::at(Port::new(name, max, clock.clone()), agent.buffers.clone()).unbuffered()
    };
    let (peers, metrics) = (port("peers", limits.peers), port("metrics", limits.checks));
    let data = web::Data::new(Rc::clone(agent));
    listener::serve(listen.peers, process::INTERNAL_IDLE_TIMEOUT, &peers, move |cfg| {
        cfg.app_data(data.clone());
        cfg.route(orders::ORDERS_PATH, web::post().to(ordering::handle_order));
    })
    .await?;
    process::serve_admin(listen.metrics, &metrics, registry).await?;
    let ports = vec![peers.port().clone(), metrics.port().clone()];
    let port_metrics = PortMetrics::register(registry)?;
    let report = move |port: &Port, swept| port_metrics.report(port, swept);
    actix_rt::spawn(port::sweep(ports, report));
    Ok(())
}

impl Agent {
    pub(super) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Polls the entries' list of targets until the process ends; uses another entry when one
    /// fails.
    pub(super) async fn poll_fleet(self: Rc<Self>) {
        let mut lost = false;
        loop {
            let Some(entry) = self.entries.borrow().to_ask(self.now()) else {
                self.introduced.notified().await;
                continue;
            };
            let known = self.fleet.borrow().digest;
            match fleet::fetch(entry, known, &self.codecs).await {
                Ok(changed) => {
                    if lost {
                        events::log(events::ENTRIES_REACHABLE, format_args!("entry={entry}"));
                        lost = false;
                    }
                    self.entries.borrow_mut().record_answer(entry);
                    if let Some(message) = changed {
                        let listed = message.entries.iter().filter_map(|addr| addr.parse().ok());
                        self.entries.borrow_mut().record_listed(listed.collect());
                        *self.fleet.borrow_mut() = message;
                    }
                }
                Err(error) => {
                    if !lost {
                        events::log(
                            events::ENTRIES_UNREACHABLE,
                            format_args!("entry={entry} cause=\"{error}\""),
                        );
                        lost = true;
                    }
                    self.entries.borrow_mut().record_failure(entry, self.now());
                }
            }
            self.metrics.asked_entry.set(i64::from(!lost));
            let pause = if lost { FLEET_RETRY_DELAY } else { FLEET_POLL_INTERVAL };
            tokio::select! {
                () = time::sleep(pause) => {}
                () = self.introduced.notified() => {}
            }
        }
    }

    /// Records that an entry at this address has introduced itself.
    pub(super) fn record_introduction(&self, entry: SocketAddr, name: &str) {
        if self.entries.borrow_mut().record_introduction(entry, self.now()) {
            events::log(events::ENTRY_INTRODUCED, format_args!("entry={name} addr={entry}"));
            self.introduced.notify_one();
        }
    }

    /// Returns the shape of the groups of the local engine's service.
    pub(super) fn shape(&self) -> Option<ShapeMessage> {
        let fleet = self.fleet.borrow();
        let engine = self.settings.engine.to_string();
        let local_target = fleet.targets.iter().find(|target| target.addr == engine)?;
        fleet.services.iter().find(|shape| shape.service == local_target.service).cloned()
    }

    /// Returns the engine addresses of the service's other ranks.
    pub(super) fn other_ranks(&self) -> Vec<SocketAddr> {
        let fleet = self.fleet.borrow();
        let local_engine = self.settings.engine;
        let engines = fleet.targets.iter().filter_map(|target| target.addr.parse().ok());
        engines.filter(|engine| *engine != local_engine).collect()
    }

    pub(super) fn agent_addr(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.settings.listen.peers.port())
    }

    /// Polls the local engine and sends its state to entries and agents until the process ends. While
    /// experts are loaded the engine is polled more often, and only a change is sent sooner.
    pub(super) async fn poll_engine(self: Rc<Self>) {
        let mut sequence = 0;
        let mut last_sent: Option<(RankReport, Duration)> = None;
        loop {
            let reachable = self.refresh_report().await;
            self.notify_entries();
            let report = self.local_report.borrow().clone();
            let now = self.now();
            let due = last_sent.as_ref().zip(report.as_ref()).is_none_or(|((sent, at), report)| {
                // Polls are a little early or late; a heartbeat is due with the nearest one.
                now.saturating_sub(*at) + LOADING_POLL_INTERVAL / 2 >= self.settings.poll_interval()
                    || report.switch_state() != sent.switch_state()
            });
            if reachable && due {
                sequence += 1;
                self.notify_agents(sequence).await;
                last_sent = report.map(|report| (report, now));
            }
            let pause = if self.loading.get() {
                LOADING_POLL_INTERVAL
            } else {
                self.settings.poll_interval()
            };
            time::sleep(pause).await;
        }
    }

    /// Reads the local engine's state. Returns true if the engine answered.
    pub(super) async fn refresh_report(&self) -> bool {
        let engine = self.settings.engine;
        let report = match self.engines.report(engine).await {
            Ok(report) => report,
            Err(error) => {
                *self.local_report.borrow_mut() = None;
                if self.engine_reachable.replace(Some(false)) != Some(false) {
                    events::log(
                        events::ENGINE_UNREACHABLE,
                        format_args!("engine={engine} cause=\"{error}\""),
                    );
                }
                return false;
            }
        };
        if self.engine_reachable.replace(Some(true)) == Some(false) {
            events::log(events::ENGINE_REACHABLE, format_args!("engine={engine}"));
        }
        let stale = {
            let experts = self.local_experts.borrow();
            experts.version != report.version || experts.layers.is_empty()
        };
        if stale {
            match self.engines.held_experts(engine).await {
                Ok(experts) => *self.local_experts.borrow_mut() = experts,
                Err(error) => self.log_read_failure("held", &error),
            }
        }
        self.metrics.map_version.set(i64::try_from(report.version).unwrap_or(i64::MAX));
        self.poll_sequence.set(self.poll_sequence.get() + 1);
        let stalled = self.stall.borrow_mut().observe(&report, self.now());
        if stalled != self.stalled.replace(stalled) {
            events::log(
                events::GROUP_STALLED,
                format_args!(
                    "group={} rank={} step={} active={} held={:?} stalled={stalled}",
                    report.group, report.rank, report.step, report.active, report.held_step
                ),
            );
        }
        if report.prepared.is_some() {
            self.loading.set(false);
        }
        let old = self.local_report.replace(Some(report.clone()));
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

    /// Completes a switch that is being armed or released before the process exits, for at most
    /// half of the grace period.
    pub(super) async fn finish_switch(&self) {
        let deadline = self.now() + Duration::from_secs_f64(self.settings.grace_s / 2.0);
        while self.is_coordinator.get() && self.now() < deadline {
            let arming = matches!(self.progress.get(), Progress::Arming | Progress::Switching);
            if !arming {
                return;
            }
            time::sleep(DECISION_INTERVAL).await;
        }
    }
}
