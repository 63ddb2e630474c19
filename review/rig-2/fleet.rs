//! A small deployment: the store, entries of the deploy file, and servers.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::relay::{Net, Relays};
use crate::server::Settings;
use crate::store::Store;
use crate::sys::{self, Record};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The interval at which servers write their records.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The command of the role `entry` in `deploy/system.toml`, without its settings file.
const ENTRY: &str = "target/release/bitternwall-platform-entry";

/// The command of the role `agent`.
const AGENT: &str = "target/release/bitternwall-platform-agent";

/// The bounds of a deployment, as its sheet names them.
pub struct Bounds {
    pub retry_allowance: f64,
    pub grace_s: u32,
    pub config_apply_ms: u32,
    /// `coldOverrun` and `coldSlack`, with `evacuateMs`, where the contract is in force.
    pub cold: Option<(f64, f64, u32)>,
}

/// Whether a server that has ended starts again, after how long, and with which id.
#[derive(Clone, Copy)]
pub enum Back {
    Never,
    WithNewId(Duration),
}

pub fn new_server_id() -> String {
    format!("i-{:08x}", sys::random() as u32)
}

pub struct Fleet {
    pub net: Net,
    pub relays: Relays,
    pub store: Store,
    pub record: Record,
    pub folder: PathBuf,
    entries: Vec<Option<Child>>,
    agents: Vec<Option<Child>>,
    servers: Arc<Mutex<HashMap<String, Child>>>,
    ports: Ports,
}

#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    ready: u16,
    addresses: u16,
    peers: u16,
    metrics: u16,
}

/// Returns the numbers of free ports.
fn free_ports() -> io::Result<Ports> {
    let listeners: io::Result<Vec<TcpListener>> =
        (0..5).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    let listeners = listeners?;
    let port = |index: usize| listeners[index].local_addr().map(|address| address.port());
    Ok(Ports {
        callers: port(0)?,
        ready: port(1)?,
        addresses: port(2)?,
        peers: port(3)?,
        metrics: port(4)?,
    })
}

impl Fleet {
    /// Starts a store, relays for so many entries, and the first of these entries. The configuration
    /// is in the store before.
    pub fn start(
        entries: usize,
        started: usize,
        bounds: &Bounds,
        configuration: &str,
        record: Record,
    ) -> io::Result<Self> {
        let ports = free_ports()?;
        let random = sys::random();
        let block = [64 + (random % 60) as u8, 1 + (random >> 8) as u8 % 150];
        let net = Net { block, entries, peer_port: ports.peers };
        let folder = std::env::temp_dir().join(format!("review-{:x}", sys::random()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(HEARTBEAT, record.clone())?;
        store.put("op/config", configuration);
        let relays = Relays::start(net)?;
        let mut fleet = Self {
            net,
            relays,
            store,
            record,
            folder,
            entries: Vec::new(),
            agents: Vec::new(),
            servers: Arc::default(),
            ports,
        };
        for index in 0..entries {
            let child = (index < started).then(|| fleet.start_entry(index, bounds)).transpose()?;
            fleet.entries.push(child);
        }
        Ok(fleet)
    }

    /// Fills in `deploy/entry.json` and starts an entry.
    fn start_entry(&self, index: usize, bounds: &Bounds) -> io::Result<Child> {
        let Ports { callers, ready, addresses, peers, metrics } = self.ports;
        let ip = self.net.entry(index);
        // Three machines are seeds; an entry reaches them by relays.
        let seeds = (0..3).filter(|seed| *seed != index);
        let seeds: Vec<String> =
            seeds.map(|seed| format!("\"{}:8229\"", self.net.relay(seed))).collect();
        let (evacuate, cold) = match bounds.cold {
            Some((overrun, slack, evacuate_ms)) => (
                format!(", \"evacuate_ms\": {evacuate_ms}"),
                format!("\"cold\": {{ \"overrun\": {overrun}, \"slack\": {slack} }},"),
            ),
            None => (String::new(), String::new()),
        };
        let settings = format!(
            r#"{{
  "name": "edge-{index}",
  "data_centre": "kafr-zone",
  "listen": {{
    "callers": "{ip}:{callers}", "ready": "{ip}:{ready}", "addresses": "{ip}:{addresses}",
    "peers": "{ip}:{peers}", "metrics": "{ip}:{metrics}"
  }},
  "seeds": [{}],
  "store": {{ "address": "{}", "in_force_ms": {}, "target_renewal_ms": {}{evacuate} }},
  "retries": {{ "ratio": 0.2, "allowance": {} }},
  "buffers": {{ "memory_mb": 182 }},
  "connections": {{ "max_files": 2940 }},
  "stop": {{ "grace_s": {} }},
  {cold}
  "log": {{ "format": "json" }}
}}
"#,
            seeds.join(", "),
            self.store.address,
            bounds.config_apply_ms,
            HEARTBEAT.as_millis(),
            bounds.retry_allowance,
            bounds.grace_s,
        );
        fs::write(self.folder.join(format!("edge-{index}.json")), settings)?;
        self.spawn(ENTRY, &format!("edge-{index}"))
    }

    /// The address of the machine of a model server, where its agent runs too.
    pub fn side(&self, rank: usize) -> std::net::Ipv4Addr {
        std::net::Ipv4Addr::new(127, self.net.block[0], self.net.block[1], 150 + rank as u8)
    }

    /// Fills in `deploy/agent.json` for each model server and starts the agents.
    pub fn start_agents(&mut self, engines: &[SocketAddr]) -> io::Result<()> {
        let Ports { peers, metrics, .. } = self.ports;
        self.agents.clear();
        for (rank, engine) in engines.iter().enumerate() {
            let ip = self.side(rank);
            let seeds = (0..3).map(|seed| format!("\"{}:8229\"", self.net.relay(seed)));
            let seeds: Vec<String> = seeds.collect();
            let settings = format!(
                r#"{{
  "name": "side-{rank}", "data_centre": "kafr-zone", "engine": "{engine}",
  "listen": {{ "peers": "{ip}:{peers}", "metrics": "{ip}:{metrics}" }},
  "seeds": [{}], "link_mbps": 20.0,
  "buffers": {{ "memory_mb": 128 }}, "connections": {{ "max_files": 2048 }},
  "grace_s": 8, "log": {{ "format": "json" }}
}}
"#,
                seeds.join(", ")
            );
            let file = self.folder.join(format!("side-{rank}.json"));
            fs::write(&file, settings)?;
            self.agents.push(Some(self.spawn(AGENT, &format!("side-{rank}"))?));
        }
        Ok(())
    }

    /// Starts a program with the settings and the log of this name.
    fn spawn(&self, program: &str, name: &str) -> io::Result<Child> {
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(self.folder.join(format!("{name}.json"))).env_clear();
        command.stdout(log.try_clone()?).stderr(log).stdin(Stdio::null());
        sys::end_with_parent(&mut command);
        command.spawn()
    }

    /// Returns the processes of the system.
    pub fn processes(&self) -> Vec<u32> {
        self.entries.iter().chain(&self.agents).flatten().map(Child::id).collect()
    }

    /// Waits for the end of all processes of the system, which were killed.
    pub fn reap(&mut self) {
        for child in self.entries.iter_mut().chain(&mut self.agents) {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    pub fn callers(&self, entry: usize) -> SocketAddr {
        SocketAddr::from((self.net.entry(entry), self.ports.callers))
    }

    /// Waits until all entries say that they are ready, and know all servers.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let running = |entry: &usize| self.entries[*entry].is_some();
        (0..self.net.entries).filter(running).all(|entry| {
            let address = SocketAddr::from((self.net.entry(entry), self.ports.ready));
            loop {
                let timeout = Duration::from_millis(500);
                let answer = http::call(address, "GET /v1/readyz", &[], &[], timeout);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Starts a server process, and starts it again when it has ended, until the script ends.
    pub fn start_server(&self, settings: Settings, back: Back) -> io::Result<()> {
        let executable = std::env::current_exe()?;
        let (servers, record) = (Arc::clone(&self.servers), self.record.clone());
        let spawn = move |settings: &Settings| {
            let mut command = Command::new(&executable);
            command.args(settings.args()).stdin(Stdio::null());
            sys::end_with_parent(&mut command);
            command.spawn()
        };
        let mut settings = settings;
        let child = spawn(&settings)?;
        record.line(&format!("server {} starts, process {}", settings.id, child.id()));
        servers.lock().unwrap().insert(settings.id.clone(), child);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut all = servers.lock().unwrap();
            let Some(child) = all.get_mut(&settings.id) else { return };
            if !matches!(child.try_wait(), Ok(Some(_))) {
                continue;
            }
            record.line(&format!("server {} has ended", settings.id));
            all.remove(&settings.id);
            drop(all);
            match back {
                Back::Never => return,
                Back::WithNewId(after) => {
                    thread::sleep(after);
                    settings.id = new_server_id();
                }
            }
            let Ok(child) = spawn(&settings) else { return };
            record.line(&format!("server {} starts, process {}", settings.id, child.id()));
            servers.lock().unwrap().insert(settings.id.clone(), child);
        });
        Ok(())
    }

    /// Kills entries at the same moment.
    pub fn kill_entries(&mut self, entries: &[usize]) {
        for entry in entries {
            let Some(child) = &self.entries[*entry] else { continue };
            sys::signal(child.id(), sys::SIGKILL);
        }
        for entry in entries {
            let Some(mut child) = self.entries[*entry].take() else { continue };
            let _ = child.wait();
            self.record.line(&format!("edge-{entry} was killed"));
        }
    }

    /// Starts entries that do not run. Their settings name the first three as seeds in any case.
    pub fn start_entries(&mut self, entries: &[usize], bounds: &Bounds) -> io::Result<()> {
        for entry in entries {
            self.entries[*entry] = Some(self.start_entry(*entry, bounds)?);
            self.record.line(&format!("edge-{entry} starts"));
        }
        Ok(())
    }

    /// Returns the entries that have ended by themselves.
    pub fn ended_entries(&mut self) -> Vec<usize> {
        let ended = self.entries.iter_mut().enumerate();
        let ended = ended.filter_map(|(index, child)| {
            let child = child.as_mut()?;
            matches!(child.try_wait(), Ok(Some(_))).then_some(index)
        });
        ended.collect()
    }

    /// A free address for a server.
    pub fn server_address(&self, index: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.side(index), 0))?;
        listener.local_addr()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.reap();
        // The supervisors see that their servers are gone from the table, and start no others.
        for (_, mut child) in self.servers.lock().unwrap().drain() {
            let _ = child.kill();
            let _ = child.wait();
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs are in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}
