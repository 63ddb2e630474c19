//! Passes one request's answer on: whole, in order and only its own.
//!
//! Each attempt's pieces are numbered and its end gives their count and length. A streamed answer
//! is passed on event by event; any other is held back until it is whole, up to a bound, so that
//! an attempt that breaks off can be retried unseen.

use std::mem;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::entry::core::events::Refusal;
use crate::entry::core::tables::AttemptNumber;
use crate::entry::sse;

/// Bytes of an answer that are held back before it is passed on unfinished.
const MAX_HELD_BYTES: usize = 256 * 1024;
/// No entry makes so many attempts.
const NO_ATTEMPT: AttemptNumber = AttemptNumber(u64::MAX);
const CONTENT_TYPE: &str = "content-type";
const EVENT_STREAM: &str = "text/event-stream";

/// Piece is what the HTTP side gets of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The whole answer at once.
    Complete {
        /// Its beginning.
        head: Head,
        /// Its body.
        body: Bytes,
    },
    /// The answer's beginning.
    Head(Head),
    /// A part of its body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The final answer is a refusal; nothing came before it.
    Refused(Refusal),
    /// The answer cannot be finished; parts of it came before.
    Aborted(Refusal),
}

/// Head is an answer's status and headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(String, String)>,
    /// The target that answers.
    pub target: String,
}

/// Step is what a frame led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The frame was held back, or is of an attempt that is no longer waited for.
    Nothing,
    /// The caller got the first part of the answer.
    Started,
    /// The answer is whole and the caller has it.
    Answered,
    /// The answer cannot become whole.
    Failed,
}

/// Relay is the way of one request's answer to its caller.
#[derive(Debug)]
pub struct Relay {
    tx: mpsc::UnboundedSender<Piece>,
    attempt: AttemptNumber,
    target: String,
    next_index: u64,
    length: u64,
    form: Form,
    /// True once the caller got the head.
    head_sent: bool,
    /// Tokens that the caller got, over all attempts.
    tokens: u64,
}

#[derive(Debug)]
enum Form {
    AwaitingHead,
    Held { head: Head, pieces: Vec<Bytes>, size: usize },
    Stream { head: Option<Head>, splitter: sse::Splitter },
    Passing,
}

impl Relay {
    /// Returns a relay that waits for its first attempt.
    pub fn new(tx: mpsc::UnboundedSender<Piece>) -> Self {
        Self {
            tx,
            attempt: NO_ATTEMPT,
            target: String::new(),
            next_index: 0,
            length: 0,
            form: Form::AwaitingHead,
            head_sent: false,
            tokens: 0,
        }
    }

    /// Begins an attempt; frames of earlier ones are dropped from here on.
    pub fn begin(&mut self, attempt: AttemptNumber, target: &str) {
        self.attempt = attempt;
        self.target = target.to_owned();
        self.next_index = 0;
        self.length = 0;
        self.form = Form::AwaitingHead;
    }

    /// Returns how many tokens the caller has, from which the next attempt resumes.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Takes an attempt's head.
    pub fn head(
        &mut self,
        attempt: AttemptNumber,
        status: u16,
        headers: Vec<(String, String)>,
    ) -> Step {
        if attempt != self.attempt {
            return Step::Nothing;
        }
        // A second head is a copy: pieces and the end are counted, so nothing hides behind it.
        if !matches!(self.form, Form::AwaitingHead) {
            return Step::Nothing;
        }
        let streamed = is_event_stream(&headers);
        let head = Head { status, headers, target: self.target.clone() };
        if self.head_sent && !streamed {
            return Step::Failed;
        }
        self.form = match streamed {
            true => Form::Stream {
                head: (!self.head_sent).then_some(head),
                splitter: sse::Splitter::default(),
            },
            false => Form::Held { head, pieces: Vec::new(), size: 0 },
        };
        Step::Nothing
    }

    /// Takes a piece of an attempt's body.
    pub fn body(&mut self, attempt: AttemptNumber, index: u64, data: Bytes) -> Step {
        if attempt != self.attempt || index < self.next_index {
            return Step::Nothing;
        }
        if index > self.next_index {
            return Step::Failed;
        }
        self.next_index += 1;
        self.length += u64::try_from(data.len()).unwrap_or(u64::MAX);
        match &mut self.form {
            Form::AwaitingHead => Step::Failed,
            Form::Held { .. } => self.hold(data),
            Form::Stream { .. } => self.stream(&data),
            Form::Passing => {
                self.pass(Piece::Data(data));
                Step::Nothing
            }
        }
    }

    /// Takes an attempt's end and compares it with what arrived.
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
        match mem::replace(&mut self.form, Form::Passing) {
            Form::AwaitingHead | Form::Stream { .. } => Step::Failed,
            Form::Held { head, pieces, .. } => {
                self.finish(Piece::Complete { head, body: Bytes::from(pieces.concat()) })
            }
            Form::Passing => self.finish(Piece::End),
        }
    }

    /// Ends the request with a refusal; the caller knows whether parts of an answer came before.
    pub fn refuse(&mut self, refusal: Refusal) {
        let piece = match self.head_sent {
            true => Piece::Aborted(refusal),
            false => Piece::Refused(refusal),
        };
        self.pass(piece);
    }

    fn hold(&mut self, data: Bytes) -> Step {
        let Form::Held { pieces, size, .. } = &mut self.form else { return Step::Failed };
        *size += data.len();
        pieces.push(data);
        if *size <= MAX_HELD_BYTES {
            return Step::Nothing;
        }
        if let Form::Held { head, pieces, .. } = mem::replace(&mut self.form, Form::Passing) {
            self.send_head(head);
            pieces.into_iter().for_each(|data| self.pass(Piece::Data(data)));
        }
        Step::Started
    }

    fn stream(&mut self, data: &[u8]) -> Step {
        let Form::Stream { head, splitter } = &mut self.form else { return Step::Failed };
        let events = splitter.push(data);
        if events.data.is_empty() {
            return Step::Nothing;
        }
        let first = head.take();
        self.tokens += events.tokens;
        let step = match first {
            Some(head) => self.send_head(head),
            None => Step::Nothing,
        };
        self.pass(Piece::Data(events.data));
        // The caller has the event that ends the answer, so that what follows cannot break it.
        if events.done { self.finish(Piece::End) } else { step }
    }

    /// Passes the last piece; no frame is waited for any more.
    fn finish(&mut self, last: Piece) -> Step {
        self.attempt = NO_ATTEMPT;
        self.pass(last);
        Step::Answered
    }

    fn send_head(&mut self, head: Head) -> Step {
        self.head_sent = true;
        self.pass(Piece::Head(head));
        Step::Started
    }

    /// A caller that is gone is told by its own event, so a closed channel is no error.
    fn pass(&mut self, piece: Piece) {
        drop(self.tx.send(piece));
    }
}

/// Tells whether an answer is a stream of events.
pub fn is_event_stream(headers: &[(String, String)]) -> bool {
    headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case(CONTENT_TYPE) && value.starts_with(EVENT_STREAM)
    })
}
