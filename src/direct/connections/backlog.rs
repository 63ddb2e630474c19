//! Callers' connections, with the bytes that their callers have not read yet.
//!
//! The HTTP server asks for more of an answer once its connection has taken what there is. A
//! connection takes more than the kernel does while the budget for buffers allows it, so that an answer
//! is read from its target though its caller is slow. A process that is stopping must not exit
//! before all of it is written.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time;

use crate::direct::connections::buffers::{Buffers, Held, Limits};

/// The size of one block of buffered bytes. Blocks are counted in full, since they are allocated in
/// full.
const BLOCK_BYTES: usize = 8 * 1024;

/// The connections with unwritten bytes, and the budget for these; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    connections: Rc<Cell<usize>>,
    buffers: Buffers,
}

impl Backlog {
    /// Returns an empty backlog with limits.
    pub fn within(limits: Limits) -> Self {
        Self { connections: Rc::default(), buffers: Buffers::new(limits) }
    }

    /// Returns the number of connections with bytes that the kernel has not taken yet.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the account of buffered bytes.
    pub fn buffers(&self) -> &Buffers {
        &self.buffers
    }

    /// Returns a stream that is counted here while it has unwritten bytes. What is left of them when
    /// the HTTP server drops it goes to `leftovers`.
    pub fn count(&self, inner: TcpStream, leftovers: UnboundedSender<Leftover>) -> CountedStream {
        CountedStream { inner: Some(inner), unwritten: self.unwritten(), leftovers }
    }

    fn unwritten(&self) -> Unwritten {
        Unwritten {
            blocks: VecDeque::new(),
            offered: 0,
            held: self.buffers.hold(),
            backlog: self.clone(),
            is_behind: false,
        }
    }
}

/// Bytes of a connection that the kernel has not taken.
struct Unwritten {
    blocks: VecDeque<BytesMut>,
    /// Bytes that the HTTP server has offered and keeps, since they exceed the budget.
    offered: usize,
    held: Held,
    backlog: Backlog,
    is_behind: bool,
}

impl Unwritten {
    fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            // Bytes at the front of a block may be written already, which leaves it less capacity.
            let free = self.blocks.back().map_or(0, |block| block.capacity() - block.len());
            let (part, rest) = bytes.split_at(bytes.len().min(free));
            match self.blocks.back_mut() {
                Some(block) if free > 0 => block.extend_from_slice(part),
                _ => self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES)),
            }
            bytes = rest;
        }
    }

    /// Returns the bytes that may be buffered in addition, in whole blocks.
    fn room(&self) -> usize {
        self.held.room() / BLOCK_BYTES * BLOCK_BYTES
    }

    fn recount(&mut self) {
        self.held.set(self.blocks.len() * BLOCK_BYTES + self.offered);
        let is_behind = self.held.bytes() > 0;
        let count = &self.backlog.connections;
        match (mem::replace(&mut self.is_behind, is_behind), is_behind) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get().saturating_sub(1)),
            _ => {}
        }
    }

    /// Writes blocks until all are written or the kernel takes no more.
    fn poll_write(&mut self, cx: &mut Context<'_>, stream: &mut TcpStream) -> Poll<io::Result<()>> {
        while let Some(block) = self.blocks.front_mut() {
            match Pin::new(&mut *stream).poll_write(cx, block) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(written)) => block.advance(written),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
            if block.is_empty() {
                self.blocks.pop_front();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.blocks.clear();
        self.offered = 0;
        self.recount();
    }
}

/// A caller's connection.
pub struct CountedStream {
    /// `None` once the connection was left to be written out.
    inner: Option<TcpStream>,
    unwritten: Unwritten,
    leftovers: UnboundedSender<Leftover>,
}

impl CountedStream {
    /// Writes what is buffered. Ready once all of it is written.
    fn poll_buffered(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(stream) = &mut self.inner else { return Poll::Ready(Ok(())) };
        let result = self.unwritten.poll_write(cx, stream);
        if matches!(result, Poll::Ready(Err(_))) {
            self.unwritten.blocks.clear();
        }
        self.unwritten.recount();
        result
    }

    fn poll_direct(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match &mut self.inner {
            Some(stream) => Pin::new(stream).poll_write(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.inner {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for CountedStream {
    // The HTTP server offers all unwritten bytes of a connection with each call.
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &mut *self;
        stream.unwritten.offered = 0;
        let result = match stream.poll_buffered(cx) {
            Poll::Ready(Ok(())) => stream.poll_direct(cx, buf),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        };
        if result.is_ready() {
            return result;
        }
        let unwritten = &mut stream.unwritten;
        let taken = buf.len().min(unwritten.room());
        unwritten.push(&buf[..taken]);
        unwritten.offered = buf.len() - taken;
        unwritten.recount();
        match taken {
            0 => Poll::Pending,
            _ => Poll::Ready(Ok(taken)),
        }
    }

    // Buffered bytes do not hold up the HTTP server; its task is woken when the kernel takes more.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_buffered(cx) {
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) | Poll::Pending => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_buffered(cx) {
            Poll::Ready(Ok(())) => {}
            other => return other,
        }
        match &mut self.inner {
            Some(stream) => Pin::new(stream).poll_shutdown(cx),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        if self.unwritten.blocks.is_empty() {
            return;
        }
        let Some(stream) = self.inner.take() else { return };
        let backlog = self.unwritten.backlog.clone();
        let mut unwritten = mem::replace(&mut self.unwritten, backlog.unwritten());
        unwritten.offered = 0;
        unwritten.recount();
        // Nobody receives once the server has ended; the bytes are dropped then.
        drop(self.leftovers.send(Leftover { stream, unwritten }));
    }
}

/// A connection that the HTTP server has closed before its caller has read all bytes.
pub struct Leftover {
    stream: TcpStream,
    unwritten: Unwritten,
}

impl Leftover {
    /// Writes the bytes. Ends early if the caller reads none for `idle_timeout` or closes.
    async fn write(mut self, idle_timeout: Duration) -> io::Result<()> {
        while let Some(block) = self.unwritten.blocks.front_mut() {
            let written = time::timeout(idle_timeout, self.stream.write(block)).await??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            block.advance(written);
            if block.is_empty() {
                self.unwritten.blocks.pop_front();
                self.unwritten.recount();
            }
        }
        self.stream.shutdown().await
    }
}

/// Returns a channel for connections that are to be written out, which this does until the process
/// ends.
pub fn write_leftovers(idle_timeout: Duration) -> UnboundedSender<Leftover> {
    let (tx, mut rx): (_, UnboundedReceiver<Leftover>) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        while let Some(leftover) = rx.recv().await {
            actix_rt::spawn(async move {
                // An error means that the caller has left, which is no fault.
                drop(leftover.write(idle_timeout).await);
            });
        }
    });
    tx
}
