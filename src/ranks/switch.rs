//! Switches the map of a group on all ranks at the same step, even if orders are lost or delayed.
//!
//! Orders may be lost, answered late, or carried out seconds after newer ones. The coordinator that
//! sends them may stop at any point, and two coordinators may send orders at the same time. Seven
//! rules ensure that no two ranks begin a step with different maps:
//!
//! 1. No rank is armed before every rank has prepared the version and the step is held.
//! 2. A held step is released only if every rank is armed for it with one version, or if no rank is
//!    armed for it and none can be any more.
//! 3. No version is used twice: every version contains its coordinator's number.
//! 4. A rank that has prepared a newer version refuses to be armed with an older one. Preparing a
//!    new version on all ranks thus invalidates arm orders that are still in flight.
//! 5. Steps are held at the same rank whichever process coordinates, so at most one step is held.
//! 6. A predecessor's switch is completed, not reverted: a partly armed switch is armed on all
//!    ranks, and a step that is held without a switch gets a new version of the map in use. A rank
//!    is disarmed only if another rank is not armed and has prepared a newer version: that rank can
//!    no longer be armed for the old switch, so no coordinator can have released the step.
//! 7. Orders contain the group's epoch, since a group that forms again has lost all its state.
//!
//! docs/EXPERT_MAPS.md proves the property, and `tests/rank_switch.rs` tests it.

use std::sync::Arc;
use std::time::Duration;

use crate::expert_map::map::ExpertMap;
use crate::ranks::report::{Order, OrderOutcome, RankReport, Switch};

/// The rank at which steps are held.
const HOLDING_RANK: usize = 0;

/// Number of steps between the last one begun and the one that is held. At least one whole step of a
/// busy group passes before the held one, which is as long as a round of orders takes.
pub const LEAD_STEPS: u64 = 2;

/// Time after which an order without any outcome is sent again. An outcome is recorded before, also
/// for an order that was not answered, unless the process was paused meanwhile.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before an order that an engine refused or that conflicts with its state is sent again.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time within which all ranks must load the experts of a map; after it the switch is abandoned.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the prepare order is sent again to a rank that is loading experts.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Age above which a rank's report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Range of coordinator numbers. A version is a multiple of it plus the number of its coordinator,
/// so that no two coordinators use the same version.
const VERSION_STRIDE: u64 = 4_096;

/// RankView is the coordinator's knowledge of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankView {
    /// The rank's last report.
    pub report: RankReport,
    /// When the report was received, by the coordinator's clock; earlier if it was out of date.
    pub received_at: Duration,
}

/// RankOrder is an order addressed to one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RankOrder {
    /// Index of the rank in its group.
    pub rank: usize,
    /// The order to send.
    pub order: Order,
    /// The group's epoch; an engine of another epoch refuses the order.
    pub epoch: u64,
}

/// PendingSwitch is the switch that the coordinator is carrying out.
#[derive(Clone, Debug)]
struct PendingSwitch {
    epoch: u64,
    version: u64,
    map: Arc<ExpertMap>,
    started_at: Duration,
    step: Option<u64>,
}

/// OrderState tracks the orders to one rank.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    next_order_at: Duration,
    /// The version that the rank is loading, and since when.
    loading: Option<(u64, Duration)>,
}

/// Progress is the state of a coordinator's switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// No switch is in progress.
    Idle,
    /// Ranks are loading experts.
    Preparing,
    /// A step is being held, or ranks are being armed for it.
    Arming,
    /// All ranks are armed, and the step is being released.
    Switching,
}

/// Coordinator decides which orders switch the map of one group.
#[derive(Clone, Debug)]
pub struct Coordinator {
    coordinator_number: u64,
    last_version: u64,
    pending: Option<PendingSwitch>,
    abandoned: Option<Switch>,
    order_states: Vec<OrderState>,
}

impl Coordinator {
    /// Returns an idle coordinator. `coordinator_number` must differ from those of the group's
    /// other coordinators.
    pub fn new(coordinator_number: u64) -> Self {
        Self {
            coordinator_number: coordinator_number % VERSION_STRIDE,
            last_version: 0,
            pending: None,
            abandoned: None,
            order_states: Vec::new(),
        }
    }

    /// Returns the version of the map to which the group is being switched.
    pub fn version(&self) -> Option<u64> {
        self.pending.as_ref().map(|pending| pending.version)
    }

    /// Returns true if no switch is pending, so that a new one may be started.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// Starts a switch to a new map and returns the map's version. Returns `None` if another switch
    /// is pending, a rank is armed, a step is held, or current reports are missing.
    pub fn start_switch(
        &mut self,
        map: ExpertMap,
        views: &[RankView],
        now: Duration,
    ) -> Option<u64> {
        let settled = views.iter().all(|view| {
            let report = &view.report;
            report.armed.is_none() && report.held_step.is_none()
        });
        if self.pending.is_some() || !settled || !has_current_reports(views, now) {
            return None;
        }
        Some(self.set_pending(Arc::new(map), None, views, now))
    }

    fn set_pending(
        &mut self,
        map: Arc<ExpertMap>,
        step: Option<u64>,
        views: &[RankView],
        now: Duration,
    ) -> u64 {
        let reported = views.iter().map(|view| {
            let armed = view.report.armed.map_or(0, |armed| armed.version);
            view.report.version.max(view.report.prepared.unwrap_or(0)).max(armed)
        });
        let highest = reported.max().unwrap_or(0).max(self.last_version);
        let version = (highest / VERSION_STRIDE + 1) * VERSION_STRIDE + self.coordinator_number;
        self.last_version = version;
        let epoch = views.first().map_or(0, |view| view.report.epoch);
        self.order_states = vec![OrderState::default(); views.len()];
        self.pending = Some(PendingSwitch { epoch, version, map, started_at: now, step });
        version
    }

    /// Returns the progress and the orders to send now. `current` returns the map that all ranks
    /// use, if known; it is called only if a predecessor's switch has to be completed.
    pub fn tick(
        &mut self,
        views: &[RankView],
        current: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> (Progress, Vec<RankOrder>) {
        self.order_states.resize(views.len(), OrderState::default());
        if !has_current_reports(views, now) {
            return (Progress::Idle, Vec::new());
        }
        let epoch = views[0].report.epoch;
        if self.pending.as_ref().is_some_and(|pending| pending.epoch != epoch) {
            self.pending = None;
        }
        let armed: Vec<Switch> = views.iter().filter_map(|view| view.report.armed).collect();
        let held_step = views[HOLDING_RANK].report.held_step;
        let (progress, orders) = match (armed.first(), held_step) {
            (Some(switch), _) => {
                self.finish_arming(*switch, &armed, held_step, views, current, now)
            }
            (None, Some(step)) => self.arm_held(step, views, current, now),
            (None, None) => self.prepare_and_hold(views, now),
        };
        let due = orders.into_iter().filter(|rank_order| self.may_send(rank_order, now)).collect();
        let due: Vec<RankOrder> = due;
        for rank_order in &due {
            self.order_states[rank_order.rank].next_order_at = now + ORDER_TIMEOUT;
        }
        (progress, due)
    }

    fn may_send(&self, rank_order: &RankOrder, now: Duration) -> bool {
        self.order_states.get(rank_order.rank).is_some_and(|state| state.next_order_at <= now)
    }

    /// Handles the state in which some ranks are armed: arms the others, then releases the step.
    fn finish_arming(
        &mut self,
        switch: Switch,
        armed: &[Switch],
        held_step: Option<u64>,
        views: &[RankView],
        current: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> (Progress, Vec<RankOrder>) {
        let has_switched = |view: &RankView| view.report.version == switch.version;
        if views.iter().any(has_switched) {
            // The step has begun, so the reports that still show a switch are outdated.
            return (Progress::Switching, Vec::new());
        }
        let unarmed: Vec<usize> =
            (0..views.len()).filter(|rank| views[*rank].report.armed.is_none()).collect();
        // A rank may be armed while it loads a newer version, and then counts as armed.
        let can_no_longer_arm = |view: &RankView| {
            view.report.armed.is_none() && view.report.prepared > Some(switch.version)
        };
        if self.abandoned == Some(switch) || views.iter().any(can_no_longer_arm) {
            return (Progress::Arming, self.abandon_switch(switch, views, current, now));
        }
        if armed.iter().any(|other| *other != switch) || held_step.is_some_and(|s| s != switch.step)
        {
            // No two switches can be armed at the same time, so some of the reports are outdated.
            return (Progress::Arming, Vec::new());
        }
        let ready = |rank: &&usize| views[**rank].report.prepared == Some(switch.version);
        let mut orders: Vec<RankOrder> = unarmed
            .iter()
            .filter(ready)
            .map(|rank| rank_order(*rank, Order::Arm(switch), &views[*rank].report))
            .collect();
        let holding_report = &views[HOLDING_RANK].report;
        match held_step {
            Some(step) if unarmed.is_empty() => {
                orders.push(rank_order(HOLDING_RANK, Order::Release { step }, holding_report))
            }
            None if !unarmed.is_empty() => {
                let step = switch.step;
                orders.insert(0, rank_order(HOLDING_RANK, Order::Hold { step }, holding_report));
            }
            _ => {}
        }
        let progress = if unarmed.is_empty() { Progress::Switching } else { Progress::Arming };
        (progress, orders)
    }

    /// Handles a rank that has prepared a newer version than the one that others are armed with:
    /// disarms the others, and starts a switch to a new version of the map in use at the same step.
    /// The old switch is never released here, since an order to disarm it may still be in flight.
    fn abandon_switch(
        &mut self,
        switch: Switch,
        views: &[RankView],
        current: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> Vec<RankOrder> {
        if self.abandoned != Some(switch) {
            self.abandoned = Some(switch);
            self.pending = None;
            if let Some(current) = current() {
                self.set_pending(current, Some(switch.step), views, now);
            }
        }
        let armed = views.iter().enumerate().filter_map(|(rank, view)| {
            let version = view.report.armed?.version;
            Some(rank_order(rank, Order::Disarm { version }, &view.report))
        });
        armed.collect()
    }

    /// Handles the state in which a step is held and no rank is armed.
    fn arm_held(
        &mut self,
        step: u64,
        views: &[RankView],
        current: &dyn Fn() -> Option<Arc<ExpertMap>>,
        now: Duration,
    ) -> (Progress, Vec<RankOrder>) {
        if self.pending.is_none() {
            // The coordinator that held the step may have sent arm orders that are still in flight.
            let Some(current) = current() else { return (Progress::Arming, Vec::new()) };
            self.set_pending(current, Some(step), views, now);
        }
        let Some(pending) = &mut self.pending else { return (Progress::Idle, Vec::new()) };
        pending.step = Some(step);
        let switch = Switch { version: pending.version, step };
        let all_prepared = views.iter().all(|view| view.report.prepared == Some(switch.version));
        if all_prepared {
            let orders = views
                .iter()
                .enumerate()
                .map(|(r, view)| rank_order(r, Order::Arm(switch), &view.report));
            return (Progress::Arming, orders.collect());
        }
        if self.is_overtaken(views) {
            // Ranks have prepared or switched to a newer version from another coordinator.
            self.pending = None;
            return (Progress::Arming, Vec::new());
        }
        (Progress::Arming, self.prepare(views, now))
    }

    fn prepare_and_hold(
        &mut self,
        views: &[RankView],
        now: Duration,
    ) -> (Progress, Vec<RankOrder>) {
        let Some(pending) = &self.pending else { return (Progress::Idle, Vec::new()) };
        let (version, started_at) = (pending.version, pending.started_at);
        if views.iter().any(|view| view.report.version == version) {
            self.pending = None;
            return (Progress::Idle, Vec::new());
        }
        let timed_out = now.saturating_sub(started_at) > PREPARE_TIMEOUT;
        if self.is_overtaken(views) || timed_out {
            self.pending = None;
            return (Progress::Idle, Vec::new());
        }
        let all_prepared = views.iter().all(|view| view.report.prepared == Some(version));
        if !all_prepared {
            return (Progress::Preparing, self.prepare(views, now));
        }
        let newest = views.iter().map(|view| view.report.step).max().unwrap_or(0);
        let step = newest + LEAD_STEPS;
        if let Some(pending) = &mut self.pending {
            pending.step = Some(step);
        }
        let order = Order::Hold { step };
        (Progress::Arming, vec![rank_order(HOLDING_RANK, order, &views[HOLDING_RANK].report)])
    }

    fn is_overtaken(&self, views: &[RankView]) -> bool {
        let Some(pending) = &self.pending else { return false };
        let has_newer_version = |view: &RankView| {
            let prepared = view.report.prepared.unwrap_or(0);
            prepared.max(view.report.version) > pending.version
        };
        views.iter().any(has_newer_version)
    }

    fn prepare(&self, views: &[RankView], now: Duration) -> Vec<RankOrder> {
        let Some(pending) = &self.pending else { return Vec::new() };
        let unprepared = views.iter().enumerate().filter(|(rank, view)| {
            let loading = self.order_states[*rank].loading.is_some_and(|(version, since)| {
                version == pending.version && now.saturating_sub(since) < PREPARE_RETRY_INTERVAL
            });
            view.report.prepared != Some(pending.version) && !loading
        });
        let orders = unprepared.map(|(rank, view)| {
            let order = Order::Prepare { version: pending.version, map: Arc::clone(&pending.map) };
            rank_order(rank, order, &view.report)
        });
        orders.collect()
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, rank_order: &RankOrder, outcome: OrderOutcome, now: Duration) {
        let Some(order_state) = self.order_states.get_mut(rank_order.rank) else { return };
        order_state.next_order_at = match outcome {
            OrderOutcome::Done | OrderOutcome::Begun => now,
            OrderOutcome::Conflict | OrderOutcome::Refused => now + CONFLICT_RETRY_DELAY,
            OrderOutcome::NoAnswer => now,
        };
        if let (Order::Prepare { version, .. }, OrderOutcome::Begun) = (&rank_order.order, outcome)
        {
            order_state.loading = Some((*version, now));
        }
    }
}

/// Returns true if every rank has a recent report and all of them show the same open epoch.
pub fn has_current_reports(views: &[RankView], now: Duration) -> bool {
    let Some(first) = views.first() else { return false };
    views.iter().all(|view| {
        let fresh = now.saturating_sub(view.received_at) <= MAX_REPORT_AGE;
        fresh && view.report.open && view.report.epoch == first.report.epoch
    })
}

fn rank_order(rank: usize, order: Order, report: &RankReport) -> RankOrder {
    RankOrder { rank, order, epoch: report.epoch }
}
