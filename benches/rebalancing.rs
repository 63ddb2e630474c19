//! Measures step-time skew and the cost of loading experts under drifting popularity, and the time
//! that planning takes. `cargo bench --bench rebalancing -- --json FILE` writes the rows to a file;
//! docs/EXPERT_MAPS.md explains them.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{Duration, Instant};
use std::{env, fs, io, thread};

use bitternwall::expert_map::{loads, map, placement, planner};
use serde::Serialize;

#[path = "support/group.rs"]
mod group;

/// Number of windows in one run, which make up one day.
const WINDOWS: usize = 288;
/// Number of steps sampled from each window.
const STEPS: usize = 20;
/// Seeds of each case.
const SEEDS: [u64; 5] = [11, 23, 37, 41, 59];
/// Skew above which the threshold policy rebalances.
const SKEW_THRESHOLD: f64 = 1.15;
/// Number of layers of the model in the runs.
const LAYERS: usize = 4;
/// Number of experts in each layer.
const EXPERTS: usize = 128;
/// Numbers of ranks and of slots per rank of the groups in the runs.
const GROUPS: [(usize, usize); 2] = [(8, 20), (32, 6)];
/// Cost of loading experts in the runs.
const COSTS: planner::Costs =
    planner::Costs { expert_bytes: 25e6, bytes_per_second: 100e6, capacity_share: 0.1 };
const GUILD: planner::Weights = planner::Weights { skew: 4, cost: 1 };
const COOPERATIVE: planner::Weights = planner::Weights { skew: 1, cost: 4 };
/// Number of plans that [`time_planning`] times.
const PLANNING_ROUNDS: usize = 20;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Policy {
    Static,
    PlannedOnce,
    EveryInterval,
    EveryIntervalNear,
    Threshold,
    Guild,
    Cooperative,
}

impl Policy {
    const ALL: [Self; 7] = [
        Self::Static,
        Self::PlannedOnce,
        Self::EveryInterval,
        Self::EveryIntervalNear,
        Self::Threshold,
        Self::Guild,
        Self::Cooperative,
    ];

    fn weights(self) -> planner::Weights {
        match self {
            Self::Cooperative => COOPERATIVE,
            _ => GUILD,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    policy: Policy,
    drift: &'static str,
    ranks: usize,
    seed: u64,
    skew_p50: f64,
    skew_p95: f64,
    step_over_perfect: f64,
    bytes_moved: f64,
    switches: usize,
    preparing_seconds: f64,
}

/// Run applies one policy to one sequence of steps.
struct Run {
    policy: Policy,
    planner: planner::Planner,
    map: map::ExpertMap,
    preparing: Option<(map::ExpertMap, Duration)>,
    window: loads::Window,
    skews: Vec<f64>,
    seconds: f64,
    perfect_seconds: f64,
    loads: usize,
    switches: usize,
    preparation_time: Duration,
    rng: group::Rng,
}

impl Run {
    fn new(policy: Policy, shape: map::Shape, seed: u64) -> Self {
        let planner = planner::Planner::new(shape, policy.weights(), group::window());
        Self {
            policy,
            planner: planner.expect("the shapes hold their experts"),
            map: map::ExpertMap::contiguous(&shape).expect("the shapes hold their experts"),
            preparing: None,
            window: loads::Window::default(),
            skews: Vec::new(),
            seconds: 0.0,
            perfect_seconds: 0.0,
            loads: 0,
            switches: 0,
            preparation_time: Duration::ZERO,
            rng: group::Rng::new(!seed),
        }
    }

    fn step(&mut self, now: Duration, tokens: &[Vec<f64>]) {
        if let Some((map, _)) = self.preparing.take_if(|(_, ready)| *ready <= now) {
            self.map = map;
        }
        let step = group::run_step(&self.map, tokens, None, &mut self.rng);
        step.report(&mut self.window);
        tokens.iter().enumerate().for_each(|(layer, t)| self.window.add_tokens(layer, t));
        self.skews.push(step.skew());
        self.seconds += step.seconds;
        self.perfect_seconds += step.perfect_seconds;
    }

    fn plan(&mut self, now: Duration, shape: &map::Shape) {
        let window = std::mem::take(&mut self.window);
        self.planner.observe(&window);
        if self.preparing.is_some() {
            return;
        }
        let target = match self.policy {
            Policy::Static => None,
            Policy::PlannedOnce if self.switches > 0 => None,
            Policy::PlannedOnce | Policy::EveryInterval => {
                Some(plan_from_scratch(&window, shape, &self.map))
            }
            Policy::EveryIntervalNear => Some(plan_improvement(&window, shape, &self.map)),
            Policy::Threshold => (skew(&window, shape, &self.map) > SKEW_THRESHOLD)
                .then(|| plan_from_scratch(&window, shape, &self.map)),
            Policy::Guild | Policy::Cooperative => {
                self.planner.plan(&self.map, &COSTS).expect("the map fits").switch_to
            }
        };
        let Some(target) = target.filter(|target| *target != self.map) else { return };
        let loads = target.loads_from(&self.map);
        let preparation = COSTS.preparation(loads);
        self.loads += loads;
        self.switches += 1;
        self.preparation_time += preparation;
        self.preparing = Some((target, now + preparation));
    }

    fn row(mut self, drift: group::Drift, shape: &map::Shape, seed: u64) -> Row {
        self.skews.sort_by(f64::total_cmp);
        Row {
            policy: self.policy,
            drift: drift.name(),
            ranks: shape.ranks,
            seed,
            skew_p50: self.skews[self.skews.len() / 2],
            skew_p95: self.skews[self.skews.len() * 95 / 100],
            step_over_perfect: self.seconds / self.perfect_seconds,
            bytes_moved: group::count(self.loads) * COSTS.expert_bytes,
            switches: self.switches,
            preparing_seconds: self.preparation_time.as_secs_f64(),
        }
    }
}

fn placement_input<'a>(
    tokens: &'a [f64],
    shape: &map::Shape,
    speeds: &'a [f64],
) -> placement::PlacementInput<'a> {
    placement::PlacementInput {
        shares: tokens,
        speeds,
        slots_per_rank: shape.slots_per_rank,
        max_new_per_rank: usize::MAX,
        max_new_by_rank: &[],
    }
}

/// Places every layer from scratch by the loads of the last window, with the ranks permuted to keep
/// as many experts as possible.
fn plan_from_scratch(
    window: &loads::Window,
    shape: &map::Shape,
    current: &map::ExpertMap,
) -> map::ExpertMap {
    let speeds = vec![1.0; shape.ranks];
    let place = |(tokens, before): (&Vec<f64>, &map::Layer)| {
        placement::align(
            placement::place_from_scratch(&placement_input(tokens, shape, &speeds)),
            before,
            &speeds,
        )
    };
    map::ExpertMap { layers: window.tokens.iter().zip(&current.layers).map(place).collect() }
}

/// Improves the current placement of every layer as far as possible, at any cost.
fn plan_improvement(
    window: &loads::Window,
    shape: &map::Shape,
    current: &map::ExpertMap,
) -> map::ExpertMap {
    let speeds = vec![1.0; shape.ranks];
    let place = |(tokens, before): (&Vec<f64>, &map::Layer)| {
        let total: f64 = tokens.iter().sum();
        let shares: Vec<f64> = tokens.iter().map(|count| count / total).collect();
        placement::improve(&placement_input(&shares, shape, &speeds), before, &|peak, _| -peak)
    };
    map::ExpertMap { layers: window.tokens.iter().zip(&current.layers).map(place).collect() }
}

fn skew(window: &loads::Window, shape: &map::Shape, current: &map::ExpertMap) -> f64 {
    let speeds = vec![1.0; shape.ranks];
    let peak = |(tokens, layer): (&Vec<f64>, &map::Layer)| {
        placement_input(tokens, shape, &speeds).peak(layer)
    };
    let slowest: f64 = window.tokens.iter().zip(&current.layers).map(peak).sum();
    slowest * group::count(shape.ranks) / window.tokens.iter().flatten().sum::<f64>()
}

fn run_case(shape: map::Shape, drift: group::Drift, seed: u64) -> Vec<Row> {
    let mut popularity = group::Popularity::new(shape, drift, seed);
    let mut runs: Vec<Run> = Policy::ALL.map(|policy| Run::new(policy, shape, seed)).into();
    for window in 0..WINDOWS {
        let at = group::count(window) / group::count(WINDOWS);
        let shares: Vec<_> = (0..shape.layers).map(|l| popularity.shares(l, at)).collect();
        for step in 0..STEPS {
            let position = group::count(window) + group::count(step) / group::count(STEPS);
            let now = group::window().mul_f64(position);
            let tokens: Vec<_> = shares.iter().map(|layer| popularity.draw(layer)).collect();
            runs.iter_mut().for_each(|run| run.step(now, &tokens));
        }
        let now = group::window().mul_f64(group::count(window + 1));
        runs.iter_mut().for_each(|run| run.plan(now, &shape));
    }
    runs.into_iter().map(|run| run.row(drift, &shape, seed)).collect()
}

fn run_all() -> Vec<Row> {
    let mut rows = Vec::new();
    for (ranks, slots_per_rank) in GROUPS {
        let shape = map::Shape { ranks, layers: LAYERS, experts: EXPERTS, slots_per_rank };
        for drift in group::Drift::ALL {
            let seeds: Vec<_> = SEEDS
                .iter()
                .map(|&seed| thread::spawn(move || run_case(shape, drift, seed)))
                .collect();
            for seed in seeds {
                rows.extend(seed.join().expect("a run does not panic"));
            }
        }
    }
    rows
}

/// Mean results of one policy over the seeds of one case.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    skew_p50: f64,
    skew_p95: f64,
    step_over_perfect: f64,
    bytes_moved: f64,
    switches: f64,
    preparing_seconds: f64,
}

fn means(rows: &[Row]) -> BTreeMap<(usize, &'static str, Policy), Mean> {
    let mut means: BTreeMap<_, Mean> = BTreeMap::new();
    let seeds = group::count(SEEDS.len());
    for row in rows {
        let mean = means.entry((row.ranks, row.drift, row.policy)).or_default();
        mean.skew_p50 += row.skew_p50 / seeds;
        mean.skew_p95 += row.skew_p95 / seeds;
        mean.step_over_perfect += row.step_over_perfect / seeds;
        mean.bytes_moved += row.bytes_moved / seeds;
        mean.switches += group::count(row.switches) / seeds;
        mean.preparing_seconds += row.preparing_seconds / seeds;
    }
    means
}

fn write_table(out: &mut impl Write, rows: &[Row]) -> io::Result<()> {
    let means = means(rows);
    writeln!(
        out,
        "| ranks | drift | policy | skew p50 | p95 | step / perfect | GB | switches | preparing s | wanted |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
    for ((ranks, drift, policy), mean) in &means {
        let of = |policy| means[&(*ranks, *drift, policy)];
        let verdict = verdict(*policy, mean, of);
        writeln!(
            out,
            "| {ranks} | {drift} | {policy:?} | {:.3} | {:.3} | {:.3} | {:.1} | {:.1} | {:.0} | {verdict} |",
            mean.skew_p50,
            mean.skew_p95,
            mean.step_over_perfect,
            mean.bytes_moved / 1e9,
            mean.switches,
            mean.preparing_seconds,
        )?;
    }
    Ok(())
}

/// Compares a policy with its targets, which are relative to the standard policies.
fn verdict(policy: Policy, mean: &Mean, of: impl Fn(Policy) -> Mean) -> String {
    let every = of(Policy::EveryInterval);
    let bytes = mean.bytes_moved / every.bytes_moved;
    let excess = |other: Mean| (mean.skew_p95 - 1.0) / (other.skew_p95 - 1.0);
    match policy {
        Policy::Guild => {
            let skew = mean.skew_p95 / every.skew_p95;
            let reached = skew <= 1.05 && bytes <= 0.25;
            format!("p95 x{skew:.3}, bytes x{bytes:.3}: {}", outcome(reached))
        }
        Policy::Cooperative => {
            let (fixed, once) = (excess(of(Policy::Static)), excess(of(Policy::PlannedOnce)));
            let reached = outcome(fixed < 0.5 && bytes <= 0.1);
            format!("excess x{fixed:.3} (planned once x{once:.2}), bytes x{bytes:.3}: {reached}")
        }
        _ => String::new(),
    }
}

fn outcome(reached: bool) -> &'static str {
    if reached { "reached" } else { "NOT REACHED" }
}

/// Returns the fastest, median and slowest time of one plan for 32 ranks, 128 experts and 60 layers
/// on one core.
fn time_planning() -> [Duration; 3] {
    let shape = map::Shape { ranks: 32, layers: 60, experts: EXPERTS, slots_per_rank: 6 };
    let mut times: Vec<Duration> = (0..PLANNING_ROUNDS)
        .map(|round| {
            let seed = u64::try_from(round).expect("a count fits in 64 bits");
            let mut popularity = group::Popularity::new(shape, group::Drift::Steady, seed);
            let mut planner = planner::Planner::new(shape, GUILD, group::window()).expect("fits");
            let mut window = loads::Window::default();
            for layer in 0..shape.layers {
                let shares = popularity.shares(layer, 0.0);
                window.add_tokens(layer, &popularity.draw(&shares));
            }
            let current = map::ExpertMap::contiguous(&shape).expect("fits");
            let start = Instant::now();
            planner.observe(&window);
            planner.plan(&current, &COSTS).expect("the map fits");
            start.elapsed()
        })
        .collect();
    times.sort();
    [times[0], times[PLANNING_ROUNDS / 2], times[PLANNING_ROUNDS - 1]]
}

fn main() -> io::Result<()> {
    let [fastest, median, slowest] = time_planning();
    let rows = run_all();
    let mut out = io::stdout().lock();
    let mut args = env::args().skip_while(|arg| arg != "--json").skip(1);
    let mut json = Vec::new();
    for row in &rows {
        serde_json::to_writer(&mut json, row)?;
        json.push(b'\n');
    }
    match args.next() {
        Some(file) => fs::write(file, &json)?,
        None => out.write_all(&json)?,
    }
    write_table(&mut out, &rows)?;
    writeln!(
        out,
        "One plan for 32 ranks, 128 experts, 60 layers: fastest {fastest:.1?}, median {median:.1?}, slowest {slowest:.1?}."
    )
}
