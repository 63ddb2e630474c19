//! The coordinator's part of an agent: measures, plans, and gives orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::expert_map::map::Shape;
use crate::ranks::daemon::{Agent, DECIDE_EVERY, FLEET_EVERY};
use crate::ranks::orders;
use crate::ranks::rebalance::{self, Limits};
use crate::ranks::report::OrderOutcome;
use crate::ranks::switch::{Given, Progress};
use crate::telemetry::events;

/// Decisions between two plans.
const DECISIONS_PER_PLAN: u32 = 2;

/// Time after the start in which an agent only listens, so that a restarted one does not take a
/// group over from a coordinator that it has not heard yet.
const LISTEN_FIRST: Duration = Duration::from_millis(600);

impl Agent {
    /// Coordinates the group while that is this agent's part, until the process ends.
    pub(super) async fn coordinate(self: Rc<Self>) {
        time::sleep(LISTEN_FIRST).await;
        let mut decisions = 0_u32;
        let mut observed = self.now();
        loop {
            time::sleep(DECIDE_EVERY).await;
            let now = self.now();
            let Some(own) = self.own.borrow().clone() else { continue };
            let coordinates = self.members.borrow().coordinator(now) == Some(own.rank);
            if coordinates != self.coordinates.replace(coordinates) {
                events::log(
                    events::COORDINATOR_CHANGED,
                    format_args!("group={} rank={} here={coordinates}", own.group, own.rank),
                );
            }
            if !coordinates {
                continue;
            }
            decisions += 1;
            if decisions.is_multiple_of(DECISIONS_PER_PLAN) {
                self.plan(now.saturating_sub(observed));
                observed = now;
            }
            self.ask_silent().await;
            if self.progress.get() == Progress::Preparing {
                // The step to hold is counted from the newest one.
                self.refresh_own().await;
            }
            self.decide();
        }
    }

    /// Asks the engines of ranks whose agents are silent, while a switch may hang on them.
    pub(super) async fn ask_silent(&self) {
        let silent = self.members.borrow().silent(self.now());
        let due = self.progress.get() != Progress::Idle;
        for (rank, engine) in silent {
            let age = {
                let members = self.members.borrow();
                members.get(rank).map(|member| self.now().saturating_sub(member.view.received_at))
            };
            let stale = age.is_some_and(|age| age > FLEET_EVERY / 4);
            let parked = age.is_some_and(|age| age > FLEET_EVERY);
            if (due && stale) || parked {
                self.ask(rank, engine).await;
            }
        }
    }

    pub(super) async fn ask(&self, rank: usize, engine: SocketAddr) {
        let report = match self.engines.report(engine).await {
            Ok(report) => report,
            Err(error) => {
                events::log(
                    events::RANK_UNREACHABLE,
                    format_args!("rank={rank} engine={engine} cause=\"{error}\""),
                );
                return;
            }
        };
        events::log(
            events::RANK_QUERIED,
            format_args!(
                "rank={rank} engine={engine} version={} step={} armed={:?} held={:?}",
                report.version, report.step, report.armed, report.held_step
            ),
        );
        let version = report.version;
        let known = self.members.borrow().get(rank).map(|member| member.held.version);
        self.members.borrow_mut().asked(rank, report, self.now());
        if known != Some(version)
            && let Ok(held) = self.engines.held(engine).await
        {
            self.members.borrow_mut().holds(rank, held);
        }
    }

    /// Measures demand and wants a new map where one pays.
    pub(super) fn plan(&self, elapsed: Duration) {
        let Some(shape) = self.shape() else { return };
        let layers = super::wide(shape.layers);
        let counts = self.members.borrow_mut().take_counts(layers);
        if counts.iter().all(|layer| !layer.is_empty()) {
            self.demand.borrow_mut().observe(&counts, elapsed);
        }
        let demand = self.demand.borrow();
        if !demand.is_known() || !self.switcher.borrow().is_idle() {
            return;
        }
        let (views, present) = {
            let members = self.members.borrow();
            (members.views(), members.present())
        };
        let (Some(views), Some(present)) = (views, present) else { return };
        let group = Shape {
            ranks: views.len(),
            layers,
            experts: super::wide(shape.experts),
            slots_per_rank: super::wide(shape.slots_per_rank),
        };
        if present.check(&group).is_err() {
            return;
        }
        let shares = demand.shares();
        let limits = Limits {
            new_per_rank: super::wide(shape.new_per_rank),
            load_cost: rebalance::load_cost(&views),
        };
        let skew = rebalance::skew(&present, &shares, group.ranks);
        #[allow(clippy::as_conversions, reason = "a skew is a small positive number")]
        self.metrics.skew_percent.set((skew * 100.0) as i64);
        let Some(proposal) = rebalance::propose(&group, &present, &shares, &limits) else { return };
        let wanted = self.switcher.borrow_mut().want(proposal.map, &views, self.now());
        if let Some(version) = wanted {
            self.metrics.switches.inc();
            events::log(
                events::MAP_SWITCH_PROPOSED,
                format_args!(
                    "version={version} before={} skew={:.2} planned={:.2} loads={} distance={:.3}",
                    views[0].report.version,
                    proposal.current_skew,
                    proposal.planned_skew,
                    proposal.loads,
                    demand.distance()
                ),
            );
        }
    }

    /// Gives the orders that are due.
    pub(super) fn decide(self: &Rc<Self>) {
        let Some(views) = self.members.borrow().views() else { return };
        let now = self.now();
        let present = || self.members.borrow().present();
        let (progress, orders) = self.switcher.borrow_mut().tick(&views, &present, now);
        if progress != self.progress.replace(progress) {
            let version = self.switcher.borrow().version().unwrap_or(0);
            events::log(
                events::SWITCH_PROGRESS,
                format_args!(
                    "progress={progress:?} version={version} step={}",
                    views[0].report.step
                ),
            );
        }
        for given in orders {
            actix_rt::spawn(Rc::clone(self).give(given));
        }
    }

    /// Gives one order, by the rank's agent where it lives.
    pub(super) async fn give(self: Rc<Self>, given: Given) {
        let member = self.members.borrow().get(given.rank).cloned();
        let Some(member) = member else { return };
        let silent = self.members.borrow().silent(self.now());
        let by_agent = !silent.iter().any(|(rank, _)| *rank == given.rank);
        let outcome = if member.engine == self.settings.engine {
            self.give_own(&given).await
        } else if by_agent {
            self.give_by_agent(&given, member.engine).await
        } else {
            let outcome = self.engines.order(member.engine, &given.order, given.epoch).await;
            self.ask(given.rank, member.engine).await;
            outcome
        };
        self.note_order(given.order.name(), outcome, Some(given.rank));
        self.switcher.borrow_mut().answered(&given, outcome, self.now());
        if self.coordinates.get() && self.progress.get() != Progress::Preparing {
            // A held step stalls the whole group, so the next order does not wait for the beat.
            self.decide();
        }
    }

    pub(super) async fn give_own(&self, given: &Given) -> OrderOutcome {
        let engine = self.settings.engine;
        let outcome = self.engines.order(engine, &given.order, given.epoch).await;
        self.refresh_own().await;
        outcome
    }

    /// Reads the own engine's state and takes it in.
    pub(super) async fn refresh_own(&self) {
        if self.refresh().await
            && let Some(state) = self.state()
        {
            let engine = self.settings.engine;
            self.members.borrow_mut().take_state(engine, self.life, &state, self.now());
        }
    }

    pub(super) async fn give_by_agent(&self, given: &Given, engine: SocketAddr) -> OrderOutcome {
        let agent = self.agent_of(engine);
        match orders::send(agent, &self.codecs, &given.order, given.epoch).await {
            Ok(answer) => {
                if let Some(state) = &answer.state {
                    let now = self.now();
                    self.members.borrow_mut().take_state(engine, answer.life, state, now);
                }
                answer.outcome()
            }
            Err(error) => {
                events::log(
                    events::ORDER_UNANSWERED,
                    format_args!(
                        "order={} rank={} agent={agent} cause=\"{error}\"",
                        given.order.name(),
                        given.rank
                    ),
                );
                OrderOutcome::NoAnswer
            }
        }
    }

    pub(super) fn note_order(&self, order: &str, outcome: OrderOutcome, rank: Option<usize>) {
        self.metrics.orders.with_label_values(&[order, &format!("{outcome:?}")]).inc();
        let rank = rank.map_or("own".to_owned(), |rank| rank.to_string());
        events::log(
            events::ORDER_GIVEN,
            format_args!("order={order} rank={rank} outcome={outcome:?}"),
        );
    }
}
