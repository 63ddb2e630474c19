//! What entry and agent add to an engine's answers: time and processor time.
//!
//! Each round asks the engines directly and then through an entry and the agents, at each number
//! in flight, so that both see the same machine. The stand-in engines pace the tokens; short and
//! long answers set the cost of a request apart from that of a token. Run `scripts/capacity hops`.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "support/load.rs"]
mod load;
#[path = "support/procfs.rs"]
mod procfs;

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::{fs, io};

use anyhow::Context as _;
use clap::Arg;
use load::{Load, Timings};
use serde_json::{Value, json};
use standins::fleet::{Fleet, Plan};

const ENGINES: usize = 4;
const IN_FLIGHT: [usize; 3] = [1, 16, 64];
/// Tokens of a short answer.
const SHORT_TOKENS: usize = 1;
/// Tokens of a long answer.
const LONG_TOKENS: usize = 101;
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];
/// Requests of a batch for each one in flight, and the least that a batch has.
const REQUESTS_PER_IN_FLIGHT: usize = 20;
const MIN_REQUESTS: usize = 100;
const STOP_LIMIT: Duration = Duration::from_secs(30);

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
    let (first_token_ms, token_ms) = (number("first-token-ms"), number("token-ms"));
    let plan = Plan {
        engines: ENGINES,
        services: 0,
        engine_arguments: engine_arguments(first_token_ms, token_ms),
        adjust_agent: |settings| settings["queue"] = json!({ "slots": 64 }),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan)?;
    common::declare_and_wait(&fleet).await;
    let mut cells = cells();
    for _ in 0..number("rounds") {
        for cell in &mut cells {
            cell.run(&fleet).await?;
        }
    }
    fleet.stop(STOP_LIMIT)?;
    let pace = json!({ "first_token_ms": first_token_ms, "token_ms": token_ms });
    let document = json!({
        "bench": "hops",
        "pace": pace,
        "rounds": number("rounds"),
        "load_average": fs::read_to_string("/proc/loadavg")?.trim(),
        "rows": cells.iter().map(Cell::row).collect::<Vec<_>>(),
        "processor": processor_rows(&cells),
    });
    print_table(&document)?;
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&document)? + "\n";
        fs::write(file, text).with_context(|| format!("The file {file:?} cannot be written"))?;
    }
    Ok(())
}

fn command() -> clap::Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name("N").default_value(default);
        arg.value_parser(clap::value_parser!(u64)).help(help)
    };
    let json = Arg::new("json").long("json").value_name("FILE").help("Also write the rows here");
    let bench = Arg::new("bench").long("bench").hide(true).action(clap::ArgAction::SetTrue);
    clap::Command::new("hops")
        .about("Measures what entry and agent add to an engine's answers")
        .arg(number("rounds", "3", "How often every batch runs"))
        .arg(number("first-token-ms", "20", "The engines' time before the first token"))
        .arg(number("token-ms", "1", "The engines' time for one token"))
        .arg(json.value_parser(clap::value_parser!(PathBuf)))
        .arg(bench)
}

fn engine_arguments(first_token_ms: u64, token_ms: u64) -> Vec<String> {
    let numbers = [("slots", 64), ("first-token-ms", first_token_ms), ("token-ms", token_ms)];
    numbers.into_iter().flat_map(|(name, n)| [format!("--{name}"), n.to_string()]).collect()
}

/// Cell is one kind of load, asked of the engines directly and through the system.
struct Cell {
    in_flight: usize,
    tokens: usize,
    direct: Timings,
    routed: Timings,
    routed_requests: usize,
    entry_processor: Duration,
    agent_processor: Duration,
}

fn cells() -> Vec<Cell> {
    let loads = IN_FLIGHT.into_iter().flat_map(|n| [(n, SHORT_TOKENS), (n, LONG_TOKENS)]);
    let cell = |(in_flight, tokens)| Cell {
        in_flight,
        tokens,
        direct: Timings::default(),
        routed: Timings::default(),
        routed_requests: 0,
        entry_processor: Duration::ZERO,
        agent_processor: Duration::ZERO,
    };
    loads.map(cell).collect()
}

impl Cell {
    async fn run(&mut self, fleet: &Fleet) -> anyhow::Result<()> {
        let engines = fleet.targets.iter().map(|target| target.back_end.address).collect();
        self.direct.add(&load::run(&self.load(engines)).await);
        let load = self.load(vec![fleet.entry(0)]);
        let before = processor_times(fleet)?;
        self.routed.add(&load::run(&load).await);
        let after = processor_times(fleet)?;
        self.routed_requests += load.requests;
        self.entry_processor += after.0.saturating_sub(before.0);
        self.agent_processor += after.1.saturating_sub(before.1);
        Ok(())
    }

    fn load(&self, addresses: Vec<SocketAddr>) -> Load {
        let requests = MIN_REQUESTS.max(self.in_flight * REQUESTS_PER_IN_FLIGHT);
        Load { addresses, in_flight: self.in_flight, requests, tokens: self.tokens }
    }

    fn row(&self) -> Value {
        json!({
            "in_flight": self.in_flight,
            "tokens": self.tokens,
            "requests": self.routed_requests,
            "failures": self.direct.failures + self.routed.failures,
            "first_byte": compare(&self.direct.first_byte, &self.routed.first_byte),
            "whole": compare(&self.direct.whole, &self.routed.whole),
            "requests_per_second":
                to_f64(self.routed_requests) / self.routed.elapsed.as_secs_f64(),
            "entry_us_per_request": self.per_request(self.entry_processor),
            "agent_us_per_request": self.per_request(self.agent_processor),
        })
    }

    fn per_request(&self, processor: Duration) -> f64 {
        processor.as_secs_f64() * 1e6 / to_f64(self.routed_requests)
    }
}

/// Returns the processor time of the entry, and of all agents together.
fn processor_times(fleet: &Fleet) -> io::Result<(Duration, Duration)> {
    let entry = procfs::processor_time(fleet.entries[0].process.id())?;
    let agents = fleet.targets.iter().map(|target| procfs::processor_time(target.agent.id()));
    Ok((entry, agents.sum::<io::Result<Duration>>()?))
}

fn compare(direct: &hdrhistogram::Histogram<u64>, routed: &hdrhistogram::Histogram<u64>) -> Value {
    let mut row = serde_json::Map::new();
    for (name, quantile) in QUANTILES {
        let (before, after) =
            (direct.value_at_quantile(quantile), routed.value_at_quantile(quantile));
        let (before, after) = (to_f64(before), to_f64(after));
        let figures = json!({
            "direct_us": before,
            "routed_us": after,
            "added_us": after - before,
            "ratio": after / before,
        });
        row.insert(name.to_owned(), figures);
    }
    Value::Object(row)
}

/// Sets the cost of a request apart from that of a token, at each number in flight.
fn processor_rows(cells: &[Cell]) -> Vec<Value> {
    let split = |short: f64, long: f64| {
        let token = (long - short) / to_f64(LONG_TOKENS - SHORT_TOKENS);
        (short - token * to_f64(SHORT_TOKENS), token * 1000.0)
    };
    let row = |pair: &[Cell]| {
        let [short, long] = pair else { return Value::Null };
        let cost = |of: fn(&Cell) -> Duration| {
            split(short.per_request(of(short)), long.per_request(of(long)))
        };
        let (entry, agent) = (cost(|cell| cell.entry_processor), cost(|cell| cell.agent_processor));
        json!({
            "in_flight": short.in_flight,
            "entry": { "us_per_request": entry.0, "us_per_1000_tokens": entry.1 },
            "agent": { "us_per_request": agent.0, "us_per_1000_tokens": agent.1 },
        })
    };
    cells.chunks(2).map(row).collect()
}

fn print_table(document: &Value) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "in flight  tokens  time        quantile  direct µs  routed µs  added µs  ratio"
    )?;
    for row in document["rows"].as_array().into_iter().flatten() {
        for time in ["first_byte", "whole"] {
            for (quantile, _) in QUANTILES {
                let figures = &row[time][quantile];
                let figure = |name: &str| figures[name].as_f64().unwrap_or_default();
                writeln!(
                    out,
                    "{:>9}  {:>6}  {time:<10}  {quantile:<8}  {:>9.0}  {:>9.0}  {:>8.0}  {:>5.3}",
                    count(&row["in_flight"]),
                    count(&row["tokens"]),
                    figure("direct_us"),
                    figure("routed_us"),
                    figure("added_us"),
                    figure("ratio"),
                )?;
            }
        }
    }
    writeln!(out, "\nin flight  program  µs a request  µs a thousand tokens")?;
    for row in document["processor"].as_array().into_iter().flatten() {
        for program in ["entry", "agent"] {
            let figure = |name: &str| row[program][name].as_f64().unwrap_or_default();
            writeln!(
                out,
                "{:>9}  {program:<7}  {:>12.0}  {:>20.0}",
                count(&row["in_flight"]),
                figure("us_per_request"),
                figure("us_per_1000_tokens"),
            )?;
        }
    }
    Ok(())
}

fn count(value: &Value) -> u64 {
    value.as_u64().unwrap_or_default()
}

#[allow(clippy::as_conversions, reason = "there is no From from integers of 64 bits to floats")]
fn to_f64(number: impl TryInto<u64>) -> f64 {
    number.try_into().unwrap_or(u64::MAX) as f64
}
