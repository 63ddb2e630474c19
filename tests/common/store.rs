//! Starts fakes of the platform's services as processes, and creates clients of the key-value
//! service.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bitternwall::external::store::{Store, StoreOptions};
use tokio::net::TcpSocket;

/// Long enough for a busy machine; no test waits until it expires.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// StandIn is a running fake of a platform service, which is killed when the value is dropped.
pub struct StandIn {
    child: Child,
    /// The base address of the service.
    pub endpoint: String,
}

impl StandIn {
    /// Starts the key-value service with additional command-line arguments.
    pub fn start(arguments: &[&str]) -> Self {
        let limits = ["--writes-per-second", "100000", "--reads-per-second", "100000"];
        Self::start_service("kv", &[&limits, arguments].concat())
    }

    /// Starts the service that the `standin` program knows by this name.
    pub fn start_service(name: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program())
            .args([name, "--listen", "127.0.0.1:0"])
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in is built with the workspace");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("it says where it listens");
        let address = line.trim().strip_prefix("listening ").expect("it says where it listens");
        Self { child, endpoint: format!("http://{address}") }
    }

    /// Returns a new client of the key-value service.
    pub fn store(&self) -> Store {
        Store::new(self.options())
    }

    /// Returns the options of clients of this service.
    pub fn options(&self) -> StoreOptions {
        StoreOptions { endpoints: vec![self.endpoint.clone()], call_timeout: CALL_TIMEOUT }
    }

    /// Sets the faults that the service injects from now on.
    pub async fn set_faults(&self, faults: serde_json::Value) {
        self.post("/control/faults", faults).await;
    }

    /// Sends a control request to the service.
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

/// ClosedPort is a bound port without a listener. It stays bound so that no other test gets it.
#[allow(dead_code, reason = "not every test file that shares this module uses it")]
pub struct ClosedPort {
    _socket: TcpSocket,
    /// The base address that refuses connections.
    pub endpoint: String,
}

#[allow(dead_code, reason = "not every test file that shares this module uses it")]
impl ClosedPort {
    /// Binds a free port.
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
