//! Decides which entries callers are told to use.
//!
//! Load pattern: entries come and go while callers cache the addresses that they were given. A
//! leaving entry is announced to no caller any more, and keeps serving until no caller has its
//! address cached.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::known::peers::Peers;

/// The most addresses in one answer; callers use no more.
pub const MAX_ADDRESSES: usize = 64;

/// The entry that answers.
#[derive(Clone, Copy, Debug)]
pub struct LocalEntry {
    /// The address at which callers connect to it.
    pub addr: SocketAddr,
    /// True while it serves callers.
    pub ready: bool,
}

/// Returns the addresses of the entries that serve callers now, at most [`MAX_ADDRESSES`]. They are
/// sorted, but begin with the entry's own address if it serves.
pub fn serving(
    local: LocalEntry,
    peers: &Peers,
    heartbeat_interval: Duration,
    now: Duration,
) -> Vec<SocketAddr> {
    let live = peers
        .live(heartbeat_interval, now)
        .filter(|peer| peer.heartbeat.ready && !peer.heartbeat.leaving);
    let mut addrs: Vec<SocketAddr> =
        live.filter_map(|peer| peer.heartbeat.callers_addr.parse().ok()).collect();
    if local.ready {
        addrs.push(local.addr);
    }
    addrs.sort_unstable();
    addrs.dedup();
    // Each entry starts at its own address, so that the limit cuts off other ones at each entry.
    let start = addrs.iter().position(|addr| *addr == local.addr).unwrap_or(0);
    addrs.rotate_left(start);
    addrs.truncate(MAX_ADDRESSES);
    addrs
}
