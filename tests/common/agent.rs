//! Starts an agent as a process and communicates with it as an entry does.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bitternwall::wire;
use bitternwall::wire::frame;
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::wrappers;

/// Timeout for a frame that must arrive and for the exit of the process.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the entry's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The revision of the configuration that the entry provides.
pub const REVISION: u64 = 7;

/// Returns a loopback address that was free when it was chosen.
pub fn free_address() -> SocketAddr {
    standins::fleet::process::free_addresses(1).unwrap()[0]
}

/// Starts a stand-in server on a thread of its own and returns its address.
pub fn stand_in(
    start: impl FnOnce(SocketAddr) -> standins::server::Result<standins::Running> + Send + 'static,
) -> SocketAddr {
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let running = start("127.0.0.1:0".parse().unwrap()).unwrap();
            tx.send(running.address).unwrap();
            std::future::pending::<()>().await;
        });
    });
    rx.recv().unwrap()
}

/// AgentProcess is an agent's process, which is killed when the value is dropped.
pub struct AgentProcess {
    child: Child,
    pub listen: SocketAddr,
    settings: std::path::PathBuf,
}

impl AgentProcess {
    /// Starts an agent in front of a target.
    pub fn start(target: SocketAddr, store: SocketAddr) -> Self {
        let (listen, admin) = (free_address(), free_address());
        let settings = std::env::temp_dir().join(format!("agent-{}.json", listen.port()));
        let text = json!({
            "target": "t-1",
            "service": "dispatch-api",
            "data_centre": "kafr-data-centre",
            "region": "delta-north",
            "listen": listen,
            "admin_listen": admin,
            "target_url": format!("http://{target}"),
            "store": [format!("http://{store}")],
        });
        let mut f = std::fs::File::create(&settings).unwrap();
        f.write_all(text.to_string().as_bytes()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bitternwall-agent"));
        let child = command.arg("--settings").arg(&settings).spawn().unwrap();
        Self { child, listen, settings }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    /// Waits until the process exits.
    pub async fn wait(&mut self) -> ExitStatus {
        let exit = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, exit).await.expect("the agent ends")
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// EntryLink is a connection to an agent on which the test acts as an entry.
pub struct EntryLink {
    tx: mpsc::Sender<wire::Frame>,
    rx: mpsc::UnboundedReceiver<frame::Kind>,
    incarnation: u64,
    next: u64,
}

impl EntryLink {
    /// Connects, provides the agent with a configuration, and waits until it admits work.
    pub async fn open(agent: SocketAddr, incarnation: u64) -> Self {
        let mut client = loop {
            let url = format!("http://{agent}");
            match wire::link_client::LinkClient::connect(url).await {
                Ok(client) => break client,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        let (tx, rx) = mpsc::channel(64);
        let outbound = wrappers::ReceiverStream::new(rx);
        let inbound = client.open(outbound).await.unwrap().into_inner();
        let last_sequence = Arc::new(AtomicU64::new(0));
        let (frames, rx) = mpsc::unbounded_channel();
        tokio::spawn(read_frames(inbound, frames, Arc::clone(&last_sequence)));
        tokio::spawn(send_heartbeats(tx.clone(), last_sequence, incarnation));
        let mut link = Self { tx, rx, incarnation, next: 0 };
        link.wait_for(|kind| matches!(kind, frame::Kind::ConfigRequest(_))).await;
        link.send(frame::Kind::ConfigState(configuration())).await;
        link.wait_for(
            |kind| matches!(kind, frame::Kind::Heartbeat(hb) if hb.config_revision == REVISION),
        )
        .await;
        loop {
            let id = link.start("GET", "/ready", b"").await;
            let refusal = link.result(id).await.refusal;
            let stale = wire::RefusalReason::StaleConfig;
            if refusal.is_none_or(|refusal| refusal.reason() != stale) {
                return link;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends a frame.
    pub async fn send(&self, kind: frame::Kind) {
        self.tx.send(wire::Frame { kind: Some(kind) }).await.unwrap();
    }

    /// Receives frames until one satisfies the predicate, and returns it.
    pub async fn wait_for(&mut self, matches: impl Fn(&frame::Kind) -> bool) -> frame::Kind {
        let frame = async {
            loop {
                let kind = self.rx.recv().await.expect("the link is open");
                if matches(&kind) {
                    return kind;
                }
            }
        };
        tokio::time::timeout(TIMEOUT, frame).await.expect("the frame arrives")
    }

    /// Starts an attempt and returns its id.
    pub async fn start(&mut self, method: &str, path: &str, claim_key: &[u8]) -> wire::AttemptId {
        let id = wire::AttemptId { incarnation: self.incarnation, counter: self.next };
        self.next += 1;
        let attempt = wire::StartAttempt {
            id: Some(id),
            customer: "plant-1".to_owned(),
            service: "dispatch-api".to_owned(),
            method: method.to_owned(),
            path: path.to_owned(),
            claim_key: Bytes::copy_from_slice(claim_key),
            deadline_ms: 8_000,
            config_revision: REVISION,
            estimated_tokens: 1,
            weight: 1,
            ..Default::default()
        };
        self.send(frame::Kind::StartAttempt(attempt)).await;
        id
    }

    /// Receives the next frame, or returns `None` if none arrives within `wait`.
    pub async fn recv(&mut self, wait: Duration) -> Option<frame::Kind> {
        tokio::time::timeout(wait, self.rx.recv()).await.ok().flatten()
    }

    /// Receives the answer or the refusal of an attempt.
    pub async fn result(&mut self, id: wire::AttemptId) -> AttemptResult {
        let mut result = AttemptResult::default();
        loop {
            match self.wait_for(|_| true).await {
                frame::Kind::AnswerHead(head) if head.id == Some(id) => result.status = head.status,
                frame::Kind::AnswerBody(body) if body.id == Some(id) => {
                    assert_eq!(body.index, result.pieces, "pieces are numbered from zero");
                    result.pieces += 1;
                    result.body.extend_from_slice(&body.data);
                }
                frame::Kind::AnswerEnd(end) if end.id == Some(id) => {
                    result.end = Some(end);
                    return result;
                }
                frame::Kind::Refusal(refusal) if refusal.id == Some(id) => {
                    result.refusal = Some(refusal);
                    return result;
                }
                _ => {}
            }
        }
    }
}

/// AttemptResult holds what was received for one attempt.
#[derive(Debug, Default)]
pub struct AttemptResult {
    pub status: u32,
    pub pieces: u64,
    pub body: Vec<u8>,
    pub end: Option<wire::AnswerEnd>,
    pub refusal: Option<wire::Refusal>,
}

async fn read_frames(
    mut inbound: tonic::Streaming<wire::Frame>,
    frames: mpsc::UnboundedSender<frame::Kind>,
    last_sequence: Arc<AtomicU64>,
) {
    while let Ok(Some(wire::Frame { kind: Some(kind) })) = inbound.message().await {
        if let frame::Kind::Heartbeat(heartbeat) = &kind {
            last_sequence.store(heartbeat.sequence, Ordering::Relaxed);
        }
        if frames.send(kind).is_err() {
            return;
        }
    }
}

/// Sends a hello and then heartbeats, like an entry that has the latest configuration.
async fn send_heartbeats(
    tx: mpsc::Sender<wire::Frame>,
    last_sequence: Arc<AtomicU64>,
    incarnation: u64,
) {
    let member = wire::Member {
        name: "entry-1".to_owned(),
        incarnation,
        role: wire::Role::Entry.into(),
        data_centre: "kafr-data-centre".to_owned(),
        ..Default::default()
    };
    let hello = wire::Hello { member: Some(member), ..wire::Hello::default() };
    let mut kind = frame::Kind::Hello(hello);
    for sequence in 1.. {
        if tx.send(wire::Frame { kind: Some(kind) }).await.is_err() {
            return;
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        kind = frame::Kind::Heartbeat(wire::Heartbeat {
            sequence,
            config_revision: REVISION,
            config_age_ms: Some(0),
            heard_sequence: last_sequence.load(Ordering::Relaxed),
            ..Default::default()
        });
    }
}

fn configuration() -> wire::ConfigState {
    let service = json!({ "kind": "plain", "claim_shards": 2 });
    let target = json!({
        "service": "dispatch-api",
        "agent": "127.0.0.1:1",
        "data_centre": "kafr-data-centre",
    });
    wire::ConfigState {
        revision: REVISION,
        base_revision: 0,
        resources: vec![
            resource("service", "dispatch-api", &service),
            resource("target", "t-1", &target),
        ],
        deleted: Vec::new(),
    }
}

fn resource(kind: &str, name: &str, spec: &Value) -> wire::Resource {
    let value = json!({ "kind": kind, "name": name, "generation": 1, "spec": spec });
    wire::Resource {
        key: format!("/bitternwall/config/{kind}/{name}"),
        mod_revision: REVISION,
        create_revision: REVISION,
        value: Bytes::from(value.to_string()),
    }
}
