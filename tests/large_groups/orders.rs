//! A map reaches all ranks of a large group over small links, soon and with few bytes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitternwall::direct::known::heartbeat::PeerAddr;
use bitternwall::expert_map::map::{ExpertMap, Layer, Shape};
use bitternwall::ranks::map_codec;
use bitternwall::ranks::order_tree;
use bitternwall::ranks::orders::OrderMessage;
use bitternwall::ranks::report::Order;
use proptest::prelude::*;
use prost::Message as _;

const LINK_MBPS: f64 = 6.0;
/// Time for a connection, and for an agent to read an order and begin to pass it on.
const HANDLING_TIME: Duration = Duration::from_millis(6);
/// Bytes of the packets of a connection and of the request's head, beside its body.
const OVERHEAD_BYTES: usize = 500;
/// Times that a copy of an order, of a map of 96 ranks and of one of 320 occupies a link.
const COPY_TIMES: [Duration; 3] =
    [Duration::from_micros(133), Duration::from_millis(8), Duration::from_millis(23)];

fn shape(ranks: usize) -> Shape {
    Shape { ranks, layers: 16, experts: ranks * 2, slots_per_rank: 3 }
}

/// A map in which every slot is used.
fn full_map(shape: Shape) -> ExpertMap {
    let mut map = ExpertMap::contiguous(&shape).expect("the group holds its experts");
    for layer in &mut map.layers {
        for (rank, held) in layer.held.iter_mut().enumerate() {
            held.push((rank * 2 + 7) % shape.experts);
            held.sort_unstable();
        }
    }
    map.check(&shape).expect("a valid map");
    map
}

fn engines(count: usize) -> Vec<SocketAddr> {
    let addr = |index: usize| {
        let index = u16::try_from(index).expect("few ranks").to_be_bytes();
        SocketAddr::from(([10, 0, index[0], index[1]], 8_223))
    };
    (0..count).map(addr).collect()
}

fn copy_time(message: &OrderMessage) -> Duration {
    order_tree::copy_time(message.order_bytes(), LINK_MBPS)
}

fn message_bytes(message: &OrderMessage, subtree: &[SocketAddr]) -> usize {
    let recipients = subtree[1..].iter().filter_map(|engine| PeerAddr::of(*engine)).collect();
    OrderMessage { recipients, ..message.clone() }.encoded_len() + OVERHEAD_BYTES
}

/// Returns when the last agent has the order if an agent begins to pass it on at `now`.
fn last_arrival(message: &OrderMessage, recipients: &[SocketAddr], now: Duration) -> Duration {
    let mut sent_at = now;
    let mut last = now;
    for subtree in order_tree::split(recipients, copy_time(message)) {
        let bits = u32::try_from(message_bytes(message, &subtree) * 8).expect("a few kilobytes");
        sent_at += Duration::from_secs_f64(f64::from(bits) / (LINK_MBPS * 1e6));
        last = last.max(last_arrival(message, &subtree[1..], sent_at + HANDLING_TIME));
    }
    last
}

/// Returns the time from the decision until the last of `ranks` has the map.
fn time_to_all(ranks: usize) -> Duration {
    let order = Order::Prepare { version: 4_100, map: Arc::new(full_map(shape(ranks))) };
    let message = OrderMessage::of(&order, 1);
    last_arrival(&message, &engines(ranks - 1), Duration::ZERO)
}

#[test]
fn a_map_reaches_all_ranks_of_a_large_group_soon() {
    let took = time_to_all(96);
    assert!(took < Duration::from_millis(200), "96 ranks have the map after {took:?}");
}

#[test]
fn a_map_reaches_all_of_320_ranks_soon() {
    let took = time_to_all(320);
    assert!(took < Duration::from_millis(300), "320 ranks have the map after {took:?}");
}

#[test]
fn the_coordinator_sends_no_more_than_two_maps() {
    /// Bytes of a map of 96 ranks in the message that names each rank's experts one by one.
    const PLAIN_MAP_BYTES: usize = 14_000;
    let order = Order::Prepare { version: 4_100, map: Arc::new(full_map(shape(96))) };
    let message = OrderMessage::of(&order, 1);
    let subtrees = order_tree::split(&engines(95), copy_time(&message));
    let bytes: usize = subtrees.iter().map(|subtree| message_bytes(&message, subtree)).sum();
    assert!(bytes < 2 * PLAIN_MAP_BYTES, "{bytes} bytes leave the coordinator");
}

/// Adds all recipients of an order, in the order in which they get it.
fn collect(
    recipients: &[SocketAddr],
    copy_time: Duration,
    level: u32,
    reached: &mut Vec<(SocketAddr, u32)>,
) {
    for subtree in order_tree::split(recipients, copy_time) {
        reached.push((subtree[0], level));
        collect(&subtree[1..], copy_time, level + 1, reached);
    }
}

proptest! {
    #[test]
    fn an_order_reaches_each_rank_once(ranks in 1_usize..400, copy_ms in 0_u64..60) {
        let engines = engines(ranks);
        let copy_time = Duration::from_millis(copy_ms);
        let mut reached = Vec::new();
        collect(&engines, copy_time, 1, &mut reached);
        let distinct: BTreeSet<SocketAddr> = reached.iter().map(|(engine, _)| *engine).collect();
        prop_assert_eq!((reached.len(), distinct.len()), (ranks, ranks));
        let levels = reached.iter().map(|(_, level)| *level).max().unwrap_or(0);
        let subtree = order_tree::split(&engines, copy_time)[0].len();
        prop_assert!(levels <= order_tree::depth(subtree, copy_time), "{levels} levels");
    }

    #[test]
    fn a_map_is_decoded_as_it_was_encoded(
        ranks in 1_usize..12,
        layers in 1_usize..4,
        slots in 1_usize..4,
        experts in 1_usize..700,
        seed in any::<usize>(),
    ) {
        let shape = Shape { ranks, layers, experts: experts.min(ranks * slots), slots_per_rank: slots };
        let mut map = ExpertMap::contiguous(&shape).expect("enough slots");
        map.layers[0].held[0].push(seed % 700);
        let decoded = map_codec::decode(&map_codec::encode(&map), ranks);
        prop_assert_eq!(decoded, Some(map));
    }

    #[test]
    fn a_map_of_ascending_experts_takes_little_more_than_the_number_of_choices(
        held in prop::collection::vec(prop::collection::btree_set(0_usize..640, 3), 320),
    ) {
        /// log2 of the number of sets of 3 among 640 experts, and the bit that tells a full rank.
        const BITS_PER_RANK: usize = 25 + 1;
        /// The form, and the numbers of experts, slots and layers, which precede the sets.
        const HEADER_BYTES: usize = 6;
        let held = held.into_iter().map(|set| set.into_iter().collect());
        let map = ExpertMap { layers: vec![Layer { held: held.collect() }] };
        let encoded = map_codec::encode(&map);
        let bits = (encoded.len() - HEADER_BYTES) * 8;
        prop_assert!(bits < 320 * (BITS_PER_RANK + 1), "{bits} bits of sets");
        prop_assert_eq!(map_codec::decode(&encoded, 320), Some(map));
    }

    #[test]
    fn bytes_that_are_no_map_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        if let Some(map) = map_codec::decode(&bytes, 3) {
            prop_assert!(map.layers.iter().all(|layer| layer.held.len() == 3));
        }
        // The same as the sets of a map of two layers, 9 experts and 2 slots.
        let sets = [&[3, 9, 0, 2, 2, 0], bytes.as_slice()].concat();
        if let Some(map) = map_codec::decode(&sets, 3) {
            let experts = map.layers.iter().flat_map(|layer| &layer.held).flatten();
            prop_assert!(map.layers.len() == 2 && experts.max().is_none_or(|expert| *expert < 9));
        }
    }
}

#[test]
fn ranks_that_did_not_answer_pass_nothing_on() {
    // The coordinator puts them last; of 95 recipients the last third are leaves.
    let engines = engines(95);
    for copy_time in COPY_TIMES {
        let subtrees = order_tree::split(&engines, copy_time);
        let leaf = |engine: &SocketAddr| !passes_on(&subtrees, copy_time, engine);
        assert!(engines[60..].iter().all(leaf), "copies of {copy_time:?}");
    }
}

fn passes_on(subtrees: &[Vec<SocketAddr>], copy_time: Duration, engine: &SocketAddr) -> bool {
    subtrees.iter().any(|subtree| {
        (subtree[0] == *engine && subtree.len() > 1)
            || passes_on(&order_tree::split(&subtree[1..], copy_time), copy_time, engine)
    })
}

#[test]
fn a_subtree_has_time_for_each_of_its_levels() {
    let depth = |agents: usize| order_tree::depth(agents, Duration::ZERO);
    assert_eq!((depth(1), depth(4), depth(5), depth(13)), (1, 2, 3, 3));
    for copy_time in COPY_TIMES {
        let limit = |agents: usize| order_tree::time_limit(agents, copy_time);
        for agents in 2..320 {
            let subtree = order_tree::split(&engines(agents - 1), copy_time)[0].len();
            assert!(limit(agents) > limit(subtree), "{agents} agents");
        }
    }
    let [step, map, _] = COPY_TIMES.map(|copy_time| order_tree::time_limit(32, copy_time));
    assert!(map > step, "a map takes longer than a step");
}
