//! Counts the connections whose answers are not written yet.
//!
//! An answer is handed to the HTTP server as a whole, which writes it as fast as the caller reads.
//! A process that is stopping must not exit before that.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of connections with bytes that the kernel has not taken yet; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Backlog(Rc<Cell<usize>>);

impl Backlog {
    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.0.get()
    }

    /// Returns a stream that is counted here while it has unwritten bytes.
    pub fn count(&self, inner: TcpStream) -> CountedStream {
        CountedStream { inner, backlog: self.clone(), is_behind: false }
    }
}

/// A caller's connection.
pub struct CountedStream {
    inner: TcpStream,
    backlog: Backlog,
    /// True if the last write was not taken completely.
    is_behind: bool,
}

impl CountedStream {
    fn set_behind(&mut self, is_behind: bool) {
        let count = &self.backlog.0;
        match (std::mem::replace(&mut self.is_behind, is_behind), is_behind) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get().saturating_sub(1)),
            _ => {}
        }
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.set_behind(false);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    // The HTTP server offers all unwritten bytes of a connection with each call.
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        let is_behind = match &result {
            Poll::Pending => true,
            Poll::Ready(Ok(written)) => *written < buf.len(),
            Poll::Ready(Err(_)) => false,
        };
        self.set_behind(is_behind);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
