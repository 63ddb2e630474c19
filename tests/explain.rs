//! Explanations of why a target or the ranks of a group get requests or not: each reason, the
//! predicted share against the measured one, and the command line against a real fleet.

mod common;
#[path = "common/entry_model.rs"]
mod entry_model;
#[path = "explain/group.rs"]
mod group;

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::time::Duration;

use awc::http::StatusCode;
use bitternwall::cli;
use bitternwall::config::{state, view};
use bitternwall::entry::core::events::{Event, TargetReport};
use bitternwall::entry::core::explain::{self, Reason, TargetExplanation};
use bitternwall::entry::core::{Options, targets};
use bitternwall::external::store;
use common::Call;
use entry_model::{EntryModel, Fate, Kind};
use proptest::prelude::*;
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan};

const TARGETS: usize = 4;
const REQUESTS: u32 = 1_500;
/// The allowed difference of the measured share from the predicted one: over five standard
/// deviations.
const SHARE_TOLERANCE: f64 = 0.07;
const HEALTHY: TargetReport =
    TargetReport { running: 0, queued: 0, slots: 8, draining: false, takes_work: true };

fn model() -> EntryModel {
    let options = Options {
        base_ejection: Duration::from_secs(3_600),
        slow_start: Duration::from_millis(1),
        ..Options::default()
    };
    let mut model = EntryModel::new(options, TARGETS);
    model.tick(Vec::new(), &mut |_| Fate::Answered);
    model
}

fn handle(model: &mut EntryModel, event: Event) {
    model.tick(vec![event], &mut |_| Fate::Answered);
}

fn report(model: &mut EntryModel, target: &str, report: TargetReport) {
    handle(model, Event::Heartbeat { target: target.to_owned(), report });
}

fn eject(model: &mut EntryModel, target: &str) {
    for _ in 0..3 {
        targets::record_failure(&mut model.world, model.now, target);
    }
}

fn explained(model: &EntryModel, target: &str) -> TargetExplanation {
    explain::target(&model.world, model.now, target)
}

fn reasons(model: &EntryModel, target: &str) -> Vec<Reason> {
    let findings = explained(model, target).findings;
    assert!(findings.iter().all(|found| !found.message.is_empty() && !found.remedy.is_empty()));
    findings.iter().map(|finding| finding.reason).collect()
}

#[test]
fn a_healthy_target_has_no_finding_and_an_even_share() {
    let explanation = explained(&model(), "desk-0");
    assert!(explanation.takes_work && explanation.findings.is_empty(), "{explanation:?}");
    assert_eq!((explanation.share, explanation.service.as_deref()), (0.25, Some("desk")));
}

#[test]
fn each_reason_is_reported() {
    let mut model = model();
    assert_eq!(reasons(&model, "no-such"), [Reason::NotDeclared]);
    report(&mut model, "desk-0", TargetReport { draining: true, ..HEALTHY });
    assert_eq!(reasons(&model, "desk-0"), [Reason::AgentDraining]);
    report(&mut model, "desk-0", TargetReport { takes_work: false, ..HEALTHY });
    assert_eq!(reasons(&model, "desk-0"), [Reason::AgentTakesNone]);
    report(&mut model, "desk-0", TargetReport::default());
    assert_eq!(reasons(&model, "desk-0"), [Reason::NotReported]);
    report(&mut model, "desk-1", TargetReport { running: 30, ..HEALTHY });
    assert_eq!(reasons(&model, "desk-1"), [Reason::Busy]);
    eject(&mut model, "desk-2");
    assert_eq!(reasons(&model, "desk-2"), [Reason::Ejected]);
    handle(&mut model, Event::LinkDown { target: "desk-2".to_owned() });
    assert_eq!(reasons(&model, "desk-2"), [Reason::NotLinked, Reason::Ejected]);
    model.world.options.slow_start = Duration::from_secs(3_600);
    assert_eq!(reasons(&model, "desk-3"), [Reason::SlowStart]);
    handle(&mut model, Event::MayServeUntil(Duration::ZERO));
    assert_eq!(reasons(&model, "desk-3"), [Reason::EntryNotServing]);
    assert!(!explained(&model, "desk-3").takes_work);
}

#[test]
fn a_reason_that_a_newer_entry_gives_can_be_read() {
    let reason: Reason = serde_json::from_str("\"Moonlight\"").expect("any word is accepted");
    assert_eq!(reason, Reason::Unknown);
}

#[test]
fn a_skipped_declaration_and_a_target_too_far_away_are_reported() {
    let spec = |service: &str, data_centre: &str| json!({ "service": service, "agent": "127.0.0.1:1", "data_centre": data_centre });
    let mut entries = vec![
        entry_model::stored("service", "desk", &json!({ "kind": "plain" })),
        entry_model::stored("target", "lost", &spec("no-such", "kafr")),
        entry_model::stored("target", "far", &spec("desk", "tanta")),
    ];
    let near = (0..400).map(|index| format!("near-{index}"));
    entries.extend(near.map(|name| entry_model::stored("target", &name, &spec("desk", "kafr"))));
    let mut state = state::State::default();
    state.replace(&store::Range { revision: 10, entries }).expect("ten is newer than nothing");
    let mut model = model();
    model.world.options.data_centre = "kafr".to_owned();
    handle(&mut model, Event::ConfigChanged(Arc::new(view::View::new(&state))));
    assert_eq!(reasons(&model, "lost"), [Reason::DeclarationSkipped]);
    assert_eq!(reasons(&model, "far"), [Reason::TooFar]);
    assert_eq!(reasons(&model, "near-0"), [Reason::NotLinked]);
}

/// Submits requests and returns the fraction of their first attempts that each target got.
fn measured_shares(model: &mut EntryModel) -> BTreeMap<String, f64> {
    for _ in 0..REQUESTS {
        model.submit(Kind::Idempotent, &mut |_| Fate::Answered);
    }
    let mut shares = BTreeMap::new();
    for start in model.starts.drain(..) {
        *shares.entry(start.target).or_insert(0.0) += 1.0 / f64::from(REQUESTS);
    }
    shares
}

fn states() -> impl Strategy<Value = Vec<(u8, u32, u32)>> {
    prop::collection::vec((0..8_u8, 0..40_u32, 1..9_u32), TARGETS)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn targets_get_the_predicted_share(states in states()) {
        let mut model = model();
        for (index, (fault, running, slots)) in states.into_iter().enumerate() {
            let target = format!("desk-{index}");
            let draining = fault == 0;
            report(&mut model, &target, TargetReport { running, slots, draining, ..HEALTHY });
            match fault {
                1 => handle(&mut model, Event::LinkDown { target }),
                2 => eject(&mut model, &target),
                _ => {}
            }
        }
        let names = (0..TARGETS).map(|index| format!("desk-{index}"));
        let explanations: Vec<TargetExplanation> =
            names.map(|name| explained(&model, &name)).collect();
        let got = measured_shares(&mut model);
        for shown in explanations {
            let got = got.get(&shown.target).copied().unwrap_or_default();
            prop_assert!((shown.share - got).abs() < SHARE_TOLERANCE, "{got} for {shown:?}");
            prop_assert_eq!(shown.takes_work, shown.findings.iter().all(|found| !found.blocks));
            prop_assert!(shown.takes_work || got == 0.0, "{got} for {shown:?}");
        }
    }
}

async fn command(fleet: &Fleet, arguments: &[&str]) -> String {
    run(fleet, arguments).await.expect("the command runs")
}

async fn run(fleet: &Fleet, arguments: &[&str]) -> cli::error::Result<String> {
    let token = fleet.dir.join("token");
    fs::write(&token, fleet::OPERATOR_TOKEN).expect("the directory exists");
    let mut words = vec!["bitternwall".to_owned(), "--token-file".to_owned()];
    words.push(token.display().to_string());
    for index in 0..fleet.entries.len() {
        words.extend(["--entry".to_owned(), format!("http://{}", fleet.entry(index))]);
    }
    words.extend(arguments.iter().map(|&word| word.to_owned()));
    let matches = cli::command::command().get_matches_from(words);
    let mut out = Vec::new();
    cli::run(cli::options::Options::from_matches(&matches)?, &mut out).await?;
    Ok(String::from_utf8(out).expect("the output is text"))
}

/// Returns for each entry its name, whether it may send requests to the target, and its reasons.
async fn views(fleet: &Fleet, target: &str) -> Vec<(Value, Value, Vec<Value>)> {
    let text = command(fleet, &["explain", "target", target, "--output", "json"]).await;
    let views: Value = serde_json::from_str(&text).expect("the output is JSON");
    let items = views["items"].as_array().expect("a list of views");
    let view = |item: &Value| {
        let explanation = &item["explained"];
        let findings = explanation["findings"].as_array().cloned().unwrap_or_default();
        let reasons = findings.iter().map(|finding| finding["reason"].clone());
        (explanation["entry"].clone(), explanation["takes_work"].clone(), reasons.collect())
    };
    items.iter().map(view).collect()
}

async fn wait_for_reason(fleet: &Fleet, target: &str, reason: &str) {
    common::wait_for(reason, async || {
        let views = views(fleet, target).await;
        views.iter().all(|(_, work, reasons)| *work == false && reasons.iter().any(|r| r == reason))
    })
    .await;
}

#[actix_rt::test]
async fn the_command_line_shows_the_explanation_of_each_entry() {
    let plan = Plan { entries: 2, engines: 2, services: 0, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    let customer = Call::get(fleet.entry(0), "/v1/explain/target/engine-0").send().await;
    assert_eq!(customer.expect("an answer").status, StatusCode::UNAUTHORIZED);

    // The near target gets all requests only once its slow start has progressed so far that it has
    // a free slot.
    common::wait_for("a free slot at the near target", async || {
        views(&fleet, "engine-1").await[0].2.contains(&"OtherDataCentre".into())
    })
    .await;
    let seen = views(&fleet, "engine-1").await;
    assert_eq!((&seen[0].0, &seen[1].0), (&"entry-0".into(), &"entry-1".into()));
    assert!(!seen[1].2.contains(&"OtherDataCentre".into()), "{seen:?}");
    assert!(seen.iter().all(|(_, takes_work, _)| *takes_work == true), "{seen:?}");

    command(&fleet, &["drain", "engine-0"]).await;
    wait_for_reason(&fleet, "engine-0", "DrainDeclared").await;
    let text = command(&fleet, &["explain", "target", "engine-0"]).await;
    assert!(text.contains("entry-1: Operators declared that it drains. `bitternwall"), "{text}");

    fleet.targets[1].agent.kill().expect("the agent ends");
    wait_for_reason(&fleet, "engine-1", "NotLinked").await;
    fleet.entries[1].process.kill().expect("the entry ends");
    let text = command(&fleet, &["explain", "target", "engine-1"]).await;
    assert!(text.contains("no answer: "), "{text}");
}
