//! A group of model servers that execute each step together, as their page tells.
//!
//! The servers are threads of the script, at addresses of their own, so that they outlive the
//! programs of the system.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::sys::Record;

pub const RANKS: usize = 4;
/// Experts of the one set of layers, and places of a rank for them.
pub const EXPERTS: usize = 8;
pub const PLACES: usize = 2;
const SPARE: usize = 2;
const STEP: Duration = Duration::from_millis(20);
/// The time in which a rank copies experts.
const COPY: Duration = Duration::from_millis(60);
/// The steps of an answer, each of which makes an event.
const EVENTS: u64 = 8;
/// How often the requests choose each expert in one step, at first and later. Map 0 has the first two
/// at rank 0.
const EVEN_CHOICES: [u64; EXPERTS] = [13; EXPERTS];
const CHOICES: [u64; EXPERTS] = [50, 47, 1, 1, 1, 1, 1, 1];

#[derive(Clone, Default)]
struct Rank {
    id: String,
    version: u64,
    experts: Vec<usize>,
    /// The highest version that it has been told to prepare.
    newest: u64,
    prepared: Option<(u64, Vec<usize>)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    sequence: u64,
    active: u32,
    counts: [u64; EXPERTS],
}

struct Group {
    step: u64,
    choices: [u64; EXPERTS],
    ranks: Vec<Rank>,
}

/// What is called as soon as a step is held, before the order is answered.
type OnHold = Box<dyn Fn() + Send + Sync>;

#[derive(Clone)]
pub struct Engines {
    shared: Arc<(Mutex<Group>, Condvar)>,
    on_hold: Arc<Mutex<Option<OnHold>>>,
    record: Record,
}

impl Engines {
    /// Starts the servers of a group at these addresses, with these ids.
    pub fn start(servers: Vec<(TcpListener, String)>, record: Record) -> Self {
        let ranks = servers.iter().enumerate().map(|(rank, (_, id))| {
            let experts = (rank * PLACES..(rank + 1) * PLACES).collect();
            Rank { id: id.clone(), experts, ..Rank::default() }
        });
        let group = Group { step: 0, choices: EVEN_CHOICES, ranks: ranks.collect() };
        let shared = Arc::new((Mutex::new(group), Condvar::new()));
        let engines = Self { shared, on_hold: Arc::default(), record };
        for (rank, (listener, _)) in servers.into_iter().enumerate() {
            let engines = engines.clone();
            http::serve(listener, move |request| Some(engines.handle(rank, &request)));
        }
        let stepper = engines.clone();
        thread::spawn(move || loop {
            thread::sleep(STEP);
            stepper.step();
        });
        engines
    }

    /// Sets what is called once as soon as the next step is held.
    pub fn on_next_hold(&self, call: impl Fn() + Send + Sync + 'static) {
        *self.on_hold.lock().unwrap() = Some(Box::new(call));
    }

    /// Makes the requests choose other experts from now on.
    pub fn shift(&self) {
        self.shared.0.lock().unwrap().choices = CHOICES;
        self.record.line("the requests choose other experts from now on");
    }

    pub fn state(&self) -> String {
        let group = self.shared.0.lock().unwrap();
        let held = group.ranks[0].held;
        format!("step {}, map {}, held {held:?}", group.step, group.ranks[0].version)
    }

    /// Begins the next step of a group with requests, unless a rank holds it.
    fn step(&self) {
        let (mutex, changed) = &*self.shared;
        let mut group = mutex.lock().unwrap();
        let next = group.step + 1;
        let is_idle = group.ranks.iter().all(|rank| rank.active == 0);
        if is_idle || group.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        group.step = next;
        let choices = group.choices;
        for (index, rank) in group.ranks.iter_mut().enumerate() {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step == next) {
                let (_, experts) = rank.prepared.take().unwrap_or_default();
                (rank.version, rank.experts, rank.armed) = (version, experts, None);
            }
            for (count, choices) in rank.counts.iter_mut().zip(choices) {
                *count += choices * u64::from(rank.active) + (next + index as u64) % 2;
            }
        }
        changed.notify_all();
    }

    fn handle(&self, rank: usize, request: &Message) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        match (request.method(), request.path()) {
            ("GET", "/v1/report") => http::answer("200 OK", &json, &self.report(rank)),
            ("GET", "/v1/picked") => {
                let lists = request.query("lists").is_some();
                http::answer("200 OK", &json, &self.picked(rank, lists))
            }
            ("POST", "/v1/order") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let status = body.map_or("400 Bad Request", |order| self.order(rank, &order));
                http::answer(status, &json, "{}")
            }
            _ => self.generate(rank, request),
        }
    }

    fn report(&self, rank: usize) -> String {
        let group = self.shared.0.lock().unwrap();
        let (step, own) = (group.step, &group.ranks[rank]);
        let prepared = own.prepared.as_ref().map_or("null".to_owned(), |(v, _)| v.to_string());
        let armed = own.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        let held = own.held.map_or("null".to_owned(), |step| step.to_string());
        let Rank { sequence, active, version, .. } = own;
        format!(
            "{{\"phase\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":{sequence},\"queued\":0,\"active\":{active},\"kvUsed\":0,\
             \"kvTotal\":372000,\"sessions\":0,\"pace\":1.0,\"group\":{{\"name\":\"g-1\",\
             \"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"size\":{RANKS},\"step\":{step},\
             \"mapping\":{version},\"prepared\":{prepared},\"armed\":{armed},\"held\":{held}}}"
        )
    }

    fn picked(&self, rank: usize, lists: bool) -> String {
        let group = self.shared.0.lock().unwrap();
        let (step, own) = (group.step, &group.ranks[rank]);
        if !lists {
            let counts = own.counts.map(|count| count.to_string()).join(",");
            return format!("{{\"step\":{step},\"epoch\":1,\"counts\":[{counts}]}}");
        }
        let list = |version: u64, experts: &[usize]| {
            format!("{{\"version\":{version},\"experts\":[{experts:?}]}}")
        };
        let mapping = list(own.version, &own.experts);
        let prepared = own.prepared.as_ref();
        let prepared = prepared.map_or("null".to_owned(), |(version, e)| list(*version, e));
        format!("{{\"step\":{step},\"epoch\":1,\"mapping\":{mapping},\"prepared\":{prepared}}}")
    }

    fn order(&self, rank: usize, order: &Json) -> &'static str {
        const DONE: &str = "200 OK";
        const BEGUN: &str = "202 Accepted";
        const CONFLICT: &str = "409 Conflict";
        let number = |name: &str| order.get(name).map_or(0, Json::number);
        let operation = order.get("operation").map_or("", Json::text).to_owned();
        let (version, step) = (number("version"), number("step"));
        let status = {
            let mut group = self.shared.0.lock().unwrap();
            let begun = group.step;
            let own = &mut group.ranks[rank];
            match operation.as_str() {
                _ if number("epoch") != 1 => CONFLICT,
                "prepare" if own.prepared.as_ref().is_some_and(|(v, _)| *v == version) => DONE,
                "prepare" if version <= own.newest || own.armed.is_some() => CONFLICT,
                "prepare" => match experts_of(order, rank) {
                    Some(experts) if is_bearable(&own.experts, &experts) => {
                        own.newest = version;
                        own.sequence += 1;
                        self.copy(rank, version, experts);
                        BEGUN
                    }
                    _ => CONFLICT,
                },
                "arm" if own.armed == Some((version, step)) => DONE,
                "arm" if step <= begun || own.armed.is_some() => CONFLICT,
                "arm" if own.prepared.as_ref().is_none_or(|(v, _)| *v != version) => CONFLICT,
                "arm" => {
                    own.armed = Some((version, step));
                    own.sequence += 1;
                    DONE
                }
                "disarm" if own.version == version => CONFLICT,
                "disarm" => {
                    own.armed = own.armed.filter(|(armed, _)| *armed != version);
                    DONE
                }
                "retention" if own.held == Some(step) => DONE,
                "retention" if step <= begun || own.held.is_some() => CONFLICT,
                "retention" => {
                    own.held = Some(step);
                    own.sequence += 1;
                    BEGUN
                }
                "go" if own.held == Some(step) => {
                    own.held = None;
                    own.sequence += 1;
                    DONE
                }
                "go" => CONFLICT,
                _ => "400 Bad Request",
            }
        };
        self.record.line(&format!(
            "rank {rank} answers {status} to {operation}, version {version}, step {step}"
        ));
        if operation == "retention" && status == BEGUN {
            if let Some(call) = self.on_hold.lock().unwrap().take() {
                call();
            }
        }
        status
    }

    fn copy(&self, rank: usize, version: u64, experts: Vec<usize>) {
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            thread::sleep(COPY);
            let own = &mut shared.0.lock().unwrap().ranks[rank];
            if own.newest == version {
                own.prepared = Some((version, experts));
            }
        });
    }

    /// Runs a request: an event in each step. One that gets no further ends after its deadline.
    fn generate(&self, rank: usize, request: &Message) -> Vec<u8> {
        let attempt = request.header("bitternwall-attempt-id").unwrap_or("-").to_owned();
        let deadline = request.header("bitternwall-deadline-ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(8_000));
        let echo = ("Bitternwall-Attempt-Id", attempt.as_str());
        let (mutex, changed) = &*self.shared;
        let mut group = mutex.lock().unwrap();
        let id = group.ranks[rank].id.clone();
        if request.header("bitternwall-expect-instance").is_some_and(|wanted| wanted != id) {
            let not_run = ("Bitternwall-Not-Executed", "1");
            return http::answer("421 Misdirected Request", &[echo, not_run], "");
        }
        let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let seal = format!("{id}.{attempt}");
        let sealed = ("Bitternwall-Server-Seal", seal.as_str());
        let first = group.step;
        group.ranks[rank].active += 1;
        while group.step < first + EVENTS && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            group = changed.wait_timeout(group, left).unwrap().0;
        }
        group.ranks[rank].active -= 1;
        if group.step < first + EVENTS {
            return http::answer("504 Gateway Timeout", &[echo, sealed], "");
        }
        drop(group);
        let events = (last + 1..=EVENTS).map(|event| format!("id: {event}\ndata: x\n\n"));
        let stream = ("Content-Type", "text/event-stream");
        http::answer("200 OK", &[echo, sealed, stream], &events.collect::<String>())
    }
}

/// Returns the experts that an order gives to a rank.
fn experts_of(order: &Json, rank: usize) -> Option<Vec<usize>> {
    let set = order.get("mapping")?.list().first()?;
    let experts = set.list().get(rank)?.list();
    Some(experts.iter().map(|expert| expert.number() as usize).collect())
}

fn is_bearable(held: &[usize], wanted: &[usize]) -> bool {
    let new = wanted.iter().filter(|expert| !held.contains(expert)).count();
    wanted.len() <= PLACES && new <= SPARE
}

/// Returns listeners for the servers at addresses of a network.
pub fn listen(ips: impl Iterator<Item = std::net::Ipv4Addr>) -> io::Result<Vec<TcpListener>> {
    ips.map(|ip| TcpListener::bind((ip, 0))).collect()
}

pub fn address(listener: &TcpListener) -> io::Result<SocketAddr> {
    listener.local_addr()
}
