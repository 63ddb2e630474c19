//! Runs the entry: starts its actor, links and HTTP servers, and stops them gracefully.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use actix::{Addr, AsyncContext as _, Context};
use actix_web::dev::Server;
use actix_web::web;
use prometheus::Registry;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::clock::Clock;
use crate::config::{codec, options as config_options, replica};
use crate::daemon::signals;
use crate::direct::connections::worker_server::{self, WorkerOptions};
use crate::entry::core::Options;
use crate::entry::membership::{self, Membership};
use crate::entry::{
    actor, addresses, caller_api, config_source, explain_api, metrics, operator_api, relay, rollout,
};
use crate::external::{host_list, store};
use crate::members::table;
use crate::settings::common;
use crate::settings::entry::EntrySettings;
use crate::telemetry::{admin, events, logs};
use crate::wire;
use crate::wire::{client, server};

/// The result of running an entry.
pub type Result<T> = result::Result<T, EntryError>;

/// How long requests in progress may take after the server began to stop; longer than any deadline.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 3_600;

/// The shortest timeout of a read of the host list; a longer poll interval is used instead.
const MIN_HOST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why an entry cannot start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The log could not be set up.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// The metrics could not be registered.
    #[error("The metrics cannot be registered.")]
    Metrics(#[from] prometheus::Error),
    /// The entry could not listen on an address.
    #[error("Cannot listen on the address {address}.")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The entry could not listen for links.
    #[error(transparent)]
    Links(#[from] server::ServeError),
    /// An HTTP server ended with an error.
    #[error("An HTTP server of the entry failed.")]
    Server(#[source] io::Error),
    /// The handlers of stop signals could not be set up.
    #[error(transparent)]
    Signal(#[from] signals::SignalError),
}

/// Runs an entry until it receives a stop signal, then stops it gracefully.
///
/// # Errors
///
/// Returns an [`EntryError`] if the entry cannot start or one of its HTTP servers fails.
pub async fn run(settings: EntrySettings) -> Result<()> {
    let stop_signal = signals::stop_requested()?;
    logs::start(&settings.log)?;
    let clock = Clock::system();
    let registry = Registry::new();
    let ready = Arc::new(AtomicBool::new(false));
    let rollout = rollout::RolloutTracker::default();
    let metrics = metrics::EntryMetrics::register(&registry)?;
    let actor = start_actor(&settings, &clock, &rollout, metrics, &ready);
    let links = serve_links(&settings, &actor).await?;
    let host_list = settings.host_list.clone();
    let host_list = host_list.map(|list| actix_rt::spawn(read_host_list(list, actor.clone())));
    let (stop_tx, stop_rx) = watch::channel(false);
    let operators = operator_options(&settings, &clock, rollout, stop_rx);
    let callers = serve_callers(&settings, &actor, operators)?;
    let admin = serve_admin(&settings, &registry, &ready)?;
    let (callers_handle, admin_handle) = (callers.handle(), admin.handle());
    let callers = actix_rt::spawn(callers);
    let admin = actix_rt::spawn(admin);
    events::log(
        events::PROCESS_STARTED,
        format_args!("entry={} listen={}", settings.name, settings.listen),
    );
    let signal = stop_signal.await;
    events::log(events::STOP_STARTED, format_args!("signal={signal}"));
    leave(&actor).await;
    // Open watches of operators would delay the stop.
    stop_tx.send_replace(true);
    callers_handle.stop(true).await;
    admin_handle.stop(false).await;
    links.abort();
    host_list.iter().for_each(JoinHandle::abort);
    finish(callers).await?;
    finish(admin).await?;
    events::log(events::STOP_FINISHED, format_args!("entry={}", settings.name));
    Ok(())
}

/// Announces the planned stop, and waits until no caller may still use this entry's address from an
/// earlier answer.
async fn leave(actor: &Addr<actor::EntryActor>) {
    let left = actor.send(actor::Leave).await.unwrap_or_default();
    time::sleep(left).await;
}

fn start_actor(
    settings: &EntrySettings,
    clock: &Clock,
    rollout: &rollout::RolloutTracker,
    metrics: metrics::EntryMetrics,
    ready: &Arc<AtomicBool>,
) -> Addr<actor::EntryActor> {
    let local = local_member(settings);
    let options = Options {
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        seed: local.incarnation,
        ..Options::default()
    };
    let cx = Context::new();
    let membership = membership(settings, local.clone(), clock, rollout, cx.address());
    let parts = actor::Parts {
        options,
        clock: clock.clone(),
        membership,
        start_dial: start_dial(local, settings.link_deadline()),
        heartbeat: settings.heartbeat_interval(),
        link_deadline: settings.link_deadline(),
        address_keep: Duration::from_millis(settings.address_keep_ms),
        metrics,
        ready: Arc::clone(ready),
    };
    cx.run(actor::EntryActor::new(parts))
}

fn membership(
    settings: &EntrySettings,
    local_member: wire::Member,
    clock: &Clock,
    rollout: &rollout::RolloutTracker,
    actor: Addr<actor::EntryActor>,
) -> Membership {
    let name = codec::name_of(&local_member);
    let freshness = Duration::from_millis(settings.freshness_ms);
    let timing = config_options::Timing::from_links(
        settings.heartbeat_interval(),
        settings.link_deadline(),
        freshness,
    );
    let (data_centre, seed) = (&settings.data_centre, local_member.incarnation);
    let options = config_options::Options::new(&name, data_centre, true, seed, timing);
    let report = Rc::new(move |event| actor.do_send(actor::ConfigEvent(event)));
    let store = store::Store::new(settings.store.options());
    Membership::new(membership::Parts {
        local_member,
        replica: replica::Replica::new(options, clock.monotonic()),
        timing: member_timing(settings),
        source: config_source::ConfigSource::new(store, report),
        rollout: rollout.clone(),
        peers: settings.peers.clone(),
    })
}

fn member_timing(settings: &EntrySettings) -> table::Timing {
    let suspect_after = settings.link_deadline();
    table::Timing { suspect_after, dead_after: suspect_after * 2, ..table::Timing::SMALL }
}

async fn serve_links(
    settings: &EntrySettings,
    actor: &Addr<actor::EntryActor>,
) -> Result<JoinHandle<()>> {
    let listener = server::listen(settings.link_listen).await?;
    let actor = actor.clone();
    let handler: server::Handler =
        Arc::new(move |event| actor.do_send(actor::AcceptedLinkEvent(event)));
    Ok(actix_rt::spawn(async move {
        if let Err(error) = server::serve(listener, handler, future::pending()).await {
            events::log(events::LINK_SERVER_ENDED, format_args!("cause={error}"));
        }
    }))
}

/// Polls the host list. A failed read changes nothing.
async fn read_host_list(settings: common::HostListSettings, actor: Addr<actor::EntryActor>) {
    let poll = Duration::from_millis(settings.poll_ms);
    let list = host_list::HostList::new(&settings.url, poll.max(MIN_HOST_LIST_TIMEOUT));
    loop {
        if let Ok(hosts) = list.read().await {
            actor.do_send(actor::HostListRead(hosts));
        }
        time::sleep(poll).await;
    }
}

fn operator_options(
    settings: &EntrySettings,
    clock: &Clock,
    rollout: rollout::RolloutTracker,
    stopping: watch::Receiver<bool>,
) -> operator_api::Options {
    operator_api::Options {
        store: settings.store.options(),
        settings: settings.operator_api.clone(),
        clock: clock.clone(),
        status: Arc::new(move |kind, name, version| rollout.status(kind, name, version)),
        stopping,
    }
}

async fn finish(server: JoinHandle<io::Result<()>>) -> Result<()> {
    match server.await {
        Ok(ended) => ended.map_err(EntryError::Server),
        Err(_) => Ok(()),
    }
}

fn serve_callers(
    settings: &EntrySettings,
    actor: &Addr<actor::EntryActor>,
    operators: operator_api::Options,
) -> Result<Server> {
    let api = caller_api::CallerApi {
        entry: settings.name.clone(),
        actor: actor.clone(),
        next_request: Arc::new(AtomicU64::new(0)),
        max_body_bytes: settings.max_body_bytes,
    };
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(web::Data::new(api.clone()))
            .configure(caller_api::configure)
            .configure(addresses::configure)
            .configure(explain_api::configure)
            .configure(|cfg| operator_api::configure(cfg, &operators));
    };
    let options = WorkerOptions {
        workers: settings.http_workers,
        shutdown_timeout_s: SHUTDOWN_TIMEOUT_SECONDS,
    };
    let address = settings.listen;
    let server = worker_server::start(address, options, routes);
    server.map_err(|source| EntryError::Listen { address, source })
}

fn serve_admin(
    settings: &EntrySettings,
    registry: &Registry,
    ready: &Arc<AtomicBool>,
) -> Result<Server> {
    let admin = admin::Admin { registry: registry.clone(), ready: Arc::clone(ready) };
    let address = settings.admin_listen;
    admin::start(address, admin).map_err(|source| EntryError::Listen { address, source })
}

/// Returns a function that starts the task which keeps the link to one process open.
fn start_dial(local: wire::Member, deadline: Duration) -> actor::StartDial {
    Box::new(move |process, address, actor| {
        let answer_window = relay::WINDOW_BYTES;
        let dialer = client::Dialer { address, local: local.clone(), answer_window, deadline };
        let process = Arc::clone(process);
        actix_rt::spawn(client::maintain_link(dialer, move |event| {
            actor.do_send(actor::DialledLinkEvent { process: Arc::clone(&process), event });
        }))
    })
}

fn local_member(settings: &EntrySettings) -> wire::Member {
    wire::Member {
        name: settings.name.clone(),
        incarnation: rand::random(),
        role: wire::Role::Entry.into(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.to_string(),
        region: settings.region.clone(),
    }
}
