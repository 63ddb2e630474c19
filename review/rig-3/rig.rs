//! The rig of the cases: a small deployment on loopback addresses and the real clock.
//!
//! It starts entries with the command of the deploy file, and stands in for the platform's store, the
//! servers and the clients. Stand-ins follow the pages; what they saw goes to `record.txt`.
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

use std::collections::BTreeMap;
use std::env;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

/// The bounds of the small site that the rules use.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// A server renews its record at this interval; the record is removed after three silent ones.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Ends the run as one that could not be made.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    exit(2)
}

/// The lines of `record.txt`, each with the time since the start in milliseconds.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{at:>7} {text}");
    }
}

/// A message as read from a connection.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a request or an answer whose body has a length or comes in chunks.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = |line: &[u8]| String::from_utf8_lossy(line).trim_end().to_owned();
    let first_line = text(&line);
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = text(&line);
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut message = Message { first_line, headers, body: Vec::new() };
    let chunked = message.header("Transfer-Encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            line.clear();
            reader.read_until(b'\n', &mut line)?;
            let size = usize::from_str_radix(text(&line).split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("Content-Length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes an answer with a body of known length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let value = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = value(0) << 16 | value(1) << 8 | value(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            out.push(if index > part.len() { '=' } else { char::from(digit) });
        }
    }
    out
}

/// Returns the value of a string field in a compact JSON text without escapes, as entries write it.
fn json_text<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    let rest = text.split_once(&format!("\"{field}\":\""))?.1;
    rest.split_once('"').map(|(value, _)| value)
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    last_lease: u64,
    /// The values, in base64, with their revisions.
    items: BTreeMap<String, (String, u64)>,
    /// Each change with its key; `None` for a removal.
    changes: Vec<(u64, String, Option<String>)>,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

/// One machine's way to the store.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    /// True while the store leaves the machine's calls unanswered.
    is_silent: Arc<AtomicBool>,
}

impl Door {
    /// Turns the machine away without an answer, or serves it again. Calls that were left unanswered
    /// stay so, and their connections bring nothing further.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }
}

impl Store {
    /// Opens a way to the store for one machine.
    pub fn open_door(&self) -> Door {
        let listener = bind("127.0.0.1:0");
        let addr = listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let door = Door { addr, is_silent: Arc::default() };
        let (store, copy) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), copy.clone());
                thread::spawn(move || drop(store.serve(stream, &door)));
            }
        });
        door
    }

    pub fn put(&self, key: &str, value: &str) {
        self.put_encoded(key, base64(value.as_bytes()));
    }

    fn put_encoded(&self, key: &str, value: String) -> u64 {
        let mut state = lock(&self.0.0);
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.clone(), revision));
        state.changes.push((revision, key.to_owned(), Some(value)));
        self.0.1.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.0.0);
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, key.to_owned(), None));
            self.0.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream, door: &Door) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            let (_, target) = call.request();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let field = |name: &str| {
                let mut fields = query.split('&').filter_map(|field| field.split_once('='));
                fields.find(|(key, _)| *key == name).map(|(_, value)| value).unwrap_or("")
            };
            let body = match path {
                "/v1/kv-range" => self.range(field("prefix")),
                "/v1/kv-watch" => {
                    let number = |name: &str| field(name).parse().unwrap_or(0);
                    self.watch(field("prefix"), number("after"), number("waitMs"))
                }
                "/v1/kv-lease" => {
                    let mut state = lock(&self.0.0);
                    state.last_lease += 1;
                    format!("{{\"lease\":{},\"ttlMs\":60000}}", state.last_lease)
                }
                "/v1/kv-txn" => {
                    let text = String::from_utf8_lossy(&call.body).into_owned();
                    let (key, value) = (json_text(&text, "key"), json_text(&text, "value"));
                    match key.zip(value) {
                        Some((key, value)) => {
                            let revision = self.put_encoded(key, value.to_owned());
                            format!("{{\"revision\":{revision}}}")
                        }
                        None => String::from("{\"revision\":0}"),
                    }
                }
                _ => String::from("{\"ttlMs\":60000}"),
            };
            if door.is_silent.load(Ordering::SeqCst) {
                // The connection stays open and brings nothing any more.
                let _ = io::copy(&mut reader, &mut io::sink());
                return Ok(());
            }
            let json = [("Content-Type", "application/json")];
            write_answer(&mut out, "200 OK", &json, body.as_bytes())?;
        }
        Ok(())
    }

    fn range(&self, prefix: &str) -> String {
        let state = lock(&self.0.0);
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = items.map(|(key, (value, revision))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":0}}")
        });
        let items: Vec<String> = items.collect();
        format!("{{\"entries\":[{}],\"hasMore\":false,\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = lock(&self.0.0);
        loop {
            let new = state.changes.iter();
            let new = new.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":0}}"
                    ),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = self.0.1.wait_timeout(state, left).map(|(state, _)| state).unwrap_or_else(
                |_| cannot_run("the store's lock is poisoned"),
            );
        }
    }
}

pub fn bind(addr: &str) -> TcpListener {
    TcpListener::bind(addr).unwrap_or_else(|error| cannot_run(&format!("{addr}: {error}")))
}

/// A request that has reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub server: String,
    pub crashes: bool,
    pub body: Vec<u8>,
}

/// What all servers have seen.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Vec<Arrival>,
    /// When each server crashed.
    pub crashes: Vec<Instant>,
}

/// A plain server. A request whose body begins with `crash` ends it shortly after it has begun.
pub struct Server {
    pub name: &'static str,
    pub service: String,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub work: Duration,
    pub store: Store,
    pub seen: Arc<Mutex<Seen>>,
    pub record: Arc<Record>,
    /// The incarnation, and the connections of this one.
    life: Mutex<(u32, Vec<TcpStream>)>,
}

/// A part of prompts that crashes the servers which run requests with it, unless it is the last part.
pub const CRASHING_PART: &str = "5c1e07a2:800";
/// Time from the beginning of a crashing request to the end of its server.
const CRASH_AFTER: Duration = Duration::from_millis(700);
/// Time after which a server that has crashed starts again.
const BACK_AFTER: Duration = Duration::from_millis(2_500);

impl Server {
    pub fn start(
        name: &'static str,
        service: &str,
        zone: &'static str,
        work: Duration,
        store: &Store,
        seen: &Arc<Mutex<Seen>>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = bind("127.0.0.1:0");
        let addr = listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let server = Arc::new(Self {
            name,
            service: service.to_owned(),
            zone,
            addr,
            work,
            store: store.clone(),
            seen: Arc::clone(seen),
            record: Arc::clone(record),
            life: Mutex::default(),
        });
        Self::begin_life(&server, listener);
        server
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.name, lock(&self.life).0)
    }

    fn begin_life(server: &Arc<Self>, listener: TcpListener) {
        lock(&server.life).0 += 1;
        let life = lock(&server.life).0;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":{born}}}",
            server.service, server.addr, server.zone
        );
        server.store.put(&format!("servers/{}", server.id()), &value);
        server.record.line(&format!("server {} starts at {}", server.id(), server.addr));
        let _ = listener.set_nonblocking(true);
        let server = Arc::clone(server);
        thread::spawn(move || {
            while server.is_alive(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&server.life).1.push(copy);
                        }
                        let server = Arc::clone(&server);
                        thread::spawn(move || drop(server.serve(stream, life)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_alive(&self, life: u32) -> bool {
        lock(&self.life).0 == life
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, life: u32) -> io::Result<()> {
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let attempt = request.header("Bitternwall-Attempt-Id").unwrap_or("").to_owned();
            let id = self.id();
            let echo = ("Bitternwall-Attempt-Id", attempt.as_str());
            let expected = request.header("Bitternwall-Expect-Instance");
            if expected.is_some_and(|expected| expected != id) {
                let headers = [echo, ("Bitternwall-Instance-Id", id.as_str())];
                write_answer(&mut out, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let parts = request.header("Bitternwall-Prefix-Hash").unwrap_or("");
            let has_crashing_part = parts.split(',').rev().skip(1).any(|part| part == CRASHING_PART);
            let crashes = has_crashing_part || request.body.starts_with(b"crash");
            self.record.line(&format!(
                "server {id} runs {attempt} {}{}",
                request.first_line,
                if crashes { ", which crashes it" } else { "" }
            ));
            lock(&self.seen).arrivals.push(Arrival {
                at: Instant::now(),
                attempt: attempt.clone(),
                server: id.clone(),
                crashes,
                body: request.body.clone(),
            });
            if crashes {
                thread::sleep(CRASH_AFTER);
                self.crash(life, &attempt);
                return Ok(());
            }
            thread::sleep(self.work);
            if !self.is_alive(life) {
                return Ok(());
            }
            let headers = [echo, ("Bitternwall-Server-Seal", "5e.a1")];
            write_answer(&mut out, "200 OK", &headers, format!("done by {id}\n").as_bytes())?;
        }
        Ok(())
    }

    /// Leaves without a report that it drains: its record is removed, and it goes on serving. Returns
    /// the id that it had.
    pub fn leave_unreported(&self) -> String {
        let id = self.id();
        self.store.remove(&format!("servers/{id}"));
        self.record.line(&format!("the store acknowledges that {id} is gone"));
        id
    }

    /// Ends the process after it has left, and starts another incarnation.
    pub fn replace(self: &Arc<Self>) {
        {
            let mut state = lock(&self.life);
            state.0 += 1;
            for stream in state.1.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.record.line(&format!("server {} ends", self.name));
        thread::sleep(Duration::from_millis(100));
        let listener = TcpListener::bind(self.addr);
        let listener = listener.unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self::begin_life(self, listener);
    }

    /// Ends the process: it stops listening, its connections close, and its record stays until three
    /// heartbeats are missing. It is back later, as another incarnation at the same address.
    fn crash(self: &Arc<Self>, life: u32, by: &str) {
        let id = self.id();
        {
            let mut state = lock(&self.life);
            if state.0 != life {
                return;
            }
            state.0 += 1;
            for stream in state.1.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        lock(&self.seen).crashes.push(Instant::now());
        self.record.line(&format!("server {id} crashes under {by}"));
        let server = Arc::clone(self);
        let old = format!("servers/{id}");
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            let listener = loop {
                match TcpListener::bind(server.addr) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            Self::begin_life(&server, listener);
            thread::sleep((HEARTBEAT * 3).saturating_sub(BACK_AFTER));
            server.store.remove(&old);
            server.record.line(&format!("the record {old} expires"));
        });
    }
}

/// An entry process.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub door: Door,
    child: Child,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The deployment under test.
pub struct Rig {
    pub record: Arc<Record>,
    pub store: Store,
    pub seen: Arc<Mutex<Seen>>,
    pub entries: Vec<Entry>,
    pub trouble: bool,
    folder: PathBuf,
    next_attempt: Mutex<u64>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The zones of the site dbgc-logs, with their machines of the class `edge`.
const ZONES: [(&str, usize); 3] = [("kafr-zone", 4), ("damietta-zone", 7), ("tanta-zone", 2)];

impl Rig {
    pub fn new(case: &str) -> Self {
        let path = env::args().nth(2).unwrap_or_else(|| cannot_run("no path for the record"));
        let file = File::create(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let record = Record { file: Mutex::new(file), start: Instant::now() };
        let folder = env::temp_dir().join(format!("bitternwall-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("case {case} trouble={trouble}"));
        Self {
            record: Arc::new(record),
            store: Store::default(),
            seen: Arc::default(),
            entries: Vec::new(),
            trouble,
            folder,
            next_attempt: Mutex::default(),
        }
    }

    pub fn zone(index: usize) -> &'static str {
        ZONES[index % ZONES.len()].0
    }

    pub fn entry(&self, name: &str) -> usize {
        let found = self.entries.iter().position(|entry| entry.name == name);
        found.unwrap_or_else(|| cannot_run("no such machine"))
    }

    /// Starts the entries of the site with the settings that the deploy file's template gives, each at
    /// an address of its own, and waits until all are ready and in touch.
    pub fn start_entries(&mut self) {
        let names = ZONES.iter().flat_map(|(zone, count)| (1..=*count).map(move |n| (*zone, n)));
        let names: Vec<(&str, usize)> = names.collect();
        let count = names.len();
        let net = 1 + (std::process::id() % 250) as u8;
        let ip = |index: usize| Ipv4Addr::new(127, 0, net, index as u8 + 1);
        let ports = free_ports(&(0..count).map(ip).collect::<Vec<_>>(), 5);
        let [callers, ready, addresses, peers, metrics] = ports[..] else {
            cannot_run("too few free ports")
        };
        // One seed of each zone, as on the site.
        let seeds: Vec<String> = [0, 4, 11].map(|i| format!("\"{}:1\"", ip(i))).into();
        for index in 0..count {
            let (zone, number) = names[index];
            let (ip, name, door) = (ip(index), format!("edge-{zone}-{number}"), self.store.open_door());
            let store = door.addr;
            let settings = format!(
                "{{\"name\":\"{name}\",\"data_centre\":\"{zone}\",\"listen\":{{\
                 \"callers\":\"{ip}:{callers}\",\"ready\":\"{ip}:{ready}\",\
                 \"addresses\":\"{ip}:{addresses}\",\"peers\":\"{ip}:{peers}\",\
                 \"metrics\":\"{ip}:{metrics}\"}},\"seeds\":[{}],\
                 \"store\":{{\"address\":\"{store}\",\"in_force_ms\":2000,\"target_renewal_ms\":1200}},\
                 \"retries\":{{\"ratio\":0.2,\"allowance\":191}},\
                 \"buffers\":{{\"memory_mb\":182}},\"connections\":{{\"max_files\":2940}},\
                 \"stop\":{{\"grace_s\":8}},\"log\":{{\"format\":\"json\"}}}}",
                seeds.join(",")
            );
            let path = self.folder.join(format!("{name}.json"));
            let written = fs::write(&path, settings);
            written.unwrap_or_else(|error| cannot_run(&error.to_string()));
            let log = File::create(self.folder.join(format!("{name}.log")));
            let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
            let child = Command::new("target/release/bitternwall-platform-entry")
                .arg("--settings")
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(Stdio::null())
                .spawn()
                .unwrap_or_else(|error| cannot_run(&format!("the entry does not start: {error}")));
            let at = |port: u16| SocketAddr::new(IpAddr::V4(ip), port);
            self.entries.push(Entry { name, callers: at(callers), ready: at(ready), door, child });
        }
        let give_up = Instant::now() + Duration::from_secs(20);
        while !self.entries.iter().all(|entry| is_ready(entry.ready)) {
            if Instant::now() > give_up {
                cannot_run("the entries do not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(CONTACT + Duration::from_secs(1));
        self.record.line(&format!("{count} entries are ready and in touch"));
    }

    /// Returns a new id of a client's attempt.
    pub fn attempt(&self) -> String {
        let mut next = lock(&self.next_attempt);
        *next += 1;
        format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + *next)
    }

    /// Sends one request on a new connection, as a client attempt of its own. Returns its id and the
    /// answer; `None` if the connection ended without one.
    pub fn send(&self, entry: usize, head: &str, body: &[u8], deadline: Duration) -> (String, Option<Message>) {
        let id = self.attempt();
        let entry = &self.entries[entry % self.entries.len()];
        self.record.line(&format!("client sends {id} to {}", entry.name));
        let answer = exchange(entry.callers, &id, head, body, deadline).ok().flatten();
        match &answer {
            Some(answer) => self.record.line(&format!("client gets {id} {}", answer.first_line)),
            None => self.record.line(&format!("client gets {id} no answer")),
        }
        (id, answer)
    }
}

fn exchange(
    addr: SocketAddr,
    id: &str,
    head: &str,
    body: &[u8],
    deadline: Duration,
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline))?;
    let request = format!(
        "{head}Bitternwall-Attempt-Id: {id}\r\nBitternwall-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream))
}

fn is_ready(addr: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}

/// Returns ports that are free at all of these addresses.
fn free_ports(ips: &[Ipv4Addr], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    for _ in 0..1_000 {
        if ports.len() == count {
            return ports;
        }
        let Ok(listener) = TcpListener::bind((ips[0], 0)) else { continue };
        let Ok(addr) = listener.local_addr() else { continue };
        let port = addr.port();
        let is_free = |ip: &Ipv4Addr| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        drop(listener);
        if !ports.contains(&port) && ips.iter().all(is_free) {
            ports.push(port);
        }
    }
    cannot_run("no free ports")
}

fn main() {
    let case = env::args().nth(1).unwrap_or_default();
    exit(cases::run(&case))
}
