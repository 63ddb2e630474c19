//! The trace of one request from the logs of several processes.

use std::process::{Command, Output};
use std::{env, fs, process};

use bitternwall::telemetry::request_trace::{self, LogLine};

/// The log of one entry.
const ENTRY: &str = r#"
{"level":"info","timestamp":1000,"payload":"E0001 process started: name=entry-1 data_centre=kafr","tid":1}
{"level":"info","timestamp":4990,"payload":"E7003 target paused: target=t1 pause_ms=300 cause=Broken","tid":1}
{"level":"info","timestamp":5200,"payload":"E7002 attempt failed: id=a1 target=t1 cause=broken executed=No sent=1","tid":1}
{"level":"info","timestamp":5100,"payload":"E7004 exchange failed: id=a1 target=t1 cause=\"nothing arrived\"","tid":1}
{"level":"info","timestamp":5150,"payload":"E7003 target paused: target=t1 pause_ms=600 cause=Broken","tid":1}
{"level":"info","timestamp":5160,"payload":"E7003 target paused: target=t9 pause_ms=600 cause=Broken","tid":1}
{"level":"info","timestamp":5400,"payload":"E7001 request answered: id=a1 cause=answered status=200 targets=t1,t2 took_ms=400","tid":1}
{"level":"info","timestamp":5450,"payload":"E7001 request answered: id=a11 cause=answered status=200 targets=t1 took_ms=400","tid":1}
not a log line
"#;

/// Lines of two entries with the prefix of a log collector, which ends with the process name.
const COLLECTED: &str = r#"
  0.1 entry-2 {"level":"info","timestamp":6100,"payload":"E7001 request answered: id=a1 cause=full status=503 targets= took_ms=0","tid":1}
  0.1 entry-3 {"level":"info","timestamp":5250,"payload":"E7003 target paused: target=t1 pause_ms=600 cause=Broken","tid":1}
"#;

fn run(files: &[&str], id: &str) -> Output {
    let directory = env::temp_dir().join(format!("bitternwall-trace-{}-{id}", process::id()));
    fs::create_dir_all(&directory).expect("the directory is created");
    let paths = files.iter().enumerate().map(|(index, text)| {
        let path = directory.join(format!("{index}.log"));
        fs::write(&path, text).expect("the file is written");
        path
    });
    let paths: Vec<_> = paths.collect();
    let output = Command::new(env!("CARGO_BIN_EXE_bitternwall"))
        .args(["trace", id])
        .args(&paths)
        .output()
        .expect("the program starts");
    fs::remove_dir_all(&directory).expect("the directory is removed");
    output
}

#[test]
fn a_trace_has_the_request_and_the_events_of_its_targets_meanwhile() {
    let output = run(&[ENTRY, COLLECTED], "a1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let printed: Vec<String> =
        text.lines().map(|line| line.split(' ').take(4).collect::<Vec<_>>().join(" ")).collect();
    let expected = [
        "+0 ms entry-1 E7004",
        "+50 ms entry-1 E7003",
        "+100 ms entry-1 E7002",
        "+300 ms entry-1 E7001",
        "+1000 ms entry-2 E7001",
    ];
    assert_eq!(printed, expected, "{text}");
    assert!(text.contains("pause_ms=600"), "{text}");
}

#[test]
fn an_unknown_request_is_an_error_that_names_it() {
    let output = run(&[ENTRY], "zz");
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("None of the 8 log lines") && error.contains("\"zz\""), "{error}");
}

#[test]
fn lines_that_are_not_log_lines_are_ignored() {
    assert_eq!(LogLine::parse("", "p"), None);
    assert_eq!(LogLine::parse("{\"timestamp\":\"now\"}", "p"), None);
    assert_eq!(LogLine::parse("garbage {", "p"), None);
    assert!(request_trace::lines_for_request("a1", &[]).is_empty());
}
