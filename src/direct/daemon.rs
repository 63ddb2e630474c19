//! Wires an entry on the direct path: facts, heartbeats, HTTP servers, reload and graceful stop.

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
use crate::direct::entry::{Entry, Options};
use crate::direct::fleet;
use crate::direct::gossip::{self, Identity};
use crate::direct::lapses::Lapses;
use crate::direct::listener;
use crate::direct::message::TargetProtocol;
use crate::direct::metrics::Metrics;
use crate::direct::process::{self, Result};
use crate::direct::stopping::{Step, Stopping};
use crate::direct::store::{Collection, Formats, Store};
use crate::direct::sync::Follower;
use crate::settings;
use crate::settings::direct::{DirectSettings, ListenAddresses};
use crate::telemetry::{events, logs};

/// Adapter is what translates between the direct path and one platform.
#[derive(Clone, Copy)]
pub struct Adapter {
    /// How targets are spoken with.
    pub protocol: TargetProtocol,
    /// How stored values are read.
    pub formats: Formats,
    /// Returns the store at an address.
    pub store: fn(&DirectSettings, &Clock) -> Store,
    /// Adds the route for callers' requests.
    pub callers: fn(&mut web::ServiceConfig),
    /// Adds the route that tells whether the entry is ready.
    pub ready: fn(&mut web::ServiceConfig),
    /// Adds the route that tells callers which entries to use.
    pub addresses: fn(&mut web::ServiceConfig),
}

/// AddressContext is what the route for addresses answers from.
pub struct AddressContext {
    /// The entry.
    pub entry: Rc<Entry>,
    /// Where callers connect to it.
    pub local_addr: SocketAddr,
    /// Seconds that callers keep an answer.
    pub keep_s: u32,
    /// The pause between two heartbeats.
    pub heartbeat_interval: Duration,
}

/// Pause between two looks at what changes without an event: lapsed targets, idle connections and
/// a stop in progress.
const HOUSEKEEPING: Duration = Duration::from_millis(100);

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// Returns an error where the entry cannot start.
pub async fn run(file: PathBuf, settings: DirectSettings, adapter: Adapter) -> Result<()> {
    logs::start_on_stdout(&settings.log)?;
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
    };
    let entry = Rc::new(Entry::new(clock.clone(), options, adapter.protocol, metrics));
    let follower = Rc::new(Follower {
        entry: Rc::clone(&entry),
        store: Rc::new((adapter.store)(&settings, &clock)),
        formats: adapter.formats,
        heartbeat_interval: settings.heartbeat_interval(),
        changed: Rc::new(Notify::new()),
        outdated: Rc::new(Notify::new()),
        lapses: Lapses::default(),
        hand_overs: Arc::new(Semaphore::new(gossip::HAND_OVERS)),
    });
    start_heartbeats(&follower, &settings, &clock).await?;
    serve(&entry, &follower, &settings, adapter, &registry).await?;
    for collection in [Collection::Configuration, Collection::Targets] {
        actix_rt::spawn(Rc::clone(&follower).follow(collection));
    }
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
    actix_rt::spawn(reload::watch(file, settings.clone(), settings::direct::check));
    housekeep(&follower, &settings).await
}

async fn start_heartbeats(
    follower: &Rc<Follower>,
    settings: &DirectSettings,
    clock: &Clock,
) -> Result<()> {
    let address = settings.listen.peers;
    let socket = Rc::new(process::bind_udp(address, "heartbeats").await?);
    let identity = Identity {
        incarnation: process::new_incarnation(clock.wall()),
        callers_addr: settings.listen.callers,
        peer_addr: address,
        seeds: settings.seed_peers(),
    };
    actix_rt::spawn(gossip::receive(Rc::clone(follower), Rc::clone(&socket)));
    actix_rt::spawn(gossip::send(Rc::clone(follower), socket, identity));
    actix_rt::spawn(gossip::catch_up(Rc::clone(follower)));
    Ok(())
}

async fn serve(
    entry: &Rc<Entry>,
    follower: &Rc<Follower>,
    settings: &DirectSettings,
    adapter: Adapter,
    registry: &Registry,
) -> Result<()> {
    let listen = &settings.listen;
    let idle = Duration::from_millis(settings.caller_idle_ms);
    let callers = web::Data::new(Rc::clone(entry));
    listener::serve(listen.callers, idle, move |cfg| {
        cfg.app_data(callers.clone()).configure(adapter.callers);
    })
    .await?;
    let ready = web::Data::new(Rc::clone(entry));
    listener::serve(listen.ready, idle, move |cfg| {
        cfg.app_data(ready.clone()).configure(adapter.ready);
    })
    .await?;
    let answer = web::Data::new(AddressContext {
        entry: Rc::clone(entry),
        local_addr: listen.callers,
        keep_s: settings.addresses.keep_s,
        heartbeat_interval: settings.heartbeat_interval(),
    });
    listener::serve(listen.addresses, idle, move |cfg| {
        cfg.app_data(answer.clone()).configure(adapter.addresses);
    })
    .await?;
    let facts = web::Data::new(Rc::clone(follower));
    listener::serve(listen.peers, process::INTERNAL_IDLE_TIMEOUT, move |cfg| {
        cfg.app_data(facts.clone()).configure(gossip::configure).configure(fleet::configure);
    })
    .await?;
    process::serve_admin(listen.metrics, registry).await
}

/// Looks after what changes without an event until the process may exit.
async fn housekeep(follower: &Follower, settings: &DirectSettings) -> Result<()> {
    let entry = &follower.entry;
    let keep = Duration::from_secs(u64::from(settings.addresses.keep_s));
    let mut stop = Box::pin(signals::stop_requested());
    let mut stopping: Option<Stopping> = None;
    loop {
        tokio::select! {
            name = &mut stop, if stopping.is_none() => {
                let in_progress = entry.in_progress.get();
                let name = name?;
                events::log(
                    events::STOP_STARTED,
                    format_args!("signal={name} in_progress={in_progress}"),
                );
                entry.stopping.set(true);
                follower.changed.notify_one();
                stopping = Some(Stopping::begin(entry.now(), settings.grace_period(), keep));
            }
            () = time::sleep(HOUSEKEEPING) => {}
        }
        look_after(follower);
        let Some(stopping) = &stopping else { continue };
        match stopping.step(entry.now(), entry.in_progress.get()) {
            Step::Serve => {}
            Step::Refuse => entry.refusing.set(true),
            Step::Exit => {
                let in_progress = entry.in_progress.get();
                events::log(events::STOP_FINISHED, format_args!("in_progress={in_progress}"));
                return Ok(());
            }
        }
    }
}

fn look_after(follower: &Follower) {
    let entry = &follower.entry;
    let now = entry.now();
    follower.sweep_lapsed();
    entry.peers.borrow_mut().count(follower.heartbeat_interval, now);
    let loads = entry.peers.borrow().loads(follower.heartbeat_interval, now);
    entry.targets.borrow_mut().set_others(loads);
    let targets = entry.targets.borrow();
    entry.pool.prune(|addr| targets.iter().any(|target| target.addr == addr));
}
