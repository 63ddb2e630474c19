//! A TCP forwarder whose connections fail as those between two hosts do.
//!
//! It runs on the test's own runtime. What goes wrong concerns the connections that exist at that
//! moment, while new ones work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{future, io};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::{task, time};

/// Bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Fate is what becomes of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// It forwards.
    Forward,
    /// It takes everything and passes nothing on, for good; neither end learns of the other.
    Blackhole,
    /// It is closed.
    Close,
}

struct Shared {
    target: SocketAddr,
    fate: Mutex<watch::Sender<Fate>>,
    delay: Mutex<Duration>,
    accepted: AtomicU64,
    swallowed: Mutex<Vec<watch::Sender<Fate>>>,
}

/// FaultProxy forwards connections to one address until it is dropped.
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: task::JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a pipe to an address.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            fate: Mutex::new(watch::Sender::new(Fate::Forward)),
            delay: Mutex::default(),
            accepted: AtomicU64::new(0),
            swallowed: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { address, shared, accepting })
    }

    /// Swallows from now on all that comes by the connections that exist.
    pub fn blackhole(&self) {
        let before = self.settle(Fate::Blackhole);
        lock(&self.shared.swallowed).push(before);
    }

    /// Closes the connections that exist.
    pub fn close_connections(&self) {
        drop(self.settle(Fate::Close));
    }

    /// Holds every piece back for so long from now on.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.shared.delay) = delay;
    }

    /// Returns how many connections were made so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Tells the connections that exist their fate; later ones get a sender of their own.
    fn settle(&self, fate: Fate) -> watch::Sender<Fate> {
        let fresh = watch::Sender::new(Fate::Forward);
        let before = std::mem::replace(&mut *lock(&self.shared.fate), fresh);
        before.send_replace(fate);
        before
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.close_connections();
        for swallowed in lock(&self.shared.swallowed).iter() {
            swallowed.send_replace(Fate::Close);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((near, _)) = listener.accept().await {
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        let fate = lock(&shared.fate).subscribe();
        tokio::spawn(forward(near, Arc::clone(&shared), fate));
    }
}

/// A connection that the target refuses is closed, which the near end sees as a failure too.
async fn forward(near: TcpStream, shared: Arc<Shared>, fate: watch::Receiver<Fate>) {
    let Ok(far) = TcpStream::connect(shared.target).await else { return };
    if near.set_nodelay(true).and_then(|()| far.set_nodelay(true)).is_err() {
        return;
    }
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = copy(near_rx, far_tx, &shared, fate.clone());
    let back = copy(far_rx, near_tx, &shared, fate.clone());
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        () = cut(fate) => {}
    }
}

async fn copy(
    mut rx: tcp::OwnedReadHalf,
    mut tx: tcp::OwnedWriteHalf,
    shared: &Shared,
    fate: watch::Receiver<Fate>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = rx.read(&mut buf).await.unwrap_or(0);
        let delay = *lock(&shared.delay);
        time::sleep(delay).await;
        let fate = *fate.borrow();
        match (fate, read) {
            (Fate::Blackhole, 0) => future::pending().await,
            (Fate::Blackhole, _) => {}
            (_, 0) => break,
            (_, _) => {
                if tx.write_all(&buf[..read]).await.is_err() {
                    break;
                }
            }
        }
    }
    // An end that is gone already needs no end of its own.
    let _ = tx.shutdown().await;
}

/// Resolves once the connection is to be closed.
async fn cut(mut fate: watch::Receiver<Fate>) {
    if fate.wait_for(|fate| *fate == Fate::Close).await.is_err() {
        future::pending().await
    }
}
