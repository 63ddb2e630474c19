//! Relays answers from the target to the attempts that wait for them.
//!
//! One task fills an [`Answer`], and one follower task per waiting attempt sends it and numbers its
//! pieces. An answer that is kept for resends holds all its pieces; any other one holds only those
//! that no follower has sent yet, and a target that goes on waits for them.
//!
//! Load pattern: a target sends without end what is to be kept, to several callers at once. Answers in
//! progress share a limit, beyond which one goes on without being kept.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use actix_rt::task;
use bytes::Bytes;
use tokio::sync;

use crate::agent::events;
use crate::collections;
use crate::telemetry::events as log;
use crate::wire;
use crate::wire::frame;
use crate::wire::server;

/// Pieces buffered for a slow follower before reading from the target pauses.
const MAX_BUFFERED_PIECES: usize = 64;

/// Head holds the status and the headers of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP status code.
    pub status: u32,
    /// The end-to-end headers.
    pub headers: Vec<wire::Header>,
}

/// Room counts the bytes that answers in progress keep for resends.
#[derive(Debug)]
pub struct Room {
    limit: u64,
    used: Cell<u64>,
}

impl Room {
    /// Returns empty room for so many bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: Cell::new(0) }
    }

    /// Takes room for some bytes. Returns false if there is too little.
    fn take(&self, bytes: u64) -> bool {
        let used = self.used.get().saturating_add(bytes);
        let fits = used <= self.limit;
        if fits {
            self.used.set(used);
        }
        fits
    }

    fn give_back(&self, bytes: u64) {
        self.used.set(self.used.get().saturating_sub(bytes));
    }
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    pieces: VecDeque<Bytes>,
    /// The index of the first piece in `pieces`.
    first_index: u64,
    /// The number of pieces that some follower has sent.
    sent: u64,
    /// The bytes of all pieces so far, including those already dropped.
    length: u64,
    /// The bytes for which room is taken.
    kept_bytes: u64,
    /// Whether the answer ended completely; `None` while it is in progress.
    complete: Option<bool>,
}

impl State {
    /// Drops the pieces that some follower has sent.
    fn drop_sent(&mut self) {
        while self.first_index < self.sent && self.pieces.pop_front().is_some() {
            self.first_index += 1;
        }
    }
}

/// Answer is the part of one job's answer that the target has sent so far.
#[derive(Debug)]
pub struct Answer {
    state: RefCell<State>,
    changed: sync::Notify,
    /// Where the bytes are counted while the answer is kept and in progress; `None` if it is not kept.
    room: RefCell<Option<Rc<Room>>>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.give_back();
    }
}

impl Answer {
    /// Creates an empty answer. With `room` it retains its pieces for later followers, as long as
    /// there is room for them.
    pub fn new(room: Option<Rc<Room>>) -> Self {
        Self { state: RefCell::default(), changed: sync::Notify::new(), room: RefCell::new(room) }
    }

    /// Gives back the room that is taken.
    fn give_back(&self) {
        let bytes = std::mem::take(&mut self.state.borrow_mut().kept_bytes);
        if let Some(room) = self.room.borrow().as_ref() {
            room.give_back(bytes);
        }
    }

    /// Takes room for a piece. If there is none, the answer is not kept any longer.
    fn keeps(&self, bytes: u64) -> bool {
        let Some(room) = self.room.borrow().clone() else { return false };
        if room.take(bytes) {
            self.state.borrow_mut().kept_bytes += bytes;
            return true;
        }
        self.give_back();
        self.room.take();
        let mut state = self.state.borrow_mut();
        state.drop_sent();
        log::log(log::ANSWER_NOT_KEPT, format_args!("bytes={}", state.length));
        false
    }

    /// Sets the status and headers.
    pub fn begin(&self, head: Head) {
        self.state.borrow_mut().head = Some(head);
        self.changed.notify_waiters();
    }

    /// Appends a piece. If the answer is not kept and its follower is too far behind, waits first.
    pub async fn push(&self, piece: Bytes) {
        let bytes = u64::try_from(piece.len()).unwrap_or(u64::MAX);
        let keeps = self.keeps(bytes);
        loop {
            let changed = self.changed.notified();
            if keeps || self.state.borrow().pieces.len() < MAX_BUFFERED_PIECES {
                break;
            }
            changed.await;
        }
        let mut state = self.state.borrow_mut();
        state.length += bytes;
        state.pieces.push_back(piece);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the answer as complete or incomplete, unless it has already ended.
    pub fn end(&self, complete: bool) {
        self.state.borrow_mut().complete.get_or_insert(complete);
        // From now on the core counts a kept answer.
        self.give_back();
        self.changed.notify_waiters();
    }

    /// Returns the number of bytes received so far.
    pub fn length(&self) -> u64 {
        self.state.borrow().length
    }

    /// Returns the frame that a follower sends after the head and `next` pieces, or `None` if the
    /// target has not sent it yet.
    fn next_frame(&self, id: wire::AttemptId, head_sent: bool, next: u64) -> Option<frame::Kind> {
        let mut state = self.state.borrow_mut();
        if !head_sent && let Some(Head { status, headers }) = state.head.clone() {
            return Some(frame::Kind::AnswerHead(wire::AnswerHead {
                id: Some(id),
                status,
                headers,
            }));
        }
        let Some(offset) = next.checked_sub(state.first_index) else {
            // The beginning is no longer there.
            let length = state.length;
            let end = wire::AnswerEnd { id: Some(id), pieces: next, length, complete: false };
            return Some(frame::Kind::AnswerEnd(end));
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        if let Some(data) = state.pieces.get(offset).cloned() {
            state.sent = state.sent.max(next + 1);
            if self.room.borrow().is_none() {
                state.drop_sent();
                self.changed.notify_waiters();
            }
            return Some(frame::Kind::AnswerBody(wire::AnswerBody {
                id: Some(id),
                index: next,
                data,
            }));
        }
        let (complete, length) = (state.complete?, state.length);
        let end = wire::AnswerEnd { id: Some(id), pieces: next, length, complete };
        Some(frame::Kind::AnswerEnd(end))
    }
}

/// Window limits how far an answer is sent ahead of what the entry's caller takes, so that the entry
/// holds little for a caller that reads slowly or not at all.
#[derive(Debug)]
pub struct Window {
    /// Bytes that may be sent ahead; 0 for no limit.
    limit: u64,
    /// Bytes that the entry no longer holds.
    taken: Cell<u64>,
    changed: sync::Notify,
}

impl Window {
    /// Returns a window of so many bytes; 0 for no limit.
    pub fn new(limit: u64) -> Self {
        Self { limit, taken: Cell::new(0), changed: sync::Notify::new() }
    }

    fn record_taken(&self, bytes: u64) {
        self.taken.set(self.taken.get().max(bytes));
        self.changed.notify_waiters();
    }

    /// Waits until more may be sent after `sent` bytes.
    async fn wait(&self, sent: u64) {
        loop {
            let changed = self.changed.notified();
            if self.limit == 0 || sent < self.taken.get().saturating_add(self.limit) {
                return;
            }
            changed.await;
        }
    }
}

/// Sends an answer to one attempt from its beginning to its end, or until the connection closes.
async fn send_answer(
    answer: Rc<Answer>,
    id: wire::AttemptId,
    sender: server::FrameSender,
    window: Rc<Window>,
    _guard: Rc<()>,
) {
    let (mut head_sent, mut next, mut sent) = (false, 0, 0);
    loop {
        window.wait(sent).await;
        let changed = answer.changed.notified();
        let Some(kind) = answer.next_frame(id, head_sent, next) else {
            changed.await;
            continue;
        };
        let last = matches!(kind, frame::Kind::AnswerEnd(_));
        head_sent = true;
        if let frame::Kind::AnswerBody(body) = &kind {
            next += 1;
            sent += u64::try_from(body.data.len()).unwrap_or(u64::MAX);
        }
        if !sender.send(kind).await || last {
            return;
        }
    }
}

struct RelayedAnswer {
    answer: Rc<Answer>,
    followers: Vec<(wire::AttemptId, task::JoinHandle<()>)>,
}

/// Relay holds the answers that are in progress or kept.
pub struct Relay {
    /// The room of the answers that are in progress and kept.
    room: Rc<Room>,
    answers: collections::Map<events::JobId, RelayedAnswer>,
    /// The windows of the followers, each of which holds a clone while it runs.
    windows: collections::Map<wire::AttemptId, Rc<Window>>,
    /// Each running follower holds a clone, so that the reference count shows whether any is left.
    follower_guard: Rc<()>,
}

impl Relay {
    /// Returns a relay whose answers in progress keep so many bytes at most.
    pub fn new(kept_bytes: u64) -> Self {
        Self {
            room: Rc::new(Room::new(kept_bytes)),
            answers: collections::Map::default(),
            windows: collections::Map::default(),
            follower_guard: Rc::default(),
        }
    }

    /// Adds an empty answer for a job that is being dispatched.
    pub fn open(&mut self, job: events::JobId, keep: bool) -> Rc<Answer> {
        let answer = Rc::new(Answer::new(keep.then(|| Rc::clone(&self.room))));
        self.answers
            .insert(job, RelayedAnswer { answer: Rc::clone(&answer), followers: Vec::new() });
        answer
    }

    /// Starts a follower that sends a job's answer, from its beginning, to one more attempt.
    pub fn attach(
        &mut self,
        job: events::JobId,
        id: wire::AttemptId,
        sender: server::FrameSender,
        window: Window,
    ) {
        let Some(relayed) = self.answers.get_mut(&job) else { return };
        let window = Rc::new(window);
        self.windows.retain(|_, window| Rc::strong_count(window) > 1);
        self.windows.insert(id, Rc::clone(&window));
        let (answer, guard) = (Rc::clone(&relayed.answer), Rc::clone(&self.follower_guard));
        let task = actix_rt::spawn(send_answer(answer, id, sender, window, guard));
        relayed.followers.retain(|(_, task)| !task.is_finished());
        relayed.followers.push((id, task));
    }

    /// Records that an entry no longer holds so many bytes of an attempt's answer.
    pub fn record_taken(&self, id: wire::AttemptId, bytes: u64) {
        if let Some(window) = self.windows.get(&id) {
            window.record_taken(bytes);
        }
    }

    /// Stops the followers of an attempt.
    pub fn detach(&mut self, id: wire::AttemptId) {
        for relayed in self.answers.values_mut() {
            relayed.followers.retain(|(other, task)| {
                if *other == id {
                    task.abort();
                }
                *other != id
            });
        }
    }

    /// Ends a job's answer as complete.
    pub fn end(&self, job: events::JobId) {
        if let Some(relayed) = self.answers.get(&job) {
            relayed.answer.end(true);
        }
    }

    /// Ends a job's answer as incomplete and removes it; its followers still send the rest.
    pub fn end_incomplete(&mut self, job: events::JobId) {
        if let Some(relayed) = self.answers.remove(&job) {
            relayed.answer.end(false);
        }
    }

    /// Removes an answer that will not end, and stops its followers.
    pub fn cancel(&mut self, job: events::JobId) {
        let Some(relayed) = self.answers.remove(&job) else { return };
        for (_, task) in relayed.followers {
            task.abort();
        }
    }

    /// Returns true if no follower is running.
    pub fn is_idle(&self) -> bool {
        Rc::strong_count(&self.follower_guard) == 1
    }

    /// Removes a job's answer; its followers still send the rest.
    pub fn evict(&mut self, job: events::JobId) {
        self.answers.remove(&job);
    }
}
