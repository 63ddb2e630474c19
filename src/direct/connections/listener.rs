//! HTTP servers that run on the thread of the process's state.
//!
//! The state of an entry belongs to one thread, and hosts of entries have a fraction of one core.
//! So connections are accepted and served on that thread, without worker threads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{future, io, result};

use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, apply_fn_factory, map_config};
use actix_web::dev::AppConfig;
use actix_web::{App, web};
use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

use crate::direct::connections::backlog::{self, Backlog, CountedStream};
use crate::direct::connections::port::{HEAD_TIMEOUT, Port};
use crate::direct::connections::sockets;
use crate::direct::connections::tracking;
use crate::telemetry::events;

/// The result of starting a server.
pub type Result<T> = result::Result<T, ListenError>;

/// The reason that a server cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address is in use or does not belong to this host.
    #[error("Cannot listen on {address}.")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The routes cannot be set up.
    #[error("The routes at {address} cannot be set up.")]
    Routes {
        /// The address from the settings.
        address: SocketAddr,
    },
}

/// A connection as it is handed to the HTTP service.
type Accepted = (CountedStream, Option<SocketAddr>);

/// Time for the client to close its side of a connection that is being closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts a server for routes at an address, which runs until the process ends. `idle_timeout`
/// is the limit for its connections, and `backlog` limits them and counts those with unwritten answers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    idle_timeout: Duration,
    backlog: &Backlog,
    routes: impl Fn(&mut web::ServiceConfig) + 'static,
) -> Result<()> {
    let listener = sockets::listen(address, backlog.port().buffering())
        .map_err(|source| ListenError::Bind { address, source })?;
    let factory = http(idle_timeout, routes, future::pending);
    let service = factory.new_service(()).await.map_err(|_| ListenError::Routes { address })?;
    let service = Rc::new(service);
    let backlog = backlog.clone();
    let leftovers = backlog::write_leftovers(idle_timeout);
    let port = backlog.port().clone();
    actix_rt::spawn(accept(listener, address, port, move |stream| {
        let peer = stream.peer_addr().ok();
        let Some(stream) = backlog.count(stream, leftovers.clone()) else { return };
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // An error means that the client or a timeout ended the connection, which is no fault.
            let ready = future::poll_fn(|cx| Service::<Accepted>::poll_ready(&*service, cx));
            if ready.await.is_ok() {
                drop(service.call((stream, peer)).await);
            }
        });
    }));
    Ok(())
}

/// Returns the HTTP service for routes. A connection ends after its request in progress once what
/// `stopped` returns is ready.
pub(super) fn http<F>(
    idle_timeout: Duration,
    routes: impl Fn(&mut web::ServiceConfig) + 'static,
    stopped: impl Fn() -> F + 'static,
) -> impl ServiceFactory<Accepted, Config = (), Response = (), Error = DispatchError, InitError = ()>
where
    F: Future<Output = ()> + 'static,
{
    let app = App::new().configure(routes);
    let app = map_config(app, |()| AppConfig::default());
    let tracked = apply_fn_factory(app, |mut request: Request, service: &_| {
        let answering = tracking::begin(&mut request);
        let answer = Service::<Request>::call(service, request);
        async move { Ok(tracking::track(Response::from(answer.await?), answering)) }
    });
    HttpService::build()
        .graceful_shutdown_signal(stopped)
        .keep_alive(KeepAlive::Timeout(idle_timeout))
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &CountedStream, extensions: &mut Extensions| {
            if let Some(flow) = stream.flow() {
                extensions.insert(flow);
            }
        })
        .h1(tracked)
}

async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    port: Port,
    handle: impl Fn(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if stream.set_nodelay(true).is_ok() {
                    handle(stream);
                }
                if port.is_full() {
                    // Those that new connections replace close before more are accepted.
                    task::yield_now().await;
                }
            }
            Err(error) => {
                events::log(
                    events::ACCEPT_FAILED,
                    format_args!("address={address} cause=\"{error}\""),
                );
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
