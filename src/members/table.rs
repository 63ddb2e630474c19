//! The table of members, with the state that their heartbeats give them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;

/// Earlier lives of a member whose late heartbeats are passed over.
const MAX_PAST_LIVES: usize = 4;

/// Timing holds the times that the table goes by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// A member whose last heartbeat was sent longer ago is suspect.
    pub suspect_after: Duration,
    /// A member whose last heartbeat was sent longer ago is dead, and no caller is given its
    /// address.
    pub dead_after: Duration,
    /// A dead member that no list names is dropped after this.
    pub forget_after: Duration,
}

impl Timing {
    /// The times for heartbeats every 250 ms.
    pub const SMALL: Self = Self {
        suspect_after: Duration::from_millis(1_000),
        dead_after: Duration::from_millis(2_000),
        forget_after: Duration::from_secs(600),
    };

    /// The times for heartbeats every 2 s, whose dates lag by up to two of them.
    pub const LARGE: Self = Self {
        suspect_after: Duration::from_millis(4_250),
        dead_after: Duration::from_millis(4_500),
        forget_after: Duration::from_secs(600),
    };
}

/// Role is what a member does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// It serves callers.
    Entry,
    /// It stands before a target.
    Agent,
}

/// Status is what is known of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// A list names it, but it was not heard.
    Expected,
    /// It was heard lately.
    Live,
    /// It was heard lately and said that it leaves.
    Leaving,
    /// It has missed heartbeats, or its connection broke.
    Suspect,
    /// It was not heard for long.
    Dead,
}

/// Listed is one line of the settings or the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed<'a> {
    /// The member's name.
    pub name: &'a str,
    /// What runs there.
    pub role: Role,
    /// Where it stands.
    pub data_centre: &'a str,
    /// Where other processes reach it.
    pub address: &'a str,
}

/// Heartbeat is one heartbeat of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat<'a> {
    /// The member's name.
    pub name: &'a str,
    /// Its life.
    pub incarnation: u64,
    /// What it does.
    pub role: Role,
    /// Where it runs.
    pub data_centre: &'a str,
    /// The part of the world that its data centre is in.
    pub region: &'a str,
    /// Where callers reach it.
    pub address: &'a str,
    /// True once it leaves.
    pub leaving: bool,
    /// Requests that it has in flight.
    pub load: u32,
    /// A time after which the heartbeat was surely sent; absent where nothing dates it.
    pub sent_after: Option<Duration>,
}

/// Member is one row of the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Its latest life; zero before the first heartbeat.
    pub incarnation: u64,
    /// What it does.
    pub role: Role,
    /// Where it runs.
    pub data_centre: String,
    /// The part of the world that its data centre is in; empty until it was heard.
    pub region: String,
    /// Where callers reach it, or where a list says that it is reached.
    pub address: String,
    /// Requests that it has in flight.
    pub load: u32,
    in_settings: bool,
    in_host_list: bool,
    leaving: bool,
    broken: bool,
    alive_at: Option<Duration>,
    past_lives: VecDeque<u64>,
}

impl Member {
    /// Returns what is known of the member.
    pub fn status(&self, now: Duration, timing: &Timing) -> Status {
        let Some(alive_at) = self.alive_at else { return Status::Expected };
        let silence = now.saturating_sub(alive_at);
        if silence > timing.dead_after {
            Status::Dead
        } else if self.leaving {
            Status::Leaving
        } else if self.broken || silence > timing.suspect_after {
            Status::Suspect
        } else {
            Status::Live
        }
    }

    fn is_listed(&self) -> bool {
        self.in_settings || self.in_host_list
    }

    /// Takes a heartbeat of the present life.
    fn update(&mut self, heartbeat: &Heartbeat) {
        self.role = heartbeat.role;
        self.data_centre = heartbeat.data_centre.to_owned();
        self.region = heartbeat.region.to_owned();
        self.address = heartbeat.address.to_owned();
        // A heartbeat from before the member began to leave may come after one from later.
        self.leaving |= heartbeat.leaving;
        self.load = heartbeat.load;
        if heartbeat.sent_after > self.alive_at {
            self.alive_at = heartbeat.sent_after;
            self.broken = false;
        }
    }

    fn begin_life(&mut self, incarnation: u64) {
        self.past_lives.push_back(self.incarnation);
        if self.past_lives.len() > MAX_PAST_LIVES {
            self.past_lives.pop_front();
        }
        self.incarnation = incarnation;
        self.leaving = false;
        self.broken = false;
        self.alive_at = None;
    }
}

/// Table holds every member that one process knows of, itself excepted.
pub struct Table {
    timing: Timing,
    rows: Map<Arc<str>, Member>,
}

impl Table {
    /// Returns an empty table.
    pub fn new(timing: Timing) -> Self {
        Self { timing, rows: Map::default() }
    }

    /// Returns the times that the table goes by.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns all rows.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values()
    }

    /// Returns the row of a member.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    /// Returns what is known of a member.
    pub fn status(&self, name: &str, now: Duration) -> Option<Status> {
        Some(self.rows.get(name)?.status(now, &self.timing))
    }

    /// Takes the members that the settings name.
    pub fn set_settings(&mut self, listed: &[Listed]) {
        self.set_listed(listed, |member| &mut member.in_settings);
    }

    /// Takes the host list. It adds whom to expect; it ends nobody.
    pub fn set_host_list(&mut self, listed: &[Listed]) {
        self.set_listed(listed, |member| &mut member.in_host_list);
    }

    /// Takes a heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let name: Arc<str> = Arc::from(heartbeat.name);
        let member = self
            .rows
            .entry(Arc::clone(&name))
            .or_insert_with(|| row(name, heartbeat.role, heartbeat.data_centre, heartbeat.address));
        if member.past_lives.contains(&heartbeat.incarnation) {
            return;
        }
        if member.incarnation != heartbeat.incarnation {
            member.begin_life(heartbeat.incarnation);
        }
        member.update(heartbeat);
    }

    /// Takes the end of the connection to a member, which is then suspect until it is heard.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(member) = self.rows.get_mut(name) {
            member.broken = true;
        }
    }

    /// Drops dead members that no list names.
    pub fn tick(&mut self, now: Duration) {
        let forget_after = self.timing.forget_after;
        self.rows.retain(|_, member| {
            let silence = member.alive_at.map(|at| now.saturating_sub(at));
            member.is_listed() || silence.is_some_and(|silence| silence <= forget_after)
        });
    }

    /// Returns the names of a data centre's members of one role that a list names or that are
    /// not dead: those who have a vote, and those whose word "in force" waits for.
    pub fn names<'a>(
        &'a self,
        data_centre: &'a str,
        role: Role,
        now: Duration,
    ) -> impl Iterator<Item = &'a str> {
        let chosen = self.rows.values().filter(move |member| {
            let status = member.status(now, &self.timing);
            let counts = member.is_listed() || status != Status::Dead;
            counts && member.role == role && member.data_centre == data_centre
        });
        chosen.map(|member| &*member.name)
    }

    fn set_listed(&mut self, listed: &[Listed], mark: fn(&mut Member) -> &mut bool) {
        for member in self.rows.values_mut() {
            *mark(member) = false;
        }
        for line in listed {
            let name: Arc<str> = Arc::from(line.name);
            let member = self
                .rows
                .entry(Arc::clone(&name))
                .or_insert_with(|| row(name, line.role, line.data_centre, line.address));
            if member.alive_at.is_none() {
                member.address = line.address.to_owned();
            }
            *mark(member) = true;
        }
    }
}

fn row(name: Arc<str>, role: Role, data_centre: &str, address: &str) -> Member {
    Member {
        name,
        incarnation: 0,
        role,
        data_centre: data_centre.to_owned(),
        region: String::new(),
        address: address.to_owned(),
        load: 0,
        in_settings: false,
        in_host_list: false,
        leaving: false,
        broken: false,
        alive_at: None,
        past_lives: VecDeque::new(),
    }
}
