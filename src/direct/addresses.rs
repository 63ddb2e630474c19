//! Which entries callers are told to use.
//!
//! Load pattern: entries come and go while callers keep what they were told. An entry that leaves
//! is told to nobody any more, and serves on until nobody keeps its address.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::peers::Peers;

/// Addresses that one answer holds at the most; callers take no more into account.
pub const MAX_ADDRESSES: usize = 64;

/// LocalEntry is what an entry says of itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalEntry {
    /// Where callers connect.
    pub addr: SocketAddr,
    /// True while it serves callers.
    pub ready: bool,
}

/// Returns the entries that serve callers now, in an order that depends on their addresses alone.
pub fn serving(
    local: LocalEntry,
    peers: &Peers,
    heartbeat_interval: Duration,
    now: Duration,
) -> Vec<SocketAddr> {
    let live =
        peers.live(heartbeat_interval, now).filter(|peer| peer.beat.ready && !peer.beat.leaving);
    let mut addrs: Vec<SocketAddr> =
        live.filter_map(|peer| peer.beat.callers_addr.parse().ok()).collect();
    if local.ready {
        addrs.push(local.addr);
    }
    addrs.sort_unstable();
    addrs.dedup();
    // Each entry leaves out others, so that none is left out by all.
    let start = addrs.iter().position(|addr| *addr == local.addr).unwrap_or(0);
    addrs.rotate_left(start);
    addrs.truncate(MAX_ADDRESSES);
    addrs
}
