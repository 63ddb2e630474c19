//! Clients of the own interface that send ahead and read nothing: the entry lives, its memory is
//! bounded, and it answers an ordinary request afterwards.

mod common;
#[path = "../platform/tests/hostile_clients/crowd.rs"]
mod crowd;
#[path = "../platform/tests/hostile_clients/usage.rs"]
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use common::Call;
use crowd::{Crowd, Load};
use standins::fleet::{Fleet, Plan};
use tokio::sync::Mutex;
use usage::Meter;

/// Connections of a crowd.
const CONNECTIONS: usize = 20;

/// Bytes that a crowd sends at most.
const MAX_CROWD_BYTES: usize = 200 * 1024 * 1024;

/// The memory that an entry may use.
const MAX_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// The time for which a crowd stays once it has sent.
const STAY: Duration = Duration::from_secs(1);

/// Held by each test, so that one crowd comes at a time.
static CROWDS: Mutex<()> = Mutex::const_new(());

async fn assert_borne(port: impl Fn(&Fleet) -> SocketAddr, path: &str) {
    let _alone = CROWDS.lock().await;
    let mut fleet = Fleet::start(&Plan::default()).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    let address = port(&fleet);
    let repeated = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").into_bytes();
    let max_bytes = MAX_CROWD_BYTES / CONNECTIONS;
    let load = Load { connections: CONNECTIONS, first: Vec::new(), repeated, max_bytes };
    let meter = Meter::start(fleet.entries[0].process.id());
    let sending = actix_rt::task::spawn_blocking(move || Crowd::send(address, &load));
    let crowd = sending.await.expect("no panic");
    actix_rt::time::sleep(STAY).await;
    let (sent, open) = (crowd.sent(), crowd.open());
    drop(crowd);
    let usage = meter.finish();
    println!("{open} connections open, {sent} bytes sent: {usage:?}");
    assert!(sent > 0, "nothing was sent");
    assert!(fleet.entries[0].process.is_running(), "the entry has ended");
    let answer = Call::get(fleet.entry(0), "/v1/addresses").send().await;
    assert_eq!(answer.map(|answer| answer.status.as_u16()), Some(200), "after the crowd");
    let memory = usage.memory;
    assert!(memory <= MAX_MEMORY_BYTES, "{memory} bytes are used, of {MAX_MEMORY_BYTES}");
}

#[actix_rt::test]
async fn unknown_paths_sent_ahead_to_an_entry_are_borne() {
    assert_borne(|fleet| fleet.entry(0), "/nowhere").await;
}

#[actix_rt::test]
async fn requests_for_metrics_sent_ahead_to_an_entry_are_borne() {
    assert_borne(|fleet| fleet.entries[0].admin, "/metrics").await;
}
