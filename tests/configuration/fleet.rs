//! Several replicas and the model of the store on one simulated clock, with injected faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitternwall::config::options::{Guards, Options, Timing};
use bitternwall::config::peer_heartbeats::Heartbeat;
use bitternwall::config::progress::Progress;
use bitternwall::config::replica::{Effect, Event, Replica};
use bitternwall::config::source::Call;
use bitternwall::wire;
use rand::{Rng, SeedableRng, rngs};

use crate::model;

#[path = "checks.rs"]
mod checks;
#[path = "network.rs"]
mod network;

const STEP_MS: u64 = 50;
const LARGE_TICK_STEPS: u64 = 5;
pub const DATA_CENTRES: [&str; 2] = ["ikeja", "lekki"];

/// An action of a plan at one step; durations are in steps.
#[derive(Clone, Debug)]
pub enum Fault {
    Put(u8),
    Delete(u8),
    /// The store does not answer, or refuses calls.
    StoreDown(u32),
    /// The processes of this bit mask (the highest bit is the store) are cut off from all others.
    Cut(u32, u32),
    /// Messages to and from one process are delayed by this many steps more.
    Slow(usize, u32, u32),
    Pause(usize, u32),
    Restart(usize, u32),
    /// This percentage of messages is lost.
    Loss(u32, u32),
    Compact,
    /// The host list lacks one entry for the processes of this bit mask.
    Unlist(usize, u32),
    /// Other keys of the store are written this many times.
    OtherKeys(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Event(Event),
    Heartbeat(Heartbeat, Vec<wire::RegionProgress>),
    Call(Call),
    Request(u64),
    State(wire::ConfigState),
}

#[derive(Clone)]
struct Packet {
    /// The step of the delivery.
    at: u64,
    /// The sender and its incarnation.
    from: (usize, u64),
    to: usize,
    /// The store's responses are delivered to one incarnation only.
    incarnation: Option<u64>,
    message: Message,
}

pub struct Process {
    pub name: Arc<str>,
    pub data_centre: usize,
    pub entry: bool,
    pub incarnation: u64,
    pub replica: Replica,
    pub progress: Progress,
    clock_start: Duration,
    rate: f64,
    down_until: u64,
    paused_until: u64,
    /// The delay of its messages and the step at which it ends.
    slow: (u64, u64),
    last_heartbeat: Option<Duration>,
    last_revision: u64,
    isolated_since: Option<u64>,
    pub started_step: u64,
}

pub struct Fleet {
    pub processes: Vec<Process>,
    pub store: model::Store,
    pub step: u64,
    timing: Timing,
    tick_steps: u64,
    guards: Guards,
    rng: rngs::StdRng,
    packets: BTreeMap<(u64, u64), Packet>,
    packet_count: u64,
    store_down_until: u64,
    /// The side of [`Fault::Cut`] and the step at which the cut ends.
    cut: (u32, u64),
    /// The percentage of lost messages and the step at which the loss ends.
    loss: (u32, u64),
    /// The entry that the host list lacks and the mask of the processes that see this list.
    unlisted: (usize, u32),
    /// The highest revision that an entry reported to be in force in each data centre.
    reported_in_force: [u64; 2],
    /// The highest revision that an entry reported to be in force everywhere.
    pub reported_everywhere: u64,
    pub violations: Vec<String>,
}

fn has_bit(mask: u32, index: usize) -> bool {
    u32::try_from(index).is_ok_and(|bit| mask.checked_shr(bit).unwrap_or_default() & 1 == 1)
}

fn time(steps: u64) -> Duration {
    Duration::from_millis(steps * STEP_MS)
}

impl Fleet {
    pub fn new(entries: usize, agents: usize, seed: u64, timing: Timing, guards: Guards) -> Self {
        let mut fleet = Self {
            processes: Vec::new(),
            store: model::Store::new(),
            step: 0,
            timing,
            tick_steps: if timing == Timing::SMALL { 1 } else { LARGE_TICK_STEPS },
            guards,
            rng: rngs::StdRng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            packet_count: 0,
            store_down_until: 0,
            cut: (0, 0),
            loss: (0, 0),
            unlisted: (0, 0),
            reported_in_force: [0; 2],
            reported_everywhere: 0,
            violations: Vec::new(),
        };
        for (data_centre, _) in DATA_CENTRES.iter().enumerate() {
            for index in 0..entries + agents {
                let process = fleet.process(data_centre, index, index < entries);
                fleet.processes.push(process);
            }
        }
        for index in 0..fleet.processes.len() {
            fleet.start(index);
        }
        fleet
    }

    fn process(&mut self, data_centre: usize, index: usize, entry: bool) -> Process {
        let name = format!("{}-{index}", DATA_CENTRES[data_centre]);
        let options = Options::new(&name, DATA_CENTRES[data_centre], entry, 0, self.timing);
        Process {
            name: Arc::from(name),
            data_centre,
            entry,
            incarnation: 0,
            replica: Replica::new(options, Duration::ZERO),
            progress: Progress::default(),
            clock_start: Duration::from_secs(self.rng.random_range(0..10_000)),
            rate: self.rng.random_range(0.99..1.01),
            down_until: 0,
            paused_until: 0,
            slow: (0, 0),
            last_heartbeat: None,
            last_revision: 0,
            isolated_since: None,
            started_step: 0,
        }
    }

    /// Starts a process that has only its settings and the host list.
    fn start(&mut self, index: usize) {
        let now = self.now(index);
        let incarnation = self.rng.random();
        let process = &mut self.processes[index];
        let (name, data_centre) = (Arc::clone(&process.name), DATA_CENTRES[process.data_centre]);
        let mut options = Options::new(&name, data_centre, process.entry, incarnation, self.timing);
        options.guards = self.guards;
        process.replica = Replica::new(options, now);
        process.progress = Progress::default();
        let others = DATA_CENTRES.iter().copied().filter(|other| *other != data_centre);
        process.progress.set_data_centres(others);
        process.incarnation = incarnation;
        process.last_heartbeat = None;
        process.last_revision = 0;
        process.isolated_since = None;
        process.started_step = self.step;
        self.store.watches.retain(|watch| watch.owner.0 != index);
        self.read_list(index);
    }

    /// Reads the host list, which may lack one entry.
    fn read_list(&mut self, index: usize) {
        let now = self.now(index);
        let (unlisted, viewers) = self.unlisted;
        let lacks = |other: usize| has_bit(viewers, index) && other == unlisted && other != index;
        let data_centre = self.processes[index].data_centre;
        let members =
            self.processes.iter().enumerate().filter(|(_, p)| p.data_centre == data_centre);
        let voters: Vec<_> = members
            .clone()
            .filter(|(other, peer)| peer.entry && !lacks(*other))
            .map(|(_, peer)| Arc::clone(&peer.name))
            .collect();
        let names: Vec<_> = members.map(|(_, peer)| Arc::clone(&peer.name)).collect();
        let process = &mut self.processes[index];
        process.replica.set_voters(voters.iter().map(|name| &**name), now);
        process.progress.set_expected_processes(names.iter().map(|name| &**name));
    }

    pub fn now(&self, index: usize) -> Duration {
        let process = &self.processes[index];
        let elapsed = time(self.step);
        process.clock_start + elapsed.mul_f64(process.rate)
    }

    pub fn is_running(&self, index: usize) -> bool {
        let process = &self.processes[index];
        process.down_until <= self.step && process.paused_until <= self.step
    }

    pub fn may_serve(&self, index: usize) -> bool {
        self.is_running(index) && self.processes[index].replica.may_serve(self.now(index)).is_ok()
    }

    pub fn inject(&mut self, fault: &Fault) {
        let step = self.step;
        let count = self.processes.len();
        match *fault {
            Fault::Put(key) => self.store.put(&format!("key-{key}")),
            Fault::Delete(key) => self.store.delete(&format!("key-{key}")),
            Fault::StoreDown(steps) => self.store_down_until = step + u64::from(steps),
            Fault::Cut(side, steps) => self.cut = (side, step + u64::from(steps)),
            Fault::Slow(index, delay, steps) => {
                let until = step + u64::from(steps);
                self.processes[index % count].slow = (u64::from(delay), until);
            }
            Fault::Pause(index, steps) => {
                self.processes[index % count].paused_until = step + u64::from(steps);
            }
            Fault::Restart(index, steps) => {
                self.processes[index % count].down_until = step + u64::from(steps).max(1);
            }
            Fault::Loss(percent, steps) => self.loss = (percent, step + u64::from(steps)),
            Fault::Unlist(index, viewers) => self.unlisted = (index % count, viewers),
            Fault::Compact => self.store.compacted = self.store.revision,
            Fault::OtherKeys(writes) => self.store.revision += u64::from(writes),
        }
    }

    /// Ends all faults. Processes that are down restart at the next step.
    pub fn heal(&mut self) {
        (self.cut, self.loss, self.store_down_until) = ((0, 0), (0, 0), 0);
        self.unlisted = (0, 0);
        for process in &mut self.processes {
            process.slow = (0, 0);
            process.paused_until = process.paused_until.min(self.step);
            process.down_until = process.down_until.min(self.step + 1);
        }
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.advance();
        }
    }

    pub fn advance(&mut self) {
        self.step += 1;
        for index in 0..self.processes.len() {
            if self.processes[index].down_until == self.step {
                self.start(index);
            }
        }
        self.check();
        self.push_watches();
        let later = self.packets.split_off(&(self.step + 1, 0));
        let due = std::mem::replace(&mut self.packets, later);
        for packet in due.into_values() {
            self.deliver(packet);
        }
        for index in 0..self.processes.len() {
            if self.is_running(index) && self.step.is_multiple_of(self.tick_steps) {
                self.tick(index);
            }
        }
        self.check();
    }

    fn tick(&mut self, index: usize) {
        let now = self.now(index);
        let process = &mut self.processes[index];
        let mut effects = Vec::new();
        process.replica.tick(now, &mut effects);
        process.progress.tick(&process.replica, now);
        let interval = self.timing.heartbeat;
        let is_heartbeat_due =
            process.last_heartbeat.is_none_or(|at| now.saturating_sub(at) >= interval);
        self.carry_out(index, effects);
        if is_heartbeat_due {
            self.read_list(index);
            self.send_heartbeats(index);
        }
        self.record_reports(index);
    }

    fn send_heartbeats(&mut self, index: usize) {
        let now = self.now(index);
        let process = &mut self.processes[index];
        process.last_heartbeat = Some(now);
        let local = process.replica.next_heartbeat(now);
        let process = &self.processes[index];
        let summaries = process.progress.summaries(&process.replica, now);
        let mut messages = Vec::new();
        for (other, peer) in self.processes.iter().enumerate() {
            let same_place = peer.data_centre == process.data_centre;
            let linked = same_place && (peer.entry || process.entry) || peer.entry && process.entry;
            if other == index || !linked {
                continue;
            }
            let heartbeat = Heartbeat {
                peer: Arc::clone(&process.name),
                incarnation: process.incarnation,
                data_centre: Arc::from(DATA_CENTRES[process.data_centre]),
                entry: process.entry,
                sequence: local.sequence,
                revision: local.revision,
                age: local.age,
                echo: process.replica.peers().echo(&peer.name),
            };
            messages.push((other, Message::Heartbeat(heartbeat, summaries.clone())));
        }
        for (other, message) in messages {
            self.send(index, other, None, &message);
        }
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(Call::Close(id)) => {
                    let owner = (index, self.processes[index].incarnation);
                    self.store.close(owner, id);
                }
                Effect::Store(call) => {
                    self.store.calls.push(self.step);
                    self.send(index, self.processes.len(), None, &Message::Call(call));
                }
                Effect::RequestFrom(peer, have) => {
                    let to = self.index_of(&peer);
                    self.send(index, to, None, &Message::Request(have));
                }
                Effect::AnswerPeer(peer, state) => {
                    let to = self.index_of(&peer);
                    self.send(index, to, None, &Message::State(state));
                }
                Effect::StateChanged(revision) => {
                    self.check_state(index, revision);
                    self.send_heartbeats(index);
                }
            }
        }
    }

    fn index_of(&self, name: &str) -> usize {
        self.processes
            .iter()
            .position(|process| *process.name == *name)
            .expect("every name is a process's")
    }
}
