//! The compact form of an expert map in orders.
//!
//! Load pattern: small links carry the map of a large group to all of its ranks, and each rank waits
//! for the copies before its own. So the experts of a rank take little more than the logarithm of the
//! number of possible sets: they are written by binary interpolative coding (A. Moffat and L. Stuiver,
//! "Binary interpolative coding for effective index compression", 2000), the middle one first, and the
//! others within the range that is left to them.

use bytes::Bytes;

use crate::expert_map::map::{ExpertMap, Layer};

/// First byte of a map whose ranks list their experts in ascending order.
const ASCENDING: u8 = 3;

/// Bytes before the sets: the first byte, then the numbers of experts, of slots and of layers.
const HEADER_BYTES: usize = 6;

/// Maximum number of experts of all ranks in all layers of a map that is decoded.
const MAX_HELD: usize = 1 << 20;

/// Encodes a map. One whose ranks do not list their experts in ascending order takes more bytes.
pub fn encode(map: &ExpertMap) -> Bytes {
    let ascending = |held: &Vec<usize>| held.is_sorted_by(|a, b| a < b);
    let encoded = match ranks_of(map).all(ascending) {
        true => encode_ascending(map),
        false => encode_plain(map),
    };
    Bytes::from(encoded)
}

/// Decodes a map for a group of `ranks`; `None` if the bytes are no such map.
pub fn decode(encoded: &[u8], ranks: usize) -> Option<ExpertMap> {
    let held_by_rank = match encoded.split_first()? {
        (&ASCENDING, _) => decode_ascending(encoded, ranks)?,
        (width, rest) => decode_plain(usize::from(*width), rest)?,
    };
    if ranks == 0 || held_by_rank.is_empty() || !held_by_rank.len().is_multiple_of(ranks) {
        return None;
    }
    let layers = held_by_rank.chunks(ranks).map(|held| Layer { held: held.to_vec() });
    Some(ExpertMap { layers: layers.collect() })
}

fn ranks_of(map: &ExpertMap) -> impl Iterator<Item = &Vec<usize>> {
    map.layers.iter().flat_map(|layer| &layer.held)
}

/// Encodes the numbers of experts, slots and layers, then for each layer and rank the number of free
/// slots and the set of experts.
fn encode_ascending(map: &ExpertMap) -> Vec<u8> {
    let experts = ranks_of(map).flatten().max().map_or(0, |highest| highest + 1);
    let slots = ranks_of(map).map(Vec::len).max().unwrap_or(0);
    let mut encoded = vec![ASCENDING];
    for (value, bytes) in [(experts, 2), (slots, 1), (map.layers.len(), 2)] {
        encoded.extend((0..bytes).map(|index| low_byte(value >> (8 * index))));
    }
    let mut bits = BitWriter { bytes: encoded, used: 0 };
    for held in ranks_of(map) {
        // Most ranks use all of their slots, so the number of free ones is unary.
        (held.len()..slots).for_each(|_| bits.push(false));
        bits.push(true);
        write_set(&mut bits, held, 0, experts);
    }
    bits.bytes
}

fn decode_ascending(encoded: &[u8], ranks: usize) -> Option<Vec<Vec<usize>>> {
    let (header, body) = encoded.split_at_checked(HEADER_BYTES)?;
    let number =
        |low: usize, high: usize| usize::from(header[high]) << 8 | usize::from(header[low]);
    let (experts, slots, layers) = (number(1, 2), usize::from(header[3]), number(4, 5));
    let sets = layers.checked_mul(ranks)?;
    if sets.checked_mul(slots)? > MAX_HELD {
        return None;
    }
    let mut bits = BitReader { bytes: body, next: 0 };
    let sets = (0..sets).map(|_| {
        let mut length = slots;
        while !bits.next()? {
            length = length.checked_sub(1)?;
        }
        let mut held = Vec::with_capacity(length);
        read_set(&mut bits, length, 0, experts, &mut held)?;
        Some(held)
    });
    sets.collect()
}

/// Writes an ascending set of numbers of at least `low` and less than `high`.
fn write_set(bits: &mut BitWriter, set: &[usize], low: usize, high: usize) {
    let middle = set.len() / 2;
    let Some(value) = set.get(middle) else { return };
    // As many numbers as lie before the middle one must fit below it, and the others above.
    let lowest = low + middle;
    let choices = high - (set.len() - 1 - middle) - lowest;
    bits.push_below(value - lowest, choices);
    write_set(bits, &set[..middle], low, *value);
    write_set(bits, &set[middle + 1..], value + 1, high);
}

fn read_set(
    bits: &mut BitReader<'_>,
    length: usize,
    low: usize,
    high: usize,
    set: &mut Vec<usize>,
) -> Option<()> {
    if length == 0 {
        return Some(());
    }
    let middle = length / 2;
    let lowest = low + middle;
    let choices = high.checked_sub(length - 1 - middle)?.checked_sub(lowest)?;
    let value = lowest + bits.next_below(choices)?;
    read_set(bits, middle, low, value, set)?;
    set.push(value);
    read_set(bits, length - 1 - middle, value + 1, high, set)
}

/// Encodes the width of an index in bytes, then for each layer and rank the number of experts and
/// their indices. The lowest byte of an index comes first.
fn encode_plain(map: &ExpertMap) -> Vec<u8> {
    let highest = ranks_of(map).flatten().copied().max().unwrap_or(0);
    let width: usize = if highest <= usize::from(u8::MAX) { 1 } else { 2 };
    let mut encoded = vec![low_byte(width)];
    for held in ranks_of(map) {
        encoded.push(low_byte(held.len()));
        for expert in held {
            encoded.extend((0..width).map(|index| low_byte(expert >> (8 * index))));
        }
    }
    encoded
}

fn decode_plain(width: usize, mut rest: &[u8]) -> Option<Vec<Vec<usize>>> {
    if !(1..=2).contains(&width) {
        return None;
    }
    let mut held_by_rank = Vec::new();
    while let Some((count, tail)) = rest.split_first() {
        let (indices, tail) = tail.split_at_checked(usize::from(*count) * width)?;
        let index = |bytes: &[u8]| {
            bytes.iter().rev().fold(0, |index, byte| index << 8 | usize::from(*byte))
        };
        held_by_rank.push(indices.chunks(width).map(index).collect());
        rest = tail;
    }
    Some(held_by_rank)
}

fn low_byte(value: usize) -> u8 {
    u8::try_from(value & 0xff).unwrap_or(u8::MAX)
}

/// Returns the number of bits of the longer codes for one of `choices` numbers, and how many numbers
/// have a code that is one bit shorter.
fn code_lengths(choices: usize) -> (u32, usize) {
    let long = choices.next_power_of_two();
    (long.trailing_zeros(), long - choices)
}

/// BitWriter appends bits to bytes, the lowest bit of a byte first.
struct BitWriter {
    bytes: Vec<u8>,
    /// Bits of the last byte that are used; 0 if the next bit begins a byte.
    used: u32,
}

impl BitWriter {
    fn push(&mut self, bit: bool) {
        if self.used == 0 {
            self.bytes.push(0);
        }
        if let Some(last) = self.bytes.last_mut() {
            *last |= u8::from(bit) << self.used;
        }
        self.used = (self.used + 1) % u8::BITS;
    }

    /// Appends one of `choices` numbers.
    fn push_below(&mut self, value: usize, choices: usize) {
        let (long, short_codes) = code_lengths(choices);
        let (code, length) = match value < short_codes {
            true => (value, long.saturating_sub(1)),
            false => (value + short_codes, long),
        };
        (0..length).rev().for_each(|bit| self.push(code >> bit & 1 == 1));
    }
}

/// BitReader reads what a [`BitWriter`] has written.
struct BitReader<'a> {
    bytes: &'a [u8],
    next: usize,
}

impl BitReader<'_> {
    fn next(&mut self) -> Option<bool> {
        let byte = self.bytes.get(self.next / 8)?;
        let bit = byte >> (self.next % 8) & 1 == 1;
        self.next += 1;
        Some(bit)
    }

    /// Reads one of `choices` numbers; `None` if there is none.
    fn next_below(&mut self, choices: usize) -> Option<usize> {
        if choices == 0 {
            return None;
        }
        let (long, short_codes) = code_lengths(choices);
        let mut code = 0;
        for _ in 1..long {
            code = code << 1 | usize::from(self.next()?);
        }
        if long == 0 || code < short_codes {
            return Some(code);
        }
        code = code << 1 | usize::from(self.next()?);
        Some(code - short_codes)
    }
}
