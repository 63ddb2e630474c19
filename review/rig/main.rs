//! Runs one case of this review: `rig CASE FOLDER`. See the folder's claim.txt.

mod cut_watches;
mod gone_server;
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod rig;

use std::path::PathBuf;
use std::{env, panic, process};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = panic::catch_unwind(|| run(&arguments, trouble));
    process::exit(match result {
        Ok(broken) => i32::from(broken),
        Err(payload) => {
            if let Some(rig::CouldNotRun(why)) = payload.downcast_ref() {
                println!("the case could not run: {why}");
            }
            2
        }
    });
}

fn run(arguments: &[String], trouble: bool) -> bool {
    let [case, folder] = arguments else { rig::could_not_run("usage: rig CASE FOLDER") };
    let folder = PathBuf::from(folder);
    match case.as_str() {
        "cut-watches" => cut_watches::run(&folder, trouble),
        "gone-server" => gone_server::run(&folder, trouble),
        _ => rig::could_not_run("no such case"),
    }
}
