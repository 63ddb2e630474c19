//! Places the experts of one layer: from nothing, or step by step from the present place.

use crate::expert_map::map;

/// Experts beyond the present ones that a rank loads for one change, added to each change's
/// price so that free changes do not always go first.
const BASE_PRICE: f64 = 0.5;
/// Part of the objective that a change must save to be tried.
const MIN_RELATIVE_GAIN: f64 = 1e-5;
/// Ranks, from the least loaded one up, that may take load from the busiest rank.
const PARTNERS: usize = 4;
/// Changes tried in one layer, for each rank.
const CHANGES_PER_RANK: usize = 4;

/// PlacementInput is what one layer has to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Each expert's share of the layer's tokens.
    pub shares: &'a [f64],
    /// Each rank's relative speed.
    pub speeds: &'a [f64],
    /// Experts that one rank can hold.
    pub slots_per_rank: usize,
    /// Experts that one rank may newly load for one change of the map.
    pub max_new_per_rank: usize,
}

impl PlacementInput<'_> {
    /// Returns the time of the slowest rank, where 1 is one rank of normal speed with all tokens.
    pub fn peak(&self, layer: &map::Layer) -> f64 {
        let tokens = layer.rank_tokens(self.shares);
        tokens.iter().zip(self.speeds).map(|(load, speed)| load / speed).fold(0.0, f64::max)
    }
}

/// Places the layer from nothing: replicates the experts with the most tokens for each replica,
/// and packs the replicas, largest first, on the rank that would be done first.
pub fn fresh(demand: &PlacementInput<'_>) -> map::Layer {
    let copies = replicate(demand);
    let share = |expert: usize| demand.shares[expert] / super::float(copies[expert]);
    let mut order: Vec<usize> = (0..copies.len()).collect();
    order.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
    let mut held: Vec<Vec<usize>> = vec![Vec::new(); demand.speeds.len()];
    let mut tokens = vec![0.0; held.len()];
    for expert in order {
        for _ in 0..copies[expert] {
            let time = |rank: &usize| (tokens[*rank] + share(expert)) / demand.speeds[*rank];
            let first_done = (0..held.len())
                .filter(|&rank| held[rank].len() < demand.slots_per_rank)
                .filter(|&rank| !held[rank].contains(&expert))
                .min_by(|a, b| time(a).total_cmp(&time(b)));
            if let Some(rank) = first_done {
                tokens[rank] += share(expert);
                held[rank].push(expert);
            }
        }
    }
    sorted(held)
}

/// Gives every expert one replica, and the free slots to those with the most tokens for each.
fn replicate(demand: &PlacementInput<'_>) -> Vec<usize> {
    let ranks = demand.speeds.len();
    let mut copies = vec![1; demand.shares.len()];
    for _ in copies.len()..ranks * demand.slots_per_rank {
        let share = |expert: &usize| demand.shares[*expert] / super::float(copies[*expert]);
        let hottest = (0..copies.len())
            .filter(|&expert| copies[expert] < ranks)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(expert) = hottest else { break };
        copies[expert] += 1;
    }
    copies
}

fn sorted(mut held: Vec<Vec<usize>>) -> map::Layer {
    held.iter_mut().for_each(|experts| experts.sort_unstable());
    map::Layer { held }
}

/// Renames the ranks of `layer` so that they keep as much as they can of `present`. Only ranks
/// of the same speed change names.
pub fn align(layer: map::Layer, present: &map::Layer, speeds: &[f64]) -> map::Layer {
    let mut pairs = Vec::new();
    for (from, held) in layer.held.iter().enumerate() {
        for (to, before) in present.held.iter().enumerate() {
            if speeds[from].total_cmp(&speeds[to]).is_eq() {
                let kept = held.iter().filter(|expert| before.contains(expert)).count();
                pairs.push((kept, from, to));
            }
        }
    }
    pairs.sort_by(|a, b| b.0.cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    let mut named = vec![None; layer.held.len()];
    let mut taken = vec![false; layer.held.len()];
    for (_, from, to) in pairs {
        if !taken[from] && named[to].is_none() {
            taken[from] = true;
            named[to] = Some(from);
        }
    }
    let mut held = layer.held;
    let renamed = named.into_iter().flatten().map(|from| std::mem::take(&mut held[from]));
    map::Layer { held: renamed.collect() }
}

/// Changes the layer step by step, always relieving the busiest rank for the best price, and
/// returns the place along the way with the highest `value(peak, loads)`, where `loads` counts
/// the experts that ranks would load to get there.
pub fn improve(
    demand: &PlacementInput<'_>,
    present: &map::Layer,
    value: &dyn Fn(f64, usize) -> f64,
) -> map::Layer {
    let mut search = Search::new(demand, present);
    let mut trail = Vec::new();
    let mut best_length = 0;
    let mut best_value = value(demand.peak(present), 0);
    for _ in 0..demand.speeds.len() * CHANGES_PER_RANK {
        let Some(change) = search.best_change() else { break };
        search.apply(change);
        trail.push(change);
        let peak = search.times.iter().copied().fold(0.0, f64::max);
        let reached = value(peak, search.loads);
        if reached > best_value {
            best_value = reached;
            best_length = trail.len();
        }
    }
    let mut replay = Search::new(demand, present);
    trail[..best_length].iter().for_each(|change| replay.apply(*change));
    sorted(replay.held)
}

/// Change is one step of the search, from the busiest rank.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// `to` gains a replica of `expert`, in place of one of `evicted`.
    Replicate { expert: usize, to: usize, evicted: Option<usize> },
    /// Two ranks exchange experts.
    Swap { from: usize, expert: usize, to: usize, other: usize },
    /// `from` gives up its replica.
    Drop { from: usize, expert: usize },
}

struct Search<'a> {
    demand: &'a PlacementInput<'a>,
    present: &'a map::Layer,
    held: Vec<Vec<usize>>,
    holders: Vec<Vec<usize>>,
    shares: Vec<f64>,
    times: Vec<f64>,
    penalties: Vec<f64>,
    deltas: Deltas,
    new_by_rank: Vec<usize>,
    loads: usize,
}

impl<'a> Search<'a> {
    fn new(demand: &'a PlacementInput<'a>, present: &'a map::Layer) -> Self {
        let mut holders = vec![Vec::new(); demand.shares.len()];
        for (rank, held) in present.held.iter().enumerate() {
            held.iter().for_each(|&expert| holders[expert].push(rank));
        }
        let shares: Vec<f64> = holders
            .iter()
            .zip(demand.shares)
            .map(|(held, share)| share / super::float(held.len()))
            .collect();
        let tokens = present.rank_tokens(demand.shares);
        let times: Vec<f64> =
            tokens.iter().zip(demand.speeds).map(|(load, speed)| load / speed).collect();
        let penalties = times.iter().copied().map(penalty).collect();
        let held = present.held.clone();
        let deltas = Deltas::default();
        let new_by_rank = vec![0; present.held.len()];
        let loads = 0;
        Self {
            demand,
            present,
            held,
            holders,
            shares,
            times,
            penalties,
            deltas,
            new_by_rank,
            loads,
        }
    }

    fn best_change(&mut self) -> Option<Change> {
        let mut ranks: Vec<usize> = (0..self.times.len()).collect();
        ranks.sort_by(|&a, &b| self.times[a].total_cmp(&self.times[b]));
        let busiest = ranks.pop()?;
        ranks.truncate(PARTNERS);
        let mut changes = Vec::new();
        for &expert in &self.held[busiest] {
            if self.holders[expert].len() > 1 {
                changes.push(Change::Drop { from: busiest, expert });
            }
            ranks.iter().for_each(|&to| self.push_changes(busiest, expert, to, &mut changes));
        }
        self.best_of(&changes)
    }

    fn best_of(&mut self, changes: &[Change]) -> Option<Change> {
        let floor = self.penalties.iter().sum::<f64>() * MIN_RELATIVE_GAIN;
        let mut best = None;
        let mut best_score = 0.0;
        for &change in changes {
            let gain = self.gain(change);
            if gain > floor && gain > best_score * BASE_PRICE {
                let score = gain / (self.price(change) + BASE_PRICE);
                if score > best_score {
                    (best, best_score) = (Some(change), score);
                }
            }
        }
        best
    }

    fn push_changes(&self, from: usize, expert: usize, to: usize, changes: &mut Vec<Change>) {
        if self.held[to].contains(&expert) || !self.may_take(to, expert) {
            return;
        }
        if self.held[to].len() < self.demand.slots_per_rank {
            changes.push(Change::Replicate { expert, to, evicted: None });
        }
        for &other in &self.held[to] {
            if self.holders[other].len() > 1 {
                changes.push(Change::Replicate { expert, to, evicted: Some(other) });
            }
            let lighter = self.shares[other] < self.shares[expert];
            if lighter && !self.held[from].contains(&other) && self.may_take(from, other) {
                changes.push(Change::Swap { from, expert, to, other });
            }
        }
    }

    /// Tells whether a rank holds the expert at present, or may still load it for this change.
    fn may_take(&self, rank: usize, expert: usize) -> bool {
        self.new_by_rank[rank] < self.demand.max_new_per_rank
            || self.present.held[rank].contains(&expert)
    }

    /// Returns how many more experts ranks would load for a change.
    fn price(&self, change: Change) -> f64 {
        let load = |rank: usize, expert: usize| {
            if self.present.held[rank].contains(&expert) { 0.0 } else { 1.0 }
        };
        match change {
            Change::Replicate { expert, to, .. } => load(to, expert),
            Change::Swap { from, expert, to, other } => load(to, expert) + load(from, other),
            Change::Drop { .. } => 0.0,
        }
    }

    /// Returns how much a change lowers the sum of the ranks' penalties.
    fn gain(&mut self, change: Change) -> f64 {
        if let Change::Swap { from, expert, to, other } = change {
            let moved = self.shares[expert] - self.shares[other];
            return self.relief(from, -moved) + self.relief(to, moved);
        }
        let mut deltas = std::mem::take(&mut self.deltas);
        self.token_changes(change, &mut deltas);
        let gain = deltas.entries.iter().map(|&(rank, tokens)| self.relief(rank, tokens)).sum();
        deltas.entries.clear();
        self.deltas = deltas;
        gain
    }

    fn relief(&self, rank: usize, tokens: f64) -> f64 {
        self.penalties[rank] - penalty(self.times[rank] + tokens / self.demand.speeds[rank])
    }

    fn token_changes(&self, change: Change, deltas: &mut Deltas) {
        match change {
            Change::Replicate { expert, to, evicted } => {
                self.gain_holder(expert, to, deltas);
                if let Some(other) = evicted {
                    self.lose_holder(other, to, deltas);
                }
            }
            Change::Swap { from, expert, to, other } => {
                let moved = self.shares[expert] - self.shares[other];
                deltas.add(from, -moved);
                deltas.add(to, moved);
            }
            Change::Drop { from, expert } => self.lose_holder(expert, from, deltas),
        }
    }

    fn gain_holder(&self, expert: usize, rank: usize, deltas: &mut Deltas) {
        let before = self.shares[expert];
        let after = self.demand.shares[expert] / super::float(self.holders[expert].len() + 1);
        self.holders[expert].iter().for_each(|&holder| deltas.add(holder, after - before));
        deltas.add(rank, after);
    }

    fn lose_holder(&self, expert: usize, rank: usize, deltas: &mut Deltas) {
        let before = self.shares[expert];
        let after = self.demand.shares[expert] / super::float(self.holders[expert].len() - 1);
        for &holder in &self.holders[expert] {
            deltas.add(holder, if holder == rank { -before } else { after - before });
        }
    }

    fn apply(&mut self, change: Change) {
        let mut deltas = Deltas::default();
        self.token_changes(change, &mut deltas);
        for (rank, tokens) in deltas.entries {
            self.times[rank] += tokens / self.demand.speeds[rank];
            self.penalties[rank] = penalty(self.times[rank]);
        }
        match change {
            Change::Replicate { expert, to, evicted } => {
                evicted.into_iter().for_each(|other| self.remove(to, other));
                self.insert(to, expert);
            }
            Change::Swap { from, expert, to, other } => {
                self.remove(from, expert);
                self.remove(to, other);
                self.insert(from, other);
                self.insert(to, expert);
            }
            Change::Drop { from, expert } => self.remove(from, expert),
        }
    }

    fn insert(&mut self, rank: usize, expert: usize) {
        self.held[rank].push(expert);
        self.holders[expert].push(rank);
        self.update_share(expert);
        if !self.present.held[rank].contains(&expert) {
            self.loads += 1;
            self.new_by_rank[rank] += 1;
        }
    }

    fn remove(&mut self, rank: usize, expert: usize) {
        self.held[rank].retain(|&held| held != expert);
        self.holders[expert].retain(|&holder| holder != rank);
        self.update_share(expert);
        if !self.present.held[rank].contains(&expert) {
            self.loads -= 1;
            self.new_by_rank[rank] -= 1;
        }
    }

    fn update_share(&mut self, expert: usize) {
        let copies = self.holders[expert].len().max(1);
        self.shares[expert] = self.demand.shares[expert] / super::float(copies);
    }
}

/// Grows steeply, so that the busiest ranks outweigh the rest and a tie of several still counts.
fn penalty(time: f64) -> f64 {
    let squared = time * time;
    let fourth = squared * squared;
    fourth * fourth
}

/// Deltas sums changes of the tokens of few ranks.
#[derive(Default)]
struct Deltas {
    entries: Vec<(usize, f64)>,
}

impl Deltas {
    fn add(&mut self, rank: usize, tokens: f64) {
        match self.entries.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += tokens,
            None => self.entries.push((rank, tokens)),
        }
    }
}
