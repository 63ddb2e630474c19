//! Starts an agent as a process and talks to it as an entry does.

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

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);
/// Between two heartbeats of the entry.
const BEAT: Duration = Duration::from_millis(50);
/// The revision of the configuration that the tests offer.
pub const REVISION: u64 = 7;

/// Returns a loopback address that was free just now.
pub fn free_address() -> SocketAddr {
    standins::fleet::process::free_addresses(1).unwrap()[0]
}

/// Starts a stand-in on a thread of its own and returns its address.
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

/// AgentProcess is an agent that ends with its test.
pub struct AgentProcess {
    child: Child,
    pub listen: SocketAddr,
    settings: std::path::PathBuf,
}

impl AgentProcess {
    /// Starts an agent before a target.
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

    /// Waits until the process ends.
    pub async fn wait(&mut self) -> ExitStatus {
        let waiting = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.expect("the agent ends")
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// EntryLink is a connection of an entry that the test plays.
pub struct EntryLink {
    tx: mpsc::Sender<wire::Frame>,
    rx: mpsc::UnboundedReceiver<frame::Kind>,
    incarnation: u64,
    next: u64,
}

impl EntryLink {
    /// Connects, gives the agent a configuration, and waits until it takes work.
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
        let heard = Arc::new(AtomicU64::new(0));
        let (frames, rx) = mpsc::unbounded_channel();
        tokio::spawn(read(inbound, frames, Arc::clone(&heard)));
        tokio::spawn(beat(tx.clone(), heard, incarnation));
        let mut link = Self { tx, rx, incarnation, next: 0 };
        link.until(|kind| matches!(kind, frame::Kind::ConfigRequest(_))).await;
        link.send(frame::Kind::ConfigState(configuration())).await;
        link.until(
            |kind| matches!(kind, frame::Kind::Heartbeat(beat) if beat.config_revision == REVISION),
        )
        .await;
        loop {
            let id = link.start("GET", "/ready", b"").await;
            let refusal = link.finish(id).await.refusal;
            let stale = wire::RefusalReason::StaleConfig;
            if refusal.is_none_or(|refusal| refusal.reason() != stale) {
                return link;
            }
            tokio::time::sleep(BEAT).await;
        }
    }

    /// Sends a frame.
    pub async fn send(&self, kind: frame::Kind) {
        self.tx.send(wire::Frame { kind: Some(kind) }).await.unwrap();
    }

    /// Reads frames until one fits.
    pub async fn until(&mut self, fits: impl Fn(&frame::Kind) -> bool) -> frame::Kind {
        let reading = async {
            loop {
                let kind = self.rx.recv().await.expect("the link is open");
                if fits(&kind) {
                    return kind;
                }
            }
        };
        tokio::time::timeout(PATIENCE, reading).await.expect("the frame comes")
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

    /// Reads the next frame, if one comes in time.
    pub async fn next(&mut self, wait: Duration) -> Option<frame::Kind> {
        tokio::time::timeout(wait, self.rx.recv()).await.ok().flatten()
    }

    /// Reads the answer of an attempt.
    pub async fn finish(&mut self, id: wire::AttemptId) -> Finish {
        let mut finish = Finish::default();
        loop {
            match self.until(|_| true).await {
                frame::Kind::AnswerHead(head) if head.id == Some(id) => finish.status = head.status,
                frame::Kind::AnswerBody(body) if body.id == Some(id) => {
                    assert_eq!(body.index, finish.pieces, "pieces are numbered from zero");
                    finish.pieces += 1;
                    finish.body.extend_from_slice(&body.data);
                }
                frame::Kind::AnswerEnd(end) if end.id == Some(id) => {
                    finish.end = Some(end);
                    return finish;
                }
                frame::Kind::Refusal(refusal) if refusal.id == Some(id) => {
                    finish.refusal = Some(refusal);
                    return finish;
                }
                _ => {}
            }
        }
    }
}

/// Finish is all that came for one attempt.
#[derive(Debug, Default)]
pub struct Finish {
    pub status: u32,
    pub pieces: u64,
    pub body: Vec<u8>,
    pub end: Option<wire::AnswerEnd>,
    pub refusal: Option<wire::Refusal>,
}

async fn read(
    mut inbound: tonic::Streaming<wire::Frame>,
    frames: mpsc::UnboundedSender<frame::Kind>,
    heard: Arc<AtomicU64>,
) {
    while let Ok(Some(wire::Frame { kind: Some(kind) })) = inbound.message().await {
        if let frame::Kind::Heartbeat(beat) = &kind {
            heard.store(beat.sequence, Ordering::Relaxed);
        }
        if frames.send(kind).is_err() {
            return;
        }
    }
}

/// Says hello, then keeps the link alive as an entry with the latest configuration.
async fn beat(tx: mpsc::Sender<wire::Frame>, heard: Arc<AtomicU64>, incarnation: u64) {
    let member = wire::Member {
        name: "entry-1".to_owned(),
        incarnation,
        role: wire::Role::Entry.into(),
        data_centre: "kafr-data-centre".to_owned(),
        ..Default::default()
    };
    let hello = wire::Hello { member: Some(member), heartbeat: None };
    let mut kind = frame::Kind::Hello(hello);
    for sequence in 1.. {
        if tx.send(wire::Frame { kind: Some(kind) }).await.is_err() {
            return;
        }
        tokio::time::sleep(BEAT).await;
        kind = frame::Kind::Heartbeat(wire::Heartbeat {
            sequence,
            config_revision: REVISION,
            config_age_ms: Some(0),
            heard_sequence: heard.load(Ordering::Relaxed),
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
