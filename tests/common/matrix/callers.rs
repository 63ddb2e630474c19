//! Callers: they send requests, read the answers, and resend through the other entry.

use bitternwall::entry::core::events::{Executed, NewRequest, Refusal, Route};
use bitternwall::entry::core::tables::RequestId;
use bitternwall::entry::outbound::Outbound;
use bitternwall::entry::relay::Piece;
use bitternwall::wire;

use super::target;
use crate::entry_model::{KEY_HASH, Kind, TIMEOUT};

/// Milliseconds after which a caller resends.
const RESEND_MS: u64 = 150;
/// All requests have the same affinity hash, so that they queue at the same target.
const AFFINITY: u64 = 7;
/// How often a caller sends a request that must not be repeated, at most.
const MAX_SENDS: usize = 6;

/// End is the outcome of one submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Complete,
    Refused(Refusal),
    Aborted(Refusal),
    /// The connection to the entry was lost.
    ConnectionLost,
}

/// Submission is one sending of a caller's request to an entry.
#[derive(Debug)]
pub struct Submission {
    pub entry: usize,
    pub attempts: Vec<wire::AttemptId>,
    pub body: Vec<u8>,
    pub ends: Vec<End>,
}

/// Caller is a client with one request, which it sends until it is answered.
#[derive(Debug)]
pub struct Caller {
    pub number: u64,
    pub kind: Kind,
    /// False for a request that must get a complete answer at the first submission.
    pub resends: bool,
    next_entry: usize,
    next_at: Option<u64>,
    submissions: Vec<usize>,
}

/// Callers are all callers and their submissions.
#[derive(Debug, Default)]
pub struct Callers {
    pub all: Vec<Caller>,
    pub submissions: Vec<Submission>,
}

impl Callers {
    /// Adds a caller that first sends its request through `entry` at the time `at`, and returns its
    /// number.
    pub fn add(&mut self, kind: Kind, entry: usize, at: u64, resends: bool) -> u64 {
        let number = u64::try_from(self.all.len()).expect("callers are few");
        let submissions = Vec::new();
        let next_at = Some(at);
        self.all.push(Caller { number, kind, resends, next_entry: entry, next_at, submissions });
        number
    }

    /// Returns the submissions of one caller.
    pub fn submissions_of<'a>(
        &'a self,
        caller: &'a Caller,
    ) -> impl Iterator<Item = &'a Submission> {
        caller.submissions.iter().map(|index| &self.submissions[*index])
    }

    /// Returns true if a submission was made by the caller with this number.
    pub fn is_submission_of(&self, submission: usize, number: u64) -> bool {
        let caller = self.all.iter().find(|caller| caller.number == number);
        caller.is_some_and(|caller| caller.submissions.contains(&submission))
    }

    /// Starts the submissions that are due and returns them, each with its entry, its identifier,
    /// and the number and kind of its request.
    pub fn due(&mut self, now: u64, alive: &[bool]) -> Vec<(usize, RequestId, u64, Kind)> {
        let mut due = Vec::new();
        for caller in &mut self.all {
            if caller.next_at.is_none_or(|at| at > now) {
                continue;
            }
            let entry = caller.next_entry;
            caller.next_entry = 1 - entry;
            if !alive[entry] {
                continue;
            }
            caller.next_at = None;
            caller.submissions.push(self.submissions.len());
            due.push((entry, request_id(self.submissions.len()), caller.number, caller.kind));
            let (attempts, body, ends) = (Vec::new(), Vec::new(), Vec::new());
            self.submissions.push(Submission { entry, attempts, body, ends });
        }
        due
    }

    /// Receives a piece of an answer.
    pub fn receive(&mut self, now: u64, id: RequestId, piece: Piece) {
        let submission = &mut self.submissions[index_of(id)];
        match piece {
            Piece::Complete { body, .. } => {
                submission.body.extend_from_slice(&body);
                self.end(now, id, End::Complete);
            }
            Piece::Head(_) => {}
            Piece::Data(data) => submission.body.extend_from_slice(&data),
            Piece::End => self.end(now, id, End::Complete),
            Piece::Refused(refusal) => self.end(now, id, End::Refused(refusal)),
            Piece::Aborted(refusal) => self.end(now, id, End::Aborted(refusal)),
        }
    }

    /// Ends the open submissions to an entry whose process ended.
    pub fn disconnect(&mut self, now: u64, entry: usize) {
        for index in 0..self.submissions.len() {
            if self.submissions[index].entry == entry && self.submissions[index].ends.is_empty() {
                self.end(now, request_id(index), End::ConnectionLost);
            }
        }
    }

    /// Returns true if every caller has its answer or gave up.
    pub fn are_done(&self) -> bool {
        let open = |submission: &Submission| submission.ends.is_empty();
        self.all.iter().all(|caller| caller.next_at.is_none()) && !self.submissions.iter().any(open)
    }

    /// Checks that every request that must be answered in the end got a complete answer. The
    /// request with the crashing body, if any, is exempt.
    pub fn check_ends(&self, crashing: Option<u64>) -> Result<(), String> {
        for caller in &self.all {
            let complete = self.submissions_of(caller).any(|sent| sent.ends == [End::Complete]);
            let must_complete = !caller.resends || caller.kind != Kind::NotRepeatable;
            if must_complete && !complete && crashing != Some(caller.number) {
                let ends: Vec<_> = self.submissions_of(caller).map(|sent| &sent.ends).collect();
                let number = caller.number;
                return Err(format!("request {number} never got a complete answer: {ends:?}"));
            }
        }
        Ok(())
    }

    /// Cancels all further submissions.
    pub fn stop_sending(&mut self) {
        self.all.iter_mut().for_each(|caller| caller.next_at = None);
    }

    fn end(&mut self, now: u64, id: RequestId, end: End) {
        let index = index_of(id);
        self.submissions[index].ends.push(end);
        let caller = self.all.iter_mut().find(|caller| caller.submissions.contains(&index));
        let caller = caller.expect("every submission has a caller");
        let at_most_once = caller.kind == Kind::NotRepeatable;
        let may_resend = match end {
            End::Complete => false,
            End::ConnectionLost => true,
            End::Refused(refusal) | End::Aborted(refusal) => refusal.executed != Executed::Yes,
        };
        let sends_left = !at_most_once || caller.submissions.len() < MAX_SENDS;
        if (may_resend || !at_most_once) && end != End::Complete && sends_left && caller.resends {
            caller.next_at = Some(now + RESEND_MS);
        }
    }
}

/// Returns the answer that a request must get.
pub fn expected(kind: Kind, number: u64) -> Vec<u8> {
    target::pieces(kind == Kind::Streamed, number, 0).concat()
}

/// Returns a request as the entry's core gets it and as it is sent to the target.
pub fn request(id: RequestId, number: u64, kind: Kind) -> (NewRequest, Outbound) {
    let method = if kind == Kind::Idempotent { "GET" } else { "POST" };
    let route = match kind {
        Kind::Streamed => Route::Model { model: "m".to_owned() },
        Kind::Idempotent | Kind::NotRepeatable => Route::Plain {
            service: "desk".to_owned(),
            method: method.to_owned(),
            path: "/x".to_owned(),
        },
    };
    let new = NewRequest {
        id,
        key_hash: KEY_HASH,
        route,
        idempotency_key: Some(number.to_string()),
        timeout: Some(TIMEOUT),
        estimated_tokens: 1,
        affinity: AFFINITY,
        fingerprint: number,
        resumable: kind == Kind::Streamed,
    };
    let path = if kind == Kind::Streamed { "/v1/chat/completions" } else { "/x" };
    let outbound = Outbound {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: format!("{{\"request\":{number}}}").into(),
    };
    (new, outbound)
}

fn request_id(index: usize) -> RequestId {
    RequestId(u64::try_from(index).expect("submissions are few"))
}

/// Returns the index of a submission.
pub fn index_of(id: RequestId) -> usize {
    usize::try_from(id.0).expect("submissions are few")
}
