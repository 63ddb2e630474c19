//! Stand-ins of the platform (store, servers, clients) and a launcher of the project's entries, for
//! the scripts of this review. It uses the standard library only and speaks what PROTOCOL.md says.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::panic;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "review.example";
pub const KEY: &str = "k0review0key";
pub const TENANT: &str = "plant-a";
pub const SERVICE: &str = "dispatch-api";

/// The record of a run: events with the milliseconds since its start, written out at the end.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Into<String>) {
        let line = (self.now(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:>8.3} s  {text}", self.now() as f64 / 1000.0);
        self.add(text);
    }

    pub fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>9.3} {line}\n", *at as f64 / 1000.0))
            .collect();
        fs::write(file, text).expect("the record cannot be written");
    }
}

/// One HTTP message: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path().split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.replace("%2F", "/"))
        })
    }
}

/// Reads one message with a body of a stated length, in chunks, or up to the end of the connection.
/// Returns `None` at the end of the connection or if the message is cut.
pub fn read_message(reader: &mut BufReader<TcpStream>, answer: bool) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (key, value) = text.split_once(':')?;
        message.headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match message.header("content-length").map(str::parse::<usize>) {
        Some(length) => {
            let mut body = vec![0; length.ok()?];
            reader.read_exact(&mut body).ok()?;
            message.body = body;
        }
        None if answer && !matches!(message.status(), 204 | 304) => {
            reader.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let (mut n, mut bits, mut out) = (0_u32, 0, Vec::new());
    for digit in text.bytes().filter_map(|b| DIGITS.iter().position(|d| *d == b)) {
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits & 255) as u8);
        }
    }
    out
}

#[derive(Default)]
struct Kv {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// All changes: the key, the value (`None` for a removal) and the revision.
    log: Vec<(String, Option<Vec<u8>>, u64)>,
    leases: u64,
}

/// The way of one entry to the store.
#[derive(Default)]
pub struct Gate {
    /// While true all connections are closed, new ones too.
    pub cut: AtomicBool,
    /// The number of the last of its calls for changes of the server list, among those of all entries.
    pub watched_at: AtomicU64,
    /// The number of its watches of the server list that are waiting.
    pub watching: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

/// How long the store takes for an answer on average, as the sheet says.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The platform's metadata store. Each entry has an address of its own for it.
pub struct Store {
    kv: Mutex<Kv>,
    changed: Condvar,
    /// How often waiting watches were cut.
    cuts: AtomicU64,
    draws: AtomicU64,
    watches: AtomicU64,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let kv = Mutex::new(Kv { revision: 10, ..Kv::default() });
        Arc::new(Self {
            kv,
            changed: Condvar::new(),
            cuts: AtomicU64::new(0),
            draws: AtomicU64::new(u64::from(std::process::id())),
            watches: AtomicU64::new(0),
        })
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value.as_bytes().to_vec()))
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        self.change_all(vec![(key.to_owned(), value)])
    }

    /// Makes several changes, each with a revision of its own, before any watch hears of them.
    /// Returns the last revision.
    pub fn change_all(&self, changes: Vec<(String, Option<Vec<u8>>)>) -> u64 {
        let mut kv = self.kv.lock().unwrap();
        for (key, value) in changes {
            kv.revision += 1;
            let revision = kv.revision;
            match &value {
                Some(value) => drop(kv.items.insert(key.clone(), (value.clone(), revision))),
                None => drop(kv.items.remove(&key)),
            }
            kv.log.push((key, value, revision));
        }
        self.changed.notify_all();
        kv.revision
    }

    /// Cuts one entry off from the store, or ends that. Its connections are reset.
    pub fn set_cut(&self, gate: &Gate, cut: bool) {
        gate.cut.store(cut, Ordering::SeqCst);
        for stream in gate.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns a number from 0 to 1, as a simple generator draws it.
    fn draw(&self) -> f64 {
        let next = |n: u64| Some(n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
        let old = self.draws.fetch_update(Ordering::SeqCst, Ordering::SeqCst, next);
        (old.unwrap_or(0) >> 40) as f64 / (1_u64 << 24) as f64
    }

    /// Cuts all watches that are waiting: their connections are closed without an answer.
    pub fn cut_watches(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        let _kv = self.kv.lock().unwrap();
        self.changed.notify_all();
    }

    /// Opens an address of the store; calls through it pass the gate.
    pub fn listen(self: &Arc<Self>, ip: Ipv4Addr) -> (SocketAddr, Arc<Gate>) {
        let listener = TcpListener::bind((ip, 0)).expect("no port for the store");
        let addr = listener.local_addr().unwrap();
        let gate = Arc::new(Gate::default());
        let (store, shared) = (Arc::clone(self), Arc::clone(&gate));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (Arc::clone(&store), Arc::clone(&shared));
                gate.streams.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || {
                    let end = stream.try_clone();
                    store.serve(stream, &gate);
                    // The gate has a copy of the stream, which would keep the connection open.
                    let _ = end.map(|end| end.shutdown(Shutdown::Both));
                });
            }
        });
        (addr, gate)
    }

    fn serve(&self, stream: TcpStream, gate: &Gate) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader, false) {
            if gate.cut.load(Ordering::SeqCst) {
                return;
            }
            let is_watch = req.path().starts_with("/v1/kv-watch?prefix=servers/");
            if is_watch {
                let call = self.watches.fetch_add(1, Ordering::SeqCst);
                gate.watched_at.store(call, Ordering::SeqCst);
                gate.watching.fetch_add(1, Ordering::SeqCst);
            }
            let answer = self.answer(&req);
            if is_watch {
                gate.watching.fetch_sub(1, Ordering::SeqCst);
            }
            let Some((status, body)) = answer else { return };
            thread::sleep(ANSWER_TIME.mul_f64(0.5 + self.draw()));
            if gate.cut.load(Ordering::SeqCst) {
                return;
            }
            let headers = "Content-Type: application/json\r\n";
            if write_answer(&mut out, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call; `None` if it is a watch that is cut.
    fn answer(&self, req: &Message) -> Option<(&'static str, String)> {
        let path = req.path().split('?').next().unwrap_or("").to_owned();
        let prefix = req.query("prefix").unwrap_or_default();
        let number = |name: &str| req.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let item = |key: &str, value: &[u8], revision: u64| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
                base64(value)
            )
        };
        Some(match path.as_str() {
            "/v1/kv-range" => {
                let after = req.query("after").unwrap_or_default();
                let kv = self.kv.lock().unwrap();
                let mut found =
                    kv.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> = found
                    .by_ref()
                    .take(500)
                    .map(|(key, (value, rev))| item(key, value, *rev))
                    .collect();
                let more = found.next().is_some();
                (
                    "200 OK",
                    format!(
                        "{{\"entries\":[{}],\"hasMore\":{more},\"at\":{}}}",
                        page.join(","),
                        kv.revision
                    ),
                )
            }
            "/v1/kv-watch" => {
                let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
                let until = Instant::now() + wait;
                let cuts = self.cuts.load(Ordering::SeqCst);
                let mut kv = self.kv.lock().unwrap();
                loop {
                    let events: Vec<String> = kv
                        .log
                        .iter()
                        .filter(|(key, _, revision)| *revision > after && key.starts_with(&prefix))
                        .map(|(key, value, revision)| match value {
                            Some(value) => item(key, value, *revision),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        break (
                            "200 OK",
                            format!("{{\"events\":[{events}],\"at\":{}}}", kv.revision),
                        );
                    }
                    if self.cuts.load(Ordering::SeqCst) != cuts {
                        return None;
                    }
                    kv = self.changed.wait_timeout(kv, left).unwrap().0;
                }
            }
            "/v1/kv-lease" => {
                let mut kv = self.kv.lock().unwrap();
                kv.leases += 1;
                ("200 OK", format!("{{\"lease\":{},\"ttlMs\":600000}}", kv.leases))
            }
            "/v1/kv-txn" => {
                let body = String::from_utf8_lossy(&req.body).into_owned();
                let text = |name: &str| {
                    let start = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
                    body[start..].split('"').next().map(str::to_owned)
                };
                match (text("key"), text("value")) {
                    (Some(key), Some(value)) => {
                        let revision = self.change(&key, Some(unbase64(&value)));
                        ("200 OK", format!("{{\"revision\":{revision}}}"))
                    }
                    _ => ("400 Bad Request", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        })
    }
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
    pub server: String,
    pub ran: bool,
    /// True once the server has sent the whole answer.
    pub answered: bool,
}

/// One server of a service.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    zone: String,
    work: Duration,
    record: Arc<Record>,
    arrivals: Mutex<Vec<Arrival>>,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(
        record: &Arc<Record>,
        id: &str,
        ip: Ipv4Addr,
        zone: &str,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("no port for a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap(),
            zone: zone.to_owned(),
            work,
            record: Arc::clone(record),
            arrivals: Mutex::default(),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let acceptor = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.ended.load(Ordering::SeqCst) {
                    return;
                }
                acceptor.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let server = Arc::clone(&acceptor);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The value under the server's key in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":1,\"born\":1790000000000}}",
            self.addr, self.zone
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Ends the server: it accepts nothing more and cuts its connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader, false) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let id = req.header("Bitternwall-Attempt-Id").unwrap_or("").to_owned();
            let meant =
                req.header("Bitternwall-Expect-Instance").is_none_or(|only| only == self.id);
            let arrival = Arrival {
                at: self.record.now(),
                id: id.clone(),
                server: self.id.clone(),
                ran: meant,
                answered: !meant,
            };
            let index = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(arrival);
                arrivals.len() - 1
            };
            if !meant {
                let headers = format!("Bitternwall-Instance-Id: {}\r\n", self.id);
                if write_answer(&mut out, "421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record.add(format!("run      id={id} server={}", self.id));
            thread::sleep(self.work);
            if self.ended.load(Ordering::SeqCst) {
                self.record.add(format!("cut      id={id} server={}", self.id));
                return;
            }
            let headers = format!(
                "Bitternwall-Attempt-Id: {id}\r\nBitternwall-Server-Seal: {}.{id}\r\n",
                self.id
            );
            let body = format!("answer of {} to {id}\n", self.id);
            if write_answer(&mut out, "200 OK", &headers, body.as_bytes()).is_err() {
                return;
            }
            self.arrivals.lock().unwrap()[index].answered = true;
        }
    }
}

/// A process of the role `entry` of the deploy file.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub gate: Arc<Gate>,
    child: Child,
}

impl Entry {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What all entries of a deployment share.
pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub dir: PathBuf,
    /// The first two bytes of the loopback addresses.
    net: [u8; 2],
    ports: [u16; 5],
}

impl Deployment {
    pub fn new(record: &Arc<Record>) -> Self {
        let pid = std::process::id();
        let net = [127, 20 + (pid % 200) as u8];
        let dir = std::env::temp_dir().join(format!("bitternwall-review-{pid}"));
        fs::create_dir_all(&dir).expect("no temporary folder");
        // All entries use the same ports, as on the platform; each has an address of its own.
        let ip = Ipv4Addr::new(net[0], net[1], 1, 1);
        let ports =
            std::array::from_fn::<_, 5, _>(|_| TcpListener::bind((ip, 0)).expect("no free port"));
        let ports = ports.map(|listener| listener.local_addr().unwrap().port());
        Self { record: Arc::clone(record), store: Store::new(), dir, net, ports }
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], 1, number)
    }

    /// Starts an entry with settings as the template of the deploy file gives them.
    pub fn start_entry(&self, number: u8, name: &str, zone: &str) -> Entry {
        let ip = self.ip(number);
        let at = |index: usize| SocketAddr::from((ip, self.ports[index]));
        let (store, gate) = self.store.listen(self.ip(250));
        let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}:1\"", self.ip(n))).collect();
        let settings = format!(
            "{{\"name\":\"{name}\",\"data_centre\":\"{zone}\",\"listen\":{{\"callers\":\"{}\",\"ready\":\"{}\",\
             \"addresses\":\"{}\",\"peers\":\"{}\",\"metrics\":\"{}\"}},\"seeds\":[{}],\
             \"store\":{{\"address\":\"{store}\",\"in_force_ms\":2000}},\
             \"retries\":{{\"ratio\":0.2,\"allowance\":191}},\"buffers\":{{\"memory_mb\":182}},\
             \"stop\":{{\"grace_s\":8}},\"log\":{{\"format\":\"json\"}}}}",
            at(0),
            at(1),
            at(2),
            at(3),
            at(4),
            seeds.join(",")
        );
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, settings).expect("settings cannot be written");
        let log = File::create(self.dir.join(format!("{name}.log"))).expect("no log file");
        let mut command = Command::new("target/release/bitternwall-platform-entry");
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg("--settings")
            .arg(&file)
            .env("BITTERNWALL_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child
            .unwrap_or_else(|error| could_not_run(&format!("the entry does not start: {error}")));
        Entry {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: at(0),
            ready: at(1),
            gate,
            child,
        }
    }

    /// Waits until all entries are ready, or ends the run with 2.
    pub fn wait_ready(&self, entries: &[Entry]) {
        let until = Instant::now() + Duration::from_secs(15);
        for entry in entries {
            while !is_ready(entry.ready) {
                if Instant::now() > until {
                    could_not_run(&format!("{} is not ready", entry.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Copies the log lines of the entries that hold one of the words to the record.
    pub fn keep_logs(&self, entries: &[Entry], words: &[&str]) {
        for entry in entries {
            let log = fs::read_to_string(self.dir.join(format!("{}.log", entry.name)))
                .unwrap_or_default();
            for line in log.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                self.record.add(format!("log      {}: {line}", entry.name));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// The reason why a case could not run.
pub struct CouldNotRun(pub String);

/// Ends the case with exit status 2. It unwinds, so that the processes that were started are ended.
pub fn could_not_run(why: &str) -> ! {
    panic::resume_unwind(Box::new(CouldNotRun(why.to_owned())))
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Makes the kernel end a process that is started if this one ends first.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let call = format!("GET /v1/readyz HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    if stream.write_all(call.as_bytes()).is_err() {
        return false;
    }
    read_message(&mut BufReader::new(stream), true).is_some_and(|answer| answer.status() == 200)
}

/// A client attempt and its end; status 0 stands for a connection that ended without an answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub entry: String,
    pub sent: u64,
    pub ended: u64,
    pub status: u16,
}

/// Sends one request on a new connection and waits for its answer.
pub fn send(
    record: &Record,
    entry: &Endpoint,
    id: &str,
    method: &str,
    path: &str,
    deadline_ms: u64,
) -> Attempt {
    let sent = record.now();
    record.add(format!("send     id={id} entry={} {method} {path}", entry.name));
    let status = exchange(entry.callers, id, method, path, deadline_ms).unwrap_or(0);
    record.add(format!("answer   id={id} entry={} status={status}", entry.name));
    Attempt { id: id.to_owned(), entry: entry.name.clone(), sent, ended: record.now(), status }
}

fn exchange(addr: SocketAddr, id: &str, method: &str, path: &str, deadline_ms: u64) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 500))).ok()?;
    let body = if method == "POST" { "{\"valve\":7}" } else { "" };
    let call = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBitternwall-Attempt-Id: {id}\r\n\
         Bitternwall-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(call.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), true).map(|answer| answer.status())
}

/// What clients know of an entry.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub callers: SocketAddr,
}

/// Clients that each send one request after the other, to the entries in turn, until told to stop.
pub struct Clients {
    stop: Arc<AtomicBool>,
    tasks: Vec<thread::JoinHandle<Vec<Attempt>>>,
}

impl Clients {
    pub fn start(record: &Arc<Record>, entries: &[Entry], count: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let known: Vec<Endpoint> = entries
            .iter()
            .map(|entry| Endpoint { name: entry.name.clone(), callers: entry.callers })
            .collect();
        let tasks = (0..count).map(|client| {
            let (record, stop, known) = (Arc::clone(record), Arc::clone(&stop), known.clone());
            thread::spawn(move || {
                let mut attempts = Vec::new();
                let mut number = 0;
                thread::sleep(pause * client as u32 / count as u32);
                while !stop.load(Ordering::SeqCst) {
                    let entry = &known[(client + number) % known.len()];
                    let id = format!("{client:04x}{number:08x}beef");
                    attempts.push(send(&record, entry, &id, "POST", "/holds/2f", 1000));
                    number += 1;
                    thread::sleep(pause);
                }
                attempts
            })
        });
        let tasks = tasks.collect();
        Self { stop, tasks }
    }

    pub fn finish(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::SeqCst);
        self.tasks.into_iter().flat_map(|task| task.join().unwrap_or_default()).collect()
    }
}

/// A configuration with one route of a plain service whose requests may run once only.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeoutMs\":1000,\
             \"sloMs\":100,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"public\":false,\
             \"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\
         \"maxConns\":208,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":10000,\"idleTimeoutMs\":60000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        route("holds", "/holds/", "non_idempotent", 1),
        route("readings", "/readings/", "idempotent", 2)
    )
}
