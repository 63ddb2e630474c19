//! Places the experts of one layer: from nothing, or step by step from the present place.

use crate::expert_map::map;

/// Experts beyond the present ones that a rank loads for one change, added to each change's
/// price so that free changes do not always go first.
const BASE_PRICE: f64 = 0.5;
/// Part of the objective that a change must save to be tried.
const MIN_RELATIVE_GAIN: f64 = 1e-4;
/// Ranks, from the least loaded one up, that may take load from the busiest rank.
const PARTNERS: usize = 6;
/// A replica moves to another expert only where that expert's replicas have this many times the
/// tokens that the losing expert's will have.
const EXCHANGE_GAIN: f64 = 1.25;
/// Changes tried in one layer, for each rank.
const CHANGES_PER_RANK: usize = 4;

/// Demand is what one layer has to place.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Each expert's share of the layer's tokens.
    pub shares: &'a [f64],
    /// Each rank's relative speed.
    pub speeds: &'a [f64],
    /// Experts that one rank can hold.
    pub slots_per_rank: usize,
}

impl Demand<'_> {
    /// Returns the time of the slowest rank, where 1 is one rank of normal speed with all tokens.
    pub fn peak(&self, layer: &map::Layer) -> f64 {
        let tokens = layer.rank_tokens(self.shares);
        tokens.iter().zip(self.speeds).map(|(load, speed)| load / speed).fold(0.0, f64::max)
    }
}

/// Places the layer from nothing: replicates the experts with the most tokens for each replica,
/// and packs the replicas, largest first, on the rank that would be done first.
pub fn fresh(demand: &Demand<'_>) -> map::Layer {
    let copies = replicate(demand, vec![1; demand.shares.len()]);
    pack(demand, &copies, |_, _| None)
}

/// Places the layer anew, but changes the number of an expert's replicas only where that counts,
/// and leaves each replica on a rank that holds it unless the rank would be slower than the mean
/// by more than `slack`.
pub fn repack(demand: &Demand<'_>, present: &map::Layer, slack: f64) -> map::Layer {
    let copies = exchange(demand, replicate(demand, present.copies(demand.shares.len())));
    let limit = (1.0 + slack) / demand.speeds.iter().sum::<f64>();
    let mut holders = vec![Vec::new(); copies.len()];
    for (rank, held) in present.held.iter().enumerate() {
        held.iter().for_each(|&expert| holders[expert].push(rank));
    }
    pack(demand, &copies, |expert, fits: &dyn Fn(usize) -> Option<f64>| {
        let kept = holders[expert].iter().filter_map(|&rank| Some((rank, fits(rank)?)));
        let best = kept.min_by(|a, b| a.1.total_cmp(&b.1));
        best.filter(|(_, time)| *time <= limit).map(|(rank, _)| rank)
    })
}

/// Packs replicas, largest first, on the rank that `prefer` names or else on the one that would
/// be done first. `prefer` is given the expert and what each rank's time would be, if it fits.
fn pack(
    demand: &Demand<'_>,
    copies: &[usize],
    prefer: impl Fn(usize, &dyn Fn(usize) -> Option<f64>) -> Option<usize>,
) -> map::Layer {
    let share = |expert: usize| demand.shares[expert] / super::float(copies[expert]);
    let mut order: Vec<usize> = (0..copies.len()).collect();
    order.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
    let mut held: Vec<Vec<usize>> = vec![Vec::new(); demand.speeds.len()];
    let mut tokens = vec![0.0; held.len()];
    for expert in order {
        for _ in 0..copies[expert] {
            let fits = |rank: usize| {
                let full = held[rank].len() >= demand.slots_per_rank;
                let time = (tokens[rank] + share(expert)) / demand.speeds[rank];
                (!full && !held[rank].contains(&expert)).then_some(time)
            };
            let first_done = || {
                let ranks = (0..held.len()).filter_map(|rank| Some((rank, fits(rank)?)));
                ranks.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(rank, _)| rank)
            };
            if let Some(rank) = prefer(expert, &fits).or_else(first_done) {
                tokens[rank] += share(expert);
                held[rank].push(expert);
            }
        }
    }
    sorted(held)
}

/// Adds replicas of the experts with the most tokens for each replica while slots are free.
fn replicate(demand: &Demand<'_>, mut copies: Vec<usize>) -> Vec<usize> {
    let ranks = demand.speeds.len();
    let slots = ranks * demand.slots_per_rank;
    for _ in copies.iter().sum::<usize>()..slots {
        let Some(expert) = hottest(demand, &copies) else { break };
        copies[expert] += 1;
    }
    copies
}

fn hottest(demand: &Demand<'_>, copies: &[usize]) -> Option<usize> {
    let share = |expert: &usize| demand.shares[*expert] / super::float(copies[*expert]);
    (0..copies.len())
        .filter(|&expert| copies[expert] < demand.speeds.len())
        .max_by(|a, b| share(a).total_cmp(&share(b)))
}

/// Moves replicas from experts that need them least to experts that need them most.
fn exchange(demand: &Demand<'_>, mut copies: Vec<usize>) -> Vec<usize> {
    for _ in 0..copies.len() {
        let without = |e: &usize| demand.shares[*e] / super::float(copies[*e] - 1);
        let coldest = (0..copies.len())
            .filter(|&expert| copies[expert] > 1)
            .min_by(|a, b| without(a).total_cmp(&without(b)));
        let (Some(hot), Some(cold)) = (hottest(demand, &copies), coldest) else { break };
        let relieved = demand.shares[hot] / super::float(copies[hot]);
        if relieved < without(&cold) * EXCHANGE_GAIN {
            break;
        }
        copies[hot] += 1;
        copies[cold] -= 1;
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
    demand: &Demand<'_>,
    present: &map::Layer,
    value: &dyn Fn(f64, usize) -> f64,
) -> map::Layer {
    let mut search = Search::new(demand, present);
    let mut best = present.clone();
    let mut best_value = value(demand.peak(present), 0);
    for _ in 0..demand.speeds.len() * CHANGES_PER_RANK {
        let Some(change) = search.best_change() else { break };
        search.apply(change);
        let peak = search.times.iter().copied().fold(0.0, f64::max);
        let reached = value(peak, search.loads);
        if reached > best_value {
            best_value = reached;
            best = map::Layer { held: search.held.clone() };
        }
    }
    sorted(best.held)
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
    demand: &'a Demand<'a>,
    present: &'a map::Layer,
    held: Vec<Vec<usize>>,
    holders: Vec<Vec<usize>>,
    times: Vec<f64>,
    loads: usize,
}

impl<'a> Search<'a> {
    fn new(demand: &'a Demand<'a>, present: &'a map::Layer) -> Self {
        let mut holders = vec![Vec::new(); demand.shares.len()];
        for (rank, held) in present.held.iter().enumerate() {
            held.iter().for_each(|&expert| holders[expert].push(rank));
        }
        let tokens = present.rank_tokens(demand.shares);
        let times = tokens.iter().zip(demand.speeds).map(|(load, speed)| load / speed).collect();
        Self { demand, present, held: present.held.clone(), holders, times, loads: 0 }
    }

    fn best_change(&self) -> Option<Change> {
        let mut ranks: Vec<usize> = (0..self.times.len()).collect();
        ranks.sort_by(|&a, &b| self.times[a].total_cmp(&self.times[b]));
        let busiest = ranks.pop()?;
        let least = ranks.len().min(PARTNERS);
        let floor = self.times.iter().copied().map(penalty).sum::<f64>() * MIN_RELATIVE_GAIN;
        let mut best: Option<(f64, Change)> = None;
        let mut consider = |change: Change| {
            let gain = self.gain(change);
            let score = gain / (self.price(change) + BASE_PRICE);
            if gain > floor && best.is_none_or(|(top, _)| score > top) {
                best = Some((score, change));
            }
        };
        for &expert in &self.held[busiest] {
            if self.holders[expert].len() > 1 {
                consider(Change::Drop { from: busiest, expert });
            }
            for &to in &ranks[..least] {
                self.changes_towards(busiest, expert, to, &mut consider);
            }
        }
        best.map(|(_, change)| change)
    }

    fn changes_towards(
        &self,
        from: usize,
        expert: usize,
        to: usize,
        consider: &mut impl FnMut(Change),
    ) {
        if self.held[to].contains(&expert) {
            return;
        }
        if self.held[to].len() < self.demand.slots_per_rank {
            consider(Change::Replicate { expert, to, evicted: None });
        }
        for &other in &self.held[to] {
            if self.holders[other].len() > 1 {
                consider(Change::Replicate { expert, to, evicted: Some(other) });
            }
            if self.share(other) < self.share(expert) && !self.held[from].contains(&other) {
                consider(Change::Swap { from, expert, to, other });
            }
        }
    }

    fn share(&self, expert: usize) -> f64 {
        self.demand.shares[expert] / super::float(self.holders[expert].len())
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
    fn gain(&self, change: Change) -> f64 {
        if let Change::Swap { from, expert, to, other } = change {
            let moved = self.share(expert) - self.share(other);
            return self.relief(from, -moved) + self.relief(to, moved);
        }
        let mut changed = Deltas::default();
        self.token_changes(change, &mut |rank, tokens| changed.add(rank, tokens));
        changed.entries().iter().map(|&(rank, tokens)| self.relief(rank, tokens)).sum()
    }

    fn relief(&self, rank: usize, tokens: f64) -> f64 {
        let time = self.times[rank];
        penalty(time) - penalty(time + tokens / self.demand.speeds[rank])
    }

    fn token_changes(&self, change: Change, add: &mut dyn FnMut(usize, f64)) {
        match change {
            Change::Replicate { expert, to, evicted } => {
                self.gain_holder(expert, to, add);
                if let Some(other) = evicted {
                    self.lose_holder(other, to, add);
                }
            }
            Change::Swap { from, expert, to, other } => {
                let moved = self.share(expert) - self.share(other);
                add(from, -moved);
                add(to, moved);
            }
            Change::Drop { from, expert } => self.lose_holder(expert, from, add),
        }
    }

    fn gain_holder(&self, expert: usize, rank: usize, add: &mut dyn FnMut(usize, f64)) {
        let before = self.share(expert);
        let after = self.demand.shares[expert] / super::float(self.holders[expert].len() + 1);
        self.holders[expert].iter().for_each(|&holder| add(holder, after - before));
        add(rank, after);
    }

    fn lose_holder(&self, expert: usize, rank: usize, add: &mut dyn FnMut(usize, f64)) {
        let before = self.share(expert);
        let after = self.demand.shares[expert] / super::float(self.holders[expert].len() - 1);
        for &holder in &self.holders[expert] {
            add(holder, if holder == rank { -before } else { after - before });
        }
    }

    fn apply(&mut self, change: Change) {
        let mut deltas = Deltas::default();
        self.token_changes(change, &mut |rank, tokens| deltas.add(rank, tokens));
        for &(rank, tokens) in deltas.entries() {
            self.times[rank] += tokens / self.demand.speeds[rank];
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
        if !self.present.held[rank].contains(&expert) {
            self.loads += 1;
        }
    }

    fn remove(&mut self, rank: usize, expert: usize) {
        self.held[rank].retain(|&held| held != expert);
        self.holders[expert].retain(|&holder| holder != rank);
        if !self.present.held[rank].contains(&expert) {
            self.loads -= 1;
        }
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

    fn entries(&self) -> &[(usize, f64)] {
        &self.entries
    }
}
