//! Hands the bytes of a connection to the HTTP server, one request at a time.
//!
//! What a client sends ahead waits here up to [`MAX_BYTES`], and beyond that in the kernel.

use std::io;
use std::mem;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use rustix::io::Errno;
use tokio::io::{AsyncRead as _, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::direct::connections::buffers::Held;
use crate::direct::connections::flow::{Flow, Phase};

/// Bytes that are read ahead. Most heads are shorter.
const MAX_BYTES: usize = 4 * 1024;

/// The longest head, which is the limit of the HTTP server.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Bytes of a head that are received though the buffers are full.
const FREE_HEAD_BYTES: usize = 4 * 1024;

/// The result of reading for the HTTP server.
pub enum Outcome {
    /// It got bytes; at the end of the stream none.
    Read,
    /// The head exceeds the limit.
    HeadTooLong,
}

/// Bytes that were read ahead of the HTTP server.
pub struct ReadAhead {
    bytes: BytesMut,
    scan: HeadScan,
    /// Bytes of the head that the HTTP server has got.
    head_bytes: usize,
    /// True if the kernel may hold bytes of which the runtime does not know.
    is_unnoticed: bool,
    /// True if the HTTP server has to handle what it got before it gets more.
    handed_over: bool,
    held: Held,
}

impl ReadAhead {
    /// Returns a buffer whose bytes are counted in a share of the budget.
    pub fn new(held: Held) -> Self {
        let (bytes, scan) = (BytesMut::new(), HeadScan::default());
        Self { bytes, scan, head_bytes: 0, is_unnoticed: false, handed_over: false, held }
    }

    /// Reads what the HTTP server may get. While a request is answered, only the end of the connection is
    /// ready.
    pub fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut TcpStream,
        flow: &Flow,
        now: Duration,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<Outcome>> {
        flow.set_reader(cx);
        if flow.is_closing() {
            return Poll::Ready(Ok(Outcome::Read));
        }
        if mem::take(&mut self.handed_over) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match flow.phase() {
            Phase::Head => self.poll_head(cx, stream, flow, now, buf),
            Phase::Body(max) => {
                let before = buf.filled().len();
                ready!(self.poll_body(cx, stream, max, buf))?;
                flow.record_body(buf.filled().len() - before, now);
                self.handed_over = true;
                Poll::Ready(Ok(Outcome::Read))
            }
            Phase::Answer => {
                ready!(self.poll_end(cx, stream))?;
                Poll::Ready(Ok(Outcome::Read))
            }
        }
    }

    fn poll_head(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut TcpStream,
        flow: &Flow,
        now: Duration,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<Outcome>> {
        let waits_for_room = self.head_bytes > FREE_HEAD_BYTES && self.held.is_spent();
        if waits_for_room {
            return Poll::Pending;
        }
        if self.bytes.is_empty() && ready!(self.poll_fill(cx, stream))? == 0 {
            return Poll::Ready(Ok(Outcome::Read));
        }
        let available = self.bytes.len().min(buf.remaining());
        let end = self.scan.find_end(&self.bytes[..available]);
        let part = self.bytes.split_to(end.unwrap_or(available));
        buf.put_slice(&part);
        flow.record_head(end.is_some(), now);
        self.head_bytes += part.len();
        let too_long = self.head_bytes > MAX_HEAD_BYTES;
        if end.is_some() {
            self.head_bytes = 0;
            self.handed_over = true;
        }
        self.recount();
        Poll::Ready(Ok(if too_long { Outcome::HeadTooLong } else { Outcome::Read }))
    }

    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut TcpStream,
        max: usize,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max = max.min(buf.remaining());
        if !self.bytes.is_empty() {
            let part = self.bytes.split_to(max.min(self.bytes.len()));
            buf.put_slice(&part);
            self.recount();
            return Poll::Ready(Ok(()));
        }
        let part = buf.initialize_unfilled_to(max);
        let length = ready!(self.poll_stream(cx, stream, part))?;
        buf.advance(length);
        Poll::Ready(Ok(()))
    }

    /// Reads ahead. Ready once the client has closed the connection.
    fn poll_end(&mut self, cx: &mut Context<'_>, stream: &mut TcpStream) -> Poll<io::Result<()>> {
        while self.bytes.len() < MAX_BYTES {
            if ready!(self.poll_fill(cx, stream))? == 0 {
                return Poll::Ready(Ok(()));
            }
            self.recount();
        }
        self.is_unnoticed = true;
        poll_closed(cx, stream)
    }

    fn poll_fill(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut TcpStream,
    ) -> Poll<io::Result<usize>> {
        let mut bytes = mem::take(&mut self.bytes);
        let before = bytes.len();
        bytes.resize(MAX_BYTES, 0);
        let read = self.poll_stream(cx, stream, &mut bytes[before..]);
        let length = match read {
            Poll::Ready(Ok(length)) => length,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        bytes.truncate(before + length);
        self.bytes = bytes;
        read
    }

    fn poll_stream(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut TcpStream,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_unnoticed {
            match rustix::io::read(&*stream, &mut *bytes) {
                Err(Errno::AGAIN) => self.is_unnoticed = false,
                read => return Poll::Ready(Ok(read?)),
            }
        }
        let mut buf = ReadBuf::new(bytes);
        ready!(Pin::new(stream).poll_read(cx, &mut buf))?;
        Poll::Ready(Ok(buf.filled().len()))
    }

    fn recount(&mut self) {
        self.held.set(self.bytes.len() + self.head_bytes);
    }
}

/// Ready once the client has closed a connection of which nothing more is read. The runtime forgets that
/// bytes are unread.
fn poll_closed(cx: &mut Context<'_>, stream: &TcpStream) -> Poll<io::Result<()>> {
    loop {
        // Unread bytes keep the stream ready, so its readiness is cleared to wait for the next event.
        let unread = || Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock));
        drop(stream.try_io(Interest::READABLE, unread));
        ready!(stream.poll_read_ready(cx))?;
        let ready = pin!(stream.ready(Interest::READABLE));
        if let Poll::Ready(ready) = ready.poll(cx)
            && ready?.is_read_closed()
        {
            return Poll::Ready(Ok(()));
        }
    }
}

/// Finds the ends of heads in a stream that arrives in pieces: a line feed after another, with at
/// most carriage returns between them.
#[derive(Debug, Default)]
struct HeadScan {
    /// True if a line has ended and the next one is empty so far.
    at_line_start: bool,
}

impl HeadScan {
    /// Returns the length up to the first end of a head; `None` if there is none in these bytes.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.at_line_start => {
                    self.at_line_start = false;
                    return Some(index + 1);
                }
                b'\n' => self.at_line_start = true,
                b'\r' => {}
                _ => self.at_line_start = false,
            }
        }
        None
    }
}
