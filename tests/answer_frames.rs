//! The relay never passes a foreign or incomplete answer as whole, whatever order frames come in.

use bitternwall::entry::core::events::{AttemptFailure, Executed, Refusal, RefusalReason};
use bitternwall::entry::core::tables::AttemptNumber;
use bitternwall::entry::relay::{Piece, Relay, Step};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::sync::mpsc;

const CASES: u32 = 2_000;
const SEED: u64 = 20_261_203;
const MAX_TOKENS: usize = 12;
const MAX_ATTEMPTS: u64 = 6;
const DONE: &str = "data: [DONE]\n\n";

/// Sent is one frame of an attempt's answer.
#[derive(Clone, Debug)]
enum Sent {
    Head { streamed: bool },
    Body { index: u64, data: Bytes },
    End { pieces: u64, length: u64, complete: bool },
}

/// Delivery is what the network makes of the frames that are on their way.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The next frame in order.
    Next,
    /// A frame that came before, once more.
    Again(usize),
    /// The frame after the next overtakes it.
    Overtaking,
    /// A frame that never comes.
    Lost,
    /// A frame of an earlier attempt.
    Late(usize),
    /// A frame of another request's attempt.
    Foreign(usize),
    /// The link breaks and the request is tried again.
    Broken,
}

#[derive(Clone, Debug)]
struct Case {
    streamed: bool,
    tokens: usize,
    /// Where an answer's bytes are cut into pieces.
    piece: usize,
    /// After how many pieces the target breaks off, for each attempt.
    breaks: Vec<Option<usize>>,
    /// True where a stream that breaks off ends as if it were whole.
    ends_cleanly: bool,
    deliveries: Vec<Delivery>,
}

fn case() -> impl Strategy<Value = Case> {
    let delivery = prop_oneof![
        20 => Just(Delivery::Next),
        1 => any::<usize>().prop_map(Delivery::Again),
        1 => Just(Delivery::Overtaking),
        1 => Just(Delivery::Lost),
        3 => any::<usize>().prop_map(Delivery::Late),
        3 => any::<usize>().prop_map(Delivery::Foreign),
        1 => Just(Delivery::Broken),
    ];
    let breaks = prop::collection::vec(prop::option::weighted(0.4, 0..12_usize), 6);
    let deliveries = prop::collection::vec(delivery, 1..120);
    let shape = (any::<bool>(), 0..MAX_TOKENS, 3..60_usize, any::<bool>());
    (shape, breaks, deliveries).prop_map(
        |((streamed, tokens, piece, ends_cleanly), breaks, deliveries)| Case {
            streamed,
            tokens,
            piece,
            breaks,
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

/// Returns the frames of one attempt, whose target breaks off where the case says so.
fn frames(case: &Case, owner: &str, attempt: u64, from: usize) -> Vec<Sent> {
    let text = Bytes::from(answer(owner, case.tokens, from));
    let pieces: Vec<Bytes> = text.chunks(case.piece).map(Bytes::copy_from_slice).collect();
    let breaks = case.breaks[usize::try_from(attempt).expect("few attempts") % case.breaks.len()];
    let kept = breaks.unwrap_or(usize::MAX).min(pieces.len());
    let length = pieces[..kept].iter().map(Bytes::len).sum::<usize>();
    let body = pieces[..kept]
        .iter()
        .zip(0..)
        .map(|(data, index)| Sent::Body { index, data: data.clone() });
    let end = Sent::End {
        pieces: u64::try_from(kept).expect("few pieces"),
        length: u64::try_from(length).expect("few bytes"),
        complete: breaks.is_none() || (case.streamed && case.ends_cleanly),
    };
    [Sent::Head { streamed: case.streamed }].into_iter().chain(body).chain([end]).collect()
}

fn deliver(relay: &mut Relay, attempt: u64, frame: &Sent) -> Step {
    let attempt = AttemptNumber(attempt);
    match frame.clone() {
        Sent::Head { streamed } => {
            let type_ = if streamed { "text/event-stream" } else { "application/json" };
            relay.head(attempt, 200, vec![("content-type".to_owned(), type_.to_owned())])
        }
        Sent::Body { index, data } => relay.body(attempt, index, data),
        Sent::End { pieces, length, complete } => relay.end(attempt, pieces, length, complete),
    }
}

/// Caller is what came to the caller.
#[derive(Debug, Default)]
struct Caller {
    body: Vec<u8>,
    heads: usize,
    whole: bool,
}

impl Caller {
    fn take(&mut self, rx: &mut mpsc::UnboundedReceiver<Piece>) -> Result<(), TestCaseError> {
        while let Ok(piece) = rx.try_recv() {
            prop_assert!(!self.whole, "{piece:?} comes after the end");
            match piece {
                Piece::Complete { body, .. } => {
                    self.body.extend_from_slice(&body);
                    self.whole = true;
                }
                Piece::Head(_) => self.heads += 1,
                Piece::Data(data) => self.body.extend_from_slice(&data),
                Piece::End => self.whole = true,
                Piece::Refused(_) => prop_assert!(self.heads == 0 && self.body.is_empty()),
                Piece::Aborted(_) => prop_assert_eq!(self.heads, 1),
            }
        }
        Ok(())
    }

    /// The caller holds a beginning of its own answer, and the end only where it has all of it.
    fn check(&self, case: &Case) -> Result<(), TestCaseError> {
        let own = answer("own", case.tokens, 0);
        let body = String::from_utf8_lossy(&self.body);
        prop_assert!(own.starts_with(&*body), "{body} is no beginning of {own}");
        prop_assert!(!self.whole || body == own, "{body} passes for {own}");
        prop_assert!(self.heads <= 1);
        Ok(())
    }
}

/// Sender is the network with what is on its way.
struct Sender<'a> {
    case: &'a Case,
    attempt: u64,
    coming: Vec<Sent>,
    past: Vec<(u64, Sent)>,
}

impl Sender<'_> {
    fn begin(&mut self, relay: &mut Relay) {
        self.past.extend(self.coming.drain(..).map(|frame| (self.attempt, frame)));
        self.attempt += 1;
        relay.begin(AttemptNumber(self.attempt), "engine-0");
        let from = usize::try_from(relay.tokens()).expect("few tokens");
        self.coming = frames(self.case, "own", self.attempt, from);
    }

    fn send(&mut self, relay: &mut Relay, at: usize) -> Step {
        if at >= self.coming.len() {
            return Step::Nothing;
        }
        let frame = self.coming.remove(at);
        let step = deliver(relay, self.attempt, &frame);
        self.past.push((self.attempt, frame));
        step
    }

    fn step(&mut self, relay: &mut Relay, delivery: Delivery) -> Step {
        match delivery {
            Delivery::Next => self.send(relay, 0),
            Delivery::Overtaking => self.send(relay, 1),
            Delivery::Lost => {
                drop((!self.coming.is_empty()).then(|| self.coming.remove(0)));
                Step::Nothing
            }
            Delivery::Again(at) | Delivery::Late(at) => {
                let late = matches!(delivery, Delivery::Late(_));
                let own = |(of, _): &&(u64, Sent)| (*of < self.attempt) == late;
                let fitting: Vec<_> = self.past.iter().filter(own).collect();
                let Some(chosen) = at.checked_rem(fitting.len()) else { return Step::Nothing };
                let (attempt, frame) = fitting[chosen];
                deliver(relay, *attempt, frame)
            }
            Delivery::Foreign(at) => {
                let foreign = frames(self.case, "other", self.attempt, 0);
                let attempt = u64::MAX / 2 + self.attempt;
                deliver(relay, attempt, &foreign[at % foreign.len()])
            }
            Delivery::Broken => Step::Failed,
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
    let mut sender = Sender { case, attempt: 0, coming: Vec::new(), past: Vec::new() };
    let mut caller = Caller::default();
    sender.begin(&mut relay);
    // What is left in order at the end shows that nothing before it spoiled the answer.
    let rest = std::iter::repeat_n(Delivery::Next, 200);
    for delivery in case.deliveries.iter().copied().chain(rest) {
        let step = sender.step(&mut relay, delivery);
        caller.take(&mut rx)?;
        caller.check(case)?;
        prop_assert_eq!(step == Step::Answered, caller.whole, "{:?}", delivery);
        match step {
            Step::Answered => return Ok(()),
            Step::Failed if sender.attempt < MAX_ATTEMPTS => sender.begin(&mut relay),
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
