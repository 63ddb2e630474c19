//! Connections to the target on which an end of file is an error.
//!
//! The HTTP client treats a connection that closes between two chunks as the end of the answer, so
//! that an answer truncated by a crash of the target would look complete. The close is therefore
//! reported as an error here. A complete answer ends by its content length or last chunk and does
//! not depend on the close.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_rt::net;
use actix_tls::connect;
use actix_web::dev;
use awc::http;
use tokio::io as tokio_io;

/// StrictStream is a TCP connection whose reads fail once the peer has closed it.
#[derive(Debug)]
pub struct StrictStream {
    inner: net::TcpStream,
}

impl tokio_io::AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio_io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let room = buf.remaining();
        match Pin::new(&mut self.inner).poll_read(cx, buf) {
            Poll::Ready(Ok(())) if room > 0 && buf.filled().len() == before => {
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            other => other,
        }
    }
}

impl tokio_io::AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl net::ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<net::Ready>> {
        net::ActixStream::poll_read_ready(&self.inner, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<net::Ready>> {
        net::ActixStream::poll_write_ready(&self.inner, cx)
    }
}

/// StrictConnector opens the HTTP client's connections as [`StrictStream`]s.
#[derive(Clone)]
pub struct StrictConnector {
    inner: connect::ConnectorService,
}

impl StrictConnector {
    /// Creates a connector with the default resolver.
    pub fn new() -> Self {
        Self { inner: connect::Connector::default().service() }
    }
}

impl Default for StrictConnector {
    fn default() -> Self {
        Self::new()
    }
}

type Connected = connect::Connection<http::Uri, StrictStream>;

impl dev::Service<connect::ConnectInfo<http::Uri>> for StrictConnector {
    type Response = Connected;
    type Error = connect::ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Connected, connect::ConnectError>>>>;

    dev::always_ready!();

    fn call(&self, info: connect::ConnectInfo<http::Uri>) -> Self::Future {
        let connecting = self.inner.call(info);
        Box::pin(async move {
            let (io, request) = connecting.await?.into_parts();
            io.set_nodelay(true).map_err(connect::ConnectError::Io)?;
            Ok(connect::Connection::new(request, StrictStream { inner: io }))
        })
    }
}
