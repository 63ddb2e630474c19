//! The relay never presents an answer as complete that is not, or that contains parts of other
//! answers, in whatever order frames arrive.

use bitternwall::entry::core::events::{AttemptFailure, Executed, Refusal, RefusalReason};
use bitternwall::entry::core::tables::AttemptNumber;
use bitternwall::entry::relay::{Piece, Relay, Step};
use bitternwall::entry::sse;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::sync::mpsc;

const CASES: u32 = 2_000;
const SEED: u64 = 20_261_203;
const MAX_TOKENS: usize = 12;
const MAX_ATTEMPTS: u64 = 6;
const DONE: &str = "data: [DONE]\n\n";

/// A frame of an attempt's answer.
#[derive(Clone, Debug)]
enum Frame {
    Head { streamed: bool },
    Body { index: u64, data: Bytes },
    End { pieces: u64, length: u64, complete: bool },
}

/// What the network does with the frames in transit.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// Delivers the next frame in order.
    Next,
    /// Delivers a frame a second time.
    Duplicate(usize),
    /// Delivers the frame after the next one first.
    Overtaking,
    /// Drops the next frame.
    Lost,
    /// Delivers a frame of an earlier attempt.
    Late(usize),
    /// Delivers a frame of another request's attempt.
    Foreign(usize),
    /// The link is lost and the request is retried.
    LinkLost,
}

#[derive(Clone, Debug)]
struct Case {
    streamed: bool,
    tokens: usize,
    /// The size of the pieces into which an answer is divided, in bytes.
    piece: usize,
    /// The number of pieces after which the target stops, for each attempt; `None` if it does not.
    interruptions: Vec<Option<usize>>,
    /// True if an interrupted stream ends as if it were complete.
    ends_cleanly: bool,
    deliveries: Vec<Delivery>,
}

fn case() -> impl Strategy<Value = Case> {
    let delivery = prop_oneof![
        20 => Just(Delivery::Next),
        1 => any::<usize>().prop_map(Delivery::Duplicate),
        1 => Just(Delivery::Overtaking),
        1 => Just(Delivery::Lost),
        3 => any::<usize>().prop_map(Delivery::Late),
        3 => any::<usize>().prop_map(Delivery::Foreign),
        1 => Just(Delivery::LinkLost),
    ];
    let interruptions = prop::collection::vec(prop::option::weighted(0.4, 0..12_usize), 6);
    let deliveries = prop::collection::vec(delivery, 1..120);
    let shape = (any::<bool>(), 0..MAX_TOKENS, 3..60_usize, any::<bool>());
    (shape, interruptions, deliveries).prop_map(
        |((streamed, tokens, piece, ends_cleanly), interruptions, deliveries)| Case {
            streamed,
            tokens,
            piece,
            interruptions,
            ends_cleanly,
            deliveries,
        },
    )
}

fn event(owner: &str, token: usize) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{owner}{token} \"}}}}]}}\n\n")
}

fn answer(owner: &str, tokens: usize, from: usize) -> String {
    let events = (from..tokens).map(|token| event(owner, token));
    events.chain([DONE.to_owned()]).collect()
}

/// Returns the frames of one attempt, whose target stops early if the case says so.
fn frames(case: &Case, owner: &str, attempt: u64, from: usize) -> Vec<Frame> {
    let text = Bytes::from(answer(owner, case.tokens, from));
    let pieces: Vec<Bytes> = text.chunks(case.piece).map(Bytes::copy_from_slice).collect();
    let interruption = case.interruptions
        [usize::try_from(attempt).expect("few attempts") % case.interruptions.len()];
    let sent = interruption.unwrap_or(usize::MAX).min(pieces.len());
    let length = pieces[..sent].iter().map(Bytes::len).sum::<usize>();
    let body = pieces[..sent]
        .iter()
        .zip(0..)
        .map(|(data, index)| Frame::Body { index, data: data.clone() });
    let end = Frame::End {
        pieces: u64::try_from(sent).expect("few pieces"),
        length: u64::try_from(length).expect("few bytes"),
        complete: interruption.is_none() || (case.streamed && case.ends_cleanly),
    };
    [Frame::Head { streamed: case.streamed }].into_iter().chain(body).chain([end]).collect()
}

fn deliver(relay: &mut Relay, attempt: u64, frame: &Frame) -> Step {
    let attempt = AttemptNumber(attempt);
    match frame.clone() {
        Frame::Head { streamed } => {
            let type_ = if streamed { "text/event-stream" } else { "application/json" };
            relay.head(attempt, 200, vec![("content-type".to_owned(), type_.to_owned())])
        }
        Frame::Body { index, data } => relay.body(attempt, index, data),
        Frame::End { pieces, length, complete } => relay.end(attempt, pieces, length, complete),
    }
}

/// What the caller has received.
#[derive(Debug, Default)]
struct Caller {
    body: Vec<u8>,
    heads: usize,
    complete: bool,
}

impl Caller {
    fn take(&mut self, rx: &mut mpsc::UnboundedReceiver<Piece>) -> Result<(), TestCaseError> {
        while let Ok(piece) = rx.try_recv() {
            prop_assert!(!self.complete, "{piece:?} arrives after the end");
            match piece {
                Piece::Complete { body, .. } => {
                    self.body.extend_from_slice(&body);
                    self.complete = true;
                }
                Piece::Head(_) => self.heads += 1,
                Piece::Data(data) => self.body.extend_from_slice(&data),
                Piece::End => self.complete = true,
                Piece::Refused(_) => prop_assert!(self.heads == 0 && self.body.is_empty()),
                Piece::Aborted(_) => prop_assert_eq!(self.heads, 1),
            }
        }
        Ok(())
    }

    /// Checks that the caller has received a prefix of its own answer, and the end only after all
    /// of it.
    fn check(&self, case: &Case) -> Result<(), TestCaseError> {
        let own = answer("own", case.tokens, 0);
        let body = String::from_utf8_lossy(&self.body);
        prop_assert!(own.starts_with(&*body), "{body} is not a prefix of {own}");
        prop_assert!(!self.complete || body == own, "{body} is presented as {own}");
        prop_assert!(self.heads <= 1);
        Ok(())
    }
}

/// The network, with the frames in transit.
struct Network<'a> {
    case: &'a Case,
    attempt: u64,
    in_transit: Vec<Frame>,
    /// The frames that were delivered, and those of earlier attempts that were not.
    past: Vec<(u64, Frame)>,
}

impl Network<'_> {
    fn begin(&mut self, relay: &mut Relay) {
        self.past.extend(self.in_transit.drain(..).map(|frame| (self.attempt, frame)));
        self.attempt += 1;
        relay.begin(AttemptNumber(self.attempt), "engine-0");
        let from = usize::try_from(relay.tokens()).expect("few tokens");
        self.in_transit = frames(self.case, "own", self.attempt, from);
    }

    fn send(&mut self, relay: &mut Relay, at: usize) -> Step {
        if at >= self.in_transit.len() {
            return Step::Nothing;
        }
        let frame = self.in_transit.remove(at);
        let step = deliver(relay, self.attempt, &frame);
        self.past.push((self.attempt, frame));
        step
    }

    fn step(&mut self, relay: &mut Relay, delivery: Delivery) -> Step {
        match delivery {
            Delivery::Next => self.send(relay, 0),
            Delivery::Overtaking => self.send(relay, 1),
            Delivery::Lost => {
                drop((!self.in_transit.is_empty()).then(|| self.in_transit.remove(0)));
                Step::Nothing
            }
            Delivery::Duplicate(at) | Delivery::Late(at) => {
                let late = matches!(delivery, Delivery::Late(_));
                let is_eligible = |(of, _): &&(u64, Frame)| (*of < self.attempt) == late;
                let matching: Vec<_> = self.past.iter().filter(is_eligible).collect();
                let Some(chosen) = at.checked_rem(matching.len()) else { return Step::Nothing };
                let (attempt, frame) = matching[chosen];
                deliver(relay, *attempt, frame)
            }
            Delivery::Foreign(at) => {
                let foreign = frames(self.case, "other", self.attempt, 0);
                let attempt = u64::MAX / 2 + self.attempt;
                deliver(relay, attempt, &foreign[at % foreign.len()])
            }
            Delivery::LinkLost => Step::Failed,
        }
    }
}

fn refusal() -> Refusal {
    let reason = RefusalReason::Attempt(AttemptFailure::AnswerInterrupted);
    Refusal { reason, executed: Executed::Yes, retry_after: None }
}

fn run(case: &Case) -> Result<(), TestCaseError> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut relay = Relay::new(tx);
    let mut network = Network { case, attempt: 0, in_transit: Vec::new(), past: Vec::new() };
    let mut caller = Caller::default();
    network.begin(&mut relay);
    // Delivering the remaining frames in order shows that no earlier delivery corrupted the answer.
    let rest = std::iter::repeat_n(Delivery::Next, 200);
    for delivery in case.deliveries.iter().copied().chain(rest) {
        let step = network.step(&mut relay, delivery);
        caller.take(&mut rx)?;
        caller.check(case)?;
        prop_assert_eq!(step == Step::Answered, caller.complete, "{:?}", delivery);
        match step {
            Step::Answered => return Ok(()),
            Step::Failed if network.attempt < MAX_ATTEMPTS => network.begin(&mut relay),
            Step::Failed => {
                relay.refuse(refusal());
                caller.take(&mut rx)?;
                return caller.check(case);
            }
            Step::Nothing | Step::Started => {}
        }
    }
    Ok(())
}

#[test]
fn frames_late_doubled_reordered_lost_or_foreign_never_make_a_false_answer() {
    let seed = RngSeed::Fixed(SEED);
    let config =
        Config { cases: CASES, rng_seed: seed, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&case(), |case| run(&case));
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

// Guards against an event without an end that fills the entry's memory.
#[test]
fn an_event_without_an_end_fails_its_attempt() {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut relay = Relay::new(tx);
    let attempt = AttemptNumber(1);
    relay.begin(attempt, "t-1");
    let headers = vec![("content-type".to_owned(), "text/event-stream".to_owned())];
    relay.head(attempt, 200, headers);
    let piece = Bytes::from(vec![b'x'; 64 * 1024]);
    let pieces = u64::try_from(sse::MAX_EVENT_BYTES / piece.len()).expect("a small number");
    let steps: Vec<Step> =
        (0..=pieces).map(|index| relay.body(attempt, index, piece.clone())).collect();
    let (last, before) = steps.split_last().expect("several pieces");
    assert!(before.iter().all(|step| *step == Step::Nothing), "{steps:?}");
    assert_eq!(*last, Step::Failed);
    assert!(rx.try_recv().is_err(), "nothing reaches the caller");
}
