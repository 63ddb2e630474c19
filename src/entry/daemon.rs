//! Wires the entry: actor, links, HTTP servers and the graceful stop.

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
use actix_web::{App, HttpServer, web};
use prometheus::Registry;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::clock::Clock;
use crate::config::{codec, options as config_options, replica};
use crate::daemon::signals;
use crate::entry::core::Options;
use crate::entry::membership::{self, Membership};
use crate::entry::{
    actor, addresses, caller_api, config_source, explain_api, force, metrics, operator_api,
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

/// How long requests in progress may take to end once the server stops; longer than any deadline.
const SHUTDOWN_SECONDS: u64 = 3_600;

/// How long a read of the host list may take, at the least.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// EntryError is why an entry cannot run.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// The metrics cannot be registered.
    #[error("The metrics cannot be registered.")]
    Metrics(#[from] prometheus::Error),
    /// An address cannot be listened on.
    #[error("The address {address} cannot be listened on.")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: io::Error,
    },
    /// Links cannot be served.
    #[error(transparent)]
    Links(#[from] server::ServeError),
    /// A server ended by itself.
    #[error("An HTTP server of the entry ended.")]
    Server(#[source] io::Error),
    /// Signals cannot be waited for.
    #[error(transparent)]
    Signal(#[from] signals::SignalError),
}

/// Runs an entry until it is told to stop and has finished gracefully.
///
/// # Errors
///
/// Returns an [`EntryError`] where it cannot start.
pub async fn run(settings: EntrySettings) -> Result<()> {
    logs::start(&settings.log)?;
    let clock = Clock::system();
    let registry = Registry::new();
    let ready = Arc::new(AtomicBool::new(false));
    let board = force::Board::default();
    let metrics = metrics::EntryMetrics::register(&registry)?;
    let actor = start_actor(&settings, &clock, &board, metrics, &ready);
    let links = serve_links(&settings, &actor).await?;
    let host_list = settings.host_list.clone();
    let host_list = host_list.map(|list| actix_rt::spawn(read_host_list(list, actor.clone())));
    let (stopping, stop_seen) = watch::channel(false);
    let operators = operator_options(&settings, &clock, board, stop_seen);
    let callers = serve_callers(&settings, &actor, operators)?;
    let admin = serve_admin(&settings, &registry, &ready)?;
    let (callers_handle, admin_handle) = (callers.handle(), admin.handle());
    let callers = actix_rt::spawn(callers);
    let admin = actix_rt::spawn(admin);
    events::log(
        events::PROCESS_STARTED,
        format_args!("entry={} listen={}", settings.name, settings.listen),
    );
    let signal = signals::stop_requested().await?;
    events::log(events::STOP_STARTED, format_args!("signal={signal}"));
    leave(&actor).await;
    // Watches of operators would hold the stop up.
    stopping.send_replace(true);
    callers_handle.stop(true).await;
    admin_handle.stop(false).await;
    links.abort();
    host_list.iter().for_each(JoinHandle::abort);
    finish(callers).await?;
    finish(admin).await?;
    events::log(events::STOP_FINISHED, format_args!("entry={}", settings.name));
    Ok(())
}

/// Serves on until no caller can still hold an address answer that names this entry.
async fn leave(actor: &Addr<actor::EntryActor>) {
    let left = actor.send(actor::Leave).await.unwrap_or_default();
    time::sleep(left).await;
}

fn start_actor(
    settings: &EntrySettings,
    clock: &Clock,
    board: &force::Board,
    metrics: metrics::EntryMetrics,
    ready: &Arc<AtomicBool>,
) -> Addr<actor::EntryActor> {
    let own = member(settings);
    let options = Options {
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        seed: own.incarnation,
        ..Options::default()
    };
    let cx = Context::new();
    let membership = membership(settings, own.clone(), clock, board, cx.address());
    let parts = actor::Parts {
        options,
        clock: clock.clone(),
        membership,
        dialler: dialler(own, settings.link_deadline()),
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
    own: wire::Member,
    clock: &Clock,
    board: &force::Board,
    actor: Addr<actor::EntryActor>,
) -> Membership {
    let name = codec::name_of(&own);
    let freshness = Duration::from_millis(settings.freshness_ms);
    let timing = config_options::Timing::from_links(
        settings.heartbeat_interval(),
        settings.link_deadline(),
        freshness,
    );
    let (data_centre, seed) = (&settings.data_centre, own.incarnation);
    let options = config_options::Options::new(&name, data_centre, true, seed, timing);
    let report = Rc::new(move |event| actor.do_send(actor::ConfigEvent(event)));
    let store = store::Store::new(settings.store.options());
    Membership::new(membership::Parts {
        own,
        replica: replica::Replica::new(options, clock.monotonic()),
        timing: member_timing(settings),
        source: config_source::ConfigSource::new(store, report),
        board: board.clone(),
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
    let handler: server::Handler = Arc::new(move |event| actor.do_send(actor::OnLink(event)));
    Ok(actix_rt::spawn(async move {
        if let Err(error) = server::serve(listener, handler, future::pending()).await {
            events::log(events::LINK_SERVER_ENDED, format_args!("cause={error}"));
        }
    }))
}

/// Reads the host list again and again; one that gives no answer changes nothing.
async fn read_host_list(settings: common::HostListSettings, actor: Addr<actor::EntryActor>) {
    let poll = Duration::from_millis(settings.poll_ms);
    let list = host_list::HostList::new(&settings.url, poll.max(HOST_LIST_TIMEOUT));
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
    board: force::Board,
    stopping: watch::Receiver<bool>,
) -> operator_api::Options {
    operator_api::Options {
        store: settings.store.options(),
        settings: settings.operator_api.clone(),
        clock: clock.clone(),
        status: Arc::new(move |kind, name, version| board.status(kind, name, version)),
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
    let app = move || {
        App::new()
            .app_data(web::Data::new(api.clone()))
            .configure(caller_api::configure)
            .configure(addresses::configure)
            .configure(explain_api::configure)
            .configure(|cfg| operator_api::configure(cfg, &operators))
    };
    let server = HttpServer::new(app)
        .workers(settings.http_workers)
        .tcp_nodelay(true)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .bind(settings.listen);
    let address = settings.listen;
    Ok(server.map_err(|source| EntryError::Listen { address, source })?.run())
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

/// Returns what starts the task that keeps the link to one process.
fn dialler(own: wire::Member, deadline: Duration) -> actor::Dialler {
    Box::new(move |process, address, actor| {
        let dialer = client::Dialer { address, local: own.clone(), deadline };
        let process = Arc::clone(process);
        actix_rt::spawn(client::maintain_link(dialer, move |event| {
            actor.do_send(actor::Dialled { process: Arc::clone(&process), event });
        }))
    })
}

fn member(settings: &EntrySettings) -> wire::Member {
    wire::Member {
        name: settings.name.clone(),
        incarnation: rand::random(),
        role: wire::Role::Entry.into(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.to_string(),
        region: settings.region.clone(),
    }
}
