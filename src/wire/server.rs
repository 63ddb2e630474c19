//! The serving side of [`Link`](crate::wire::link_server::Link): accepts streams, gives each a
//! sender, and feeds what happens to a closure. Agents and entries share it.

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

/// Frames that wait for a peer that reads slowly before senders have to wait.
const OUTBOUND_FRAMES: usize = 256;
/// The largest frame; a request body travels in one.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// How often an idle connection is checked below the heartbeats.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// The result of serving links.
pub type Result<T> = result::Result<T, ServeError>;

/// ServeError is why links cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address cannot be listened on.
    #[error("The address {address} cannot be listened on.")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: std::io::Error,
    },
    /// The server ended by itself.
    #[error("The link server ended.")]
    Ended(#[source] transport::Error),
}

/// LinkId names one connection for the life of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// LinkEvent is what happens to a connection.
#[derive(Debug)]
pub enum LinkEvent {
    /// A peer opened a connection.
    Opened {
        /// The connection.
        link: LinkId,
        /// Sends frames to the peer.
        sender: FrameSender,
    },
    /// A frame came.
    Frame {
        /// The connection.
        link: LinkId,
        /// The frame.
        kind: Box<wire::frame::Kind>,
    },
    /// The connection is gone.
    Closed(LinkId),
}

/// FrameSender sends frames to one peer, in order.
#[derive(Clone, Debug)]
pub struct FrameSender {
    tx: mpsc::Sender<result::Result<wire::Frame, tonic::Status>>,
}

impl FrameSender {
    /// Sends a frame, waiting while the peer reads slowly. Returns false where it is gone.
    pub async fn send(&self, kind: wire::frame::Kind) -> bool {
        self.tx.send(Ok(wire::Frame { kind: Some(kind) })).await.is_ok()
    }

    /// Sends a frame at once, or from a task of its own where the peer reads slowly.
    pub fn post(&self, kind: wire::frame::Kind) {
        let frame = Ok(wire::Frame { kind: Some(kind) });
        let Err(mpsc::error::TrySendError::Full(frame)) = self.tx.try_send(frame) else { return };
        let tx = self.tx.clone();
        // A peer that is gone is told by its own event.
        tokio::spawn(async move { drop(tx.send(frame).await) });
    }
}

/// Handler takes in what happens to connections; it runs on the server's tasks and returns at
/// once.
pub type Handler = Arc<dyn Fn(LinkEvent) + Send + Sync>;

struct Service {
    next: AtomicU64,
    handler: Handler,
}

type Outbound =
    Pin<Box<dyn tokio_stream::Stream<Item = result::Result<wire::Frame, tonic::Status>> + Send>>;

#[tonic::async_trait]
impl wire::link_server::Link for Service {
    type OpenStream = Outbound;

    async fn open(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Frame>>,
    ) -> result::Result<tonic::Response<Self::OpenStream>, tonic::Status> {
        let link = LinkId(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::channel(OUTBOUND_FRAMES);
        let handler = Arc::clone(&self.handler);
        handler(LinkEvent::Opened { link, sender: FrameSender { tx } });
        tokio::spawn(read(link, request.into_inner(), handler));
        Ok(tonic::Response::new(Box::pin(wrappers::ReceiverStream::new(rx))))
    }
}

async fn read(link: LinkId, mut inbound: tonic::Streaming<wire::Frame>, handler: Handler) {
    while let Ok(Some(frame)) = inbound.message().await {
        if let Some(kind) = frame.kind {
            handler(LinkEvent::Frame { link, kind: Box::new(kind) });
        }
    }
    handler(LinkEvent::Closed(link));
}

/// Listens on an address.
///
/// # Errors
///
/// Returns [`ServeError::Listen`] where the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<net::TcpListener> {
    let bound = net::TcpListener::bind(address).await;
    bound.map_err(|source| ServeError::Listen { address, source })
}

/// Serves links until `stop` resolves and every connection has ended.
///
/// # Errors
///
/// Returns [`ServeError::Ended`] where the server ends by itself.
pub async fn serve(
    listener: net::TcpListener,
    handler: Handler,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let service = wire::link_server::LinkServer::new(Service { next: AtomicU64::new(1), handler })
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
