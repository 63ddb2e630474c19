//! How one order reaches many ranks: each agent passes it on to a few others.
//!
//! Load pattern: the map of a large group goes to all of its ranks at once, over the small link of
//! the coordinator's host. Sent from there to each rank it occupies the link for seconds, and the
//! coordinator's own messages wait behind it. In a tree each link carries the order a few times,
//! whatever the size of the group. An agent sends its copies one after the other, so whoever gets the
//! first one has the most time left to pass it on, and the more so the longer a copy takes. Ranks that
//! did not answer last time are placed at the leaves, where nobody depends on them.

use std::net::SocketAddr;
use std::time::Duration;

/// Agents that one agent sends an order to.
pub const FANOUT: usize = 3;

/// Time for an agent to accept an order, carry it out at its engine and answer, without the time
/// that its bytes take on the link.
const HOP_TIME: Duration = Duration::from_millis(90);

/// Time from the arrival of an order at an agent until it begins to pass it on.
const RELAY_TIME: Duration = Duration::from_millis(6);

/// Halvings by which the weights of subtrees are found.
const WEIGHT_HALVINGS: u32 = 30;

/// Returns the time that one copy of `bytes` occupies a link of `link_mbps` megabits per second.
pub fn copy_time(bytes: usize, link_mbps: f64) -> Duration {
    let bits = super::float(bytes * 8);
    Duration::try_from_secs_f64(bits / (link_mbps * 1e6)).unwrap_or(Duration::MAX)
}

/// Returns the subtrees of one agent, in the order in which it sends to them, each with the agent that
/// the order is sent to in the first place. All end at about the same time. The recipients that come
/// first have the most to pass on.
pub fn split(recipients: &[SocketAddr], copy_time: Duration) -> Vec<Vec<SocketAddr>> {
    let mut subtrees = vec![Vec::new(); FANOUT];
    for (recipient, subtree) in recipients.iter().zip(assignment(copy_time)) {
        subtrees[subtree].push(*recipient);
    }
    subtrees.retain(|subtree| !subtree.is_empty());
    subtrees
}

/// Returns the number of times that an order is sent on before it reaches all of a subtree, including
/// the first time.
pub fn depth(agents: usize, copy_time: Duration) -> u32 {
    let mut levels = 1;
    let mut agents = agents;
    while agents > 1 {
        // The first subtree is the largest one.
        agents = assignment(copy_time).take(agents - 1).filter(|subtree| *subtree == 0).count();
        levels += 1;
    }
    levels
}

/// Returns the time within which all agents of a subtree answer to an order.
pub fn time_limit(agents: usize, copy_time: Duration) -> Duration {
    let copies = copy_time.saturating_mul(super::to_u32(FANOUT));
    HOP_TIME.saturating_add(copies).saturating_mul(depth(agents, copy_time))
}

/// Returns the subtrees to which the recipients belong, each one in its share at any time.
fn assignment(copy_time: Duration) -> impl Iterator<Item = usize> {
    let weights = weights(copy_time);
    let mut sizes = [0.0; FANOUT];
    let mut total = 0.0;
    std::iter::repeat_with(move || {
        total += 1.0;
        let missing = |index: usize| weights[index] * total - sizes[index];
        let neediest =
            (1..FANOUT).fold(
                0,
                |neediest, index| {
                    if missing(index) > missing(neediest) { index } else { neediest }
                },
            );
        sizes[neediest] += 1.0;
        neediest
    })
}

/// Returns the shares of the subtrees in an agent's recipients. A tree that is complete after a time
/// `t` has a size of about `x^t`, and a subtree that begins later is complete at the same time if its
/// size is smaller by that power of the delay. So the shares add up to 1 if `x` is the growth.
fn weights(copy_time: Duration) -> [f64; FANOUT] {
    let relay = RELAY_TIME.as_secs_f64() / copy_time.as_secs_f64().max(1e-6);
    // `shrink` is the ratio of the sizes of two subtrees, the second of which begins a copy later.
    let shares = |shrink: f64| {
        let mut delay = relay;
        [(); FANOUT].map(|()| {
            delay += 1.0;
            shrink.powf(delay)
        })
    };
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..WEIGHT_HALVINGS {
        let middle = (low + high) / 2.0;
        if shares(middle).iter().sum::<f64>() < 1.0 { low = middle } else { high = middle }
    }
    shares(high)
}
