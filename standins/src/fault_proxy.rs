//! A TCP proxy that injects the connection faults that occur between two hosts.
//!
//! It runs on the caller's runtime. A fault affects the connections that exist at that moment;
//! later connections work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{future, io};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::{task, time};

/// Size of the buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the proxy treats a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionState {
    /// Data is forwarded in both directions.
    Forward,
    /// Data is read and discarded, and a close is not passed on, so that neither end notices.
    Blackhole,
    /// The connection is closed.
    Close,
}

struct Shared {
    target: SocketAddr,
    state: Mutex<watch::Sender<ConnectionState>>,
    delay: Mutex<Duration>,
    refusing: AtomicBool,
    accepted: AtomicU64,
    blackholed: Mutex<Vec<watch::Sender<ConnectionState>>>,
}

/// A proxy that forwards connections to one address until it is dropped.
pub struct FaultProxy {
    /// The loopback address at which the proxy listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: task::JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy in front of an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            state: Mutex::new(watch::Sender::new(ConnectionState::Forward)),
            delay: Mutex::default(),
            refusing: AtomicBool::new(false),
            accepted: AtomicU64::new(0),
            blackholed: Mutex::default(),
        });
        let acceptor = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { address, shared, acceptor })
    }

    /// Discards from now on all data of the existing connections, without closing them.
    pub fn blackhole(&self) {
        let previous = self.set_state(ConnectionState::Blackhole);
        lock(&self.shared.blackholed).push(previous);
    }

    /// Closes the existing connections.
    pub fn close_connections(&self) {
        drop(self.set_state(ConnectionState::Close));
    }

    /// Sets whether new connections are closed at once; the existing ones are closed when that begins.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::Relaxed);
        if refusing {
            self.close_connections();
        }
    }

    /// Delays every read of data by this time before it is forwarded, from now on.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.shared.delay) = delay;
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Sets the state of the existing connections and returns its sender; later connections get a
    /// new one.
    fn set_state(&self, state: ConnectionState) -> watch::Sender<ConnectionState> {
        let next = watch::Sender::new(ConnectionState::Forward);
        let previous = std::mem::replace(&mut *lock(&self.shared.state), next);
        previous.send_replace(state);
        previous
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.acceptor.abort();
        self.close_connections();
        for blackholed in lock(&self.shared.blackholed).iter() {
            blackholed.send_replace(ConnectionState::Close);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        if shared.refusing.load(Ordering::Relaxed) {
            continue;
        }
        let state = lock(&shared.state).subscribe();
        tokio::spawn(forward(client, Arc::clone(&shared), state));
    }
}

/// Forwards one connection. If the target refuses it, the client's connection is closed, which the
/// client also sees as a failure.
async fn forward(client: TcpStream, shared: Arc<Shared>, state: watch::Receiver<ConnectionState>) {
    let Ok(server) = TcpStream::connect(shared.target).await else { return };
    if client.set_nodelay(true).and_then(|()| server.set_nodelay(true)).is_err() {
        return;
    }
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let upstream = copy(client_rx, server_tx, &shared, state.clone());
    let downstream = copy(server_rx, client_tx, &shared, state.clone());
    tokio::select! {
        _ = async { tokio::join!(upstream, downstream) } => {}
        () = closed(state) => {}
    }
}

async fn copy(
    mut rx: tcp::OwnedReadHalf,
    mut tx: tcp::OwnedWriteHalf,
    shared: &Shared,
    state: watch::Receiver<ConnectionState>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = rx.read(&mut buf).await.unwrap_or(0);
        let delay = *lock(&shared.delay);
        time::sleep(delay).await;
        let state = *state.borrow();
        match (state, read) {
            (ConnectionState::Blackhole, 0) => future::pending().await,
            (ConnectionState::Blackhole, _) => {}
            (_, 0) => break,
            (_, _) => {
                if tx.write_all(&buf[..read]).await.is_err() {
                    break;
                }
            }
        }
    }
    // Fails if the connection is already gone, in which case there is nothing to shut down.
    let _ = tx.shutdown().await;
}

/// Resolves when the connection is to be closed.
async fn closed(mut state: watch::Receiver<ConnectionState>) {
    if state.wait_for(|state| *state == ConnectionState::Close).await.is_err() {
        future::pending().await
    }
}
