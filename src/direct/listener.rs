//! HTTP servers on the thread of the process's state.
//!
//! The state of an entry belongs to one thread, and entry hosts have a small part of one core. So
//! connections are accepted and served where the state is, without worker threads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{future, io, result};

use actix_http::{HttpService, KeepAlive};
use actix_service::{Service, ServiceFactory as _, map_config};
use actix_web::dev::AppConfig;
use actix_web::{App, web};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::telemetry::events;

/// The result of listening.
pub type Result<T> = result::Result<T, ListenError>;

/// ListenError says which address cannot be listened on.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address is taken or not this host's.
    #[error("The address {address} cannot be listened on.")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: io::Error,
    },
    /// The routes cannot be set up.
    #[error("The routes at {address} cannot be set up.")]
    Routes {
        /// The address.
        address: SocketAddr,
    },
}

/// Connections that wait to be accepted; a burst of callers after a restart fits.
const BACKLOG: u32 = 1_024;

/// How long a caller may take for a request's head, as common servers allow.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a closing connection waits for its peer.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves routes at an address until the process ends.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub async fn serve(
    address: SocketAddr,
    idle: Duration,
    routes: impl Fn(&mut web::ServiceConfig) + 'static,
) -> Result<()> {
    let listener = bind(address).map_err(|source| ListenError::Bind { address, source })?;
    let app = App::new().configure(routes);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1(map_config(app, |()| AppConfig::default()))
        .tcp();
    let service = factory.new_service(()).await.map_err(|_| ListenError::Routes { address })?;
    let service = Rc::new(service);
    actix_rt::spawn(accept(listener, address, move |stream| {
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // A connection that ends with an error was cut by its peer or by a limit.
            if future::poll_fn(|cx| service.poll_ready(cx)).await.is_ok() {
                drop(service.call(stream).await);
            }
        });
    }));
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(listener: TcpListener, address: SocketAddr, handle: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if stream.set_nodelay(true).is_ok() {
                    handle(stream);
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
