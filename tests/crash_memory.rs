//! An entry records the request bodies that were running when targets crashed.

use std::time::Duration;

use bitternwall::entry::core::Options;
use bitternwall::entry::core::events::{CrashReport, Event};
use bitternwall::entry::core::tables::RequestId;
use entry_model::{End, EntryModel, Fate, Kind};

#[path = "common/entry_model.rs"]
mod entry_model;

const BODY: u64 = 0;

fn crash_reported(id: u64) -> Event {
    let ttl = Duration::from_secs(600);
    Event::CrashesReported(vec![CrashReport { fingerprint: BODY, crash_ids: vec![id], ttl }])
}

/// Submits the body as the next request and returns how the request ended.
fn submit(model: &mut EntryModel, fates: &[Fate]) -> Vec<End> {
    let id = RequestId(model.submitted);
    model.submitted += 1;
    let mut request = entry_model::request(id, Kind::Idempotent);
    request.fingerprint = BODY;
    let mut fates = fates.iter().copied();
    let mut next = |_: &_| fates.next().unwrap_or(Fate::Answered);
    model.tick(vec![Event::Submitted(request)], &mut next);
    model.ends[&id].clone()
}

#[test]
fn a_body_whose_target_crashed_is_suspect_before_the_crash_report_arrives() {
    let mut model = EntryModel::new(Options::default(), 3);
    assert_eq!(submit(&mut model, &[Fate::Crashes]), [End::Finished]);
    let suspects: Vec<bool> = model.starts.iter().map(|start| start.suspect).collect();
    assert_eq!(suspects, [false, true]);
}

#[test]
fn a_body_that_ran_alone_and_was_answered_is_cleared_of_that_crash() {
    let mut model = EntryModel::new(Options::default(), 3);
    model.tick(vec![crash_reported(1)], &mut |_| Fate::Answered);
    assert_eq!(submit(&mut model, &[]), [End::Finished]);
    assert!(model.starts[0].suspect, "it runs alone");
    model.tick(vec![crash_reported(1), crash_reported(2)], &mut |_| Fate::Answered);
    assert_eq!(
        submit(&mut model, &[]),
        [End::Finished],
        "only one crash is left that it may have caused"
    );
    assert!(model.starts[1].suspect, "it runs alone again");
}

#[test]
fn a_body_that_may_have_caused_two_crashes_is_refused() {
    let mut model = EntryModel::new(Options::default(), 3);
    model.tick(vec![crash_reported(1), crash_reported(2)], &mut |_| Fate::Answered);
    assert!(matches!(submit(&mut model, &[])[..], [End::Refused(_)]));
}
