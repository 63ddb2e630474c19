//! Callers' connections, with the bytes that their callers have not read yet.
//!
//! The HTTP server asks for more of an answer once its connection has taken what there is. A
//! connection takes more than the kernel does while the budget for buffers allows it, so that an answer
//! is read from its target though its caller is slow. A process that is stopping must not exit
//! before all of it is written.
//!
//! While a connection has unwritten bytes, no further request is read from it, see
//! [`read_ahead`](crate::direct::connections::read_ahead).

use std::cell::Cell;
use std::collections::VecDeque;
use std::future;
use std::io;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time;

use crate::clock::Clock;
use crate::direct::connections::buffers::{Buffers, Held, Limits};
use crate::direct::connections::flow::Flow;
use crate::direct::connections::port::{Admitted, Port};
use crate::direct::connections::read_ahead::{Outcome, ReadAhead};
use crate::telemetry::events;

/// The size of one block of buffered bytes. Blocks are counted in full, since they are allocated in
/// full.
const BLOCK_BYTES: usize = 8 * 1024;

/// The answer to a request whose head is too long. It is written before the request has been read.
const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// The connections of one port, those with unwritten bytes, and the budget for these; clones share them.
#[derive(Clone)]
pub struct Backlog {
    connections: Rc<Cell<usize>>,
    buffers: Buffers,
    port: Port,
    /// True if answers are read from their sources though their clients are slow.
    keeps_answers: bool,
}

impl Backlog {
    /// Returns the backlog of a port without a limit of its connections.
    pub fn within(limits: Limits) -> Self {
        let port = Port::new("callers", usize::MAX, Clock::system());
        Self::at(port, Buffers::new(limits))
    }

    /// Returns the backlog of a port, whose connections share the buffers with others.
    pub fn at(port: Port, buffers: Buffers) -> Self {
        Self { connections: Rc::default(), buffers, port, keeps_answers: true }
    }

    /// Returns the backlog for answers that are made only as fast as their clients read, so that limits
    /// of those in progress hold until they are sent.
    #[must_use]
    pub fn unbuffered(self) -> Self {
        Self { keeps_answers: false, ..self }
    }

    /// Returns the port.
    pub fn port(&self) -> &Port {
        &self.port
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
    /// the HTTP server drops it goes to `leftovers`. `None` if the port admits no connection now.
    pub fn count(
        &self,
        inner: TcpStream,
        leftovers: UnboundedSender<Leftover>,
    ) -> Option<CountedStream> {
        let admitted = self.port.admit()?;
        let read_ahead = ReadAhead::new(self.buffers.hold());
        let unwritten = Unwritten {
            blocks: VecDeque::new(),
            offered: 0,
            held: self.buffers.hold(),
            connections: Rc::clone(&self.connections),
            admitted,
            keeps_answers: self.keeps_answers,
            is_behind: false,
        };
        let open = OpenStream { stream: inner, unwritten };
        Some(CountedStream { open: Some(open), read_ahead, leftovers })
    }
}

/// Bytes of a connection that the kernel has not taken.
struct Unwritten {
    blocks: VecDeque<BytesMut>,
    /// Bytes that the HTTP server has offered and keeps, since they exceed the budget.
    offered: usize,
    held: Held,
    connections: Rc<Cell<usize>>,
    admitted: Admitted,
    keeps_answers: bool,
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

    /// Buffers the beginning of bytes that the HTTP server offers, in whole blocks, as far as the
    /// budget allows it. Returns its length.
    fn take(&mut self, bytes: &[u8]) -> usize {
        self.held.set(self.blocks.len() * BLOCK_BYTES);
        let room = match self.keeps_answers {
            true => self.held.room() / BLOCK_BYTES * BLOCK_BYTES,
            false => 0,
        };
        let taken = bytes.len().min(room);
        self.push(&bytes[..taken]);
        self.offered = bytes.len() - taken;
        self.recount();
        taken
    }

    fn recount(&mut self) {
        self.held.set(self.blocks.len() * BLOCK_BYTES + self.offered);
        let is_behind = self.held.bytes() > 0;
        let count = &self.connections;
        match (mem::replace(&mut self.is_behind, is_behind), is_behind) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get().saturating_sub(1)),
            _ => {}
        }
        self.admitted.flow().set_unwritten(is_behind);
    }

    /// Records that the kernel took bytes, which it does as their client reads.
    fn record_progress(&self) {
        self.admitted.flow().record_progress(self.admitted.port().now());
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
            self.record_progress();
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

/// An open connection with its unwritten bytes.
struct OpenStream {
    stream: TcpStream,
    unwritten: Unwritten,
}

impl OpenStream {
    fn flow(&self) -> &Flow {
        self.unwritten.admitted.flow()
    }

    /// Writes what is buffered. Ready once all of it is written.
    fn poll_buffered(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = match self.flow().is_closing() {
            true => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            false => self.unwritten.poll_write(cx, &mut self.stream),
        };
        if matches!(result, Poll::Ready(Err(_))) {
            self.unwritten.blocks.clear();
        }
        self.unwritten.recount();
        result
    }
}

impl Drop for OpenStream {
    /// Resets a connection that was closed for another one, so that the kernel keeps nothing for it.
    fn drop(&mut self) {
        if self.flow().is_closing()
            && let Err(error) = self.stream.set_zero_linger()
        {
            events::log(events::RESET_FAILED, format_args!("cause=\"{error}\""));
        }
    }
}

/// A caller's connection.
pub struct CountedStream {
    /// `None` once the connection was left to be written out.
    open: Option<OpenStream>,
    read_ahead: ReadAhead,
    leftovers: UnboundedSender<Leftover>,
}

impl CountedStream {
    /// Returns the flow that the connection's requests share with it.
    pub fn flow(&self) -> Option<Rc<Flow>> {
        self.open.as_ref().map(|open| Rc::clone(open.unwritten.admitted.flow()))
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { open, read_ahead, .. } = &mut *self;
        let Some(OpenStream { stream, unwritten }) = open else { return Poll::Ready(Ok(())) };
        let (flow, now) = (unwritten.admitted.flow(), unwritten.admitted.port().now());
        match ready!(read_ahead.poll_read(cx, stream, flow, now, buf))? {
            Outcome::Read => {}
            Outcome::HeadTooLong => {
                buf.clear();
                unwritten.push(HEAD_TOO_LONG);
                unwritten.recount();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    // The HTTP server offers all unwritten bytes of a connection with each call.
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Some(open) = &mut self.open else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let result = match open.poll_buffered(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut open.stream).poll_write(cx, buf),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        };
        if result.is_ready() {
            open.unwritten.offered = 0;
            open.unwritten.recount();
            open.unwritten.record_progress();
            return result;
        }
        match open.unwritten.take(buf) {
            0 => Poll::Pending,
            taken => Poll::Ready(Ok(taken)),
        }
    }

    // Buffered bytes do not hold up the HTTP server; its task is woken when the kernel takes more.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(open) = &mut self.open else { return Poll::Ready(Ok(())) };
        match open.poll_buffered(cx) {
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) | Poll::Pending => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(open) = &mut self.open else { return Poll::Ready(Ok(())) };
        match open.poll_buffered(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut open.stream).poll_shutdown(cx),
            other => other,
        }
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        let Some(mut open) = self.open.take() else { return };
        if open.unwritten.blocks.is_empty() || open.flow().is_closing() {
            return;
        }
        open.unwritten.offered = 0;
        open.unwritten.recount();
        // Nobody receives once the server has ended; the bytes are dropped then.
        drop(self.leftovers.send(Leftover(open)));
    }
}

/// A connection that the HTTP server has closed before its caller has read all bytes.
pub struct Leftover(OpenStream);

impl Leftover {
    /// Writes the bytes. Ends early if the caller reads none for `idle_timeout` or closes, or if the
    /// connection is closed for another one.
    async fn write(mut self, idle_timeout: Duration) -> io::Result<()> {
        let mut left = self.0.unwritten.blocks.len();
        while left > 0 {
            let blocks =
                time::timeout(idle_timeout, future::poll_fn(|cx| self.poll_block(cx, left)));
            left = blocks.await??;
        }
        self.0.stream.shutdown().await
    }

    /// Writes until fewer than `left` blocks are left. Returns their number.
    fn poll_block(&mut self, cx: &mut Context<'_>, left: usize) -> Poll<io::Result<usize>> {
        self.0.flow().set_reader(cx);
        let written = self.0.poll_buffered(cx)?;
        let blocks = self.0.unwritten.blocks.len();
        match written {
            Poll::Pending if blocks >= left => Poll::Pending,
            Poll::Pending | Poll::Ready(()) => Poll::Ready(Ok(blocks)),
        }
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
