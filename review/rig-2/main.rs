//! Stand-ins of the platform, its servers and clients, and the scripts of the second review.
//!
//! It uses the standard library only, so that `rustc` alone builds it. Each script starts the
//! project's own programs and the stand-ins as separate processes on loopback addresses, and writes
//! what was sent, answered and run to `record.txt`.

mod engines;
mod fleet;
mod http;
mod json;
mod relay;
mod scripts;
mod server;
mod store;
mod sys;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("server") => server::run(&args[1..]),
        Some("script") if args.len() == 3 => scripts::run(&args[1], &args[2]),
        _ => {
            eprintln!("usage: rig script NAME FOLDER");
            2
        }
    };
    ExitCode::from(code)
}
