//! The dialling side of [`Link`](crate::wire::link_server::Link): keeps a link to one peer and
//! redials when it is lost.
//!
//! A connection whose peer is gone can appear open for a long time. Both ends therefore send
//! heartbeats inside the stream and close the link when no frame has arrived within a deadline;
//! the next dial makes a new connection (see docs/DESIGN.md).

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

/// The result of running a link.
pub type Result<T> = result::Result<T, LinkError>;

/// Wait before the first redial. It doubles with each failed dial, up to [`MAX_REDIAL_WAIT`].
const FIRST_REDIAL_WAIT: Duration = Duration::from_millis(50);
/// Maximum wait between two dials.
const MAX_REDIAL_WAIT: Duration = Duration::from_secs(1);

/// The reason a link could not be opened, or ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer did not accept the connection.
    #[error("The peer at {address} takes no connection.")]
    Connect {
        /// The address dialled.
        address: SocketAddr,
        /// The transport's error.
        #[source]
        source: transport::Error,
    },
    /// The peer's address does not make a valid URI.
    #[error("The peer's address {address} cannot be dialled.")]
    Address {
        /// The address dialled.
        address: SocketAddr,
        /// The parser's error.
        #[source]
        source: transport::Error,
    },
    /// The stream ended with an error status.
    #[error("The peer at {address} ended the link.")]
    Status {
        /// The address dialled.
        address: SocketAddr,
        /// The status, from the peer or the transport.
        #[source]
        source: Box<tonic::Status>,
    },
    /// No frame arrived within the deadline.
    #[error("The peer at {address} was silent for {} ms.", silence.as_millis())]
    Silent {
        /// The address dialled.
        address: SocketAddr,
        /// Time since the last frame, or since the wait for the first one began.
        silence: Duration,
    },
    /// The peer closed the stream without an error.
    #[error("The peer at {address} closed the link.")]
    Closed {
        /// The address dialled.
        address: SocketAddr,
    },
    /// The peer's first frame was not a hello.
    #[error("The peer at {address} did not say hello.")]
    NoHello {
        /// The address dialled.
        address: SocketAddr,
    },
}

/// Queues frames for a link; frames for a link that is down are dropped.
pub type Sender = mpsc::UnboundedSender<wire::Frame>;

/// A change of a link, or a frame from it.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link was opened and the peer's hello has arrived.
    Up {
        /// The peer's hello.
        hello: Box<wire::Hello>,
        /// Sends frames to the peer.
        tx: Sender,
    },
    /// The peer sent a frame.
    Frame(Kind),
    /// The link ended or could not be opened; it is dialled again.
    Down(LinkError),
}

/// The parameters of the link to one peer.
pub struct Dialer {
    /// The address on which the peer accepts links.
    pub address: SocketAddr,
    /// This process, as the hello describes it.
    pub local: wire::Member,
    /// Bytes of each answer's body that the peer may send ahead of what this process has taken; zero for
    /// no limit.
    pub answer_window: u64,
    /// The longest time without a frame from the peer before the link is closed; also the limit
    /// for each step of opening it.
    pub deadline: Duration,
}

/// Keeps a link to a peer, redialling as often as needed, and reports its events to `on_event`
/// until the future is dropped.
pub async fn maintain_link(dialer: Dialer, mut on_event: impl FnMut(LinkEvent)) {
    let mut wait = FIRST_REDIAL_WAIT;
    loop {
        let mut was_up = false;
        let result = run_link(&dialer, |event| {
            was_up = true;
            on_event(event);
        })
        .await;
        if let Err(error) = result {
            on_event(LinkEvent::Down(error));
        }
        wait = match was_up {
            true => FIRST_REDIAL_WAIT,
            false => (wait * 2).min(MAX_REDIAL_WAIT),
        };
        time::sleep(wait).await;
    }
}

/// Opens one link and runs it until it ends.
async fn run_link(dialer: &Dialer, mut on_event: impl FnMut(LinkEvent)) -> Result<()> {
    let address = dialer.address;
    let (tx, rx) = mpsc::unbounded_channel();
    let hello = wire::Hello {
        member: Some(dialer.local.clone()),
        heartbeat: None,
        answer_window: dialer.answer_window,
    };
    send(&tx, Kind::Hello(hello));
    let mut inbound = open(dialer, rx).await?;
    let first = next_frame(&mut inbound, dialer).await?;
    let Some(Kind::Hello(hello)) = first.kind else {
        return Err(LinkError::NoHello { address });
    };
    on_event(LinkEvent::Up { hello: Box::new(hello), tx: tx.clone() });
    let mut last_received = time::Instant::now();
    loop {
        tokio::select! {
            frame = inbound.message() => {
                let frame = frame
                    .map_err(|source| LinkError::Status { address, source: Box::new(source) })?
                    .ok_or(LinkError::Closed { address })?;
                last_received = time::Instant::now();
                if let Some(kind) = frame.kind {
                    on_event(LinkEvent::Frame(kind));
                }
            }
            () = time::sleep_until(last_received + dialer.deadline) => {
                return Err(LinkError::Silent { address, silence: last_received.elapsed() });
            }
        }
    }
}

/// Connects to the peer and opens the stream.
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

/// Waits for the next frame, for the deadline at most.
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

/// Queues a frame for a link. A link that has ended is not an error here, for
/// [`LinkEvent::Down`] reports it.
pub fn send(tx: &Sender, kind: Kind) {
    drop(tx.send(wire::Frame { kind: Some(kind) }));
}
