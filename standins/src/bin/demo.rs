//! Demonstrates the complete system on loopback: stand-ins, three entries, agents, an operator and
//! a caller.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use std::{fs, thread};

use anyhow::{Context as _, bail};
use clap::{Arg, ArgAction};
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan, documents, process};

/// Time within which the first changes must be in force and requests must be served.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which all processes must stop gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CUSTOMER_KEY: &str = documents::CUSTOMERS[0].1;
const CHAT_PATH: &str = "/v1/chat/completions";
const HOLD_PATH: &str = "/v1/services/dispatch-api/holds";

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let stay = Arg::new("stay")
        .long("stay")
        .action(ArgAction::SetTrue)
        .help("Keep running until interrupted, and print commands to try");
    let matches = clap::Command::new("demo")
        .about("Demonstrates the complete system")
        .arg(stay)
        .get_matches();
    let plan = Plan { entries: 3, engines: 4, services: 3, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).context("The system did not start.")?;
    print_line("started", &format!("3 entries and 7 agents; logs in {}", fleet.dir.display()))?;
    apply(&fleet)?;
    let addresses = get_addresses(fleet.entry(0)).await?;
    chat(addresses[0]).await?;
    plain_call(addresses[1 % addresses.len()]).await?;
    if matches.get_flag("stay") {
        print_suggestions(&fleet)?;
        actix_rt::signal::ctrl_c().await?;
    }
    fleet.stop(STOP_TIMEOUT).context("The system did not stop gracefully.")?;
    print_line("stopped", "every process ended gracefully")
}

fn print_line(what: &str, text: &str) -> anyhow::Result<()> {
    writeln!(io::stdout(), "{what:>9}: {text}")?;
    Ok(())
}

fn apply(fleet: &Fleet) -> anyhow::Result<()> {
    let documents = Value::from(fleet.documents()).to_string();
    fs::write(fleet.dir.join("resources.json"), documents)?;
    fs::write(fleet.dir.join("token"), fleet::OPERATOR_TOKEN)?;
    let output = apply_until_accepted(fleet)?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    print_line("applied", &format!("{} resources", text.lines().count()))
}

/// Repeats `apply` until it succeeds, since the entries may still be binding their ports.
fn apply_until_accepted(fleet: &Fleet) -> anyhow::Result<Output> {
    let start = Instant::now();
    loop {
        let output = Command::new(process::program("bitternwall"))
            .arg("--entry")
            .arg(format!("http://{}", fleet.entry(0)))
            .arg("--token-file")
            .arg(fleet.dir.join("token"))
            .args(["apply", "--wait", "-f"])
            .arg(fleet.dir.join("resources.json"))
            .output()?;
        if output.status.success() {
            return Ok(output);
        }
        if start.elapsed() > READY_TIMEOUT {
            bail!("apply failed: {}", String::from_utf8_lossy(&output.stderr));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

async fn get_addresses(entry: SocketAddr) -> anyhow::Result<Vec<SocketAddr>> {
    let request = awc::Client::default().get(format!("http://{entry}/v1/addresses")).send();
    let sent = request.await;
    let mut response =
        sent.map_err(|error| anyhow::anyhow!("The addresses cannot be read: {error}."))?;
    let document: Value = serde_json::from_slice(&response.body().await?)?;
    print_line("addresses", &document.to_string())?;
    let listed = document["addresses"].as_array().cloned().unwrap_or_default();
    let parsed = |address: &Value| address["address"].as_str()?.parse().ok();
    let addresses: Vec<SocketAddr> = listed.iter().filter_map(parsed).collect();
    if addresses.is_empty() {
        bail!("The response contains no address.");
    }
    Ok(addresses)
}

async fn chat(entry: SocketAddr) -> anyhow::Result<()> {
    let body = chat_body("Summarise the shift log of plant 7.", 12);
    let answer = post_until_served(entry, CHAT_PATH, &body).await?;
    print_line("chat", &streamed_text(&answer.body))?;
    print_line("", &answer.served_by)
}

fn chat_body(prompt: &str, tokens: u32) -> Value {
    json!({
        "model": documents::MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": true,
    })
}

fn streamed_text(body: &str) -> String {
    let chunks = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let chunks = chunks.filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok());
    let token = |chunk: Value| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned);
    chunks.filter_map(token).collect()
}

async fn plain_call(entry: SocketAddr) -> anyhow::Result<()> {
    let body = json!({ "valve": 7, "hold": true });
    let answer = post_until_served(entry, HOLD_PATH, &body).await?;
    print_line("hold", &answer.body)?;
    print_line("", &answer.served_by)
}

struct Answer {
    body: String,
    served_by: String,
}

/// Repeats a call until it is served; the idempotency key makes that safe for any operation.
async fn post_until_served(entry: SocketAddr, path: &str, body: &Value) -> anyhow::Result<Answer> {
    let start = Instant::now();
    let mut refusal = String::new();
    while start.elapsed() < READY_TIMEOUT {
        let request = awc::Client::default().post(format!("http://{entry}{path}"));
        let request =
            request.bearer_auth(CUSTOMER_KEY).insert_header(("idempotency-key", "demo-1"));
        if let Ok(mut response) = request.send_json(body).await {
            let text = String::from_utf8_lossy(&response.body().await?).into_owned();
            if response.status().is_success() {
                return Ok(Answer { body: text, served_by: served_by(response.headers()) });
            }
            refusal = text;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    bail!("The call of {path} was refused: {refusal}")
}

fn served_by(headers: &awc::http::header::HeaderMap) -> String {
    let name = |header| {
        let value = headers.get(header).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    };
    format!("served by {} and {}", name("bitternwall-entry"), name("bitternwall-target"))
}

fn print_suggestions(fleet: &Fleet) -> anyhow::Result<()> {
    let entry = fleet.entry(0);
    let program = process::program("bitternwall").display().to_string();
    let token = fleet.dir.join("token").display().to_string();
    let operator = format!("{program} --entry http://{entry} --token-file {token}");
    let chat = chat_body("Hello", 20);
    let key = format!("-H 'Authorization: Bearer {CUSTOMER_KEY}'");
    print_line("try", &format!("curl http://{entry}/v1/addresses"))?;
    print_line("try", &format!("curl -N {key} -d '{chat}' http://{entry}{CHAT_PATH}"))?;
    print_line("try", &format!("{operator} get target"))?;
    print_line("try", &format!("{operator} drain engine-0"))?;
    print_line("try", &format!("{operator} audit"))?;
    print_line("stop", "press Ctrl-C")
}
