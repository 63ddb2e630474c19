//! HTTP servers with worker threads, for daemons whose state is shared between threads.
//!
//! Their connections have the same limits as those of the [`listener`], each worker for itself.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_server::{Server, ServerBuilder};
use actix_service::{ServiceFactoryExt as _, fn_service};
use actix_web::web;
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::direct::connections::backlog::{self, Backlog};
use crate::direct::connections::buffers::{Buffers, Limits};
use crate::direct::connections::listener;
use crate::direct::connections::port::{self, Port};
use crate::direct::connections::sockets::{self, Buffering};

/// The budget for buffers of all workers together.
const BUFFERS: Limits = Limits { total: 32 * 1024 * 1024, answer: 0 };

/// The connections of all workers together.
const MAX_CONNECTIONS: usize = 1_024;

/// Time after which an idle connection is closed, as in common servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The options of a server.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// The number of worker threads.
    pub workers: usize,
    /// The time for requests in progress when the server is stopped, in seconds.
    pub shutdown_timeout_s: u64,
}

/// Starts a server for routes at an address. It runs until it is stopped by its handle.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: WorkerOptions,
    routes: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> io::Result<Server> {
    let WorkerOptions { workers, shutdown_timeout_s } = options;
    let max_connections = MAX_CONNECTIONS / workers.max(1);
    let share = Limits { total: BUFFERS.total / workers.max(1), ..BUFFERS };
    let builder = ServerBuilder::new()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(shutdown_timeout_s);
    let stopping = builder.graceful_shutdown_signal();
    let listening = sockets::listen(address, Buffering::LongAnswers)?.into_std()?;
    let server = builder.listen("http", listening, move || {
        let port = Port::new("http", max_connections, Clock::system());
        actix_rt::spawn(port::sweep(vec![port.clone()], |_, _| {}));
        let backlog = Backlog::at(port, Buffers::new(share)).unbuffered();
        let leftovers = backlog::write_leftovers(IDLE_TIMEOUT);
        let stopping = stopping.clone();
        let stopped = Rc::new(move || {
            let stopping = stopping.clone();
            async move { stopping.notified().await }
        });
        let http = listener::http(IDLE_TIMEOUT, routes.clone(), move || stopped());
        fn_service(move |stream: TcpStream| {
            let peer = stream.peer_addr().ok();
            let accepted = stream.set_nodelay(true).and_then(|()| {
                let counted = backlog.count(stream, leftovers.clone());
                counted.ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
            });
            future::ready(accepted.map(|stream| (stream, peer)).map_err(Into::into))
        })
        .and_then(http)
    })?;
    Ok(server.run())
}
