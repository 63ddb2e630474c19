//! How often requests chose each expert: what one rank counted, and the sums over its group.
//!
//! Load pattern: each rank of a large group counts thousands of experts, and a plan needs the counts of
//! all ranks while they are fresh. Sent from each rank to the coordinator they fill the link of its
//! host. So ranks send what they counted since the last time to a collector among their neighbours,
//! which passes on the sums.
//!
//! Counts are samples. The table keeps them in two halves, by the ranks that they come from, since
//! the difference between the halves shows how much of a difference is chance.

use crate::ranks::messages::CountsMessage;

/// Number of counts in one message, so that it fits in a packet of common networks.
const MAX_COUNTS_PER_MESSAGE: usize = 1_200;

/// Number of ranks up to which each rank sends its counts directly to those that may coordinate.
const MAX_DIRECT_RANKS: usize = 16;

/// Number of senders of counts that a coordinator hears per heartbeat. Where there are more, they send
/// less often, so that the coordinator's network load does not grow with the group.
pub const SENDERS_PER_HEARTBEAT: usize = 8;

/// The counts of two halves of a group, by layer.
pub type Halves = [Vec<Vec<f64>>; 2];

/// Returns the number of neighbouring ranks whose counts one collector sums up.
pub fn ranks_per_collector(ranks: usize) -> usize {
    if ranks <= MAX_DIRECT_RANKS { 1 } else { ranks.isqrt() }
}

/// Returns the number of ranks that send counts to the coordinator.
pub fn senders(ranks: usize) -> usize {
    ranks.div_ceil(ranks_per_collector(ranks))
}

/// Returns the number of heartbeats per message with counts in a group of `ranks`.
pub fn interval(ranks: usize) -> u64 {
    u64::try_from(senders(ranks).div_ceil(SENDERS_PER_HEARTBEAT)).unwrap_or(u64::MAX).max(1)
}

/// Returns the rank that collects the counts of `rank`: the lowest live one among its neighbours.
pub fn collector(rank: usize, ranks: usize, is_live: impl Fn(usize) -> bool) -> usize {
    let size = ranks_per_collector(ranks);
    let first = rank / size * size;
    (first..ranks.min(first + size)).find(|other| *other == rank || is_live(*other)).unwrap_or(rank)
}

/// Returns the half that counts of a rank, or of its neighbours together, belong to.
pub fn half_of(rank: usize, ranks: usize) -> usize {
    rank / ranks_per_collector(ranks) % 2
}

/// Increments turns the totals that an engine reports into what was counted since the last report.
#[derive(Clone, Debug, Default)]
pub struct Increments {
    epoch: u64,
    last: Vec<u64>,
}

impl Increments {
    /// Returns the counts since the last report; `None` if that is unknown, since the report is the
    /// first one of its epoch or a total has fallen.
    pub fn observe(&mut self, epoch: u64, totals: &[u64]) -> Option<Vec<u64>> {
        let comparable = self.epoch == epoch && self.last.len() == totals.len();
        let increments = self.last.iter().zip(totals).map(|(old, new)| new.checked_sub(*old));
        let increments = increments.collect::<Option<Vec<u64>>>().filter(|_| comparable);
        self.epoch = epoch;
        self.last = totals.to_vec();
        increments
    }
}

/// Splits counts into messages of whole layers that each fit in one datagram.
pub fn messages(epoch: u64, counts: &[u64], layers: usize) -> Vec<CountsMessage> {
    if layers == 0 || counts.is_empty() || !counts.len().is_multiple_of(layers) {
        return Vec::new();
    }
    let experts = counts.len() / layers;
    let layers_per_message = (MAX_COUNTS_PER_MESSAGE / experts).max(1);
    let parts = counts.chunks(layers_per_message * experts).enumerate().map(|(index, part)| {
        let highest = part.iter().copied().max().unwrap_or(0);
        let scale = highest.div_ceil(u64::from(u8::MAX)).max(1);
        let scaled = part.iter().map(|count| u8::try_from((count + scale / 2) / scale));
        CountsMessage {
            epoch,
            first: super::to_u32(index * layers_per_message * experts),
            total: super::to_u32(counts.len()),
            scale,
            counts: scaled.map(|count| count.unwrap_or(u8::MAX)).collect::<Vec<u8>>().into(),
            ..CountsMessage::default()
        }
    });
    parts.collect()
}

/// CountSums adds up counts of one epoch until they are taken.
#[derive(Clone, Debug, Default)]
pub struct CountSums {
    epoch: u64,
    sums: Vec<u64>,
}

impl CountSums {
    /// Adds the counts of a message. Returns false if it does not fit: it is out of range, or of an
    /// earlier epoch. Counts of a later epoch replace the sums.
    pub fn add(&mut self, message: &CountsMessage) -> bool {
        let total = super::to_usize(message.total);
        let first = super::to_usize(message.first);
        let in_range = first.checked_add(message.counts.len()).is_some_and(|end| end <= total);
        if !in_range || message.epoch < self.epoch {
            return false;
        }
        if message.epoch > self.epoch || self.sums.len() != total {
            *self = Self { epoch: message.epoch, sums: vec![0; total] };
        }
        for (sum, count) in self.sums[first..].iter_mut().zip(&message.counts) {
            *sum += u64::from(*count) * message.scale;
        }
        true
    }

    /// Returns the epoch of the sums and the sums, and starts again from zero.
    pub fn take(&mut self) -> (u64, Vec<u64>) {
        let sums = std::mem::take(&mut self.sums);
        (self.epoch, sums)
    }
}

/// CountTable holds the counts of a group that its planner has not consumed yet.
#[derive(Clone, Debug, Default)]
pub struct CountTable {
    halves: [CountSums; 2],
}

impl CountTable {
    /// Adds the counts of a rank, or of a rank and its neighbours. Returns false if they are left
    /// out; see [`CountSums::add`].
    pub fn add(&mut self, rank: usize, ranks: usize, message: &CountsMessage) -> bool {
        if self.halves.iter().any(|half| half.epoch > message.epoch) {
            return false;
        }
        self.halves[half_of(rank, ranks)].add(message)
    }

    /// Takes the counts since the last call, by layer. Counts of an earlier epoch than the newest one
    /// are dropped. Layers without counts are empty.
    pub fn take(&mut self, layers: usize) -> Halves {
        let newest = self.halves.iter().map(|half| half.epoch).max().unwrap_or(0);
        self.halves.each_mut().map(|half| {
            let (epoch, sums) = half.take();
            let usable = epoch == newest && layers > 0 && sums.len().is_multiple_of(layers.max(1));
            if !usable || sums.is_empty() {
                return vec![Vec::new(); layers];
            }
            let float = |count: &u64| super::float(usize::try_from(*count).unwrap_or(usize::MAX));
            sums.chunks(sums.len() / layers)
                .map(|layer| layer.iter().map(float).collect())
                .collect()
        })
    }
}
