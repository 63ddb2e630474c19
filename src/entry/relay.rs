//! Relays the answer of one request to its caller: completely, in order and without frames of other
//! attempts or requests.
//!
//! The body frames of an attempt are numbered, and its end frame gives their count and total
//! length. A streamed answer is forwarded event by event. Any other answer is buffered until it is
//! complete, up to a size limit, so that the caller does not notice the retry of an interrupted
//! attempt.

use std::mem;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::entry::core::events::Refusal;
use crate::entry::core::tables::AttemptNumber;
use crate::entry::sse;

/// Bytes of an answer that are buffered before it is forwarded incomplete.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Bytes of an answer that an agent may send ahead of what the caller takes. It covers what is
/// buffered before any of it is forwarded.
pub const WINDOW_BYTES: u64 = 512 * 1024;
/// Bytes that were taken since the agent was last told, from which on it is told again.
const TAKEN_STEP_BYTES: u64 = WINDOW_BYTES / 4;
/// Unread bytes from which on the caller's reading is awaited.
const MANY_UNREAD_BYTES: u64 = 64 * 1024;
/// The attempt number while no frame is expected; no entry makes so many attempts.
const NO_ATTEMPT: AttemptNumber = AttemptNumber(u64::MAX);
const CONTENT_TYPE: &str = "content-type";
const EVENT_STREAM: &str = "text/event-stream";

/// A part of an answer, as sent to the caller's HTTP handler.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// A complete answer.
    Complete {
        /// The status and headers.
        head: Head,
        /// The complete body.
        body: Bytes,
    },
    /// The status and headers of an answer whose body follows.
    Head(Head),
    /// A part of the body.
    Data(Bytes),
    /// The end of a complete answer.
    End,
    /// The request is refused; no other piece was sent before.
    Refused(Refusal),
    /// The answer cannot be completed; parts of it were sent before.
    Aborted(Refusal),
}

/// The status and headers of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The HTTP status code.
    pub status: u16,
    /// The headers as names and values, in the target's order.
    pub headers: Vec<(String, String)>,
    /// The name of the target that sent the answer.
    pub target: String,
}

/// The effect of a frame on the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The frame was buffered, forwarded within a started answer, or ignored because it belongs to
    /// an attempt that is not the current one.
    Nothing,
    /// The first part of the answer was sent to the caller.
    Started,
    /// The answer is complete and was sent to the caller.
    Answered,
    /// The attempt cannot complete the answer.
    Failed,
}

/// Counts the bytes of an answer that were sent to the caller's HTTP handler and not written yet.
#[derive(Clone, Debug, Default)]
pub struct Unread(Arc<AtomicU64>);

impl Unread {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(u64::try_from(bytes).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Records that bytes are written. Returns true if few are left of many, so that the target may go on.
    pub fn remove(&self, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let before = self.0.fetch_sub(bytes, Ordering::Relaxed);
        before >= MANY_UNREAD_BYTES && before.saturating_sub(bytes) < MANY_UNREAD_BYTES
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Relays the answer of one request from its current attempt to its caller.
#[derive(Debug)]
pub struct Relay {
    tx: mpsc::UnboundedSender<Piece>,
    unread: Unread,
    /// Bytes of the attempt's body that its agent was told to be taken.
    told: u64,
    attempt: AttemptNumber,
    target: String,
    next_index: u64,
    length: u64,
    state: State,
    /// True once the head was sent to the caller.
    head_sent: bool,
    /// Tokens that were sent to the caller, over all attempts.
    tokens: u64,
}

#[derive(Debug)]
enum State {
    AwaitingHead,
    Buffering { head: Head, pieces: Vec<Bytes>, size: usize },
    Streaming { head: Option<Head>, splitter: sse::Splitter },
    Forwarding,
}

impl Relay {
    /// Returns a relay that waits for its first attempt.
    pub fn new(tx: mpsc::UnboundedSender<Piece>) -> Self {
        Self {
            tx,
            unread: Unread::default(),
            told: 0,
            attempt: NO_ATTEMPT,
            target: String::new(),
            next_index: 0,
            length: 0,
            state: State::AwaitingHead,
            head_sent: false,
            tokens: 0,
        }
    }

    /// Returns the count of what the caller has not read, from which its HTTP handler subtracts.
    pub fn unread(&self) -> Unread {
        self.unread.clone()
    }

    /// Returns the name of the target that answers.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns how many bytes of the attempt's body are taken, if its agent is to be told.
    pub fn newly_taken(&mut self) -> Option<u64> {
        let buffered = match &self.state {
            State::Buffering { size, .. } => *size,
            State::Streaming { splitter, .. } => splitter.partial_bytes(),
            State::AwaitingHead | State::Forwarding => 0,
        };
        let held = self.unread.get() + u64::try_from(buffered).unwrap_or(u64::MAX);
        let taken = self.length.saturating_sub(held);
        if self.attempt == NO_ATTEMPT || taken < self.told + TAKEN_STEP_BYTES {
            return None;
        }
        self.told = taken;
        Some(taken)
    }

    /// Begins an attempt; frames of earlier attempts are ignored from now on.
    pub fn begin(&mut self, attempt: AttemptNumber, target: &str) {
        self.attempt = attempt;
        self.target = target.to_owned();
        self.next_index = 0;
        self.length = 0;
        self.told = 0;
        self.state = State::AwaitingHead;
    }

    /// Returns the number of tokens that the caller has, after which the next attempt resumes.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Handles the head frame of an attempt.
    pub fn head(
        &mut self,
        attempt: AttemptNumber,
        status: u16,
        headers: Vec<(String, String)>,
    ) -> Step {
        if attempt != self.attempt {
            return Step::Nothing;
        }
        // A second head is a duplicate. Ignoring it loses nothing, since body frames are numbered
        // and the end frame gives their count.
        if !matches!(self.state, State::AwaitingHead) {
            return Step::Nothing;
        }
        let streamed = is_event_stream(&headers);
        let head = Head { status, headers, target: self.target.clone() };
        if self.head_sent && !streamed {
            return Step::Failed;
        }
        self.state = match streamed {
            true => State::Streaming {
                head: (!self.head_sent).then_some(head),
                splitter: sse::Splitter::default(),
            },
            false => State::Buffering { head, pieces: Vec::new(), size: 0 },
        };
        Step::Nothing
    }

    /// Handles a body frame of an attempt.
    pub fn body(&mut self, attempt: AttemptNumber, index: u64, data: Bytes) -> Step {
        if attempt != self.attempt || index < self.next_index {
            return Step::Nothing;
        }
        if index > self.next_index {
            return Step::Failed;
        }
        self.next_index += 1;
        self.length += u64::try_from(data.len()).unwrap_or(u64::MAX);
        match &mut self.state {
            State::AwaitingHead => Step::Failed,
            State::Buffering { .. } => self.buffer(data),
            State::Streaming { .. } => self.stream(&data),
            State::Forwarding => {
                self.send(Piece::Data(data));
                Step::Nothing
            }
        }
    }

    /// Handles the end frame of an attempt, and compares its counts with the frames that arrived.
    pub fn end(
        &mut self,
        attempt: AttemptNumber,
        pieces: u64,
        length: u64,
        complete: bool,
    ) -> Step {
        if attempt != self.attempt {
            return Step::Nothing;
        }
        if !complete || pieces != self.next_index || length != self.length {
            return Step::Failed;
        }
        match mem::replace(&mut self.state, State::Forwarding) {
            State::AwaitingHead | State::Streaming { .. } => Step::Failed,
            State::Buffering { head, pieces, .. } => {
                self.finish(Piece::Complete { head, body: Bytes::from(pieces.concat()) })
            }
            State::Forwarding => self.finish(Piece::End),
        }
    }

    /// Refuses the request, or aborts its answer if a part of it was sent.
    pub fn refuse(&mut self, refusal: Refusal) {
        let piece = match self.head_sent {
            true => Piece::Aborted(refusal),
            false => Piece::Refused(refusal),
        };
        self.send(piece);
    }

    fn buffer(&mut self, data: Bytes) -> Step {
        let State::Buffering { pieces, size, .. } = &mut self.state else { return Step::Failed };
        *size += data.len();
        pieces.push(data);
        if *size <= MAX_BUFFERED_BYTES {
            return Step::Nothing;
        }
        if let State::Buffering { head, pieces, .. } =
            mem::replace(&mut self.state, State::Forwarding)
        {
            self.send_head(head);
            pieces.into_iter().for_each(|data| self.send(Piece::Data(data)));
        }
        Step::Started
    }

    fn stream(&mut self, data: &[u8]) -> Step {
        let State::Streaming { head, splitter } = &mut self.state else { return Step::Failed };
        let events = splitter.push(data);
        let is_too_long = splitter.is_too_long();
        if events.data.is_empty() {
            return if is_too_long { Step::Failed } else { Step::Nothing };
        }
        let first = head.take();
        self.tokens += events.tokens;
        let step = match first {
            Some(head) => self.send_head(head),
            None => Step::Nothing,
        };
        self.send(Piece::Data(events.data));
        // The caller has the final event, so later frames of the attempt cannot fail the answer.
        if events.done { self.finish(Piece::End) } else { step }
    }

    /// Sends the last piece, and ignores all further frames.
    fn finish(&mut self, last: Piece) -> Step {
        self.attempt = NO_ATTEMPT;
        self.send(last);
        Step::Answered
    }

    fn send_head(&mut self, head: Head) -> Step {
        self.head_sent = true;
        self.send(Piece::Head(head));
        Step::Started
    }

    /// Sends a piece to the caller. A closed channel is ignored, since the caller's disconnect
    /// arrives as an event of its own.
    fn send(&mut self, piece: Piece) {
        if let Piece::Data(data) = &piece {
            self.unread.add(data.len());
        }
        drop(self.tx.send(piece));
    }
}

/// Returns true if the headers are those of a stream of server-sent events.
pub fn is_event_stream(headers: &[(String, String)]) -> bool {
    headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case(CONTENT_TYPE) && value.starts_with(EVENT_STREAM)
    })
}
