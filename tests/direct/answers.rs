//! Streams of events that are interrupted anywhere, and the answers to callers whose request fails.

use std::time::Duration;

use bitternwall::direct::connections::event_stream::{EventError, EventSplitter, MAX_EVENT_BYTES};
use bitternwall::direct::decisions::attempts::{self, Failure, History, Next};
use bitternwall::direct::message::{Cause, LocalAnswer};
use bitternwall::problem::Executed;
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id} of the answer\n\n")
}

fn events(from: u64, to: u64) -> String {
    (from..to).map(event).collect()
}

proptest! {
    /// However a stream is split into pieces, interrupted and resumed, the caller gets each event
    /// once.
    #[test]
    fn an_interrupted_stream_is_resumed_without_gaps_or_repeats(
        count in 1u64..30,
        interruptions in prop::collection::vec(0usize..400, 0..4),
        chunk in 1usize..50,
    ) {
        let mut received = BytesMut::new();
        let mut last = None;
        for at in interruptions {
            let rest = events(last.map_or(1, |id: u64| id + 1), count + 1);
            let mut splitter = EventSplitter::after(last);
            let part = &rest.as_bytes()[..at.min(rest.len())];
            part.chunks(chunk)
                .for_each(|piece| received.extend_from_slice(&splitter.push(piece).data));
            last = splitter.last_id();
        }
        let mut splitter = EventSplitter::after(last);
        let rest = events(last.map_or(1, |id| id + 1), count + 1);
        rest.as_bytes()
            .chunks(chunk)
            .for_each(|piece| received.extend_from_slice(&splitter.push(piece).data));
        prop_assert_eq!(Bytes::from(received), Bytes::from(events(1, count + 1)));
        prop_assert!(!splitter.has_partial());
    }
}

#[test]
fn lines_of_events_may_end_with_a_carriage_return() {
    let text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\r\nid: 3\ndata";
    for chunk in 1..text.len() {
        let mut splitter = EventSplitter::after(None);
        let pieces = text.as_bytes().chunks(chunk);
        let events: Vec<u8> = pieces.flat_map(|piece| splitter.push(piece).data).collect();
        assert_eq!(events, &text.as_bytes()[..text.len() - "id: 3\ndata".len()], "{chunk}");
        assert_eq!(splitter.last_id(), Some(2));
        assert!(splitter.has_partial());
    }
}

#[test]
fn events_already_relayed_are_dropped() {
    let mut splitter = EventSplitter::after(Some(2));
    let batch = splitter.push(events(1, 5).as_bytes());
    assert_eq!(batch.data, events(3, 5));
    assert_eq!(splitter.last_id(), Some(4));
}

#[test]
fn an_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    let text = event(1);
    assert!(splitter.push(&text.as_bytes()[..10]).data.is_empty());
    assert_eq!(splitter.push(&text.as_bytes()[10..]).data, text);
}

#[test]
fn a_line_before_the_id_belongs_to_the_event() {
    let mut splitter = EventSplitter::default();
    let text = "weights: 2\nid: 7\ndata: x\n\n";
    assert_eq!(splitter.push(text.as_bytes()).data, text);
    assert_eq!(splitter.last_id(), Some(7));
}

#[test]
fn an_event_that_does_not_end_is_an_error_after_the_complete_ones() {
    let mut splitter = EventSplitter::default();
    let begun = event(1) + &"x".repeat(MAX_EVENT_BYTES);
    assert_eq!(splitter.push(begun.as_bytes()).data, event(1));
    assert_eq!(splitter.check(), Ok(()));
    assert!(splitter.push(b"x").data.is_empty());
    assert_eq!(splitter.check(), Err(EventError::TooLong));
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn an_event_of_many_pieces_is_complete_at_any_separator() {
    let mut splitter = EventSplitter::default();
    let text = format!("id: 1\ndata: {}\n\n", "x".repeat(10_000));
    let (last, first) = text.as_bytes().split_last().expect("text");
    for byte in first {
        assert!(splitter.push(&[*byte]).data.is_empty());
    }
    assert_eq!(splitter.push(&[*last]).data, text);
    assert_eq!(splitter.push(event(2).as_bytes()).data, event(2));
}

const FRESH: History = History {
    may_repeat: false,
    sent: 1,
    max_targets: 2,
    deliveries: 1,
    may_have_run: false,
    time_left: Duration::from_millis(500),
    backoff_left: None,
};

fn failure(executed: Executed) -> Failure {
    Failure { cause: Cause::Broken, executed, retry_after: None }
}

#[test]
fn a_request_that_may_run_once_is_not_sent_again_after_it_may_have_run() {
    for executed in [Executed::Unknown, Executed::Yes] {
        assert!(matches!(attempts::next(&FRESH, &failure(executed)), Next::Final(_)));
    }
    assert_eq!(attempts::next(&FRESH, &failure(Executed::No)), Next::Again);
    let earlier = History { may_have_run: true, ..FRESH };
    assert!(matches!(attempts::next(&earlier, &failure(Executed::No)), Next::Final(_)));
}

#[test]
fn a_request_goes_to_no_more_targets_than_its_route_allows() {
    let again = History { may_repeat: true, ..FRESH };
    assert_eq!(attempts::next(&again, &failure(Executed::Unknown)), Next::Again);
    let spent = History { sent: 2, ..again };
    assert!(matches!(attempts::next(&spent, &failure(Executed::Unknown)), Next::Final(_)));
    let round = History { sent: 0, deliveries: attempts::MAX_DELIVERIES, ..again };
    assert!(matches!(attempts::next(&round, &failure(Executed::No)), Next::Final(_)));
    let late = History { time_left: Duration::from_millis(1), ..again };
    assert!(matches!(attempts::next(&late, &failure(Executed::Unknown)), Next::Final(_)));
}

#[test]
fn only_a_request_that_did_not_run_gets_status_503() {
    let causes = [
        Cause::NoConfiguration,
        Cause::Stopping,
        Cause::NoTarget,
        Cause::TargetsPaused,
        Cause::Full,
        Cause::TargetFull,
        Cause::TimedOut,
        Cause::Unreachable,
        Cause::Broken,
    ];
    for cause in causes {
        let status =
            |executed| LocalAnswer { cause, executed, retry_after: None }.status().as_u16();
        assert_eq!(status(Executed::No), 503, "{cause:?}");
        for executed in [Executed::Yes, Executed::Unknown] {
            assert!([502, 504].contains(&status(executed)), "{cause:?} {executed:?}");
        }
    }
}

#[test]
fn an_earlier_run_is_not_denied_by_a_later_refusal() {
    let earlier = History { may_have_run: true, ..FRESH };
    let own = attempts::final_answer(&earlier, &failure(Executed::No));
    assert_eq!(own.executed, Executed::Unknown);
    assert_eq!(own.retry_after, None);
}
