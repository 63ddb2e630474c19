//! Which entries a caller is told to use.
//!
//! Near entries come first, spread by load and by a hash of the caller, so that callers differ
//! and one caller's answer stays much the same; docs/CONFIGURATION.md weighs the ways.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::members::table::{Member, Role, Status, Table};

/// Addresses in one answer, at most.
const MAX_ADDRESSES: usize = 4;

/// Addresses of one answer that are kept for other data centres, where there are any.
const FAR_ADDRESSES: usize = 1;

/// Requests in flight at which an entry is handed out half as often as an idle one.
const HALF_LOAD: f64 = 64.0;

/// LocalEntry is the entry that answers.
#[derive(Clone, Copy, Debug)]
pub struct LocalEntry<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it runs.
    pub data_centre: &'a str,
    /// The part of the world that its data centre is in.
    pub region: &'a str,
    /// Where callers reach it.
    pub address: &'a str,
    /// Requests that it has in flight.
    pub load: u32,
    /// True once it leaves.
    pub leaving: bool,
}

/// Address is one entry that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Address {
    /// The entry's name.
    pub name: String,
    /// Where callers reach it.
    pub address: String,
    /// Where it runs.
    pub data_centre: String,
    /// How long the caller may keep it, from the answer on.
    pub keep: Duration,
}

struct Candidate<'a> {
    name: &'a str,
    address: &'a str,
    data_centre: &'a str,
    distance: u8,
    score: f64,
}

/// Returns what to tell a caller: live entries that do not leave, nearest and idlest first.
pub fn choose(
    local: &LocalEntry,
    table: &Table,
    caller_hash: u64,
    keep: Duration,
    now: Duration,
) -> Vec<Address> {
    let mut candidates: Vec<_> = table
        .members()
        .filter(|member| is_offered(member, local, table, now))
        .map(|member| candidate(local, member, caller_hash))
        .collect();
    if !local.leaving {
        let score = score(local.name, local.load, caller_hash);
        let LocalEntry { name, address, data_centre, .. } = *local;
        candidates.push(Candidate { name, address, data_centre, distance: 0, score });
    }
    candidates.sort_by(|a, b| {
        a.distance.cmp(&b.distance).then(b.score.total_cmp(&a.score)).then(a.name.cmp(b.name))
    });
    let near = candidates.iter().filter(|candidate| candidate.distance == 0).count();
    let far = candidates.len() - near;
    let near_taken = near.min(MAX_ADDRESSES - far.min(FAR_ADDRESSES));
    let chosen = candidates[..near_taken].iter().chain(&candidates[near..]).take(MAX_ADDRESSES);
    chosen.map(|candidate| address(candidate, keep)).collect()
}

fn is_offered(member: &Member, local: &LocalEntry, table: &Table, now: Duration) -> bool {
    member.role == Role::Entry
        && *member.name != *local.name
        && !member.address.is_empty()
        && member.status(now, table.timing()) == Status::Live
}

fn candidate<'a>(local: &LocalEntry, member: &'a Member, caller_hash: u64) -> Candidate<'a> {
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

/// Weighted rendezvous hashing: an entry comes first for a share of the callers that is
/// proportional to its weight.
fn score(name: &str, load: u32, caller_hash: u64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(name.as_bytes(), caller_hash);
    let high = u32::try_from(hash >> u32::BITS).unwrap_or(u32::MAX);
    let uniform = (f64::from(high) + 0.5) / (f64::from(u32::MAX) + 1.0);
    let weight = HALF_LOAD / (HALF_LOAD + f64::from(load));
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
