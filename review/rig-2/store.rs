//! The platform's store, as its page tells, and the records that servers write there.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Json};
use crate::sys::Record;

/// Items in one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    /// In base64, as it is handed out.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes in order: revision, key, and the item that was written.
    log: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, u64)>,
    next_lease: u64,
    /// When each server last wrote.
    heard: HashMap<String, Instant>,
    record: Option<Record>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_owned(), None));
        }
    }
}

fn entry(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":{lease}}}"
    )
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store. Servers that are silent for three intervals are removed.
    pub fn start(heartbeat: Duration, record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { revision: 100, record: Some(record), ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let handler = store.clone();
        http::serve(listener, move |request| Some(handler.handle(&request)));
        let reaper = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            reaper.expire(heartbeat * 3);
        });
        Ok(store)
    }

    fn expire(&self, silence: Duration) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        let mut gone: Vec<String> = Vec::new();
        for lease in ended {
            state.leases.remove(&lease);
            let keys = state.items.iter().filter(|(_, item)| item.lease == lease);
            gone.extend(keys.map(|(key, _)| key.clone()));
        }
        let silent = state.heard.iter().filter(|(_, at)| now - **at > silence);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            state.heard.remove(&id);
            gone.push(format!("servers/{id}"));
        }
        for key in &gone {
            state.remove(key);
            if let Some(record) = &state.record {
                record.line(&format!("store removes {key}"));
            }
        }
        if !gone.is_empty() {
            self.shared.1.notify_all();
        }
    }

    /// Writes what the operator writes.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.put(key, json::base64(value.as_bytes()), 0);
        if let Some(record) = &state.record {
            record.line(&format!("store acknowledges {key} at revision {}", state.revision));
        }
        self.shared.1.notify_all();
    }

    /// Writes what a server says of itself.
    pub fn write_server(&self, id: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let key = format!("servers/{id}");
        let is_new = !state.items.contains_key(&key);
        state.heard.insert(id.to_owned(), Instant::now());
        state.put(&key, json::base64(value.as_bytes()), 0);
        if let Some(record) = state.record.as_ref().filter(|_| is_new) {
            record.line(&format!("store lists {key}: {value}"));
        }
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let (status, body) = self.reply(request);
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        http::answer(status, &headers, &body)
    }

    fn reply(&self, request: &Message) -> (&'static str, String) {
        const OK: &str = "200 OK";
        const MISSING: (&str, String) = ("404 Not Found", String::new());
        let query = |name: &str| request.query(name).unwrap_or_default();
        let (mutex, changed) = &*self.shared;
        let mut state = mutex.lock().unwrap();
        match (request.method(), request.path()) {
            ("GET", "/v1/kv-key") => match state.items.get(&query("key")) {
                Some(item) => (OK, entry(&query("key"), item)),
                None => MISSING,
            },
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let found = state.items.iter();
                let mut found =
                    found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> =
                    found.by_ref().take(PAGE).map(|(key, item)| entry(key, item)).collect();
                let more = found.next().is_some();
                let (entries, at) = (page.join(","), state.revision);
                (OK, format!("{{\"entries\":[{entries}],\"hasMore\":{more},\"at\":{at}}}"))
            }
            ("GET", "/v1/kv-watch") => {
                let (prefix, after) = (query("prefix"), query("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let news = state.log.iter().filter(|(at, key, _)| {
                        *at > after && key.starts_with(&prefix)
                    });
                    let news: Vec<String> = news
                        .map(|(at, key, item)| match item {
                            Some(item) => entry(key, item),
                            None => {
                                format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}")
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !news.is_empty() || left.is_zero() {
                        let (events, at) = (news.join(","), state.revision);
                        return (OK, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl = body.and_then(|body| Some(body.get("ttlMs")?.number())).unwrap_or(0);
                state.next_lease += 1;
                let lease = state.next_lease;
                let until = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (until, ttl));
                (OK, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", "/v1/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let Some(body) = body else { return ("400 Bad Request", String::new()) };
                let rows = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
                for row in rows("precondition") {
                    let key = row.get("key").map_or("", Json::text);
                    let expected = row.get("revision").map_or(0, Json::number);
                    if state.items.get(key).map_or(0, |item| item.revision) != expected {
                        return ("412 Precondition Failed", "{\"entries\":[]}".to_owned());
                    }
                }
                for row in rows("puts") {
                    let key = row.get("key").map_or("", Json::text);
                    let value = row.get("value").map_or("", Json::text).to_owned();
                    let lease = row.get("lease").map_or(0, Json::number);
                    state.put(key, value, lease);
                    if let Some(record) = &state.record {
                        record.line(&format!("store holds {key}, written by the system"));
                    }
                }
                for key in rows("remove") {
                    state.remove(key.text());
                }
                changed.notify_all();
                (OK, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl);
                        (OK, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
                    }
                    None => MISSING,
                }
            }
            // How servers write is not on the pages: the stand-ins of servers do it here.
            ("POST", "/servers") => {
                drop(state);
                self.write_server(&query("id"), &String::from_utf8_lossy(&request.body));
                (OK, String::new())
            }
            _ => MISSING,
        }
    }
}
