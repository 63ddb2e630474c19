//! Relays an answer piece by piece, and resumes it at another target if it is interrupted.

use std::future;
use std::time::Duration;

use actix_http::header;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use tokio::time;

use crate::direct::connections::event_stream::EventSplitter;
use crate::direct::connections::http::{Connection, HttpError};
use crate::direct::decisions::attempts::{self, Failure, Next};
use crate::direct::exchange::attempt::{self, StartedAnswer};
use crate::direct::exchange::call::Call;
use crate::direct::exchange::silence;
use crate::direct::exchange::slot::Slot;
use crate::direct::exchange::slot_wait;
use crate::direct::known::target::{Outcome, Target};
use crate::direct::message::{Answer, Cause, Head, Interrupted};
use crate::direct::peering::rank_notices;
use crate::problem::Executed;
use crate::telemetry::events;

/// How long an interrupted answer waits for a slot at another target, while its caller waits for
/// the next event.
const RESUME_WAIT: Duration = Duration::from_millis(300);

/// An answer that is being relayed.
pub struct Relay {
    call: Call,
    target: Target,
    /// `None` once the answer has ended or was interrupted.
    slot: Option<Slot>,
    /// `None` once the answer has ended or was interrupted.
    connection: Option<Connection>,
    /// How long the target keeps the connection idle after the answer, if it states that.
    idle_limit: Option<Duration>,
    /// `None` for documents, which are relayed as they arrive.
    splitter: Option<EventSplitter>,
    /// The HTTP status of the answer, for logs.
    status: u16,
    /// Bytes that were read with the head and are relayed first.
    first: Option<Bytes>,
    /// When the last piece was relayed, on the entry's clock.
    last_piece: Duration,
    /// True once no other target resumed the answer of a silent one, which is then waited for.
    is_waiting: bool,
}

/// The result of reading from the target.
enum Step {
    Piece(Bytes),
    End,
    Failed(HttpError),
}

impl Relay {
    /// Starts to relay an answer whose first bytes have arrived.
    pub fn start(mut call: Call, started: StartedAnswer) -> Self {
        let seen = call.caller.resume_after.as_deref().and_then(|id| id.parse().ok());
        let splitter = call.wants_events().then(|| EventSplitter::after(seen));
        let now = call.entry.now();
        if splitter.is_some() {
            let first_event = now.saturating_sub(call.caller.arrived);
            call.entry.metrics.first_event(first_event);
            call.first_event = Some(first_event);
            let objectives =
                first_event.as_secs_f64() / call.route.objective.as_secs_f64().max(1e-3);
            call.entry.with_service_load(&call.service, |load| load.record_first_event(objectives));
        }
        let StartedAnswer { target, connection, slot, first, idle_limit } = started;
        Self {
            call,
            target,
            slot: Some(slot),
            connection: Some(connection),
            idle_limit,
            splitter,
            status: 0,
            first: Some(first),
            last_piece: now,
            is_waiting: false,
        }
    }

    /// Returns the answer for the caller, with the given head.
    pub fn into_answer(mut self, mut head: Head) -> Answer {
        self.status = head.status.as_u16();
        if self.splitter.is_some() {
            // Another target may send the rest, with another length.
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

    async fn next(&mut self) -> Result<Option<Bytes>, Interrupted> {
        loop {
            match self.step().await {
                Step::Piece(piece) => {
                    let complete = self.complete_events(&piece);
                    if !complete.is_empty() {
                        self.record_piece();
                        return Ok(Some(complete));
                    }
                }
                Step::End if self.is_inside_event() => self.resume(&HttpError::Closed).await?,
                Step::End => {
                    self.finish();
                    return Ok(None);
                }
                Step::Failed(error) => self.resume(&error).await?,
            }
        }
    }

    async fn step(&mut self) -> Step {
        if let Some(first) = self.first.take() {
            return Step::Piece(first);
        }
        if let Some(Err(error)) = self.splitter.as_ref().map(EventSplitter::check) {
            return Step::Failed(error.into());
        }
        let left = self.call.time_left();
        if left.is_zero() {
            // A piece that is ready at once would win against the timeout below.
            return Step::Failed(HttpError::Timeout(left));
        }
        let may_resume = !self.is_waiting
            && self.splitter.as_ref().is_some_and(|splitter| splitter.last_id().is_some())
            && silence::may_move(&self.call);
        let silent_after = may_resume.then(|| silence::silence_limit(&self.call)).flatten();
        let limit = silent_after.map_or(left, |limit| limit.min(left));
        let reported_silent = async {
            match may_resume {
                true => rank_notices::until_silent(&self.call.entry, &self.target.id).await,
                false => future::pending().await,
            }
        };
        let Some(connection) = &mut self.connection else { return Step::End };
        let piece = tokio::select! {
            biased;
            piece = connection.piece() => piece,
            () = reported_silent => {
                let silent_for = self.call.entry.now().saturating_sub(self.last_piece);
                return Step::Failed(HttpError::Timeout(silent_for));
            }
            () = time::sleep(limit) => return Step::Failed(HttpError::Timeout(limit)),
        };
        match piece {
            Ok(Some(piece)) => Step::Piece(piece),
            Ok(None) => Step::End,
            Err(error) => Step::Failed(error),
        }
    }

    fn complete_events(&mut self, piece: &Bytes) -> Bytes {
        match &mut self.splitter {
            None => piece.clone(),
            Some(splitter) => splitter.push(piece).data,
        }
    }

    fn record_piece(&mut self) {
        let now = self.call.entry.now();
        let pause = now.saturating_sub(self.last_piece);
        self.call.longest_pause = self.call.longest_pause.max(pause);
        if self.splitter.is_some() {
            let mut targets = self.call.entry.targets.borrow_mut();
            targets.record_pause(&self.target.id, pause, now);
        }
        self.last_piece = now;
    }

    /// Returns true if the last event has begun and not ended, so that the answer is incomplete even
    /// if its end looks proper.
    fn is_inside_event(&self) -> bool {
        self.splitter.as_ref().is_some_and(EventSplitter::has_partial)
    }

    /// Handles the proper end of the target's answer.
    fn finish(&mut self) {
        let entry = &self.call.entry;
        if self.splitter.is_some() {
            entry.metrics.pause(self.call.longest_pause);
        }
        if let Some(slot) = &mut self.slot {
            slot.record_ended();
        }
        if let Some(connection) = self.connection.take() {
            entry.pool.put_back(self.target.addr, connection, self.idle_limit);
        }
        self.slot = None;
        self.call.record_target_answered(self.status);
        self.call.record_relayed("answered", self.status);
    }

    /// Resumes the answer at another target after the last event relayed. Otherwise waits on for a
    /// target that is only silent, or interrupts the answer.
    async fn resume(&mut self, error: &HttpError) -> Result<(), Interrupted> {
        let target = self.target.id.clone();
        let silent = matches!(error, HttpError::Timeout(_));
        let out_of_time = self.call.time_left().is_zero();
        // A silent target may go on, so it is given up only once another one has resumed the answer.
        let may_go_on = silent && !out_of_time;
        if !may_go_on {
            if let Some(slot) = self.slot.as_mut().filter(|_| !silent) {
                slot.record_ended();
            }
            // Dropping the connection resets it, which makes the target abandon the request.
            (self.connection, self.slot) = (None, None);
        }
        if !out_of_time {
            self.call.entry.record_outcome(&target, Outcome::Broken);
        }
        let last_id = self.splitter.as_ref().and_then(EventSplitter::last_id);
        events::log(
            events::ANSWER_INTERRUPTED,
            format_args!(
                "id={} target={target} cause=\"{error}\" silent={silent} last_event={} left_ms={}",
                self.call.caller.log_id(),
                last_id.map_or("-".to_owned(), |id| id.to_string()),
                self.call.time_left().as_millis()
            ),
        );
        let cause = if out_of_time { Cause::TimedOut } else { Cause::Broken };
        let failure = Failure { cause, executed: Executed::Yes, retry_after: None };
        self.call.record_failure(&target, &failure);
        self.call.record_no_answer(&self.target, error.is_connection_lost()).await;
        if out_of_time {
            return Err(self.interrupt("timed_out"));
        }
        let Some(last_id) = last_id else {
            return self.give_up(may_go_on);
        };
        let left = self.call.time_left();
        match time::timeout(left, self.resume_elsewhere(last_id, failure)).await {
            Ok(true) => Ok(()),
            Ok(false) => self.give_up(may_go_on),
            Err(_elapsed) => Err(self.interrupt("timed_out")),
        }
    }

    /// Resumes the answer at another target after the event `last_id`. Returns false if no target
    /// may or does resume it.
    async fn resume_elsewhere(&mut self, last_id: u64, mut failure: Failure) -> bool {
        loop {
            let next = attempts::next(&self.call.history(), &failure);
            let service = self.call.service.clone();
            if next != Next::Again || !self.call.entry.spend_retry(&service, true) {
                return false;
            }
            let Ok((target, slot)) = slot_wait::acquire(&mut self.call, RESUME_WAIT).await else {
                return false;
            };
            let id = last_id.to_string();
            match attempt::resume(&mut self.call, &target, slot, &id).await {
                Ok(started) => {
                    self.call.entry.metrics.resumed();
                    self.switch_to(started, last_id);
                    return true;
                }
                Err(error) => {
                    self.call.record_failure(&target.id, &error);
                    failure = error;
                }
            }
        }
    }

    fn switch_to(&mut self, started: StartedAnswer, last_id: u64) {
        let StartedAnswer { target, connection, slot, first, idle_limit } = started;
        self.splitter = Some(EventSplitter::after(Some(last_id)));
        (self.target, self.idle_limit) = (target, idle_limit);
        (self.connection, self.slot, self.first) = (Some(connection), Some(slot), Some(first));
    }

    /// Waits on for a silent target that may go on, or interrupts the answer.
    fn give_up(&mut self, may_go_on: bool) -> Result<(), Interrupted> {
        if may_go_on {
            self.is_waiting = true;
            return Ok(());
        }
        Err(self.interrupt("broken_off"))
    }

    /// Records that the answer ends incomplete.
    fn interrupt(&mut self, cause: &'static str) -> Interrupted {
        self.call.record_relayed(cause, self.status);
        Interrupted
    }
}
