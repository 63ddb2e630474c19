//! What the stream of an accepted connection and the HTTP server know of each other: whether a
//! request is being received or answered.
//!
//! The HTTP server reads and decodes requests ahead of those that it answers. Its stream hands it one
//! request at a time instead, so that what a client sends ahead stays undecoded, and beyond a little
//! of it unread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

/// Bytes of a chunked body that the HTTP server gets at once. The end of such a body is not known in
/// advance, so what follows it may be handed over with it.
const MAX_CHUNKED_BYTES: usize = 1024;

/// Bytes of a body with a length that the HTTP server gets at once.
const MAX_SIZED_BYTES: usize = 16 * 1024;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The rest of a request's head, or the next request.
    Head,
    /// The next bytes of a request's body, at most so many.
    Body(usize),
    /// The end of an answer, or its client to read it.
    Answer,
}

/// The bytes of a request's body that the HTTP server has not got yet.
#[derive(Clone, Copy, Debug, Default)]
pub enum BodyLeft {
    /// None.
    #[default]
    Ended,
    /// So many bytes.
    Sized(u64),
    /// An unknown number, in chunks.
    Chunked,
}

/// The state of one connection; its stream and its requests share it.
#[derive(Debug, Default)]
pub struct Flow {
    requests: Cell<usize>,
    body: Cell<BodyLeft>,
    wants_body: Cell<bool>,
    is_unwritten: Cell<bool>,
    is_closing: Cell<bool>,
    /// When the client last made the connection progress, on the clock of its port.
    progress: Cell<Duration>,
    /// When the head that is being received began.
    head_began: Cell<Option<Duration>>,
    reader: RefCell<Option<Waker>>,
}

impl Flow {
    /// Returns the flow of a connection that is accepted at this time.
    pub fn new(now: Duration) -> Self {
        Self { progress: Cell::new(now), ..Self::default() }
    }

    /// Returns what the connection is waiting for.
    pub fn phase(&self) -> Phase {
        let max = match self.body.get() {
            BodyLeft::Ended => 0,
            BodyLeft::Sized(left) => {
                usize::try_from(left).unwrap_or(usize::MAX).min(MAX_SIZED_BYTES)
            }
            BodyLeft::Chunked => MAX_CHUNKED_BYTES,
        };
        match self.requests.get() > 0 || self.is_unwritten.get() {
            true if self.wants_body.get() && max > 0 => Phase::Body(max),
            true => Phase::Answer,
            false => Phase::Head,
        }
    }

    /// Returns true once the connection is to be closed.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Returns when the client last made the connection progress.
    pub fn progress(&self) -> Duration {
        self.progress.get()
    }

    /// Returns when the head that is being received began; `None` between requests.
    pub fn head_began(&self) -> Option<Duration> {
        self.head_began.get()
    }

    /// Records that the client has sent or read something.
    pub fn record_progress(&self, now: Duration) {
        self.progress.set(now);
    }

    /// Records that a part of a head arrived, at its end or before it.
    pub fn record_head(&self, ended: bool, now: Duration) {
        let began = self.head_began.get().unwrap_or(now);
        self.head_began.set((!ended).then_some(began));
        // Between requests the time counts from the last answer, in a head from its beginning.
        self.progress.set(began);
    }

    /// Records that the HTTP server has got so many bytes of a body.
    pub fn record_body(&self, bytes: usize, now: Duration) {
        if let BodyLeft::Sized(left) = self.body.get() {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            self.body.set(BodyLeft::Sized(left.saturating_sub(bytes)));
        }
        self.progress.set(now);
    }

    /// Returns true if bytes of answers are unwritten.
    pub fn is_unread(&self) -> bool {
        self.is_unwritten.get()
    }

    /// Records whether bytes of answers are unwritten.
    pub fn set_unwritten(&self, unwritten: bool) {
        if self.is_unwritten.replace(unwritten) && !unwritten {
            self.wake();
        }
    }

    /// Records that a request with this body is handled, until the returned value is dropped.
    pub fn begin(self: &Rc<Self>, body: BodyLeft) -> Answering {
        self.requests.set(self.requests.get() + 1);
        self.body.set(body);
        Answering(Rc::clone(self))
    }

    /// Records whether the handler of a request waits for more of its body.
    pub fn set_wants_body(&self, wants: bool) {
        if !self.wants_body.replace(wants) && wants {
            self.wake();
        }
    }

    /// Makes the connection close. What is unwritten is dropped.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.wake();
    }

    /// Sets the task that is woken when the stream may have more to read.
    pub fn set_reader(&self, cx: &Context<'_>) {
        let mut reader = self.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
            *reader = Some(cx.waker().clone());
        }
    }

    /// Wakes the task that reads.
    pub fn wake(&self) {
        if let Some(waker) = &*self.reader.borrow() {
            waker.wake_by_ref();
        }
    }
}

/// A request that is being handled or answered.
#[derive(Debug)]
pub struct Answering(Rc<Flow>);

impl Drop for Answering {
    fn drop(&mut self) {
        let flow = &self.0;
        flow.requests.set(flow.requests.get().saturating_sub(1));
        flow.body.set(BodyLeft::Ended);
        flow.wants_body.set(false);
        flow.wake();
    }
}
