//! Answers on their way from the target to those who wait for them.
//!
//! One task fills an [`Answer`]; one task for each waiting attempt follows it and numbers the
//! pieces. An answer that is kept for resends holds all its pieces, any other only those that
//! its one follower has not sent yet.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use actix_rt::task;
use bytes::Bytes;
use tokio::sync;

use crate::agent::events;
use crate::collections;
use crate::wire;
use crate::wire::frame;
use crate::wire::server;

/// Pieces that wait for a slow reader before the target is made to wait.
const MAX_WAITING_PIECES: usize = 64;

/// Head is the status line and the headers of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP status.
    pub status: u32,
    /// The headers that concern the caller.
    pub headers: Vec<wire::Header>,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    pieces: VecDeque<Bytes>,
    first: u64,
    length: u64,
    complete: Option<bool>,
}

/// Answer is one job's answer, as far as it has come.
#[derive(Debug)]
pub struct Answer {
    state: RefCell<State>,
    changed: sync::Notify,
    keep: bool,
}

impl Answer {
    /// Returns an answer without a head.
    pub fn new(keep: bool) -> Self {
        Self { state: RefCell::default(), changed: sync::Notify::new(), keep }
    }

    /// Sets the head.
    pub fn begin(&self, head: Head) {
        self.state.borrow_mut().head = Some(head);
        self.changed.notify_waiters();
    }

    /// Appends a piece, waiting while the reader of an answer that is not kept is behind.
    pub async fn push(&self, piece: Bytes) {
        loop {
            let changed = self.changed.notified();
            if self.keep || self.state.borrow().pieces.len() < MAX_WAITING_PIECES {
                break;
            }
            changed.await;
        }
        let mut state = self.state.borrow_mut();
        state.length += u64::try_from(piece.len()).unwrap_or(u64::MAX);
        state.pieces.push_back(piece);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the answer, unless it has ended.
    pub fn end(&self, complete: bool) {
        self.state.borrow_mut().complete.get_or_insert(complete);
        self.changed.notify_waiters();
    }

    /// Returns the length so far.
    pub fn length(&self) -> u64 {
        self.state.borrow().length
    }

    /// Returns what a follower sends after `next` pieces, if it is there.
    fn step(&self, id: wire::AttemptId, head_sent: bool, next: u64) -> Option<frame::Kind> {
        let mut state = self.state.borrow_mut();
        if !head_sent && let Some(Head { status, headers }) = state.head.clone() {
            return Some(frame::Kind::AnswerHead(wire::AnswerHead {
                id: Some(id),
                status,
                headers,
            }));
        }
        let waiting = usize::try_from(next - state.first).unwrap_or(usize::MAX);
        if let Some(data) = state.pieces.get(waiting).cloned() {
            if !self.keep {
                state.pieces.pop_front();
                state.first += 1;
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

async fn follow(
    answer: Rc<Answer>,
    id: wire::AttemptId,
    sender: server::FrameSender,
    _alive: Rc<()>,
) {
    let (mut head_sent, mut next) = (false, 0);
    loop {
        let changed = answer.changed.notified();
        let Some(kind) = answer.step(id, head_sent, next) else {
            changed.await;
            continue;
        };
        let last = matches!(kind, frame::Kind::AnswerEnd(_));
        head_sent = true;
        if matches!(kind, frame::Kind::AnswerBody(_)) {
            next += 1;
        }
        if !sender.send(kind).await || last {
            return;
        }
    }
}

struct Row {
    answer: Rc<Answer>,
    followers: Vec<(wire::AttemptId, task::JoinHandle<()>)>,
}

/// Relay holds the answers that are under way or kept.
#[derive(Default)]
pub struct Relay {
    rows: collections::Map<events::JobId, Row>,
    /// Every follower holds one more reference.
    alive: Rc<()>,
}

impl Relay {
    /// Adds the answer of a job that is handed on.
    pub fn open(&mut self, job: events::JobId, keep: bool) -> Rc<Answer> {
        let answer = Rc::new(Answer::new(keep));
        self.rows.insert(job, Row { answer: Rc::clone(&answer), followers: Vec::new() });
        answer
    }

    /// Sends a job's answer, from its beginning, to one more attempt.
    pub fn attach(&mut self, job: events::JobId, id: wire::AttemptId, sender: server::FrameSender) {
        let Some(row) = self.rows.get_mut(&job) else { return };
        let following = follow(Rc::clone(&row.answer), id, sender, Rc::clone(&self.alive));
        let following = actix_rt::spawn(following);
        row.followers.retain(|(_, task)| !task.is_finished());
        row.followers.push((id, following));
    }

    /// Stops sending to an attempt.
    pub fn detach(&mut self, id: wire::AttemptId) {
        for row in self.rows.values_mut() {
            row.followers.retain(|(other, task)| {
                if *other == id {
                    task.abort();
                }
                *other != id
            });
        }
    }

    /// Ends a job's answer as whole.
    pub fn end(&self, job: events::JobId) {
        if let Some(row) = self.rows.get(&job) {
            row.answer.end(true);
        }
    }

    /// Ends a job's answer as incomplete and forgets it.
    pub fn end_incomplete(&mut self, job: events::JobId) {
        if let Some(row) = self.rows.remove(&job) {
            row.answer.end(false);
        }
    }

    /// Drops an answer that will not be ended.
    pub fn cancel(&mut self, job: events::JobId) {
        let Some(row) = self.rows.remove(&job) else { return };
        for (_, following) in row.followers {
            following.abort();
        }
    }

    /// Returns true where every follower has sent all that there was.
    pub fn is_idle(&self) -> bool {
        Rc::strong_count(&self.alive) == 1
    }

    /// Forgets a job's answer; followers send what is left of it.
    pub fn forget(&mut self, job: events::JobId) {
        self.rows.remove(&job);
    }
}
