//! Callers: they send, read their answers, and send again through the other entry.

use bitternwall::entry::core::events::{Executed, NewRequest, Refusal, Route};
use bitternwall::entry::core::tables::RequestId;
use bitternwall::entry::outbound::Outbound;
use bitternwall::entry::relay::Piece;
use bitternwall::wire;

use super::target;
use crate::entry_model::{KEY_HASH, Kind, TIMEOUT};

/// Milliseconds after which a caller sends again.
const RESEND_MS: u64 = 150;
/// All requests begin alike, so that they queue before the same target.
const AFFINITY: u64 = 7;
/// Times that a caller sends a request that may not be repeated.
const MAX_SENDS: usize = 6;

/// End is how one submission ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Whole,
    Refused(Refusal),
    Broken(Refusal),
    /// The connection to the entry broke.
    Cut,
}

/// Submission is one call of one caller.
#[derive(Debug)]
pub struct Submission {
    pub entry: usize,
    pub attempts: Vec<wire::AttemptId>,
    pub body: Vec<u8>,
    pub ends: Vec<End>,
}

/// Caller wants one request answered.
#[derive(Debug)]
pub struct Caller {
    pub number: u64,
    pub kind: Kind,
    /// False for a request that must be answered whole at the first call.
    pub resends: bool,
    next_entry: usize,
    next_at: Option<u64>,
    submissions: Vec<usize>,
}

/// Callers are all callers and their calls.
#[derive(Debug, Default)]
pub struct Callers {
    pub rows: Vec<Caller>,
    pub submissions: Vec<Submission>,
}

impl Callers {
    /// Adds a caller that sends its request at a time through an entry.
    pub fn add(&mut self, kind: Kind, entry: usize, at: u64, resends: bool) -> u64 {
        let number = u64::try_from(self.rows.len()).expect("callers are few");
        let submissions = Vec::new();
        let next_at = Some(at);
        self.rows.push(Caller { number, kind, resends, next_entry: entry, next_at, submissions });
        number
    }

    /// Returns the calls of one caller.
    pub fn of<'a>(&'a self, caller: &'a Caller) -> impl Iterator<Item = &'a Submission> {
        caller.submissions.iter().map(|index| &self.submissions[*index])
    }

    /// Returns true where a call is of the caller with a number.
    pub fn is_of(&self, call: usize, number: u64) -> bool {
        let caller = self.rows.iter().find(|caller| caller.number == number);
        caller.is_some_and(|caller| caller.submissions.contains(&call))
    }

    /// Returns the calls that are due, each with its entry and its number.
    pub fn due(&mut self, now: u64, alive: &[bool]) -> Vec<(usize, RequestId, u64, Kind)> {
        let mut due = Vec::new();
        for caller in &mut self.rows {
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

    /// Takes a piece of an answer.
    pub fn take(&mut self, now: u64, id: RequestId, piece: Piece) {
        let submission = &mut self.submissions[index_of(id)];
        match piece {
            Piece::Complete { body, .. } => {
                submission.body.extend_from_slice(&body);
                self.end(now, id, End::Whole);
            }
            Piece::Head(_) => {}
            Piece::Data(data) => submission.body.extend_from_slice(&data),
            Piece::End => self.end(now, id, End::Whole),
            Piece::Refused(refusal) => self.end(now, id, End::Refused(refusal)),
            Piece::Aborted(refusal) => self.end(now, id, End::Broken(refusal)),
        }
    }

    /// Cuts the callers of an entry that died.
    pub fn cut(&mut self, now: u64, entry: usize) {
        for index in 0..self.submissions.len() {
            if self.submissions[index].entry == entry && self.submissions[index].ends.is_empty() {
                self.end(now, request_id(index), End::Cut);
            }
        }
    }

    /// Returns true where every caller has its answer or gave up.
    pub fn at_rest(&self) -> bool {
        let open = |submission: &Submission| submission.ends.is_empty();
        self.rows.iter().all(|caller| caller.next_at.is_none())
            && !self.submissions.iter().any(open)
    }

    /// Checks that every caller got what it must get in the end.
    pub fn check_ends(&self, crashing: Option<u64>) -> Result<(), String> {
        for caller in &self.rows {
            let whole = self.of(caller).any(|sent| sent.ends == [End::Whole]);
            let must = !caller.resends || caller.kind != Kind::NotRepeatable;
            if must && !whole && crashing != Some(caller.number) {
                let ends: Vec<_> = self.of(caller).map(|sent| &sent.ends).collect();
                let number = caller.number;
                return Err(format!("request {number} was never answered whole: {ends:?}"));
            }
        }
        Ok(())
    }

    /// Lets callers send no more.
    pub fn stop(&mut self) {
        self.rows.iter_mut().for_each(|caller| caller.next_at = None);
    }

    fn end(&mut self, now: u64, id: RequestId, end: End) {
        let index = index_of(id);
        self.submissions[index].ends.push(end);
        let caller = self.rows.iter_mut().find(|caller| caller.submissions.contains(&index));
        let caller = caller.expect("every call has a caller");
        let bounded = caller.kind == Kind::NotRepeatable;
        let again = match end {
            End::Whole => false,
            End::Cut => true,
            End::Refused(refusal) | End::Broken(refusal) => refusal.executed != Executed::Yes,
        };
        let sends_left = !bounded || caller.submissions.len() < MAX_SENDS;
        if (again || !bounded) && end != End::Whole && sends_left && caller.resends {
            caller.next_at = Some(now + RESEND_MS);
        }
    }
}

/// Returns the answer that a request must get.
pub fn expected(kind: Kind, number: u64) -> Vec<u8> {
    target::pieces(kind == Kind::Streamed, number, 0).concat()
}

/// Returns a call as the entry's core and the target get it.
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
    RequestId(u64::try_from(index).expect("calls are few"))
}

/// Returns the index of a call.
pub fn index_of(id: RequestId) -> usize {
    usize::try_from(id.0).expect("calls are few")
}
