//! A complete system on loopback, with each part in a separate process, for the demo, the tests and
//! the benchmarks.

pub mod documents;
pub mod process;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use std::{env, fs, io, process as std_process};

use serde_json::{Value, json};

pub use process::{Process, ProcessError, Result};

/// The bearer token of the fleet's operator.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
/// SHA-256 of [`OPERATOR_TOKEN`].
pub const OPERATOR_TOKEN_SHA256: &str =
    "61112491d046c3f6f8ab801f170d9b2d0c734a17ceff60dee92123fb507cfc3f";
/// The name of the model service.
pub const MODEL_SERVICE: &str = "summary-llm";
/// The name of the plain service.
pub const PLAIN_SERVICE: &str = "dispatch-api";
/// The data centres over which processes are distributed in turn.
pub const DATA_CENTRES: [&str; 3] = ["kafr", "damietta", "tanta"];
/// Interval at which processes poll the host list, in milliseconds.
const HOST_LIST_POLL_MS: u64 = 100;
const REGION: &str = "delta-north";

/// The size of a fleet and its deviations from the default settings.
#[derive(Clone)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent.
    pub engines: usize,
    /// Number of targets of the plain service, each with an agent.
    pub services: usize,
    /// True if entries learn of each other only from the host list.
    pub host_list: bool,
    /// Additional command-line arguments of every engine.
    pub engine_arguments: Vec<String>,
    /// Modifies the settings of each entry before they are written.
    pub adjust_entry: fn(&mut Value),
    /// Modifies the settings of each agent before they are written.
    pub adjust_agent: fn(&mut Value),
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: 1,
            services: 1,
            host_list: false,
            engine_arguments: Vec::new(),
            adjust_entry: |_| {},
            adjust_agent: |_| {},
        }
    }
}

/// A back end with its agent.
pub struct Target {
    /// The name of the target's resource.
    pub name: String,
    /// The service that the target belongs to.
    pub service: &'static str,
    /// The data centre in which the target is located.
    pub data_centre: &'static str,
    /// The stand-in of the back end.
    pub back_end: Process,
    /// The agent through which entries reach the back end.
    pub agent: Process,
    /// The address to which entries connect: that of the agent, or of a proxy in front of it.
    pub link: SocketAddr,
    settings: PathBuf,
}

impl Target {
    /// Starts the agent again after it has terminated.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn restart_agent(&mut self) -> Result<()> {
        let address = self.agent.address;
        self.agent = Process::daemon(&self.name, AGENT, &self.settings, address)?;
        Ok(())
    }

    /// Restarts the agent with its target at another address, such as that of a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be changed or the agent does not start.
    pub fn redirect_agent(&mut self, back_end: SocketAddr) -> Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let mut settings: Value = serde_json::from_str(&text).map_err(io::Error::from)?;
        settings["target_url"] = json!(format!("http://{back_end}"));
        fs::write(&self.settings, settings.to_string())?;
        self.agent.kill()?;
        self.restart_agent()
    }
}

/// An entry; callers connect to the address of its process.
pub struct Entry {
    /// The running process.
    pub process: Process,
    /// The address to which other entries connect.
    pub link: SocketAddr,
    /// The address at which its metrics are served.
    pub admin: SocketAddr,
    settings: PathBuf,
}

impl Entry {
    /// Starts the entry again after it has terminated.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn restart(&mut self) -> Result<()> {
        let (name, address) = (self.process.name.clone(), self.process.address);
        self.process = Process::daemon(&name, ENTRY, &self.settings, address)?;
        Ok(())
    }
}

const AGENT: &str = "bitternwall-agent";
const ENTRY: &str = "bitternwall-entry";

/// A running system; dropping it kills all its processes and removes its folder, unless the
/// environment variable `BITTERNWALL_KEEP_LOGS` is set.
pub struct Fleet {
    /// The entries, which are stopped first.
    pub entries: Vec<Entry>,
    /// The targets with their agents.
    pub targets: Vec<Target>,
    /// The stand-in of the platform's key-value service.
    pub store: Process,
    /// The stand-in of the platform's host list, if the plan has one.
    pub hosts: Option<Process>,
    /// The folder of settings and logs.
    pub dir: PathBuf,
}

impl Fleet {
    /// Starts all processes of a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub fn start(plan: &Plan) -> Result<Self> {
        let dir = create_temp_dir()?;
        let hosts = plan.host_list.then(|| Process::stand_in("hosts", &["hosts"])).transpose()?;
        let platform = Platform { store: Process::stand_in("store", &["kv"])?, hosts };
        let mut targets = Vec::new();
        for index in 0..plan.engines {
            let name = format!("engine-{index}");
            let mut arguments = vec!["engine", "--name", &name];
            arguments.extend(plan.engine_arguments.iter().map(String::as_str));
            let back_end = Process::stand_in(&name, &arguments)?;
            targets.push(target(plan, &dir, &platform, index, MODEL_SERVICE, back_end)?);
        }
        for index in 0..plan.services {
            let name = format!("service-{index}");
            let back_end = Process::stand_in(&name, &["service", "--name", &name])?;
            targets.push(target(plan, &dir, &platform, index, PLAIN_SERVICE, back_end)?);
        }
        let entries = entries(plan, &dir, &platform)?;
        let Platform { store, hosts } = platform;
        Ok(Self { entries, targets, store, hosts, dir })
    }

    /// Returns the address at which an entry accepts callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].process.address
    }

    /// Returns the last line of each daemon's log, to explain why the fleet does not get ready.
    pub fn last_log_lines(&self) -> Vec<String> {
        let agents = self.targets.iter().map(|target| &target.settings);
        let settings = self.entries.iter().map(|entry| &entry.settings).chain(agents);
        let last_line = |settings: &PathBuf| {
            let log = settings.with_extension("log");
            let text = fs::read_to_string(&log).unwrap_or_else(|error| error.to_string());
            format!("{}: {}", log.display(), text.lines().last().unwrap_or_default())
        };
        settings.map(last_line).collect()
    }

    /// Returns the resources that the operator of this fleet declares.
    pub fn documents(&self) -> Vec<Value> {
        documents::all(&self.targets)
    }

    /// Stops entries and then agents gracefully, and waits for their end. The stand-ins run on
    /// until the fleet is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error for the first process that does not terminate within `limit`.
    pub fn stop(&mut self, limit: Duration) -> Result<()> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        stop_all(entries.collect(), limit)?;
        let agents = self.targets.iter_mut().map(|target| &mut target.agent);
        stop_all(agents.collect(), limit)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if env::var_os("BITTERNWALL_KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.dir));
        }
    }
}

fn stop_all(mut processes: Vec<&mut Process>, limit: Duration) -> Result<()> {
    for process in &processes {
        process.signal("TERM")?;
    }
    processes.iter_mut().try_for_each(|process| process.wait(limit).map(drop))
}

fn create_temp_dir() -> Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = env::temp_dir().join(format!("bitternwall-{}-{number}", std_process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

/// The stand-ins whose addresses are in every daemon's settings.
struct Platform {
    store: Process,
    hosts: Option<Process>,
}

impl Platform {
    fn store_url(&self) -> String {
        format!("http://{}", self.store.address)
    }

    fn add_host_list(&self, settings: &mut Value) {
        if let Some(hosts) = &self.hosts {
            let url = format!("http://{}", hosts.address);
            settings["host_list"] = json!({ "url": url, "poll_ms": HOST_LIST_POLL_MS });
        }
    }
}

fn target(
    plan: &Plan,
    dir: &Path,
    platform: &Platform,
    index: usize,
    service: &'static str,
    back_end: Process,
) -> Result<Target> {
    let addresses = process::free_addresses(2)?;
    let mut settings = json!({
        "target": back_end.name,
        "service": service,
        "data_centre": data_centre(index),
        "region": REGION,
        "listen": addresses[0],
        "admin_listen": addresses[1],
        "target_url": format!("http://{}", back_end.address),
        "store": [platform.store_url()],
    });
    platform.add_host_list(&mut settings);
    (plan.adjust_agent)(&mut settings);
    let file = write_settings(dir, &format!("agent-{}", back_end.name), &settings)?;
    let agent = Process::daemon(&back_end.name, AGENT, &file, addresses[0])?;
    let (name, data_centre) = (back_end.name.clone(), data_centre(index));
    let link = agent.address;
    Ok(Target { name, service, data_centre, back_end, agent, link, settings: file })
}

fn entries(plan: &Plan, dir: &Path, platform: &Platform) -> Result<Vec<Entry>> {
    let addresses = process::free_addresses(3 * plan.entries)?;
    let name = |index| format!("entry-{index}");
    let peer = |index: usize| {
        json!({
            "name": name(index),
            "data_centre": data_centre(index),
            "address": addresses[3 * index],
            "link": addresses[3 * index + 1],
        })
    };
    let mut entries = Vec::new();
    for index in 0..plan.entries {
        let peers: Vec<Value> =
            (0..plan.entries).filter(|other| *other != index).map(peer).collect();
        let mut settings = json!({
            "name": name(index),
            "data_centre": data_centre(index),
            "region": REGION,
            "listen": addresses[3 * index],
            "link_listen": addresses[3 * index + 1],
            "admin_listen": addresses[3 * index + 2],
            "store": { "endpoints": [platform.store_url()] },
            "peers": if plan.host_list { Vec::new() } else { peers },
            "operator_api": {
                "operators": [{ "name": "amal", "token_sha256": OPERATOR_TOKEN_SHA256 }],
            },
            "address_keep_ms": 1_000,
        });
        platform.add_host_list(&mut settings);
        (plan.adjust_entry)(&mut settings);
        let file = write_settings(dir, &name(index), &settings)?;
        let process = Process::daemon(&name(index), ENTRY, &file, addresses[3 * index])?;
        let (link, admin) = (addresses[3 * index + 1], addresses[3 * index + 2]);
        entries.push(Entry { process, link, admin, settings: file });
    }
    Ok(entries)
}

fn write_settings(dir: &Path, name: &str, settings: &Value) -> Result<PathBuf> {
    let file = dir.join(format!("{name}.json"));
    fs::write(&file, settings.to_string())?;
    Ok(file)
}
