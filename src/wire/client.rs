//! Dials one peer and keeps a link to it for as long as it answers heartbeats.
//!
//! A connection that went silent looks open for a long time, so the owner of each end sends
//! heartbeats inside the stream and gives the link up after a deadline without any frame; the next
//! dial makes a new connection (see docs/DESIGN.md).

use std::net::SocketAddr;
use std::result;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport;

use crate::wire;
use crate::wire::frame::Kind;
use crate::wire::link_client::LinkClient;

/// The result of a link's life.
pub type Result<T> = result::Result<T, LinkError>;

/// How long to wait before the first redial; it doubles up to [`MAX_REDIAL_WAIT`].
const FIRST_REDIAL_WAIT: Duration = Duration::from_millis(50);
/// The longest wait between two dials.
const MAX_REDIAL_WAIT: Duration = Duration::from_secs(1);

/// LinkError is why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer takes no connection.
    #[error("The peer at {address} takes no connection.")]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: transport::Error,
    },
    /// The peer's address does not make a URI.
    #[error("The peer's address {address} cannot be dialled.")]
    Address {
        /// The peer.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: transport::Error,
    },
    /// The peer ended the stream with an error.
    #[error("The peer at {address} ended the link.")]
    Status {
        /// The peer.
        address: SocketAddr,
        /// What it said.
        #[source]
        source: Box<tonic::Status>,
    },
    /// Nothing was heard for too long.
    #[error("The peer at {address} was silent for {} ms.", silence.as_millis())]
    Silent {
        /// The peer.
        address: SocketAddr,
        /// How long.
        silence: Duration,
    },
    /// The peer closed the stream.
    #[error("The peer at {address} closed the link.")]
    Closed {
        /// The peer.
        address: SocketAddr,
    },
    /// The peer's first frame was no hello.
    #[error("The peer at {address} did not say hello.")]
    NoHello {
        /// The peer.
        address: SocketAddr,
    },
}

/// Sender hands frames to a link; a link that is down drops them.
pub type Sender = mpsc::UnboundedSender<wire::Frame>;

/// LinkEvent is what happens on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The peer said hello.
    Up {
        /// The peer's hello.
        hello: Box<wire::Hello>,
        /// Takes frames for the peer.
        tx: Sender,
    },
    /// The peer sent a frame.
    Frame(Kind),
    /// The link is gone.
    Down(LinkError),
}

/// Dialer is how to reach one peer, and what to tell it.
pub struct Dialer {
    /// Where the peer listens.
    pub address: SocketAddr,
    /// Who this process is.
    pub local: wire::Member,
    /// Silence after which the link is given up.
    pub deadline: Duration,
}

/// Dials again and again and reports to `on_event`, until the task is dropped.
pub async fn maintain_link(dialer: Dialer, mut on_event: impl FnMut(LinkEvent)) {
    let mut wait = FIRST_REDIAL_WAIT;
    loop {
        let mut was_up = false;
        let ended = run_link(&dialer, |event| {
            was_up = true;
            on_event(event);
        })
        .await;
        if let Err(error) = ended {
            on_event(LinkEvent::Down(error));
        }
        wait = match was_up {
            true => FIRST_REDIAL_WAIT,
            false => (wait * 2).min(MAX_REDIAL_WAIT),
        };
        time::sleep(wait).await;
    }
}

async fn run_link(dialer: &Dialer, mut on_event: impl FnMut(LinkEvent)) -> Result<()> {
    let address = dialer.address;
    let (tx, rx) = mpsc::unbounded_channel();
    let hello = wire::Hello { member: Some(dialer.local.clone()), heartbeat: None };
    send(&tx, Kind::Hello(hello));
    let mut inbound = open(dialer, rx).await?;
    let first = next_frame(&mut inbound, dialer).await?;
    let Some(Kind::Hello(hello)) = first.kind else {
        return Err(LinkError::NoHello { address });
    };
    on_event(LinkEvent::Up { hello: Box::new(hello), tx: tx.clone() });
    let mut heard = time::Instant::now();
    loop {
        tokio::select! {
            frame = inbound.message() => {
                let frame = frame
                    .map_err(|source| LinkError::Status { address, source: Box::new(source) })?
                    .ok_or(LinkError::Closed { address })?;
                heard = time::Instant::now();
                if let Some(kind) = frame.kind {
                    on_event(LinkEvent::Frame(kind));
                }
            }
            () = time::sleep_until(heard + dialer.deadline) => {
                return Err(LinkError::Silent { address, silence: heard.elapsed() });
            }
        }
    }
}

async fn open(
    dialer: &Dialer,
    rx: mpsc::UnboundedReceiver<wire::Frame>,
) -> Result<tonic::Streaming<wire::Frame>> {
    let address = dialer.address;
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
        .map_err(|source| LinkError::Address { address, source })?
        .connect_timeout(dialer.deadline)
        .tcp_nodelay(true);
    let channel =
        endpoint.connect().await.map_err(|source| LinkError::Connect { address, source })?;
    let mut client = LinkClient::new(channel);
    let opened = client.open(UnboundedReceiverStream::new(rx));
    let response = time::timeout(dialer.deadline, opened)
        .await
        .map_err(|_| LinkError::Silent { address, silence: dialer.deadline })?
        .map_err(|source| LinkError::Status { address, source: Box::new(source) })?;
    Ok(response.into_inner())
}

async fn next_frame(
    inbound: &mut tonic::Streaming<wire::Frame>,
    dialer: &Dialer,
) -> Result<wire::Frame> {
    let address = dialer.address;
    time::timeout(dialer.deadline, inbound.message())
        .await
        .map_err(|_| LinkError::Silent { address, silence: dialer.deadline })?
        .map_err(|source| LinkError::Status { address, source: Box::new(source) })?
        .ok_or(LinkError::Closed { address })
}

/// Hands a frame to a link; the link's end is told by its own event, so a closed one is no error.
pub fn send(tx: &Sender, kind: Kind) {
    drop(tx.send(wire::Frame { kind: Some(kind) }));
}
