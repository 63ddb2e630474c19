//! Runs the platform's stand-ins as processes, and makes clients of the key-value service.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bitternwall::external::store::{Store, StoreOptions};
use tokio::net::TcpSocket;

/// Long enough for a busy machine, as no test waits for it to pass.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// StandIn is a running service of the platform, which ends with this value.
pub struct StandIn {
    child: Child,
    /// Its base address.
    pub endpoint: String,
}

impl StandIn {
    /// Starts the key-value service with further arguments.
    pub fn start(arguments: &[&str]) -> Self {
        let limits = ["--writes-per-second", "100000", "--reads-per-second", "100000"];
        Self::start_service("kv", &[&limits, arguments].concat())
    }

    /// Starts a service by its name.
    pub fn start_service(name: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program())
            .args([name, "--listen", "127.0.0.1:0"])
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in is built with the workspace");
        let stdout = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("it says where it listens");
        let address = line.trim().strip_prefix("listening ").expect("it says where it listens");
        Self { child, endpoint: format!("http://{address}") }
    }

    /// Returns a client.
    pub fn store(&self) -> Store {
        Store::new(self.options())
    }

    /// Returns the options of a client.
    pub fn options(&self) -> StoreOptions {
        StoreOptions { endpoints: vec![self.endpoint.clone()], call_timeout: CALL_TIMEOUT }
    }

    /// Sets what goes wrong from now on.
    pub async fn set_faults(&self, faults: serde_json::Value) {
        self.post("/control/faults", faults).await;
    }

    /// Sends one order to the service.
    pub async fn post(&self, path: &str, body: serde_json::Value) {
        let client = awc::Client::default();
        let answer = client.post(format!("{}{path}", self.endpoint)).send_json(&body).await;
        assert!(answer.unwrap().status().is_success());
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// ClosedPort is a port that nothing listens on; it stays taken, so that no other test gets it.
#[allow(dead_code, reason = "not every test file that shares this module uses it")]
pub struct ClosedPort {
    _socket: TcpSocket,
    /// Its base address.
    pub endpoint: String,
}

#[allow(dead_code, reason = "not every test file that shares this module uses it")]
impl ClosedPort {
    /// Takes a port.
    pub fn take() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let endpoint = format!("http://{}", socket.local_addr().unwrap());
        Self { _socket: socket, endpoint }
    }
}

fn program() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let profile = test.ancestors().nth(2).expect("tests run from target/PROFILE/deps");
    profile.join("standin")
}
