//! Places the experts of one layer, either from scratch or by improving the current placement step
//! by step.

use crate::expert_map::map;

/// Number of loads added to the cost of each change, so that changes that load no expert do not
/// always take precedence.
const BASE_LOADS: f64 = 0.5;
/// Minimum fraction of the sum of all penalties by which a change must lower it to be considered.
const MIN_RELATIVE_REDUCTION: f64 = 1e-5;
/// Maximum number of ranks, starting with the least loaded, that may take load from the busiest
/// rank.
const MAX_RECIPIENT_RANKS: usize = 4;
/// Maximum number of changes made in one layer, per rank.
const CHANGES_PER_RANK: usize = 4;

/// PlacementInput holds the loads and limits by which the experts of one layer are placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Each expert's fraction of the layer's tokens.
    pub shares: &'a [f64],
    /// Each rank's speed, relative to a normal rank.
    pub speeds: &'a [f64],
    /// Number of experts that one rank can hold.
    pub slots_per_rank: usize,
    /// Number of experts that one rank may load in one change of the map.
    pub max_new_per_rank: usize,
    /// The same for single ranks, where it is lower; ranks beyond its length have no limit of their own.
    pub max_new_by_rank: &'a [usize],
}

impl PlacementInput<'_> {
    /// Returns the time of the slowest rank, in units of the time that one rank of normal speed
    /// takes for all tokens.
    pub fn peak(&self, layer: &map::Layer) -> f64 {
        let tokens = layer.rank_tokens(self.shares);
        tokens.iter().zip(self.speeds).map(|(load, speed)| load / speed).fold(0.0, f64::max)
    }
}

/// Places the layer from scratch: adds replicas of the experts with the most tokens per replica,
/// and assigns the replicas, largest first, to the rank that would finish first.
pub fn place_from_scratch(input: &PlacementInput<'_>) -> map::Layer {
    let replicas = replicate(input);
    let share = |expert: usize| input.shares[expert] / super::float(replicas[expert]);
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
    let mut held: Vec<Vec<usize>> = vec![Vec::new(); input.speeds.len()];
    let mut tokens = vec![0.0; held.len()];
    for expert in order {
        for _ in 0..replicas[expert] {
            let time = |rank: &usize| (tokens[*rank] + share(expert)) / input.speeds[*rank];
            let first_done = (0..held.len())
                .filter(|&rank| held[rank].len() < input.slots_per_rank)
                .filter(|&rank| !held[rank].contains(&expert))
                .min_by(|a, b| time(a).total_cmp(&time(b)));
            if let Some(rank) = first_done {
                tokens[rank] += share(expert);
                held[rank].push(expert);
            }
        }
    }
    sorted_layer(held)
}

/// Returns the number of replicas of each expert: one each, and one more per free slot for the
/// expert with the most tokens per replica.
fn replicate(input: &PlacementInput<'_>) -> Vec<usize> {
    let ranks = input.speeds.len();
    let mut replicas = vec![1; input.shares.len()];
    for _ in replicas.len()..ranks * input.slots_per_rank {
        let share = |expert: &usize| input.shares[*expert] / super::float(replicas[*expert]);
        let hottest = (0..replicas.len())
            .filter(|&expert| replicas[expert] < ranks)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(expert) = hottest else { break };
        replicas[expert] += 1;
    }
    replicas
}

fn sorted_layer(mut held: Vec<Vec<usize>>) -> map::Layer {
    held.iter_mut().for_each(|experts| experts.sort_unstable());
    map::Layer { held }
}

/// Permutes the ranks of `layer` so that each keeps as many experts of `current` as possible. Only
/// ranks of the same speed are exchanged.
pub fn align(layer: map::Layer, current: &map::Layer, speeds: &[f64]) -> map::Layer {
    let mut pairs = Vec::new();
    for (from, held) in layer.held.iter().enumerate() {
        for (to, before) in current.held.iter().enumerate() {
            if speeds[from].total_cmp(&speeds[to]).is_eq() {
                let kept = held.iter().filter(|expert| before.contains(expert)).count();
                pairs.push((kept, from, to));
            }
        }
    }
    pairs.sort_by(|a, b| b.0.cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    let mut assigned = vec![None; layer.held.len()];
    let mut taken = vec![false; layer.held.len()];
    for (_, from, to) in pairs {
        if !taken[from] && assigned[to].is_none() {
            taken[from] = true;
            assigned[to] = Some(from);
        }
    }
    let mut held = layer.held;
    let reordered = assigned.into_iter().flatten().map(|from| std::mem::take(&mut held[from]));
    map::Layer { held: reordered.collect() }
}

/// Improves the layer greedily and returns the intermediate placement with the highest
/// `value(peak, loads)`, where `loads` counts the experts that ranks would load for it. Each step
/// takes load from the busiest rank by the change with the best ratio of benefit to cost.
pub fn improve(
    input: &PlacementInput<'_>,
    current: &map::Layer,
    value: &dyn Fn(f64, usize) -> f64,
) -> map::Layer {
    let mut search = Search::new(input, current);
    let mut changes = Vec::new();
    let mut best_len = 0;
    let mut best_value = value(input.peak(current), 0);
    for _ in 0..input.speeds.len() * CHANGES_PER_RANK {
        let Some(change) = search.best_change() else { break };
        search.apply(change);
        changes.push(change);
        let peak = search.times.iter().copied().fold(0.0, f64::max);
        let reached = value(peak, search.loads);
        if reached > best_value {
            best_value = reached;
            best_len = changes.len();
        }
    }
    let mut replay = Search::new(input, current);
    changes[..best_len].iter().for_each(|change| replay.apply(*change));
    sorted_layer(replay.held)
}

/// Change is one step of the search, which takes load from the busiest rank.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// `to` gets a replica of `expert`, in place of its replica of `evicted` if there is one.
    Replicate { expert: usize, to: usize, evicted: Option<usize> },
    /// Two ranks exchange experts.
    Swap { from: usize, expert: usize, to: usize, other: usize },
    /// `from` drops its replica of `expert`.
    Drop { from: usize, expert: usize },
}

/// Search is the state of an improvement: the placement so far, with the loads of its ranks.
struct Search<'a> {
    input: &'a PlacementInput<'a>,
    current: &'a map::Layer,
    held: Vec<Vec<usize>>,
    holders: Vec<Vec<usize>>,
    replica_shares: Vec<f64>,
    times: Vec<f64>,
    penalties: Vec<f64>,
    deltas: TokenDeltas,
    new_by_rank: Vec<usize>,
    loads: usize,
}

impl<'a> Search<'a> {
    fn new(input: &'a PlacementInput<'a>, current: &'a map::Layer) -> Self {
        let mut holders = vec![Vec::new(); input.shares.len()];
        for (rank, held) in current.held.iter().enumerate() {
            held.iter().for_each(|&expert| holders[expert].push(rank));
        }
        let replica_shares: Vec<f64> = holders
            .iter()
            .zip(input.shares)
            .map(|(held, share)| share / super::float(held.len()))
            .collect();
        let tokens = current.rank_tokens(input.shares);
        let times: Vec<f64> =
            tokens.iter().zip(input.speeds).map(|(load, speed)| load / speed).collect();
        let penalties = times.iter().copied().map(penalty).collect();
        let held = current.held.clone();
        let deltas = TokenDeltas::default();
        let new_by_rank = vec![0; current.held.len()];
        let loads = 0;
        Self {
            input,
            current,
            held,
            holders,
            replica_shares,
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
        ranks.truncate(MAX_RECIPIENT_RANKS);
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
        let min_reduction = self.penalties.iter().sum::<f64>() * MIN_RELATIVE_REDUCTION;
        let mut best = None;
        let mut best_score = 0.0;
        for &change in changes {
            let reduction = self.penalty_reduction(change);
            if reduction > min_reduction && reduction > best_score * BASE_LOADS {
                let score = reduction / (self.extra_loads(change) + BASE_LOADS);
                if score > best_score {
                    (best, best_score) = (Some(change), score);
                }
            }
        }
        best
    }

    fn push_changes(&self, from: usize, expert: usize, to: usize, changes: &mut Vec<Change>) {
        if self.held[to].contains(&expert) || !self.can_load(to, expert) {
            return;
        }
        if self.held[to].len() < self.input.slots_per_rank {
            changes.push(Change::Replicate { expert, to, evicted: None });
        }
        for &other in &self.held[to] {
            if self.holders[other].len() > 1 {
                changes.push(Change::Replicate { expert, to, evicted: Some(other) });
            }
            let lighter = self.replica_shares[other] < self.replica_shares[expert];
            if lighter && !self.held[from].contains(&other) && self.can_load(from, other) {
                changes.push(Change::Swap { from, expert, to, other });
            }
        }
    }

    /// Returns true if a rank holds the expert in the current layer, or may still load it for this
    /// change of the map.
    fn can_load(&self, rank: usize, expert: usize) -> bool {
        let own_limit = self.input.max_new_by_rank.get(rank).copied().unwrap_or(usize::MAX);
        self.new_by_rank[rank] < self.input.max_new_per_rank.min(own_limit)
            || self.current.held[rank].contains(&expert)
    }

    /// Returns the number of experts that ranks would load for a change.
    fn extra_loads(&self, change: Change) -> f64 {
        let load = |rank: usize, expert: usize| {
            if self.current.held[rank].contains(&expert) { 0.0 } else { 1.0 }
        };
        match change {
            Change::Replicate { expert, to, .. } => load(to, expert),
            Change::Swap { from, expert, to, other } => load(to, expert) + load(from, other),
            Change::Drop { .. } => 0.0,
        }
    }

    /// Returns by how much a change lowers the sum of the ranks' penalties.
    fn penalty_reduction(&mut self, change: Change) -> f64 {
        if let Change::Swap { from, expert, to, other } = change {
            let moved = self.replica_shares[expert] - self.replica_shares[other];
            return self.rank_reduction(from, -moved) + self.rank_reduction(to, moved);
        }
        let mut deltas = std::mem::take(&mut self.deltas);
        self.add_deltas(change, &mut deltas);
        let reduction =
            deltas.entries.iter().map(|&(rank, tokens)| self.rank_reduction(rank, tokens)).sum();
        deltas.entries.clear();
        self.deltas = deltas;
        reduction
    }

    fn rank_reduction(&self, rank: usize, tokens: f64) -> f64 {
        self.penalties[rank] - penalty(self.times[rank] + tokens / self.input.speeds[rank])
    }

    fn add_deltas(&self, change: Change, deltas: &mut TokenDeltas) {
        match change {
            Change::Replicate { expert, to, evicted } => {
                self.add_replica_deltas(expert, to, deltas);
                if let Some(other) = evicted {
                    self.remove_replica_deltas(other, to, deltas);
                }
            }
            Change::Swap { from, expert, to, other } => {
                let moved = self.replica_shares[expert] - self.replica_shares[other];
                deltas.add(from, -moved);
                deltas.add(to, moved);
            }
            Change::Drop { from, expert } => self.remove_replica_deltas(expert, from, deltas),
        }
    }

    fn add_replica_deltas(&self, expert: usize, rank: usize, deltas: &mut TokenDeltas) {
        let before = self.replica_shares[expert];
        let after = self.input.shares[expert] / super::float(self.holders[expert].len() + 1);
        self.holders[expert].iter().for_each(|&holder| deltas.add(holder, after - before));
        deltas.add(rank, after);
    }

    fn remove_replica_deltas(&self, expert: usize, rank: usize, deltas: &mut TokenDeltas) {
        let before = self.replica_shares[expert];
        let after = self.input.shares[expert] / super::float(self.holders[expert].len() - 1);
        for &holder in &self.holders[expert] {
            deltas.add(holder, if holder == rank { -before } else { after - before });
        }
    }

    fn apply(&mut self, change: Change) {
        let mut deltas = TokenDeltas::default();
        self.add_deltas(change, &mut deltas);
        for (rank, tokens) in deltas.entries {
            self.times[rank] += tokens / self.input.speeds[rank];
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
        if !self.current.held[rank].contains(&expert) {
            self.loads += 1;
            self.new_by_rank[rank] += 1;
        }
    }

    fn remove(&mut self, rank: usize, expert: usize) {
        self.held[rank].retain(|&held| held != expert);
        self.holders[expert].retain(|&holder| holder != rank);
        self.update_share(expert);
        if !self.current.held[rank].contains(&expert) {
            self.loads -= 1;
            self.new_by_rank[rank] -= 1;
        }
    }

    fn update_share(&mut self, expert: usize) {
        let replicas = self.holders[expert].len().max(1);
        self.replica_shares[expert] = self.input.shares[expert] / super::float(replicas);
    }
}

/// Returns the eighth power of a rank's time: it grows steeply, so that the busiest ranks outweigh
/// the rest, and relieving one of several equally busy ranks still counts.
fn penalty(time: f64) -> f64 {
    let squared = time * time;
    let fourth = squared * squared;
    fourth * fourth
}

/// TokenDeltas sums the changes of the tokens of a few ranks.
#[derive(Default)]
struct TokenDeltas {
    entries: Vec<(usize, f64)>,
}

impl TokenDeltas {
    fn add(&mut self, rank: usize, tokens: f64) {
        match self.entries.iter_mut().find(|(entry_rank, _)| *entry_rank == rank) {
            Some((_, sum)) => *sum += tokens,
            None => self.entries.push((rank, tokens)),
        }
    }
}
