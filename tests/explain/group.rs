//! Explanations of groups, and of what the planner of a group would do under given loads.

use std::fs;

use bitternwall::cli::error::{CliError, EXIT_USAGE};
use bitternwall::entry::core::explain::{Reason, group};
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan, documents};

use crate::{command, common, model, run};

#[test]
fn an_undeclared_group_is_reported_as_such() {
    let model = model();
    let explanation = group::group(&model.world, model.now, "pair");
    let reasons: Vec<Reason> = explanation.findings.iter().map(|finding| finding.reason).collect();
    assert_eq!((reasons, explanation.ranks.len()), (vec![Reason::NotDeclared], 0));
}

/// Four experts on two ranks, of which the first two get nearly all tokens.
fn loads(bytes_per_second: f64) -> Value {
    json!({
        "window_seconds": 300.0, "expert_bytes": 1e6, "bytes_per_second": bytes_per_second,
        "capacity_share": 0.1, "windows": [{ "tokens": [[80.0, 80.0, 10.0, 10.0]] }],
    })
}

/// Returns the loads that docs/OPERATING.md shows.
fn documented_loads() -> Value {
    let page = include_str!("../../docs/OPERATING.md");
    let mut blocks = page.split("```text\n").filter_map(|block| block.split("```").next());
    let block = blocks.find(|block| block.starts_with("{\n  \"window_seconds\""));
    serde_json::from_str(block.expect("the page shows loads")).expect("the page shows JSON")
}

async fn explain_with(fleet: &Fleet, loads: &Value) -> Result<String, CliError> {
    let file = fleet.dir.join("loads.json");
    fs::write(&file, loads.to_string()).expect("the directory exists");
    let file = file.display().to_string();
    run(fleet, &["explain", "group", "pair", "--loads", &file]).await
}

async fn plan(fleet: &Fleet, loads: &Value) -> String {
    let text = explain_with(fleet, loads).await.expect("the loads fit");
    text.lines().last().unwrap_or_default().to_owned()
}

async fn refusal(fleet: &Fleet, field: &str, value: Value) -> String {
    let mut loads = loads(1e9);
    loads[field] = value;
    match explain_with(fleet, &loads).await {
        Err(CliError::Loads { field, reason, .. }) => format!("{field}: {reason}"),
        other => panic!("the loads are refused, not {other:?}"),
    }
}

#[actix_rt::test]
async fn the_command_line_explains_ranks_and_plans_with_given_loads() {
    let plan_of_fleet = Plan { engines: 2, services: 0, ..Plan::default() };
    let fleet = Fleet::start(&plan_of_fleet).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    let spec = json!({
        "service": fleet::MODEL_SERVICE, "ranks": ["engine-0", "engine-1"],
        "layers": 1, "experts": 4, "slots_per_rank": 3,
    });
    let declared = documents::resource("group", "pair", &spec);
    assert!(matches!(explain_with(&fleet, &loads(1e9)).await, Err(CliError::NoGroup { .. })));
    common::declare(fleet.entry(0), &declared).await;
    common::wait_for("the group", async || explain_with(&fleet, &loads(1e9)).await.is_ok()).await;

    let text = command(&fleet, &["explain", "group", "pair"]).await;
    let rows: Vec<Vec<&str>> = text.lines().map(|row| row.split_whitespace().collect()).collect();
    assert_eq!(rows[1][..4], ["entry-0", "0", "engine-0", "yes"], "{text}");
    assert_eq!((rows[2][..4].join(" ").as_str(), rows.len()), ("entry-0 1 engine-1 yes", 3));

    let pays = plan(&fleet, &loads(1e9)).await;
    assert!(pays.starts_with("The map changes: skew 1.000 instead of 1.778"), "{pays}");
    let costs = plan(&fleet, &loads(10.0)).await;
    assert!(costs.starts_with("The map stays: its expected skew is 1.778"), "{costs}");

    let documented = plan(&fleet, &documented_loads()).await;
    assert!(documented.starts_with("The map changes: "), "{documented}");

    let shares = refusal(&fleet, "capacity_share", json!(2.0)).await;
    assert_eq!(shares, "capacity_share: 2 is not from 0 to 1");
    let layers = refusal(&fleet, "windows", json!([{ "tokens": [] }])).await;
    assert_eq!(layers, "windows[0].tokens: it has 0 layers instead of 1");
    let below = refusal(&fleet, "windows", json!([{ "tokens": [[1.0, 1.0, 1.0, -1.0]] }])).await;
    assert_eq!(below, "windows[0].tokens: -1 is below zero");
    let present = refusal(&fleet, "present", json!({ "layers": [] })).await;
    assert_eq!(present, "present: The map has 0 layers instead of 1");
    let wrong = run(&fleet, &["explain", "target", "engine-0", "--loads", "x"]).await;
    assert_eq!(wrong.expect_err("loads are for groups").exit_code(), EXIT_USAGE);

    command(&fleet, &["drain", "engine-1"]).await;
    common::wait_for("the drain", async || {
        let text = command(&fleet, &["explain", "group", "pair"]).await;
        text.contains(
            "Rank 1, target \"engine-1\", gets no requests from this entry: Operators declared",
        )
    })
    .await;
}
