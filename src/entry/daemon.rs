//! Wires the entry: actor, links, HTTP servers and the graceful stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use std::{io, result};

use actix::{Actor as _, Addr};
use actix_web::dev::{Server, ServerHandle};
use actix_web::{App, HttpServer, web};
use prometheus::Registry;
use tokio::task::JoinHandle;
use tokio::time;

use crate::clock::Clock;
use crate::daemon::signals;
use crate::entry::core::Options;
use crate::entry::{actor, addresses, caller_api, config_reader, metrics, operator_api};
use crate::platform::store;
use crate::resources::status;
use crate::settings::entry::EntrySettings;
use crate::telemetry::{admin, events, logs};
use crate::wire::client;
use crate::{settings, wire};

/// The result of running an entry.
pub type Result<T> = result::Result<T, EntryError>;

/// How long requests in progress may take to end once the server stops; longer than any deadline.
const SHUTDOWN_SECONDS: u64 = 3_600;
/// How long the word that an entry is leaving may take to reach the others.
const LEAVING_SPREAD: Duration = Duration::from_secs(2);

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
    let settings = Arc::new(settings);
    let clock = Clock::system();
    let incarnation: u64 = rand::random();
    let registry = Registry::new();
    let metrics = metrics::EntryMetrics::register(&registry)?;
    let board = Rc::new(actor::Board::default());
    let options = Options {
        data_centre: settings.data_centre.clone(),
        seed: incarnation,
        ..Options::default()
    };
    let dialler = dialler(Arc::clone(&settings), Rc::clone(&board), incarnation);
    let actor = actor::EntryActor::new(
        options,
        clock.clone(),
        incarnation,
        Rc::clone(&board),
        dialler,
        metrics,
    )
    .start();
    let store = store::Store::new(settings.store.options());
    let reader = actix_rt::spawn(config_reader::run(store, actor.clone()));
    let ready = Arc::new(AtomicBool::new(true));
    let callers = serve_callers(&settings, &actor, &clock)?;
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
    ready.store(false, Ordering::Relaxed);
    leave(&settings, &board, &callers_handle).await;
    reader.abort();
    admin_handle.stop(false).await;
    finish(callers).await?;
    finish(admin).await?;
    events::log(events::STOP_FINISHED, format_args!("entry={}", settings.name));
    Ok(())
}

/// Serves on until no caller can still hold an address answer that names this entry, then ends
/// what is in progress.
async fn leave(settings: &EntrySettings, board: &actor::Board, callers: &ServerHandle) {
    board.draining.set(true);
    let keep = Duration::from_millis(settings.address_keep_ms);
    time::sleep(keep + LEAVING_SPREAD.min(keep)).await;
    callers.stop(true).await;
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
    clock: &Clock,
) -> Result<Server> {
    let operators = operator_api::Options {
        store: settings.store.options(),
        settings: settings.operator_api.clone(),
        clock: clock.clone(),
        status: Arc::new(|_, _, _| status::Status::default()),
    };
    let api = caller_api::CallerApi {
        entry: settings.name.clone(),
        actor: actor.clone(),
        next_request: Arc::new(AtomicU64::new(0)),
        max_body_bytes: settings.max_body_bytes,
    };
    let addresses = addresses::Addresses::from_settings(settings);
    let app = move || {
        App::new()
            .app_data(web::Data::new(api.clone()))
            .app_data(web::Data::new(addresses.clone()))
            .configure(caller_api::configure)
            .configure(addresses::configure)
            .configure(|cfg| operator_api::configure(cfg, &operators))
    };
    let server = HttpServer::new(app)
        .workers(settings.http_workers)
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
    let app =
        move || App::new().app_data(web::Data::new(admin.clone())).configure(admin::configure);
    let server = HttpServer::new(app).workers(1).disable_signals().bind(settings.admin_listen);
    let address = settings.admin_listen;
    Ok(server.map_err(|source| EntryError::Listen { address, source })?.run())
}

/// Returns what starts the task that keeps the link to one agent.
fn dialler(
    settings: Arc<settings::entry::EntrySettings>,
    board: Rc<actor::Board>,
    incarnation: u64,
) -> actor::Dialler {
    Box::new(move |target, address, actor| {
        let (member, hello_board) = (member(&settings, incarnation), Rc::clone(&board));
        let board = Rc::clone(&board);
        let dialer = client::Dialer {
            address,
            hello: Box::new(move || wire::Hello {
                member: Some(member.clone()),
                heartbeat: Some(heartbeat(&hello_board)),
            }),
            heartbeat: Box::new(move || heartbeat(&board)),
            interval: settings.heartbeat(),
            deadline: settings.link_deadline(),
        };
        let target = target.to_owned();
        actix_rt::spawn(client::keep_linked(dialer, move |event| {
            actor.do_send(actor::TargetLink { target: target.clone(), event });
        }))
    })
}

fn member(settings: &EntrySettings, incarnation: u64) -> wire::Member {
    wire::Member {
        name: settings.name.clone(),
        incarnation,
        role: wire::Role::Entry.into(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.to_string(),
        region: settings.region.clone(),
    }
}

fn heartbeat(board: &actor::Board) -> wire::Heartbeat {
    wire::Heartbeat {
        config_revision: board.revision.get(),
        draining: board.draining.get(),
        config_age_ms: board.config_age_ms.get(),
        ..wire::Heartbeat::default()
    }
}
