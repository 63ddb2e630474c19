//! A server of a plain service, as a process of its own.
//!
//! It registers itself in the store and answers with its seal. A path that contains `/poison/` ends
//! the process as soon as it begins to run, without an answer.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::sys;

/// The settings of one server.
#[derive(Clone, Debug)]
pub struct Settings {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub store: SocketAddr,
    /// How long it is cold after its start.
    pub cold: Duration,
    pub work: Duration,
    pub heartbeat: Duration,
    /// The file to which it appends what arrives.
    pub arrivals: String,
}

impl Settings {
    pub fn args(&self) -> Vec<String> {
        let millis = |time: Duration| time.as_millis().to_string();
        vec![
            "server".to_owned(),
            self.address.to_string(),
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.slots.to_string(),
            self.store.to_string(),
            millis(self.cold),
            millis(self.work),
            millis(self.heartbeat),
            self.arrivals.clone(),
        ]
    }

    fn read(args: &[String]) -> Option<Self> {
        let millis = |index: usize| args[index].parse().map(Duration::from_millis).ok();
        if args.len() != 10 {
            return None;
        }
        Some(Self {
            address: args[0].parse().ok()?,
            id: args[1].clone(),
            service: args[2].clone(),
            zone: args[3].clone(),
            slots: args[4].parse().ok()?,
            store: args[5].parse().ok()?,
            cold: millis(6)?,
            work: millis(7)?,
            heartbeat: millis(8)?,
            arrivals: args[9].clone(),
        })
    }
}

pub fn run(args: &[String]) -> u8 {
    let Some(settings) = Settings::read(args) else { return 2 };
    let born = sys::unix_ms();
    let started = Instant::now();
    let Ok(listener) = TcpListener::bind(settings.address) else { return 2 };
    let Ok(file) = OpenOptions::new().create(true).append(true).open(&settings.arrivals) else {
        return 2;
    };
    let file = Arc::new(Mutex::new(file));
    let own = settings.clone();
    http::serve(listener, move |request| Some(handle(&own, &request, &file)));
    let mut sequence = 0;
    loop {
        sequence += 1;
        let cold_left = settings.cold.saturating_sub(started.elapsed()).as_millis();
        let Settings { service, address, zone, slots, id, .. } = &settings;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":{cold_left},\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        let request = format!("POST /servers?id={id}");
        let timeout = Duration::from_secs(1);
        let _ = http::call(settings.store, &request, &[], body.as_bytes(), timeout);
        thread::sleep(settings.heartbeat);
    }
}

fn handle(settings: &Settings, request: &Message, file: &Mutex<std::fs::File>) -> Vec<u8> {
    let id = request.header("bitternwall-attempt-id").unwrap_or("-").to_owned();
    let path = request.path();
    let write = |what: &str| {
        let line = format!("{} {} {what} {id} {path}\n", sys::unix_ms(), settings.id);
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    };
    let echo = ("Bitternwall-Attempt-Id", id.as_str());
    let other = request.header("bitternwall-expect-instance").is_some_and(|id| id != settings.id);
    if other {
        write("rejects");
        let not_run = ("Bitternwall-Not-Executed", "1");
        return http::answer("421 Misdirected Request", &[echo, not_run], "");
    }
    write("runs");
    if path.contains("/poison/") {
        // The request crashes each server that begins to run it.
        std::process::exit(70);
    }
    thread::sleep(settings.work);
    let seal = format!("{}.{id}", settings.id);
    let sum = request.body.iter().fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(*byte));
    let body = format!("{} {} {} {sum}", id, request.method(), request.target());
    http::answer("200 OK", &[echo, ("Bitternwall-Server-Seal", &seal)], &body)
}
