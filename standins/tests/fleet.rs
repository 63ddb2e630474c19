//! Starting the processes of test fleets.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;

use standins::fleet::process;

const THREADS: usize = 8;
const ADDRESSES: usize = 300;

/// Fleets start in the threads of one test process. A process that one of them starts inherits the
/// open sockets of the others until it runs its program.
#[test]
fn a_free_address_is_not_held_by_a_process_that_another_thread_starts() {
    let program = process::program("standin");
    let take_addresses = || {
        for _ in 0..ADDRESSES {
            let address = process::free_addresses(1).expect("a free port")[0];
            TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
        }
    };
    let start_processes = || {
        for _ in 0..ADDRESSES {
            let mut command = Command::new(&program);
            let started = command.arg("--version").stdout(Stdio::null()).stderr(Stdio::null());
            started.status().expect("it runs");
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(take_addresses);
            scope.spawn(start_processes);
        }
    });
}
