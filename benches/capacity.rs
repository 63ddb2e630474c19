//! What each role costs by the size of the fleet, and the decision cores at the target's size.
//!
//! Fleets of real processes on loopback run idle, under changes of configuration and under a
//! modest load; planes fitted through the costs carry them to other sizes. docs/CAPACITY.md
//! works them out; run `scripts/capacity`.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "support/core_cost.rs"]
mod core_cost;
#[path = "support/fleet_cost.rs"]
mod fleet_cost;
#[path = "support/load.rs"]
mod load;
#[path = "support/procfs.rs"]
mod procfs;
#[path = "support/slopes.rs"]
mod slopes;
#[path = "support/sockets.rs"]
mod sockets;

use std::io::Write as _;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{fs, io};

use anyhow::Context as _;
use clap::{Arg, ArgAction};
use fleet_cost::{Heartbeats, Shape};
use serde_json::{Value, json};
use slopes::Point;

const SHAPES: [Shape; 7] = [
    Shape { agents: 1, entries: 2 },
    Shape { agents: 4, entries: 2 },
    Shape { agents: 16, entries: 2 },
    Shape { agents: 64, entries: 2 },
    Shape { agents: 4, entries: 8 },
    Shape { agents: 16, entries: 8 },
    Shape { agents: 4, entries: 32 },
];
const ROLES: [&str; 4] = ["operator", "reader", "entry", "agent"];
const COSTS: [&str; 4] =
    ["processor_ms_per_s", "resident_mb", "sent_bytes_per_s", "received_bytes_per_s"];

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let seconds = *matches.get_one::<u64>("seconds").expect("the argument has a default");
    let heartbeats = match matches.get_flag("slow-heartbeats") {
        true => Heartbeats::Slow,
        false => Heartbeats::Usual,
    };
    let core = core_cost::measure();
    say(&format!("core: {core}"))?;
    let mut rows = Vec::new();
    for shape in shapes(matches.get_flag("core-only"), matches.get_flag("small")) {
        let row = fleet_cost::measure(*shape, Duration::from_secs(seconds), heartbeats).await?;
        say(&format!("fleet: {row}"))?;
        rows.push(row);
    }
    let fits = fits(&rows);
    for fit in &fits {
        say(&format!("fit: {fit}"))?;
    }
    let ran_at = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let document = json!({
        "bench": "capacity", "ran_at_unix_s": ran_at, "phase_s": seconds, "core": core,
        "slow_heartbeats": matches.get_flag("slow-heartbeats"),
        "fleets": rows, "fits": fits,
    });
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&document)? + "\n";
        fs::write(file, text).with_context(|| format!("The file {file:?} cannot be written"))?;
    }
    Ok(())
}

fn command() -> clap::Command {
    let seconds = Arg::new("seconds").long("seconds").value_name("N").default_value("8");
    let seconds = seconds.value_parser(clap::value_parser!(u64));
    let json = Arg::new("json").long("json").value_name("FILE").help("Also write the rows here");
    let flag =
        |name: &'static str, help| Arg::new(name).long(name).action(ArgAction::SetTrue).help(help);
    clap::Command::new("capacity")
        .about("Measures what each role costs by the size of the fleet")
        .arg(seconds.help("How long each fleet stays idle, and is changed"))
        .arg(json.value_parser(clap::value_parser!(PathBuf)))
        .arg(flag("core-only", "Run no processes"))
        .arg(flag("slow-heartbeats", "Send heartbeats every two seconds"))
        .arg(flag("small", "Run 4, 16 and 64 agents with two entries only"))
        .arg(flag("bench", "Taken from cargo and ignored").hide(true))
}

fn shapes(core_only: bool, small: bool) -> &'static [Shape] {
    match (core_only, small) {
        (true, _) => &[],
        (false, true) => &SHAPES[1..4],
        (false, false) => &SHAPES,
    }
}

/// Fits a plane through each cost of each role, idle and while the fleet is changed.
fn fits(rows: &[Value]) -> Vec<Value> {
    let mut fits = Vec::new();
    for (phase, path) in [("idle", "/idle"), ("changes", "/changes/costs")] {
        for role in ROLES {
            for cost in COSTS {
                let pointer = format!("{path}/{role}");
                let points: Vec<Point> =
                    rows.iter().filter_map(|row| point(row, &pointer, cost)).collect();
                let Some(fit) = slopes::fit(&points) else { continue };
                fits.push(json!({
                    "phase": phase, "role": role, "cost": cost, "points": points.len(),
                    "fixed": fit.fixed, "per_agent": fit.per_agent, "per_entry": fit.per_entry,
                    "worst_residual": fit.worst_residual,
                }));
            }
        }
    }
    fits
}

/// Returns one role's cost in one fleet; none where the fleet has no process of that role.
fn point(row: &Value, role: &str, cost: &str) -> Option<Point> {
    let costs = row.pointer(role)?;
    costs["processes"].as_u64().filter(|processes| *processes > 0)?;
    let number = |value: &Value| value.as_f64();
    Some(Point {
        agents: number(&row["agents"])?,
        entries: number(&row["entries"])?,
        cost: number(&costs[cost])?,
    })
}

fn say(text: &str) -> io::Result<()> {
    writeln!(io::stdout(), "{text}")
}

#[allow(clippy::as_conversions, reason = "there is no From from integers of 64 bits to floats")]
fn to_f64(number: impl TryInto<u64>) -> f64 {
    number.try_into().unwrap_or(u64::MAX) as f64
}
