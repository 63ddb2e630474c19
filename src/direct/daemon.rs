//! Runs an entry on the direct path: cluster state, heartbeats, HTTP servers, reload of the
//! settings and graceful stop.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::web;
use prometheus::Registry;
use tokio::sync::{Notify, Semaphore};
use tokio::time;

use crate::clock::Clock;
use crate::daemon::{reload, signals};
use crate::direct::connections::backlog::Backlog;
use crate::direct::connections::buffers::Buffers;
use crate::direct::connections::listener;
use crate::direct::connections::port::{self, ConnectionLimits, Port};
use crate::direct::connections::port_metrics::PortMetrics;
use crate::direct::connections::process::{self, Result};
use crate::direct::connections::sockets::Buffering;
use crate::direct::decisions::stopping::{Phase, Stopping};
use crate::direct::known::store::{Collection, Formats, Store};
use crate::direct::message::TargetProtocol;
use crate::direct::peering::contacts;
use crate::direct::peering::crash_store;
use crate::direct::peering::fleet;
use crate::direct::peering::gossip::{self, Identity};
use crate::direct::peering::introductions;
use crate::direct::peering::sync::StateSync;
use crate::direct::peering::transfer;
use crate::direct::state::entry::{Entry, Options};
use crate::direct::state::metrics::Metrics;
use crate::settings;
use crate::settings::direct::{DirectSettings, ListenAddresses};
use crate::telemetry::{events, logs};

/// The functions that translate between the direct path and one platform.
#[derive(Clone, Copy)]
pub struct Adapter {
    /// The codec for requests to targets and their answers.
    pub protocol: TargetProtocol,
    /// The decoders of stored values.
    pub formats: Formats,
    /// Returns the client of the store that the settings name.
    pub store: fn(&DirectSettings, &Clock) -> Store,
    /// Adds the route for callers' requests.
    pub callers: fn(&mut web::ServiceConfig),
    /// Adds the route at which load balancers check whether the entry is ready.
    pub ready: fn(&mut web::ServiceConfig),
    /// Adds the route at which callers fetch the addresses of entries.
    pub addresses: fn(&mut web::ServiceConfig),
}

/// The data of the route that serves the addresses of entries.
pub struct AddressContext {
    /// The entry that answers.
    pub entry: Rc<Entry>,
    /// The address at which callers connect to it.
    pub local_addr: SocketAddr,
    /// Seconds for which callers may cache an answer.
    pub keep_s: u32,
}

/// The connections of each port of an entry, which share the buffers.
struct Ports {
    limits: ConnectionLimits,
    callers: Backlog,
    ready: Backlog,
    addresses: Backlog,
    peers: Backlog,
    metrics: Backlog,
}

impl Ports {
    fn new(settings: &DirectSettings, clock: &Clock) -> Self {
        let limits = settings.connections.limits(&settings.buffers);
        let buffers = Buffers::new(settings.buffers.limits());
        let port = |name, max| Backlog::at(Port::new(name, max, clock.clone()), buffers.clone());
        let other = |name, max| port(name, max).unbuffered();
        let long = Buffering::LongAnswers;
        let peers = Port::with_buffers("peers", limits.peers, long, clock.clone());
        Self {
            limits,
            callers: port("callers", limits.callers),
            ready: other("ready", limits.checks),
            addresses: other("addresses", limits.addresses),
            peers: Backlog::at(peers, buffers.clone()).unbuffered(),
            metrics: other("metrics", limits.checks),
        }
    }

    fn all(&self) -> Vec<Port> {
        let Self { callers, ready, addresses, peers, metrics, .. } = self;
        [callers, ready, addresses, peers, metrics].map(|backlog| backlog.port().clone()).into()
    }
}

/// Interval of the work that no event triggers: pending removals, loads of peers, idle connections
/// and a stop in progress.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time in which two checks are made unless the process is frozen. The reserve at the
/// end of a stop covers it.
const MAX_ORDINARY_DELAY: Duration = Duration::from_millis(300);

/// Runs an entry until it has handled a stop signal.
///
/// # Errors
///
/// Returns an error if the entry cannot start.
pub async fn run(file: PathBuf, settings: DirectSettings, adapter: Adapter) -> Result<()> {
    logs::start_on_stdout(&settings.log)?;
    let stop_signal = signals::stop_requested()?;
    let seeds = Rc::new(RefCell::new(settings.seed_peers()));
    let reloaded_seeds = Rc::clone(&seeds);
    let apply = move |settings: &DirectSettings| {
        *reloaded_seeds.borrow_mut() = settings.seed_peers();
    };
    actix_rt::spawn(reload::watch(file, settings.clone(), settings::direct::check, apply));
    let clock = Clock::system();
    let registry = Registry::new();
    let metrics = Metrics::register(&registry)?;
    let options = Options {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        retry_ratio: settings.retries.ratio,
        retry_allowance: settings.retries.allowance,
        engine_fill: settings.placement.engine_fill,
        plain_fill: settings.placement.plain_fill,
        crash_refusal: settings.crash_refusal(),
        heartbeat_interval: settings.heartbeat_interval(),
        in_force_time: settings.in_force_time(),
        target_renewal_interval: settings.target_renewal_interval(),
        empties_data_centres: settings.store.evacuate_ms.is_some(),
        cold_tolerance: settings.cold_tolerance(),
    };
    let mut entry = Entry::new(clock.clone(), options, adapter.protocol, metrics);
    let ports = Ports::new(&settings, &clock);
    entry.backlog = ports.callers.clone();
    entry.pool = entry.pool.within(ports.limits.idle);
    let entry = Rc::new(entry);
    let sync = Rc::new(StateSync {
        entry: Rc::clone(&entry),
        store: Rc::new((adapter.store)(&settings, &clock)),
        formats: adapter.formats,
        changed: Rc::new(Notify::new()),
        outdated: Rc::new(Notify::new()),
        agents: RefCell::default(),
        seeds,
        listed_since: Cell::default(),
        logged_list: Cell::default(),
        withheld_until: Cell::default(),
        transfers: Arc::new(Semaphore::new(transfer::MAX_TRANSFERS)),
    });
    start_heartbeats(&sync, &settings, &clock).await?;
    serve(&entry, &sync, &settings, &ports, adapter, &registry).await?;
    let port_metrics = PortMetrics::register(&registry)?;
    let report = move |port: &Port, swept| port_metrics.report(port, swept);
    actix_rt::spawn(port::sweep(ports.all(), report));
    for collection in Collection::ALL {
        actix_rt::spawn(Rc::clone(&sync).follow(collection));
    }
    actix_rt::spawn(crash_store::load(Rc::clone(&sync)));
    actix_rt::spawn(crash_store::save(Rc::clone(&sync)));
    let ListenAddresses { callers, peers, .. } = settings.listen;
    events::log(
        events::PROCESS_STARTED,
        format_args!(
            "name={} data_centre={} callers={callers} peers={peers} version={}",
            settings.name,
            settings.data_centre,
            env!("CARGO_PKG_VERSION")
        ),
    );
    housekeeping_loop(&sync, &settings, stop_signal).await
}

async fn start_heartbeats(
    sync: &Rc<StateSync>,
    settings: &DirectSettings,
    clock: &Clock,
) -> Result<()> {
    let address = settings.listen.peers;
    let socket = Rc::new(process::bind_udp(address, "heartbeats").await?);
    let identity = Identity {
        incarnation: process::new_incarnation(clock.wall()),
        callers_addr: settings.listen.callers,
        peer_addr: address,
    };
    sync.entry.permits.set_socket(Rc::clone(&socket));
    actix_rt::spawn(gossip::receive(Rc::clone(sync), Rc::clone(&socket)));
    actix_rt::spawn(introductions::send(Rc::clone(sync), Rc::clone(&socket), address));
    actix_rt::spawn(contacts::find(Rc::clone(sync), address));
    actix_rt::spawn(gossip::send(Rc::clone(sync), socket, identity));
    actix_rt::spawn(transfer::fetch_newer_state(Rc::clone(sync)));
    Ok(())
}

async fn serve(
    entry: &Rc<Entry>,
    sync: &Rc<StateSync>,
    settings: &DirectSettings,
    ports: &Ports,
    adapter: Adapter,
    registry: &Registry,
) -> Result<()> {
    let listen = &settings.listen;
    let idle_timeout = Duration::from_millis(settings.caller_idle_ms);
    let callers = web::Data::new(Rc::clone(entry));
    listener::serve(listen.callers, idle_timeout, &ports.callers, move |cfg| {
        cfg.app_data(callers.clone()).configure(adapter.callers);
    })
    .await?;
    let ready = web::Data::new(Rc::clone(entry));
    listener::serve(listen.ready, idle_timeout, &ports.ready, move |cfg| {
        cfg.app_data(ready.clone()).configure(adapter.ready);
    })
    .await?;
    let address_context = web::Data::new(AddressContext {
        entry: Rc::clone(entry),
        local_addr: listen.callers,
        keep_s: settings.addresses.keep_s,
    });
    listener::serve(listen.addresses, idle_timeout, &ports.addresses, move |cfg| {
        cfg.app_data(address_context.clone()).configure(adapter.addresses);
    })
    .await?;
    let sync = web::Data::new(Rc::clone(sync));
    listener::serve(listen.peers, process::INTERNAL_IDLE_TIMEOUT, &ports.peers, move |cfg| {
        cfg.app_data(sync.clone()).configure(transfer::configure).configure(fleet::configure);
    })
    .await?;
    process::serve_admin(listen.metrics, &ports.metrics, registry).await
}

/// Runs the housekeeping and handles a stop signal, until the process may exit.
async fn housekeeping_loop(
    sync: &StateSync,
    settings: &DirectSettings,
    stop_signal: impl Future<Output = &'static str>,
) -> Result<()> {
    let entry = &sync.entry;
    let address_ttl = Duration::from_secs(u64::from(settings.addresses.keep_s));
    let mut stop_signal = Box::pin(stop_signal);
    let mut last_checks = [entry.now(); 2];
    loop {
        tokio::select! {
            name = &mut stop_signal, if !entry.is_stopping() => {
                let in_progress = entry.in_progress.get();
                events::log(
                    events::STOP_STARTED,
                    format_args!("signal={name} in_progress={in_progress}"),
                );
                let started = signal_time(last_checks, entry.now());
                let stop = Stopping::begin(started, settings.grace_period(), address_ttl);
                entry.stop.set(Some(stop));
                sync.changed.notify_one();
            }
            () = time::sleep(HOUSEKEEPING_INTERVAL) => {}
        }
        run_housekeeping(sync);
        last_checks = [last_checks[1], entry.now()];
        let Some(stop) = entry.stop.get() else { continue };
        let unwritten = entry.backlog.connections();
        match stop.phase(entry.now(), entry.in_progress.get() + unwritten) {
            Phase::Serve => {}
            Phase::Refuse => entry.refusing.set(true),
            Phase::Exit => {
                let in_progress = entry.in_progress.get();
                events::log(
                    events::STOP_FINISHED,
                    format_args!("in_progress={in_progress} unwritten={unwritten}"),
                );
                entry.exiting.set(true);
                return Ok(());
            }
        }
    }
}

/// Returns the earliest time at which a signal that is handled now may have come. The grace period
/// runs from the signal, which may have come long ago if the process was frozen. The checks are the
/// last two, since the timer of the last one may have been handled before the signal.
fn signal_time(last_checks: [Duration; 2], now: Duration) -> Duration {
    match now.saturating_sub(last_checks[0]) > MAX_ORDINARY_DELAY {
        true => last_checks[0],
        false => now,
    }
}

fn run_housekeeping(sync: &StateSync) {
    let entry = &sync.entry;
    let now = entry.now();
    entry.report_buffers();
    sync.drop_due_lapses();
    sync.release_withheld();
    sync.report_ages();
    sync.report_unanswered();
    entry.crashes.borrow_mut().expire(now);
    let (requests, parts) = entry.crashes.borrow().refused_counts();
    entry.metrics.refused(requests, parts);
    entry.targets.borrow_mut().prune_limits();
    entry.targets.borrow_mut().backoffs.prune(now);
    entry.targets.borrow_mut().departures.prune(now);
    entry.metrics.limited_targets(entry.targets.borrow().limits.limited());
    entry.track_cold_targets();
    entry.metrics.backing_off_targets(entry.targets.borrow().backoffs.count(now));
    if let Some(configuration) = entry.configuration() {
        entry.places.borrow_mut().retain_ranked(&configuration);
    }
    entry.count_entries();
    let loads = entry.peers.borrow().loads(entry.options.heartbeat_interval, now);
    entry.targets.borrow_mut().set_peer_loads(loads);
    let rotation = u32::try_from(entry.peers.borrow().rotation()).unwrap_or(u32::MAX);
    entry.targets.borrow_mut().set_remote_load_age(f64::from(rotation));
    let targets = entry.targets.borrow();
    entry.pool.prune(|addr| targets.iter().any(|target| target.addr == addr));
}
