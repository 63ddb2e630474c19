//! Selection of the entries that a caller is told to use.
//!
//! Entries of the local data centre come first. Within a distance they are ordered by load and by
//! a hash of the caller, so that callers are spread over the entries while each caller gets much
//! the same answer every time. docs/CONFIGURATION.md compares the alternatives.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::members::table::{Member, Role, Status, Table};

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 4;

/// Number of addresses in one answer that are reserved for other data centres, if they have
/// usable entries.
const REMOTE_ADDRESSES: usize = 1;

/// Number of requests in flight at which an entry is chosen half as often as an idle one.
const HALF_WEIGHT_LOAD: f64 = 64.0;

/// The entry that answers the caller.
#[derive(Clone, Copy, Debug)]
pub struct LocalEntry<'a> {
    /// The entry's name.
    pub name: &'a str,
    /// The data centre in which it runs.
    pub data_centre: &'a str,
    /// The region of its data centre.
    pub region: &'a str,
    /// The address at which callers reach it.
    pub address: &'a str,
    /// Number of requests that it has in flight.
    pub load: u32,
    /// True once it has begun a planned stop; it then leaves itself out of its answers.
    pub leaving: bool,
}

/// An entry that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Address {
    /// The entry's name.
    pub name: String,
    /// The address at which callers reach it.
    pub address: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// How long the caller may use the address, counted from the answer.
    pub keep: Duration,
}

struct Candidate<'a> {
    name: &'a str,
    address: &'a str,
    data_centre: &'a str,
    /// 0 in the local data centre, 1 in its region, 2 elsewhere.
    distance: u8,
    score: f64,
}

/// Returns the entries for a caller's answer: live ones that are not leaving, ordered by distance
/// and then by score.
pub fn choose(
    local: &LocalEntry,
    table: &Table,
    caller_hash: u64,
    keep: Duration,
    now: Duration,
) -> Vec<Address> {
    let mut candidates: Vec<_> = table
        .members()
        .filter(|member| is_usable(member, local, table, now))
        .map(|member| new_candidate(local, member, caller_hash))
        .collect();
    if !local.leaving {
        let score = score(local.name, local.load, caller_hash);
        let LocalEntry { name, address, data_centre, .. } = *local;
        candidates.push(Candidate { name, address, data_centre, distance: 0, score });
    }
    candidates.sort_by(|a, b| {
        a.distance.cmp(&b.distance).then(b.score.total_cmp(&a.score)).then(a.name.cmp(b.name))
    });
    let local_count = candidates.iter().filter(|candidate| candidate.distance == 0).count();
    let remote_count = candidates.len() - local_count;
    let local_taken = local_count.min(MAX_ADDRESSES - remote_count.min(REMOTE_ADDRESSES));
    let chosen =
        candidates[..local_taken].iter().chain(&candidates[local_count..]).take(MAX_ADDRESSES);
    chosen.map(|candidate| address(candidate, keep)).collect()
}

fn is_usable(member: &Member, local: &LocalEntry, table: &Table, now: Duration) -> bool {
    member.role == Role::Entry
        && *member.name != *local.name
        && !member.address.is_empty()
        && member.status(now, table.timing()) == Status::Live
}

fn new_candidate<'a>(local: &LocalEntry, member: &'a Member, caller_hash: u64) -> Candidate<'a> {
    let distance = if member.data_centre == local.data_centre {
        0
    } else if member.region == local.region {
        1
    } else {
        2
    };
    let score = score(&member.name, member.load, caller_hash);
    let (name, address) = (&*member.name, member.address.as_str());
    Candidate { name, address, data_centre: &member.data_centre, distance, score }
}

/// Scores an entry by weighted rendezvous hashing: an entry has the highest score for a share of
/// the callers that is proportional to its weight, which falls with its load.
fn score(name: &str, load: u32, caller_hash: u64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(name.as_bytes(), caller_hash);
    let high = u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX);
    let uniform = (f64::from(high) + 0.5) / (f64::from(u32::MAX) + 1.0);
    let weight = HALF_WEIGHT_LOAD / (HALF_WEIGHT_LOAD + f64::from(load));
    weight / -uniform.ln()
}

fn address(candidate: &Candidate, keep: Duration) -> Address {
    Address {
        name: candidate.name.to_owned(),
        address: candidate.address.to_owned(),
        data_centre: candidate.data_centre.to_owned(),
        keep,
    }
}
