//! The scripts, by the numbers of their cases.

mod cold;
mod held_step;
mod stale_seeds;

use crate::sys::Record;

/// The rule held.
pub const HELD: u8 = 0;
/// The rule was broken.
pub const BROKEN: u8 = 1;
/// The case could not run.
pub const NOT_RUN: u8 = 2;

/// Returns true unless the script runs without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn run(name: &str, folder: &str) -> u8 {
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => record,
        Err(error) => {
            println!("no record: {error}");
            return NOT_RUN;
        }
    };
    record.say(&format!("script {name}, trouble {}", has_trouble()));
    let result = match name {
        "cold" => cold::run(&record),
        "held-step" => held_step::run(&record),
        "stale-seeds" => stale_seeds::run(&record),
        _ => return NOT_RUN,
    };
    let code = result.unwrap_or_else(|error| {
        record.say(&format!("could not run: {error}"));
        NOT_RUN
    });
    record.say(&format!("exit {code}"));
    code
}
