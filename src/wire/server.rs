//! The serving side of [`Link`](crate::wire::link_server::Link): accepts streams, creates a sender
//! for each, and passes their events to a handler. Agents and entries share it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::result;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::{net, sync::mpsc};
use tokio_stream::wrappers;
use tonic::transport;

use crate::wire;

/// Number of frames queued for a peer that reads slowly before senders have to wait.
const MAX_QUEUED_FRAMES: usize = 256;
/// Maximum size of a frame, which holds a complete request body.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Interval and timeout of HTTP/2 keepalive pings, which detect dead connections independently of
/// the heartbeats inside the stream.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// The result of serving links.
pub type Result<T> = result::Result<T, ServeError>;

/// The reason links cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The listening socket cannot be bound.
    #[error("Cannot listen on the address {address}.")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The server failed while it was running.
    #[error("The link server ended.")]
    Ended(#[source] transport::Error),
}

/// Identifies an accepted link, unique within one incarnation of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// A change of an accepted link, or a frame from it.
#[derive(Debug)]
pub enum LinkEvent {
    /// A peer opened a link.
    Opened {
        /// Identifies the link in its later events.
        link: LinkId,
        /// Sends frames to the peer.
        sender: FrameSender,
    },
    /// A frame arrived.
    Frame {
        /// The link on which it arrived.
        link: LinkId,
        /// The content of the frame.
        kind: Box<wire::frame::Kind>,
    },
    /// The link ended.
    Closed(LinkId),
}

/// Sends frames to one peer, in order.
#[derive(Clone, Debug)]
pub struct FrameSender {
    tx: mpsc::Sender<result::Result<wire::Frame, tonic::Status>>,
}

impl FrameSender {
    /// Queues a frame, waiting while the queue is full because the peer reads slowly. Returns
    /// false if the link has ended.
    pub async fn send(&self, kind: wire::frame::Kind) -> bool {
        self.tx.send(Ok(wire::Frame { kind: Some(kind) })).await.is_ok()
    }

    /// Queues a frame without waiting. If the queue is full because the peer reads slowly, a
    /// spawned task waits for room.
    pub fn post(&self, kind: wire::frame::Kind) {
        let frame = Ok(wire::Frame { kind: Some(kind) });
        let Err(mpsc::error::TrySendError::Full(frame)) = self.tx.try_send(frame) else { return };
        let tx = self.tx.clone();
        // A link that has ended is reported by `LinkEvent::Closed`.
        tokio::spawn(async move { drop(tx.send(frame).await) });
    }
}

/// Receives the events of all links. It runs on the server's tasks and must not block.
pub type Handler = Arc<dyn Fn(LinkEvent) + Send + Sync>;

struct Service {
    next_link_id: AtomicU64,
    handler: Handler,
}

type OutboundFrames =
    Pin<Box<dyn tokio_stream::Stream<Item = result::Result<wire::Frame, tonic::Status>> + Send>>;

#[tonic::async_trait]
impl wire::link_server::Link for Service {
    type OpenStream = OutboundFrames;

    async fn open(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Frame>>,
    ) -> result::Result<tonic::Response<Self::OpenStream>, tonic::Status> {
        let link = LinkId(self.next_link_id.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        let handler = Arc::clone(&self.handler);
        handler(LinkEvent::Opened { link, sender: FrameSender { tx } });
        tokio::spawn(read_frames(link, request.into_inner(), handler));
        Ok(tonic::Response::new(Box::pin(wrappers::ReceiverStream::new(rx))))
    }
}

/// Passes a link's frames to the handler until the link ends.
async fn read_frames(link: LinkId, mut inbound: tonic::Streaming<wire::Frame>, handler: Handler) {
    while let Ok(Some(frame)) = inbound.message().await {
        if let Some(kind) = frame.kind {
            handler(LinkEvent::Frame { link, kind: Box::new(kind) });
        }
    }
    handler(LinkEvent::Closed(link));
}

/// Binds a listening socket.
///
/// # Errors
///
/// Returns [`ServeError::Listen`] if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<net::TcpListener> {
    let bound = net::TcpListener::bind(address).await;
    bound.map_err(|source| ServeError::Listen { address, source })
}

/// Serves links until `stop` resolves and every connection has ended.
///
/// # Errors
///
/// Returns [`ServeError::Ended`] if the server fails.
pub async fn serve(
    listener: net::TcpListener,
    handler: Handler,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let service =
        wire::link_server::LinkServer::new(Service { next_link_id: AtomicU64::new(1), handler })
            .max_decoding_message_size(MAX_FRAME_BYTES)
            .max_encoding_message_size(MAX_FRAME_BYTES);
    let incoming = transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop)
        .await
        .map_err(ServeError::Ended)
}
