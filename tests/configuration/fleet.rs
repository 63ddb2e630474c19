//! Several replicas and the model of the store on one passed-in clock, with faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitternwall::config::contacts::Heard;
use bitternwall::config::options::{Guards, Options, Timing};
use bitternwall::config::progress::{InForce, Progress};
use bitternwall::config::replica::{Effect, Event, Replica};
use bitternwall::config::source::Call;
use bitternwall::wire;
use rand::{Rng, SeedableRng, rngs};

use crate::model;

pub const STEP: Duration = Duration::from_millis(50);
pub const DATA_CENTRES: [&str; 2] = ["ikeja", "lekki"];

/// What a plan does at a step; times are in steps.
#[derive(Clone, Debug)]
pub enum Fault {
    Put(u8),
    Delete(u8),
    /// The store answers nothing, or refuses.
    StoreDown(u32),
    /// These processes and the store (the highest bit) are cut from all others.
    Cut(u32, u32),
    /// All that one process sends or is sent comes this much later.
    Slow(usize, u32, u32),
    Pause(usize, u32),
    Restart(usize, u32),
    /// This share of messages, in percent, is lost.
    Loss(u32, u32),
    Compact,
    /// Other keys of the store are written.
    Elsewhere(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Event(Event),
    Beat(Heard, Vec<wire::RegionProgress>),
    Call(Call),
    Ask(u64),
    State(wire::ConfigState),
}

#[derive(Clone)]
struct Packet {
    at: u64,
    from: (usize, u64),
    to: usize,
    /// Answers of the store go to one life only.
    life: Option<u64>,
    message: Message,
}

pub struct Process {
    pub name: Arc<str>,
    pub data_centre: usize,
    pub entry: bool,
    pub life: u64,
    pub replica: Replica,
    pub progress: Progress,
    clock_start: Duration,
    rate: f64,
    down_until: u64,
    paused_until: u64,
    slow: (u64, u64),
    last_beat: Option<Duration>,
    last_revision: u64,
    alone_since: Option<u64>,
    pub started_step: u64,
}

pub struct Fleet {
    pub processes: Vec<Process>,
    pub store: model::Store,
    pub step: u64,
    timing: Timing,
    guards: Guards,
    rng: rngs::StdRng,
    packets: BTreeMap<(u64, u64), Packet>,
    packet_count: u64,
    store_down_until: u64,
    cut: (u32, u64),
    loss: (u32, u64),
    claimed: [u64; 2],
    pub claimed_everywhere: u64,
    pub faults: Vec<String>,
}

impl Fleet {
    pub fn new(entries: usize, agents: usize, seed: u64, timing: Timing, guards: Guards) -> Self {
        let mut fleet = Self {
            processes: Vec::new(),
            store: model::Store::new(),
            step: 0,
            timing,
            guards,
            rng: rngs::StdRng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            packet_count: 0,
            store_down_until: 0,
            cut: (0, 0),
            loss: (0, 0),
            claimed: [0; 2],
            claimed_everywhere: 0,
            faults: Vec::new(),
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
            life: 0,
            replica: Replica::new(options, Duration::ZERO),
            progress: Progress::default(),
            clock_start: Duration::from_secs(self.rng.random_range(0..10_000)),
            rate: self.rng.random_range(0.99..1.01),
            down_until: 0,
            paused_until: 0,
            slow: (0, 0),
            last_beat: None,
            last_revision: 0,
            alone_since: None,
            started_step: 0,
        }
    }

    /// Starts a process with nothing but its settings and the host list.
    fn start(&mut self, index: usize) {
        let now = self.now(index);
        let life = self.rng.random();
        let peers =
            self.processes.iter().filter(|p| self.processes[index].data_centre == p.data_centre);
        let names: Vec<_> = peers.map(|p| (Arc::clone(&p.name), p.entry)).collect();
        let process = &mut self.processes[index];
        let (name, place) = (Arc::clone(&process.name), DATA_CENTRES[process.data_centre]);
        let mut options = Options::new(&name, place, process.entry, life, self.timing);
        options.guards = self.guards;
        process.replica = Replica::new(options, now);
        let voters = names.iter().filter(|(_, entry)| *entry).map(|(name, _)| &**name);
        process.replica.set_voters(voters, now);
        process.progress = Progress::default();
        process.progress.expect(names.iter().map(|(name, _)| &**name));
        let others = DATA_CENTRES.iter().copied().filter(|other| *other != place);
        process.progress.expect_data_centres(others);
        process.life = life;
        process.last_beat = None;
        process.last_revision = 0;
        process.alone_since = None;
        process.started_step = self.step;
        self.store.watches.retain(|watch| watch.owner.0 != index);
    }

    pub fn now(&self, index: usize) -> Duration {
        let process = &self.processes[index];
        let elapsed = STEP * u32::try_from(self.step).unwrap();
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
            Fault::Slow(index, late, steps) => {
                let until = step + u64::from(steps);
                self.processes[index % count].slow = (u64::from(late), until);
            }
            Fault::Pause(index, steps) => {
                self.processes[index % count].paused_until = step + u64::from(steps);
            }
            Fault::Restart(index, steps) => {
                self.processes[index % count].down_until = step + u64::from(steps).max(1);
            }
            Fault::Loss(percent, steps) => self.loss = (percent, step + u64::from(steps)),
            Fault::Compact => self.store.compacted = self.store.revision,
            Fault::Elsewhere(writes) => self.store.revision += u64::from(writes),
        }
    }

    /// Ends all faults but those of processes that are down.
    pub fn heal(&mut self) {
        (self.cut, self.loss, self.store_down_until) = ((0, 0), (0, 0), 0);
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
            if self.is_running(index) {
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
        let beats = process.last_beat.is_none_or(|at| now.saturating_sub(at) >= interval);
        self.carry_out(index, effects);
        if beats {
            self.beat(index);
        }
        self.note_claims(index);
    }

    fn beat(&mut self, index: usize) {
        let now = self.now(index);
        let process = &mut self.processes[index];
        process.last_beat = Some(now);
        let beat = process.replica.beat(now);
        let process = &self.processes[index];
        let summaries = process.progress.summaries(&process.replica, now);
        let mut messages = Vec::new();
        for (other, peer) in self.processes.iter().enumerate() {
            let same_place = peer.data_centre == process.data_centre;
            let linked = same_place && (peer.entry || process.entry) || peer.entry && process.entry;
            if other == index || !linked {
                continue;
            }
            let heard = Heard {
                peer: Arc::clone(&process.name),
                incarnation: process.life,
                data_centre: Arc::from(DATA_CENTRES[process.data_centre]),
                entry: process.entry,
                sequence: beat.sequence,
                revision: beat.revision,
                age: beat.age,
                echo: process.replica.contacts().echo(&peer.name),
            };
            messages.push((other, Message::Beat(heard, summaries.clone())));
        }
        for (other, message) in messages {
            self.send(index, other, None, message);
        }
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(Call::Close(id)) => {
                    let owner = (index, self.processes[index].life);
                    self.store.close(owner, id);
                }
                Effect::Store(call) => {
                    self.store.calls.push(self.step);
                    self.send(index, self.processes.len(), None, Message::Call(call));
                }
                Effect::RequestFrom(peer, have) => {
                    let to = self.index_of(&peer);
                    self.send(index, to, None, Message::Ask(have));
                }
                Effect::AnswerPeer(peer, state) => {
                    let to = self.index_of(&peer);
                    self.send(index, to, None, Message::State(state));
                }
                Effect::InForce(revision) => {
                    self.check_state(index, revision);
                    self.beat(index);
                }
            }
        }
    }

    fn index_of(&self, name: &str) -> usize {
        self.processes.iter().position(|process| *process.name == *name).unwrap()
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (side, until) = self.cut;
        let bit = |index: usize| side >> if index == self.processes.len() { 31 } else { index } & 1;
        self.step < until && bit(from) != bit(to)
    }

    fn send(&mut self, from: usize, to: usize, life: Option<u64>, message: Message) {
        let lost = self.step < self.loss.1 && self.rng.random_range(0..100) < self.loss.0;
        if lost || self.is_cut(from, to) {
            return;
        }
        let slow = [from, to].into_iter().filter_map(|index| self.processes.get(index));
        let late: u64 = slow.filter(|p| self.step < p.slow.1).map(|p| p.slow.0).sum();
        let mut copies = 1;
        if self.loss.1 > self.step && self.rng.random_bool(0.2) {
            copies = 2;
        }
        let sender = self.processes.get(from).map_or(0, |process| process.life);
        for _ in 0..copies {
            let at = self.step + 1 + late + self.rng.random_range(0..3);
            let packet = Packet { at, from: (from, sender), to, life, message: message.clone() };
            self.packet_count += 1;
            self.packets.insert((at, self.packet_count), packet);
        }
    }

    fn deliver(&mut self, mut packet: Packet) {
        let to = packet.to;
        if to == self.processes.len() {
            self.serve_call(packet);
            return;
        }
        if self.is_cut(packet.from.0, to) || self.processes[to].down_until > self.step {
            return;
        }
        if self.processes[to].paused_until > self.step {
            // It waits in the socket's buffer.
            packet.at = self.processes[to].paused_until;
            self.packet_count += 1;
            self.packets.insert((packet.at, self.packet_count), packet);
            return;
        }
        if packet.life.is_some_and(|life| life != self.processes[to].life) {
            return;
        }
        let now = self.now(to);
        let from = packet.from.0;
        let event = match packet.message {
            Message::Event(event) => event,
            Message::Beat(heard, summaries) => {
                for summary in &summaries {
                    self.processes[to].progress.take(summary, now);
                }
                Event::Heard(heard)
            }
            Message::Ask(have) => Event::PeerRequest(Arc::clone(&self.processes[from].name), have),
            Message::State(state) => Event::PeerState(state),
            Message::Call(_) => return,
        };
        let mut effects = Vec::new();
        self.processes[to].replica.handle(event, now, &mut effects);
        self.carry_out(to, effects);
    }

    fn serve_call(&mut self, packet: Packet) {
        let Message::Call(call) = packet.message else { return };
        let (owner, life) = packet.from;
        if self.step < self.store_down_until {
            let refused = match call {
                Call::Read(id) | Call::Probe(id) | Call::Watch { id, .. } => id,
                Call::Close(_) => return,
            };
            if self.rng.random_bool(0.5) {
                self.answer(owner, life, Event::CallFailed(refused));
            }
            return;
        }
        match call {
            Call::Read(id) => {
                self.store.reads += 1;
                self.answer(owner, life, Event::Snapshot(id, self.store.read()));
            }
            Call::Probe(id) => self.answer(owner, life, Event::Head(id, self.store.head)),
            Call::Watch { id, after } if after < self.store.compacted => {
                self.answer(owner, life, Event::Compacted(id));
            }
            Call::Watch { id, after } => {
                self.store.watches.push(model::Watch { owner: packet.from, id, told: after });
            }
            Call::Close(_) => {}
        }
    }

    fn answer(&mut self, owner: usize, life: u64, event: Event) {
        self.send(self.processes.len(), owner, Some(life), Message::Event(event));
    }

    fn push_watches(&mut self) {
        let down = self.step < self.store_down_until;
        let mut news = Vec::new();
        for watch in &mut self.store.watches {
            let (owner, life) = watch.owner;
            if self.processes[owner].life != life {
                continue;
            }
            news.push((owner, life, watch.id, watch.told));
        }
        for (owner, life, id, told) in news {
            if down && self.rng.random_bool(0.1) {
                self.store.close((owner, life), id);
                self.answer(owner, life, Event::CallFailed(id));
                continue;
            }
            let Some(delta) = self.store.news(told).filter(|_| !down) else { continue };
            for watch in &mut self.store.watches {
                if watch.owner == (owner, life) && watch.id == id {
                    watch.told = delta.revision;
                }
            }
            self.answer(owner, life, Event::Changes(id, delta));
        }
    }

    fn check_state(&mut self, index: usize, revision: u64) {
        let process = &mut self.processes[index];
        let state = Arc::clone(process.replica.state());
        let name = Arc::clone(&process.name);
        if revision < process.last_revision {
            self.faults.push(format!("{name} went back to revision {revision}"));
        }
        process.last_revision = revision;
        if model::table_of(&state) != *self.store.table_at(revision) {
            self.faults.push(format!("{name} holds another state at revision {revision}"));
        }
    }

    fn note_claims(&mut self, index: usize) {
        let now = self.now(index);
        let process = &self.processes[index];
        if !process.entry {
            return;
        }
        let own = process.progress.own_revision(&process.replica, now);
        let place = process.data_centre;
        let newest = self.store.head;
        let all = process.progress.in_force(&process.replica, newest, now);
        self.claimed[place] = self.claimed[place].max(own);
        if all == InForce::Everywhere {
            self.claimed_everywhere = self.claimed_everywhere.max(newest);
        }
    }

    fn check(&mut self) {
        for index in 0..self.processes.len() {
            let serves = self.may_serve(index);
            self.check_alone(index, serves);
            let process = &self.processes[index];
            let floor = self.claimed[process.data_centre].max(self.claimed_everywhere);
            let (name, held) = (&process.name, process.replica.revision());
            if serves && self.store.table_at(held) != self.store.table_at(floor.max(held)) {
                let fault = format!("{name} serves {held} though {floor} is in force");
                self.faults.push(fault);
            }
        }
    }

    /// A process that is cut from everyone stops within the silence limit.
    fn check_alone(&mut self, index: usize, serves: bool) {
        let others = 0..=self.processes.len();
        let alone = others.into_iter().all(|other| other == index || self.is_cut(index, other));
        let limit = self.timing.silence_limit() + STEP * 2;
        let process = &mut self.processes[index];
        let since = *process.alone_since.get_or_insert(self.step);
        if !alone {
            process.alone_since = None;
        } else if serves && STEP * u32::try_from(self.step - since).unwrap() > limit {
            self.faults.push(format!("{} serves though it is cut off", process.name));
        }
    }

    /// Tells whether a running entry says that the newest change is in force everywhere.
    pub fn says_in_force(&self) -> bool {
        (0..self.processes.len()).filter(|&index| self.is_running(index)).any(|index| {
            let process = &self.processes[index];
            let told =
                process.progress.in_force(&process.replica, self.store.head, self.now(index));
            process.entry && told == InForce::Everywhere
        })
    }

    pub fn has_converged(&self) -> bool {
        (0..self.processes.len()).all(|index| {
            let process = &self.processes[index];
            let now = self.now(index);
            let newest = self.store.head;
            let told = process.progress.in_force(&process.replica, newest, now);
            let held = process.replica.revision() >= newest;
            held && self.may_serve(index) && (!process.entry || told == InForce::Everywhere)
        })
    }
}
