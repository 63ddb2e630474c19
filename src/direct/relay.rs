//! Passes an answer on piece by piece, and goes on at another target where it breaks off.

use std::time::Duration;

use actix_http::header;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use tokio::time;

use crate::direct::attempts::{self, Failure, Next};
use crate::direct::call::Call;
use crate::direct::entry::Place;
use crate::direct::events::Cutter;
use crate::direct::forward::{self, Opened};
use crate::direct::http::{Connection, HttpError};
use crate::direct::message::{Answer, BrokenOff, Cause, Head};
use crate::direct::placing;
use crate::direct::targets::{Outcome, Target};
use crate::problem::Executed;
use crate::telemetry::events;

/// How long an answer that broke off waits for a place at another target; its caller waits for the
/// next event meanwhile.
const RESUME_WAIT: Duration = Duration::from_millis(300);

/// Relay is an answer that is being passed on.
pub struct Relay {
    call: Call,
    target: Target,
    place: Option<Place>,
    connection: Option<Connection>,
    idle_limit: Option<Duration>,
    cutter: Option<Cutter>,
    status: u16,
    first: Option<Bytes>,
    last_piece: Duration,
}

enum Step {
    Piece(Bytes),
    End,
    Failed(String, bool),
}

impl Relay {
    /// Takes over an answer whose first bytes are there.
    pub fn start(mut call: Call, opened: Opened) -> Self {
        let seen = call.caller.resume_after.as_deref().and_then(|id| id.parse().ok());
        let cutter = call.wants_events().then(|| Cutter::after(seen));
        let now = call.entry.now();
        if cutter.is_some() {
            let first_event = now.saturating_sub(call.caller.arrived);
            call.entry.metrics.first_event(first_event);
            call.first_event = Some(first_event);
            let objectives =
                first_event.as_secs_f64() / call.route.objective.as_secs_f64().max(1e-3);
            call.entry.with_pressure(&call.service, |pressure| pressure.first_event(objectives));
        }
        let Opened { target, connection, place, first, idle_limit } = opened;
        Self {
            call,
            target,
            place: Some(place),
            connection: Some(connection),
            idle_limit,
            cutter,
            status: 0,
            first: Some(first),
            last_piece: now,
        }
    }

    /// Returns the answer for the caller.
    pub fn into_answer(mut self, mut head: Head) -> Answer {
        self.status = head.status.as_u16();
        if self.cutter.is_some() {
            // The rest may come from another target, in other pieces.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let pieces = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        Answer::Stream(head, pieces.boxed_local())
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        loop {
            match self.step().await {
                Step::Piece(piece) => {
                    let whole = self.cut(&piece);
                    if !whole.is_empty() {
                        self.note_piece();
                        return Ok(Some(whole));
                    }
                }
                Step::End => return Ok(self.finish()),
                Step::Failed(cause, silent) => self.go_on(&cause, silent).await?,
            }
        }
    }

    async fn step(&mut self) -> Step {
        if let Some(first) = self.first.take() {
            return Step::Piece(first);
        }
        let left = self.call.time_left();
        let silent_after = match &self.cutter {
            Some(cutter) if cutter.last_id().is_some() => forward::silence_limit(&self.call),
            Some(_) | None => None,
        };
        let limit = silent_after.map_or(left, |limit| limit.min(left));
        let Some(connection) = &mut self.connection else { return Step::End };
        match time::timeout(limit, connection.piece()).await {
            Ok(Ok(Some(piece))) => Step::Piece(piece),
            Ok(Ok(None)) => Step::End,
            Ok(Err(error)) => Step::Failed(error.to_string(), false),
            Err(_elapsed) => Step::Failed(HttpError::Timeout(limit).to_string(), true),
        }
    }

    fn cut(&mut self, piece: &Bytes) -> Bytes {
        match &mut self.cutter {
            None => piece.clone(),
            Some(cutter) => cutter.push(piece).data,
        }
    }

    fn note_piece(&mut self) {
        let now = self.call.entry.now();
        let pause = now.saturating_sub(self.last_piece);
        self.call.longest_pause = self.call.longest_pause.max(pause);
        if self.cutter.is_some() {
            let mut targets = self.call.entry.targets.borrow_mut();
            targets.paused_between_events(&self.target.id, pause, now);
        }
        self.last_piece = now;
    }

    /// The target's answer has ended as it should.
    fn finish(&mut self) -> Option<Bytes> {
        let rest = self.cutter.as_mut().map(Cutter::take_partial).unwrap_or_default();
        if !rest.is_empty() {
            return Some(rest);
        }
        let entry = &self.call.entry;
        if self.cutter.is_some() {
            entry.metrics.pause(self.call.longest_pause);
        }
        if let Some(connection) = self.connection.take() {
            entry.pool.put_back(self.target.addr, connection, self.idle_limit);
        }
        self.place = None;
        self.call.passed_on("answered", self.status);
        None
    }

    /// Goes on at another target after the last event passed on, or breaks the answer off.
    async fn go_on(&mut self, cause: &str, silent: bool) -> Result<(), BrokenOff> {
        let target = self.target.id.clone();
        // Closing the connection stops what the target still does.
        (self.connection, self.place) = (None, None);
        let out_of_time = self.call.time_left().is_zero();
        if !out_of_time {
            self.call.entry.learn(&target, Outcome::Broken);
        }
        let last_id = self.cutter.as_ref().and_then(Cutter::last_id);
        events::log(
            events::ANSWER_INTERRUPTED,
            format_args!(
                "id={} target={target} cause=\"{cause}\" silent={silent} last_event={} left_ms={}",
                self.call.caller.id,
                last_id.map_or("-".to_owned(), |id| id.to_string()),
                self.call.time_left().as_millis()
            ),
        );
        let mut failure =
            Failure { cause: Cause::Broken, executed: Executed::Yes, retry_after: None };
        self.call.failed(&target, &failure);
        let Some(last_id) = last_id.filter(|_| !out_of_time) else {
            return Err(self.break_off());
        };
        loop {
            let next = attempts::next(&self.call.history(), &failure);
            let service = self.call.service.clone();
            if next != Next::Again || !self.call.entry.spend_retry(&service, true) {
                return Err(self.break_off());
            }
            let Ok((target, place)) = placing::place(&mut self.call, RESUME_WAIT).await else {
                return Err(self.break_off());
            };
            let id = last_id.to_string();
            match forward::resume(&mut self.call, &target, place, &id).await {
                Ok(opened) => {
                    self.call.entry.metrics.resumed();
                    self.adopt(opened, last_id);
                    return Ok(());
                }
                Err(error) => {
                    self.call.failed(&target.id, &error);
                    failure = error;
                }
            }
        }
    }

    fn adopt(&mut self, opened: Opened, last_id: u64) {
        let Opened { target, connection, place, first, idle_limit } = opened;
        self.cutter = Some(Cutter::after(Some(last_id)));
        (self.target, self.idle_limit) = (target, idle_limit);
        (self.connection, self.place, self.first) = (Some(connection), Some(place), Some(first));
    }

    fn break_off(&mut self) -> BrokenOff {
        self.call.passed_on("broken_off", self.status);
        BrokenOff
    }
}
