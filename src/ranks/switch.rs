//! Switches the map of a group on all ranks at one step, whatever becomes of single orders.
//!
//! Orders may be lost, answered late, or carried out seconds after newer ones, the process that
//! gives them may stop at any point, and two may give orders at once. Seven rules keep two ranks
//! from beginning a step with different maps:
//!
//! 1. No rank is armed before every rank has prepared the version and the step is held.
//! 2. A held step is released only where every rank is armed for it with one version, or none is
//!    and none can become so.
//! 3. Versions are never used twice: each coordinator has a number of its own in them.
//! 4. A rank that has prepared a newer version refuses to be armed with an older one, so preparing
//!    a new one on all ranks makes arm orders that are still on their way harmless.
//! 5. Steps are held at one rank only, whoever coordinates, so that there is one held step.
//! 6. What a predecessor left is finished, not undone: a partly armed switch is armed everywhere; a
//!    held step without one gets a new version of the map in use. A rank is told to forget its
//!    switch only where another rank has a newer version prepared, since that one can never be
//!    armed for the same switch and nobody can have released the step.
//! 7. Orders name the group's epoch, since a group that forms anew has forgotten everything.
//!
//! docs/EXPERT_MAPS.md gives the argument, and `tests/rank_switch.rs` the property.

use std::sync::Arc;
use std::time::Duration;

use crate::expert_map::map::ExpertMap;
use crate::ranks::report::{Order, OrderOutcome, RankReport, Switch};

/// The rank at which steps are held.
const HOLDING_RANK: usize = 0;

/// Steps between the last one begun and the one that is held: about the time that two rounds of
/// orders take.
const LEAD_STEPS: u64 = 3;

/// Time after which an order without an answer is given again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause before an order that did not fit is given again.
const CONFLICT_PAUSE: Duration = Duration::from_millis(60);

/// Time in which ranks load experts; a map that is not there by then is given up.
const PREPARE_LIMIT: Duration = Duration::from_secs(8);

/// Time after which a rank that began to load experts is told so again.
const LOAD_LIMIT: Duration = Duration::from_secs(2);

/// Age from which on a rank's report decides nothing.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Versions that one round of plans spans, so that each coordinator has a number of its own.
const VERSION_SPAN: u64 = 4_096;

/// RankView is what a coordinator knows of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankView {
    /// Its last report.
    pub report: RankReport,
    /// When that was made, on the coordinator's clock.
    pub received_at: Duration,
}

/// Given is an order for one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Given {
    /// The rank.
    pub rank: usize,
    /// The order.
    pub order: Order,
    /// The group's epoch, without which the engine refuses it.
    pub epoch: u64,
}

#[derive(Clone, Debug)]
struct Plan {
    epoch: u64,
    version: u64,
    map: Arc<ExpertMap>,
    began: Duration,
    step: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Line {
    busy_until: Duration,
    loading: Option<(u64, Duration)>,
}

/// Progress is what a coordinator is at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing.
    Idle,
    /// Ranks load experts.
    Preparing,
    /// A step is to be held, or ranks are to be armed for it.
    Arming,
    /// All ranks are armed and the step is released.
    Switching,
}

/// Switcher is the coordinator's part that gives orders.
#[derive(Clone, Debug)]
pub struct Switcher {
    number: u64,
    last_version: u64,
    plan: Option<Plan>,
    abandoned: Option<Switch>,
    lines: Vec<Line>,
}

impl Switcher {
    /// Starts without a plan. `number` must differ from those of other coordinators of the group.
    pub fn new(number: u64) -> Self {
        Self {
            number: number % VERSION_SPAN,
            last_version: 0,
            plan: None,
            abandoned: None,
            lines: Vec::new(),
        }
    }

    /// Returns the version of the map that is being brought in.
    pub fn version(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.version)
    }

    /// Tells whether the coordinator is at nothing, so that a new map may be wanted.
    pub fn is_idle(&self) -> bool {
        self.plan.is_none()
    }

    /// Takes up a new map, if the ranks are in a state for it. Returns its version.
    pub fn want(&mut self, map: ExpertMap, views: &[RankView], now: Duration) -> Option<u64> {
        let settled = views.iter().all(|view| {
            let report = &view.report;
            report.armed.is_none() && report.held_step.is_none()
        });
        if self.plan.is_some() || !settled || !is_whole(views, now) {
            return None;
        }
        Some(self.begin(Arc::new(map), None, views, now))
    }

    fn begin(
        &mut self,
        map: Arc<ExpertMap>,
        step: Option<u64>,
        views: &[RankView],
        now: Duration,
    ) -> u64 {
        let seen = views.iter().map(|view| {
            let armed = view.report.armed.map_or(0, |armed| armed.version);
            view.report.version.max(view.report.prepared.unwrap_or(0)).max(armed)
        });
        let highest = seen.max().unwrap_or(0).max(self.last_version);
        let version = (highest / VERSION_SPAN + 1) * VERSION_SPAN + self.number;
        self.last_version = version;
        let epoch = views.first().map_or(0, |view| view.report.epoch);
        self.lines = vec![Line::default(); views.len()];
        self.plan = Some(Plan { epoch, version, map, began: now, step });
        version
    }

    /// Decides what to order now. `present` returns the map that all ranks use, where it is known;
    /// it is asked only where a switch that was left has to be finished.
    pub fn tick(
        &mut self,
        views: &[RankView],
        present: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> (Progress, Vec<Given>) {
        self.lines.resize(views.len(), Line::default());
        if !is_whole(views, now) {
            return (Progress::Idle, Vec::new());
        }
        let epoch = views[0].report.epoch;
        if self.plan.as_ref().is_some_and(|plan| plan.epoch != epoch) {
            self.plan = None;
        }
        let armed: Vec<Switch> = views.iter().filter_map(|view| view.report.armed).collect();
        let held = views[HOLDING_RANK].report.held_step;
        let (progress, orders) = match (armed.first(), held) {
            (Some(first), _) => self.finish_arming(*first, &armed, held, views, present, now),
            (None, Some(step)) => self.arm_held(step, views, present, now),
            (None, None) => self.prepare_and_hold(views, now),
        };
        let given = orders.into_iter().filter(|given| self.may_give(given, now)).collect();
        let given: Vec<Given> = given;
        for given in &given {
            self.lines[given.rank].busy_until = now + ORDER_TIMEOUT;
        }
        (progress, given)
    }

    fn may_give(&self, given: &Given, now: Duration) -> bool {
        self.lines.get(given.rank).is_some_and(|line| line.busy_until <= now)
    }

    /// Some ranks are armed: all of them have to be, and then the step may begin.
    fn finish_arming(
        &mut self,
        first: Switch,
        armed: &[Switch],
        held: Option<u64>,
        views: &[RankView],
        present: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> (Progress, Vec<Given>) {
        let begun = |view: &RankView| view.report.version == first.version;
        if views.iter().any(begun) {
            // The step has begun, so the reports that still show a switch are old.
            return (Progress::Switching, Vec::new());
        }
        let open: Vec<usize> =
            (0..views.len()).filter(|rank| views[*rank].report.armed.is_none()).collect();
        let newer = |view: &RankView| view.report.prepared > Some(first.version);
        if self.abandoned == Some(first) || views.iter().any(newer) {
            return (Progress::Arming, self.start_over(first, views, present, now));
        }
        if armed.iter().any(|switch| *switch != first) || held.is_some_and(|s| s != first.step) {
            // No two switches can be armed at once, so some of the reports are old.
            return (Progress::Arming, Vec::new());
        }
        let ready = |rank: &&usize| views[**rank].report.prepared == Some(first.version);
        let mut orders: Vec<Given> = open
            .iter()
            .filter(ready)
            .map(|rank| given(*rank, Order::Arm(first), &views[*rank].report))
            .collect();
        let holder = &views[HOLDING_RANK].report;
        match held {
            Some(step) if open.is_empty() => {
                orders.push(given(HOLDING_RANK, Order::Release { step }, holder))
            }
            None if !open.is_empty() => {
                let step = first.step;
                orders.insert(0, given(HOLDING_RANK, Order::Hold { step }, holder));
            }
            _ => {}
        }
        let progress = if open.is_empty() { Progress::Switching } else { Progress::Arming };
        (progress, orders)
    }

    /// A rank has a newer version than the one that others are armed with: these forget it, and a
    /// new version of the map in use is brought in at the same step. The old switch is never
    /// released here, since an order to forget it may still be on its way.
    fn start_over(
        &mut self,
        first: Switch,
        views: &[RankView],
        present: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> Vec<Given> {
        if self.abandoned != Some(first) {
            self.abandoned = Some(first);
            self.plan = None;
            if let Some(present) = present() {
                self.begin(present, Some(first.step), views, now);
            }
        }
        let armed = views.iter().enumerate().filter_map(|(rank, view)| {
            let version = view.report.armed?.version;
            Some(given(rank, Order::Disarm { version }, &view.report))
        });
        armed.collect()
    }

    /// A step is held and no rank is armed.
    fn arm_held(
        &mut self,
        step: u64,
        views: &[RankView],
        present: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> (Progress, Vec<Given>) {
        if self.plan.is_none() {
            // Whoever held the step may have given arm orders that are still on their way.
            let Some(present) = present() else { return (Progress::Arming, Vec::new()) };
            self.begin(present, Some(step), views, now);
        }
        let Some(plan) = &mut self.plan else { return (Progress::Idle, Vec::new()) };
        plan.step = Some(step);
        let switch = Switch { version: plan.version, step };
        let all_prepared = views.iter().all(|view| view.report.prepared == Some(switch.version));
        if all_prepared {
            let orders = views
                .iter()
                .enumerate()
                .map(|(r, view)| given(r, Order::Arm(switch), &view.report));
            return (Progress::Arming, orders.collect());
        }
        if self.is_overtaken(views) {
            // Ranks have taken a newer version from another coordinator.
            self.plan = None;
            return (Progress::Arming, Vec::new());
        }
        (Progress::Arming, self.prepare(views, now))
    }

    fn prepare_and_hold(&mut self, views: &[RankView], now: Duration) -> (Progress, Vec<Given>) {
        let Some(plan) = &self.plan else { return (Progress::Idle, Vec::new()) };
        let (version, began) = (plan.version, plan.began);
        if views.iter().any(|view| view.report.version == version) {
            self.plan = None;
            return (Progress::Idle, Vec::new());
        }
        let late = now.saturating_sub(began) > PREPARE_LIMIT;
        if self.is_overtaken(views) || late {
            self.plan = None;
            return (Progress::Idle, Vec::new());
        }
        let all_prepared = views.iter().all(|view| view.report.prepared == Some(version));
        if !all_prepared {
            return (Progress::Preparing, self.prepare(views, now));
        }
        let newest = views.iter().map(|view| view.report.step).max().unwrap_or(0);
        let step = newest + LEAD_STEPS;
        if let Some(plan) = &mut self.plan {
            plan.step = Some(step);
        }
        let order = Order::Hold { step };
        (Progress::Arming, vec![given(HOLDING_RANK, order, &views[HOLDING_RANK].report)])
    }

    fn is_overtaken(&self, views: &[RankView]) -> bool {
        let Some(plan) = &self.plan else { return false };
        let newer = |view: &RankView| {
            let prepared = view.report.prepared.unwrap_or(0);
            prepared.max(view.report.version) > plan.version
        };
        views.iter().any(newer)
    }

    fn prepare(&self, views: &[RankView], now: Duration) -> Vec<Given> {
        let Some(plan) = &self.plan else { return Vec::new() };
        let missing = views.iter().enumerate().filter(|(rank, view)| {
            let loads = self.lines[*rank].loading.is_some_and(|(version, since)| {
                version == plan.version && now.saturating_sub(since) < LOAD_LIMIT
            });
            view.report.prepared != Some(plan.version) && !loads
        });
        let orders = missing.map(|(rank, view)| {
            let order = Order::Prepare { version: plan.version, map: Arc::clone(&plan.map) };
            given(rank, order, &view.report)
        });
        orders.collect()
    }

    /// Takes in what became of an order.
    pub fn answered(&mut self, given: &Given, outcome: OrderOutcome, now: Duration) {
        let Some(line) = self.lines.get_mut(given.rank) else { return };
        line.busy_until = match outcome {
            OrderOutcome::Done | OrderOutcome::Begun => now,
            OrderOutcome::Conflict | OrderOutcome::Refused => now + CONFLICT_PAUSE,
            OrderOutcome::NoAnswer => now,
        };
        if let (Order::Prepare { version, .. }, OrderOutcome::Begun) = (&given.order, outcome) {
            line.loading = Some((*version, now));
        }
    }
}

/// Tells whether the reports of all ranks are there, fresh, and of one open epoch.
pub fn is_whole(views: &[RankView], now: Duration) -> bool {
    let Some(first) = views.first() else { return false };
    views.iter().all(|view| {
        let fresh = now.saturating_sub(view.received_at) <= MAX_REPORT_AGE;
        fresh && view.report.open && view.report.epoch == first.report.epoch
    })
}

fn given(rank: usize, order: Order, report: &RankReport) -> Given {
    Given { rank, order, epoch: report.epoch }
}
