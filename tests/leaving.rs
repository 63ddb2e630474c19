//! A planned stop interrupts no request: targets, agents and entries leave while requests are in
//! progress.

mod common;
#[path = "leaving/kept_connections.rs"]
mod kept_connections;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::StatusCode;
use bitternwall::wire;
use bitternwall::wire::client::{self, LinkEvent};
use bitternwall::wire::frame::Kind;
use common::Call;
use common::streams::{self, Streamed};
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan};
use tokio::sync::mpsc;
use tokio::time;

/// Time after which a leaving target must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a process that has not ended, or a request without an answer, fails the test;
/// working processes need much less.
const EXIT_LIMIT: Duration = Duration::from_secs(30);
const STREAM: &str = "settlement summary";
/// At 20 ms per token the stream outlasts [`LEAVING_LIMIT`] by two seconds.
const STREAM_TOKENS: usize = 250;
/// Milliseconds after which the platform's host list serves a change.
const LIST_LAG_MS: u64 = 300;

/// Shortens the heartbeat interval and the link deadline. After an entry announces that it leaves,
/// it keeps running for as long as its peers wait for a silent one, so that these settings bound
/// the duration of the test.
fn shorten_timeouts(settings: &mut Value) {
    settings["heartbeat_ms"] = json!(300);
    settings["link_deadline_ms"] = json!(1_200);
}

fn slow_engines(entries: usize, engines: usize, services: usize) -> Plan {
    let engine_arguments = vec!["--token-ms".to_owned(), "20".to_owned()];
    let adjust_entry = shorten_timeouts;
    Plan { entries, engines, services, engine_arguments, adjust_entry, ..Plan::default() }
}

async fn start_fleet(entries: usize, engines: usize, services: usize) -> Fleet {
    let plan = slow_engines(entries, engines, services);
    let fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    fleet
}

async fn open_long_stream(fleet: &Fleet) -> (Streamed, usize) {
    let streamed = Streamed::open(fleet.entry(0), STREAM, STREAM_TOKENS).await;
    let mut streamed = streamed.expect("an answer begins");
    streamed.read_tokens(1).await;
    let target = streams::target_index(fleet, &streamed.target);
    (streamed, target)
}

/// Sends short requests through all entries in turn until `end`, each with a prompt of its own, and
/// returns their number.
async fn load_until(fleet: &Fleet, name: &str, end: Instant) -> usize {
    let mut count = 0;
    while Instant::now() < end {
        let entry = fleet.entry(count % fleet.entries.len());
        let prompt = format!("{name} {count}");
        let answer = common::chat(entry, &prompt, 2, false).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
        assert_eq!(common::answer_text(&answer), common::expected_text(&prompt, 2));
        count += 1;
    }
    count
}

/// Fails if a target that began to leave at `since` gets work after [`LEAVING_LIMIT`], or if the
/// stream in progress at it is interrupted.
async fn assert_leaves(fleet: &Fleet, streamed: Streamed, target: usize, since: Instant) {
    let engine = fleet.targets[target].back_end.address;
    load_until(fleet, "early", since + LEAVING_LIMIT).await;
    let before = streams::runs(engine).await;
    let late = load_until(fleet, "late", since + LEAVING_LIMIT + Duration::from_secs(1)).await;
    assert!(late > 0);
    streamed.finish().await.assert_complete(STREAM, STREAM_TOKENS);
    let after = streams::runs(engine).await;
    assert_eq!(after.started, before.started, "{after:?}");
    let all = streams::all_runs(fleet).await;
    assert_eq!(all.get(STREAM), Some(&1), "the stream was not interrupted and resumed");
}

#[actix_rt::test]
async fn an_agent_that_is_told_to_stop_takes_nothing_new_and_cuts_nothing() {
    let mut fleet = start_fleet(2, 3, 0).await;
    let (streamed, target) = open_long_stream(&fleet).await;
    fleet.targets[target].agent.signal("TERM").expect("the agent can be signalled");
    assert_leaves(&fleet, streamed, target, Instant::now()).await;
    let status = fleet.targets[target].agent.wait(EXIT_LIMIT).expect("the agent ends");
    assert_eq!(status.code(), Some(0));
}

async fn set_drain(fleet: &Fleet, target: usize, drain: bool) {
    let path = format!("/v1/resources/target/{}", fleet.targets[target].name);
    let operator = |call| Call { token: fleet::OPERATOR_TOKEN, ..call };
    let read = operator(Call::get(fleet.entry(0), &path)).send().await.expect("an answer");
    let mut document = read.json();
    document["spec"]["drain"] = json!(drain);
    let put = Call { method: "PUT", ..Call::post(fleet.entry(0), &path, &document) };
    let answer = operator(put).send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
}

#[actix_rt::test]
async fn a_target_drained_by_the_operator_takes_nothing_new_and_cuts_nothing() {
    let fleet = start_fleet(2, 3, 0).await;
    let (streamed, target) = open_long_stream(&fleet).await;
    set_drain(&fleet, target, true).await;
    assert_leaves(&fleet, streamed, target, Instant::now()).await;
}

async fn set_evacuated(fleet: &Fleet, data_centre: &str, evacuated: bool) {
    let path = format!("/v1/resources/data_centre/{data_centre}");
    let operator = |call| Call { token: fleet::OPERATOR_TOKEN, ..call };
    let read = operator(Call::get(fleet.entry(0), &path)).send().await.expect("an answer");
    let mut document = json!({
        "kind": "data_centre",
        "metadata": { "name": data_centre },
        "spec": { "evacuated": evacuated },
    });
    let mut call = Call::post(fleet.entry(0), "/v1/resources/data_centre", &document);
    if read.status == StatusCode::OK {
        document["metadata"] = read.json()["metadata"].clone();
        call = Call { method: "PUT", ..Call::post(fleet.entry(0), &path, &document) };
    }
    let answer = operator(call).send().await.expect("an answer");
    assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
}

#[actix_rt::test]
async fn a_data_centre_emptied_by_the_operator_takes_nothing_new_and_cuts_nothing() {
    let fleet = start_fleet(2, 4, 0).await;
    let (streamed, target) = open_long_stream(&fleet).await;
    let data_centre = fleet.targets[target].data_centre;
    set_evacuated(&fleet, data_centre, true).await;
    assert_leaves(&fleet, streamed, target, Instant::now()).await;
    assert_eq!(
        ask_agent(fleet.targets[target].agent.address, 0).await,
        Some(wire::RefusalReason::Draining),
        "its agent refuses a stale entry"
    );
    set_evacuated(&fleet, data_centre, false).await;
    let engine = fleet.targets[target].back_end.address;
    let before = streams::runs(engine).await;
    load_until(&fleet, "back", Instant::now() + LEAVING_LIMIT).await;
    assert!(streams::runs(engine).await.started > before.started, "it serves again");
}

/// The host list lags, so that the agent learns late that its host leaves; the limit counts from
/// then on.
#[actix_rt::test]
async fn a_host_that_the_list_calls_leaving_takes_nothing_new_and_cuts_nothing() {
    let plan = Plan { host_list: true, ..slow_engines(2, 3, 0) };
    let fleet = Fleet::start(&plan).expect("the fleet starts");
    let mut hosts: Vec<Value> = (0..2).map(|index| common::entry_host(&fleet, index)).collect();
    common::publish_hosts(&fleet, &hosts, 0).await;
    common::declare_and_wait(&fleet).await;
    let (streamed, target) = open_long_stream(&fleet).await;
    let leaving = &fleet.targets[target];
    hosts.push(json!({
        "name": leaving.name,
        "address": leaving.agent.address,
        "role": "agent",
        "data_centre": leaving.data_centre,
        "state": "leaving",
    }));
    common::publish_hosts(&fleet, &hosts, LIST_LAG_MS).await;
    let listed_at = Instant::now() + Duration::from_millis(LIST_LAG_MS);
    assert_leaves(&fleet, streamed, target, listed_at).await;
}

/// Sends an agent a request as an entry without current state would, and returns the reason of the
/// refusal, or `None` if the agent answers.
async fn ask_agent(agent: SocketAddr, counter: u64) -> Option<wire::RefusalReason> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let dialer = client::Dialer {
        address: agent,
        local: wire::Member { name: "stale".to_owned(), ..wire::Member::default() },
        answer_window: 0,
        deadline: Duration::from_secs(2),
    };
    let id = Some(wire::AttemptId { incarnation: 1, counter });
    let start = wire::StartAttempt {
        id,
        customer: "stale".to_owned(),
        method: "GET".to_owned(),
        path: "/health".to_owned(),
        deadline_ms: 10_000,
        config_revision: u64::MAX,
        weight: 1,
        ..wire::StartAttempt::default()
    };
    let link = actix_rt::spawn(client::maintain_link(dialer, move |event| match event {
        LinkEvent::Up { tx: link, .. } => client::send(&link, Kind::StartAttempt(start.clone())),
        LinkEvent::Frame(kind) => drop(tx.send(kind)),
        LinkEvent::Down(_) => {}
    }));
    let answered = async {
        loop {
            match rx.recv().await.expect("the link is kept") {
                Kind::Refusal(refusal) if refusal.id == id => return Some(refusal.reason()),
                Kind::AnswerEnd(end) if end.id == id => return None,
                _ => {}
            }
        }
    };
    let reason = time::timeout(EXIT_LIMIT, answered).await.expect("the agent answers");
    link.abort();
    reason
}

#[actix_rt::test]
async fn the_agent_of_a_drained_target_refuses_a_stale_entry() {
    let fleet = start_fleet(1, 1, 0).await;
    let agent = fleet.targets[0].agent.address;
    assert_eq!(ask_agent(agent, 0).await, None, "it serves before");
    for (round, drain) in [(1, true), (2, false)] {
        set_drain(&fleet, 0, drain).await;
        let mut counter = round * 1_000;
        let wanted = drain.then_some(wire::RefusalReason::Draining);
        common::wait_for("the agent's answer to match its drain state", async || {
            counter += 1;
            ask_agent(agent, counter).await == wanted
        })
        .await;
    }
}

#[actix_rt::test]
async fn an_entry_that_is_told_to_stop_keeps_serving_and_finishes_its_streams() {
    let mut fleet = start_fleet(2, 2, 0).await;
    let keep = Call::get(fleet.entry(1), "/v1/addresses").send().await.expect("an answer");
    let keep = keep_time(&keep.json()["addresses"][0]);
    let (streamed, _) = open_long_stream(&fleet).await;
    let signalled_at = Instant::now();
    fleet.entries[0].process.signal("TERM").expect("the entry can be signalled");
    while signalled_at.elapsed() < keep {
        let answer = common::chat(fleet.entry(0), "held address", 1, false).await;
        // An answer that arrived after the keep time shows nothing: by then the entry may be gone.
        if signalled_at.elapsed() < keep {
            assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        }
    }
    streamed.finish().await.assert_complete(STREAM, STREAM_TOKENS);
    let status = fleet.entries[0].process.wait(EXIT_LIMIT).expect("the entry ends");
    assert_eq!(status.code(), Some(0));
    let runs = streams::all_runs(&fleet).await;
    assert_eq!(runs.get(STREAM), Some(&1), "the stream was not interrupted and resumed");
}

fn keep_time(entry: &Value) -> Duration {
    Duration::from_millis(entry["keep_ms"].as_u64().expect("a time"))
}

/// Caller fetches the entries' addresses, keeps them for the time given with them, and moves on to
/// the next address if one refuses the connection or reports that the request was not run.
struct Caller {
    addresses: Vec<SocketAddr>,
    until: Instant,
    next: usize,
}

impl Caller {
    async fn refresh(&mut self) {
        if Instant::now() < self.until {
            return;
        }
        for address in self.addresses.clone() {
            let Some(answer) = Call::get(address, "/v1/addresses").send().await else { continue };
            let document = answer.json();
            let listed = document["addresses"].as_array().cloned().unwrap_or_default();
            let parse = |entry: &Value| entry["address"].as_str()?.parse().ok();
            self.addresses = listed.iter().filter_map(parse).collect();
            let keep = listed.iter().map(keep_time).min().expect("an entry lists itself or others");
            self.until = Instant::now() + keep;
            return;
        }
    }

    /// Sends a request until it is answered, and returns the answer.
    async fn ask(&mut self, path: &str, key: &str, body: &Value) -> Value {
        let start = Instant::now();
        while start.elapsed() < EXIT_LIMIT {
            self.refresh().await;
            let address = self.addresses[self.next % self.addresses.len()];
            let url = format!("http://{address}{path}");
            let request = streams::strict_client(EXIT_LIMIT).post(url).bearer_auth(common::KEY);
            let request = request.insert_header(("idempotency-key", key));
            let mut response = match request.send_body(body.to_string()).await {
                Ok(response) => response,
                Err(awc::error::SendRequestError::Connect(_)) => {
                    self.next += 1;
                    continue;
                }
                Err(error) => panic!("{key} at {address} is lost: {error}"),
            };
            let body = response.body().await.expect("the answer is complete");
            let document: Value = serde_json::from_slice(&body).expect("the answer is JSON");
            if response.status() == StatusCode::OK {
                return document;
            }
            assert_eq!(document["executed"], "no", "{key} at {address}: {document}");
            self.next += 1;
            time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{key} is not answered");
    }

    async fn chat(&mut self, prompt: &str) {
        let body = common::chat_body(prompt, 5, false);
        let document = self.ask("/v1/chat/completions", prompt, &body).await;
        let text = document["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(&*common::expected_text(prompt, 5)));
    }

    async fn hold(&mut self, key: &str) {
        self.ask("/v1/services/dispatch-api/holds", key, &json!({ "valve": 7 })).await;
    }
}

async fn probe(entry: SocketAddr, service: &str, text: &str) -> Option<common::Answer> {
    if service == fleet::MODEL_SERVICE {
        return common::chat(entry, text, 1, false).await;
    }
    let path = "/v1/services/dispatch-api/echo";
    Call::post(entry, path, &json!({ "text": text })).send().await
}

async fn restart_all(fleet: &mut Fleet) {
    for index in 0..fleet.targets.len() {
        let target = &mut fleet.targets[index];
        target.agent.signal("TERM").expect("the agent can be signalled");
        wait_for_exit(&mut target.agent).await;
        target.restart_agent().expect("the agent starts");
        let (name, service) = (target.name.clone(), target.service);
        let entry = fleet.entry(0);
        let mut number = 0;
        common::wait_for("the restarted agent to get work", async || {
            number += 1;
            let answer = probe(entry, service, &format!("probe {name} {number}")).await;
            answer.is_some_and(|answer| answer.header("bitternwall-target") == Some(&name))
        })
        .await;
    }
    for index in 0..fleet.entries.len() {
        fleet.entries[index].process.signal("TERM").expect("the entry can be signalled");
        wait_for_exit(&mut fleet.entries[index].process).await;
        fleet.entries[index].restart().expect("the entry starts");
        let entry = fleet.entry(index);
        common::wait_for("the restarted entry to serve", async || {
            let answer = common::chat(entry, "again?", 1, false).await;
            answer.is_some_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
}

/// Waits for a graceful exit without blocking the callers.
async fn wait_for_exit(process: &mut fleet::Process) {
    common::wait_for("the process to end", async || !process.is_running()).await;
    let status = process.wait(EXIT_LIMIT).expect("the process has ended");
    assert_eq!(status.code(), Some(0), "{}", process.name);
}

#[actix_rt::test]
async fn a_rolling_restart_of_every_agent_and_entry_loses_and_doubles_nothing() {
    const CALLERS: usize = 8;
    let mut fleet = start_fleet(3, 2, 2).await;
    let addresses: Vec<SocketAddr> = (0..3).map(|index| fleet.entry(index)).collect();
    let stop = std::cell::Cell::new(false);
    let call = async |caller: usize| {
        let mut client =
            Caller { addresses: addresses.clone(), until: Instant::now(), next: caller };
        let mut asked = Vec::new();
        while !stop.get() {
            let prompt = format!("caller {caller} request {}", asked.len());
            match caller.is_multiple_of(2) {
                true => client.chat(&prompt).await,
                false => client.hold(&prompt).await,
            }
            asked.push(prompt);
        }
        asked
    };
    let callers = futures_util::future::join_all((0..CALLERS).map(call));
    let restarts = async {
        restart_all(&mut fleet).await;
        stop.set(true);
    };
    let (asked, ()) = futures_util::future::join(callers, restarts).await;
    let runs = streams::all_runs(&fleet).await;
    for (caller, prompts) in asked.iter().enumerate() {
        for prompt in prompts {
            let count = match caller.is_multiple_of(2) {
                true => runs.get(prompt).copied().unwrap_or_default(),
                false => common::runs_with_key(&fleet, prompt).await,
            };
            assert_eq!(count, 1, "{prompt}");
        }
    }
}
