//! Callers that keep their connections and go on calling while a process stops, until it is gone.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_rt::task;
use serde_json::json;
use standins::fleet::Fleet;
use tokio::time;

use crate::common::{self, streams};
use crate::{EXIT_LIMIT, start_fleet, wait_for_exit};

/// How one caller fared that kept its connection while an entry stopped.
#[derive(Debug, Default)]
struct Kept {
    answered: Vec<String>,
    /// Requests that were sent whole and whose connection ended without a whole answer.
    cut: Vec<String>,
}

/// Sends calls with keys of their own on a kept connection, and on a new one once that is closed, until
/// no connection can be opened or `stop` is set.
fn call_until_gone(entry: SocketAddr, caller: usize, stop: &AtomicBool) -> Kept {
    let mut kept = Kept::default();
    let mut buf = vec![0; 4096];
    for number in 0.. {
        let Ok(mut stream) = TcpStream::connect(entry) else { return kept };
        stream.set_read_timeout(Some(EXIT_LIMIT)).expect("a time above zero");
        for call in 0.. {
            if stop.load(Ordering::Relaxed) {
                return kept;
            }
            let key = format!("stop-{caller}-{number}-{call}");
            let request = format!(
                "POST /v1/services/dispatch-api/holds HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n\
                 Idempotency-Key: {key}\r\nContent-Length: 2\r\n\r\n{{}}",
                common::KEY
            );
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let mut bytes = Vec::new();
            while !is_whole(&bytes) {
                match stream.read(&mut buf) {
                    Ok(length) if length > 0 => bytes.extend_from_slice(&buf[..length]),
                    _ => break,
                }
            }
            if !is_whole(&bytes) {
                kept.cut.push(key);
                break;
            }
            if bytes.starts_with(b"HTTP/1.1 200") {
                kept.answered.push(key);
            }
        }
    }
    kept
}

/// Returns true if the bytes are an answer with all of the length that its head names.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()) == Some(body.len())
}

const KEPT_CALLERS: usize = 12;

/// Starts callers that keep their connections to the first entry, and targets that take a while.
async fn start_kept_callers(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<task::JoinHandle<Kept>> {
    for target in &fleet.targets {
        streams::set_behaviour(target.back_end.address, &json!({ "delay_ms": 300 })).await;
    }
    let entry = fleet.entry(0);
    let start = |caller| {
        let stop = Arc::clone(stop);
        task::spawn_blocking(move || call_until_gone(entry, caller, &stop))
    };
    let callers = (0..KEPT_CALLERS).map(start).collect();
    time::sleep(Duration::from_secs(1)).await;
    callers
}

/// Checks that no call that a target ran was cut, and that each answered one ran once.
async fn assert_none_cut(fleet: &Fleet, callers: Vec<task::JoinHandle<Kept>>) {
    let (mut answered, mut cut) = (0, Vec::new());
    for caller in callers {
        let kept = caller.await.expect("no panic");
        answered += kept.answered.len();
        for key in &kept.answered {
            assert_eq!(common::runs_with_key(fleet, key).await, 1, "{key}");
        }
        for key in kept.cut {
            // A call that crosses the close and is not passed on may be sent again.
            if common::runs_with_key(fleet, &key).await > 0 {
                cut.push(key);
            }
        }
    }
    println!("{answered} answered, {} cut", cut.len());
    assert!(answered > KEPT_CALLERS * 3, "{answered} answered");
    assert!(cut.is_empty(), "{cut:?}");
}

// Guards against requests that are taken late in a stop, passed on and cut when the process ends.
#[actix_rt::test]
async fn calls_on_kept_connections_are_answered_until_a_stopped_entry_is_gone() {
    let mut fleet = start_fleet(2, 0, 2).await;
    let callers = start_kept_callers(&fleet, &Arc::default()).await;
    fleet.entries[0].process.signal("TERM").expect("the entry can be signalled");
    wait_for_exit(&mut fleet.entries[0].process).await;
    assert_none_cut(&fleet, callers).await;
}

// The same for the agent before a target.
#[actix_rt::test]
async fn calls_on_kept_connections_are_answered_while_an_agent_stops() {
    let mut fleet = start_fleet(1, 0, 2).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_kept_callers(&fleet, &stop).await;
    fleet.targets[0].agent.signal("TERM").expect("the agent can be signalled");
    wait_for_exit(&mut fleet.targets[0].agent).await;
    time::sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::Relaxed);
    assert_none_cut(&fleet, callers).await;
}
