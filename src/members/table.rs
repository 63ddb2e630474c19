//! The members that a process knows of, with the status that their heartbeats show.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;

/// Number of earlier incarnations of a member that are kept, so that their late heartbeats are
/// ignored.
const MAX_PAST_INCARNATIONS: usize = 4;

/// The times after which a silent member changes its status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// A member whose last heartbeat was sent longer ago than this is suspect.
    pub suspect_after: Duration,
    /// A member whose last heartbeat was sent longer ago than this is dead, and no caller is given
    /// its address.
    pub dead_after: Duration,
    /// A member that no list names is removed when its last heartbeat was sent longer ago than
    /// this.
    pub forget_after: Duration,
}

impl Timing {
    /// Timing for heartbeats every 250 ms.
    pub const SMALL: Self = Self {
        suspect_after: Duration::from_millis(1_000),
        dead_after: Duration::from_millis(2_000),
        forget_after: Duration::from_secs(600),
    };

    /// Timing for heartbeats every 2 s. The known send time of a heartbeat lags behind the real one
    /// by up to two intervals.
    pub const LARGE: Self = Self {
        suspect_after: Duration::from_millis(4_250),
        dead_after: Duration::from_millis(4_500),
        forget_after: Duration::from_secs(600),
    };
}

/// The kind of process that a member is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Passes requests to one target.
    Agent,
}

/// The status of a member, derived from its heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// A list names it, but no heartbeat of its present incarnation has been dated yet.
    Expected,
    /// It has sent a heartbeat recently.
    Live,
    /// It has sent a heartbeat recently and announced that it leaves.
    Leaving,
    /// It has missed heartbeats, or the connection to it was lost.
    Suspect,
    /// Its last heartbeat was sent longer ago than [`Timing::dead_after`].
    Dead,
}

/// A member as the settings or the host list name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed<'a> {
    /// The member's name.
    pub name: &'a str,
    /// The kind of process.
    pub role: Role,
    /// The data centre in which it runs.
    pub data_centre: &'a str,
    /// The address for [`Member::address`] until a heartbeat gives one; may be empty.
    pub address: &'a str,
}

/// A heartbeat received from a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat<'a> {
    /// The member's name.
    pub name: &'a str,
    /// The member's incarnation, which changes when the process restarts.
    pub incarnation: u64,
    /// The kind of process.
    pub role: Role,
    /// The data centre in which it runs.
    pub data_centre: &'a str,
    /// The region of its data centre.
    pub region: &'a str,
    /// The address at which callers reach it.
    pub address: &'a str,
    /// True once it has begun a planned stop.
    pub leaving: bool,
    /// Number of requests that it has in flight.
    pub load: u32,
    /// A time known to be before the sending of the heartbeat; `None` if it echoes no local
    /// heartbeat.
    pub sent_after: Option<Duration>,
}

/// A process that a list names or that has sent a heartbeat.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's name.
    pub name: Arc<str>,
    /// The latest incarnation; zero before the first heartbeat.
    pub incarnation: u64,
    /// The kind of process.
    pub role: Role,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// The region of its data centre; empty before the first heartbeat.
    pub region: String,
    /// The address at which callers reach it, or the listed one before the first heartbeat.
    pub address: String,
    /// Number of requests in flight, from the last heartbeat.
    pub load: u32,
    in_settings: bool,
    in_host_list: bool,
    leaving: bool,
    connection_lost: bool,
    /// The latest time known to be before the sending of a heartbeat.
    last_sent_after: Option<Duration>,
    past_incarnations: VecDeque<u64>,
}

impl Member {
    /// Returns the member's status.
    pub fn status(&self, now: Duration, timing: &Timing) -> Status {
        let Some(last_sent_after) = self.last_sent_after else { return Status::Expected };
        let silence = now.saturating_sub(last_sent_after);
        if silence > timing.dead_after {
            Status::Dead
        } else if self.leaving {
            Status::Leaving
        } else if self.connection_lost || silence > timing.suspect_after {
            Status::Suspect
        } else {
            Status::Live
        }
    }

    fn is_listed(&self) -> bool {
        self.in_settings || self.in_host_list
    }

    /// Applies a heartbeat of the present incarnation.
    fn update(&mut self, heartbeat: &Heartbeat) {
        self.role = heartbeat.role;
        self.data_centre = heartbeat.data_centre.to_owned();
        self.region = heartbeat.region.to_owned();
        self.address = heartbeat.address.to_owned();
        // A heartbeat sent before the member began to leave may arrive after a later one.
        self.leaving |= heartbeat.leaving;
        self.load = heartbeat.load;
        if heartbeat.sent_after > self.last_sent_after {
            self.last_sent_after = heartbeat.sent_after;
            self.connection_lost = false;
        }
    }

    fn start_incarnation(&mut self, incarnation: u64) {
        self.past_incarnations.push_back(self.incarnation);
        if self.past_incarnations.len() > MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
        self.incarnation = incarnation;
        self.leaving = false;
        self.connection_lost = false;
        self.last_sent_after = None;
    }
}

/// All members that one process knows of, except itself.
pub struct Table {
    timing: Timing,
    members: Map<Arc<str>, Member>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(timing: Timing) -> Self {
        Self { timing, members: Map::default() }
    }

    /// Returns the times after which silent members change their status.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns all members, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the status of the member of this name, or `None` if it is not in the table.
    pub fn status(&self, name: &str, now: Duration) -> Option<Status> {
        Some(self.members.get(name)?.status(now, &self.timing))
    }

    /// Sets the members that the settings name.
    pub fn set_settings(&mut self, listed: &[Listed]) {
        self.set_listed(listed, |member| &mut member.in_settings);
    }

    /// Sets the members that the host list names. Members that it no longer names stay until
    /// [`Table::tick`] removes them.
    pub fn set_host_list(&mut self, listed: &[Listed]) {
        self.set_listed(listed, |member| &mut member.in_host_list);
    }

    /// Records a heartbeat. Heartbeats of earlier incarnations are ignored.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let name: Arc<str> = Arc::from(heartbeat.name);
        let member = self.members.entry(Arc::clone(&name)).or_insert_with(|| {
            new_member(name, heartbeat.role, heartbeat.data_centre, heartbeat.address)
        });
        if member.past_incarnations.contains(&heartbeat.incarnation) {
            return;
        }
        if member.incarnation != heartbeat.incarnation {
            member.start_incarnation(heartbeat.incarnation);
        }
        member.update(heartbeat);
    }

    /// Records that the connection to a member was lost. The member is suspect until it sends
    /// another heartbeat.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.connection_lost = true;
        }
    }

    /// Removes members that no list names and that have been silent for longer than
    /// [`Timing::forget_after`] or have sent no dated heartbeat.
    pub fn tick(&mut self, now: Duration) {
        let forget_after = self.timing.forget_after;
        self.members.retain(|_, member| {
            let silence = member.last_sent_after.map(|at| now.saturating_sub(at));
            member.is_listed() || silence.is_some_and(|silence| silence <= forget_after)
        });
    }

    /// Returns the names of a data centre's members of one role that a list names or that are not
    /// dead. These count as voters, and a configuration is in force only once they all hold it.
    pub fn names<'a>(
        &'a self,
        data_centre: &'a str,
        role: Role,
        now: Duration,
    ) -> impl Iterator<Item = &'a str> {
        let counted = self.members.values().filter(move |member| {
            let status = member.status(now, &self.timing);
            let counts = member.is_listed() || status != Status::Dead;
            counts && member.role == role && member.data_centre == data_centre
        });
        counted.map(|member| &*member.name)
    }

    fn set_listed(&mut self, listed: &[Listed], list_flag: fn(&mut Member) -> &mut bool) {
        for member in self.members.values_mut() {
            *list_flag(member) = false;
        }
        for line in listed {
            let name: Arc<str> = Arc::from(line.name);
            let member = self
                .members
                .entry(Arc::clone(&name))
                .or_insert_with(|| new_member(name, line.role, line.data_centre, line.address));
            if member.last_sent_after.is_none() {
                member.address = line.address.to_owned();
            }
            *list_flag(member) = true;
        }
    }
}

fn new_member(name: Arc<str>, role: Role, data_centre: &str, address: &str) -> Member {
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
        connection_lost: false,
        last_sent_after: None,
        past_incarnations: VecDeque::new(),
    }
}
