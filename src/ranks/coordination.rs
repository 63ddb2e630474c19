//! The tasks of an agent that coordinates its group: measures demand, plans maps and sends orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::{task, time};

use crate::expert_map::map::Shape;
use crate::ranks::daemon::{Agent, DECISION_INTERVAL};
use crate::ranks::rebalance::{self, Limits, Search};
use crate::ranks::switch::Progress;
use crate::telemetry::events;

/// Number of decisions per plan.
const DECISIONS_PER_PLAN: u32 = 2;

/// Time after the start during which an agent only receives, so that a restarted agent does not
/// take over the group from a coordinator whose messages it has not received yet.
const STARTUP_DELAY: Duration = Duration::from_millis(600);

/// Engines of other ranks that are polled at once. An agent that takes over a large group has heard
/// little of most ranks before, and their next heartbeats are about to arrive.
const MAX_POLLS: usize = 12;

/// Time before an engine that did not answer is polled again.
const POLL_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl Agent {
    /// Coordinates the group whenever this agent is the coordinator, until the process ends.
    pub(super) async fn coordinate(self: Rc<Self>) {
        time::sleep(STARTUP_DELAY).await;
        let mut decisions = 0_u32;
        loop {
            time::sleep(DECISION_INTERVAL).await;
            let now = self.now();
            let Some(local_report) = self.local_report.borrow().clone() else { continue };
            let is_coordinator = self.members.borrow().coordinator(now) == Some(local_report.rank);
            if is_coordinator != self.is_coordinator.replace(is_coordinator) {
                events::log(
                    events::COORDINATOR_CHANGED,
                    format_args!(
                        "group={} rank={} here={is_coordinator}",
                        local_report.group, local_report.rank
                    ),
                );
            }
            decisions += 1;
            let plan_due = decisions.is_multiple_of(DECISIONS_PER_PLAN);
            if plan_due {
                self.observe_demand(now);
            }
            if !is_coordinator {
                continue;
            }
            if plan_due {
                self.plan_switch().await;
            }
            self.poll_silent_ranks();
            self.notify_silence();
            if self.progress.get() == Progress::Preparing {
                // The step to hold is computed from the newest known step.
                self.refresh_local_state().await;
            }
            self.send_due_orders();
        }
    }

    /// Polls the engines of ranks whose agents are silent, all at once, since one that does not answer
    /// must not hold up the decisions about the others.
    pub(super) fn poll_silent_ranks(self: &Rc<Self>) {
        let now = self.now();
        let switch_in_progress = self.progress.get() != Progress::Idle;
        let stale = self.members.borrow().stale_ranks(switch_in_progress, now);
        for (rank, engine) in stale {
            let failed_at = self.silent_engines.borrow().get(&engine).copied();
            let retry_due =
                failed_at.is_none_or(|at| now.saturating_sub(at) >= POLL_RETRY_INTERVAL);
            if self.polled_ranks.borrow().len() >= MAX_POLLS {
                return;
            }
            if retry_due && self.polled_ranks.borrow_mut().insert(rank) {
                let agent = Rc::clone(self);
                actix_rt::spawn(async move {
                    agent.poll_rank(rank, engine).await;
                    agent.polled_ranks.borrow_mut().remove(&rank);
                });
            }
        }
    }

    pub(super) async fn poll_rank(&self, rank: usize, engine: SocketAddr) {
        let report = match self.engines.report(engine).await {
            Ok(report) => report,
            Err(error) => {
                events::log(
                    events::RANK_UNREACHABLE,
                    format_args!("rank={rank} engine={engine} cause=\"{error}\""),
                );
                self.silent_engines.borrow_mut().insert(engine, self.now());
                return;
            }
        };
        self.silent_engines.borrow_mut().remove(&engine);
        events::log(
            events::RANK_QUERIED,
            format_args!(
                "rank={rank} engine={engine} version={} step={} armed={:?} held={:?}",
                report.version, report.step, report.armed, report.held_step
            ),
        );
        let version = report.version;
        let known = self.members.borrow().get(rank).map(|member| member.held_experts.version);
        self.members.borrow_mut().record_report(rank, report, self.now());
        if known != Some(version)
            && let Ok(held) = self.engines.held_experts(engine).await
        {
            self.members.borrow_mut().record_held_experts(rank, held);
        }
    }

    /// Updates the demand estimate by the counts that have arrived. Agents that do not coordinate do
    /// so too, so that one that takes over can plan at once.
    fn observe_demand(&self, now: Duration) {
        let Some(shape) = self.shape() else { return };
        let counts = self.count_table.borrow_mut().take(super::to_usize(shape.layers));
        if counts.iter().flatten().all(|layer| layer.is_empty()) {
            return;
        }
        let elapsed = now.saturating_sub(self.last_counts_at.replace(now));
        self.demand.borrow_mut().observe(&counts, elapsed);
    }

    /// Starts a switch if a better map is worth its cost.
    pub(super) async fn plan_switch(&self) {
        let Some(shape) = self.shape() else { return };
        let layers = super::to_usize(shape.layers);
        if !self.demand.borrow().is_known() || !self.coordinator.borrow().is_idle() {
            return;
        }
        let (views, current) = {
            let members = self.members.borrow();
            (members.views(), members.current_map())
        };
        let (Some(views), Some(current)) = (views, current) else { return };
        let group = Shape {
            ranks: views.len(),
            layers,
            experts: super::to_usize(shape.experts),
            slots_per_rank: super::to_usize(shape.slots_per_rank),
        };
        if current.check(&group).is_err() {
            return;
        }
        let (shares, change) = {
            let demand = self.demand.borrow();
            (demand.shares(), demand.change())
        };
        let speeds: Vec<f64> = views.iter().map(|view| view.report.slowness.speed()).collect();
        let limits = Limits {
            new_per_rank: super::to_usize(shape.new_per_rank),
            load_cost: rebalance::load_cost(&views),
        };
        let skew = rebalance::skew_at(&current, &shares, &speeds);
        #[allow(clippy::as_conversions, reason = "a skew is a small positive number")]
        self.metrics.skew_percent.set((skew * 100.0) as i64);
        let started_at = self.now();
        let mut search = Search::new(&group, &current, &shares, &speeds, &limits);
        while search.plan_layer() {
            // A large group takes a while to plan, and messages must not wait for it.
            task::yield_now().await;
        }
        let Some(proposal) = search.proposal() else { return };
        let started = self.coordinator.borrow_mut().start_switch(proposal.map, &views, self.now());
        if let Some(version) = started {
            self.metrics.switches.inc();
            events::log(
                events::MAP_SWITCH_PROPOSED,
                format_args!(
                    "version={version} before={} skew={:.2} planned={:.2} loads={} change={change:.2} \
                     plan_ms={}",
                    views[0].report.version,
                    proposal.current_skew,
                    proposal.planned_skew,
                    proposal.loads,
                    self.now().saturating_sub(started_at).as_millis()
                ),
            );
        }
    }

    /// Sends the orders that are due.
    pub(super) fn send_due_orders(self: &Rc<Self>) {
        let Some(views) = self.members.borrow().views() else { return };
        let now = self.now();
        let current = || self.members.borrow().current_map();
        let (progress, orders) = self.coordinator.borrow_mut().tick(&views, &current, now);
        if progress != self.progress.replace(progress) {
            let version = self.coordinator.borrow().version().unwrap_or(0);
            events::log(
                events::SWITCH_PROGRESS,
                format_args!(
                    "progress={progress:?} version={version} step={}",
                    views[0].report.step
                ),
            );
        }
        self.send_orders(orders);
    }
}
