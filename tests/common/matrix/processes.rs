//! Ends and restarts processes, and records when the row's request reaches each step.

use std::sync::Arc;
use std::time::Duration;

use bitternwall::agent::events::Effect;
use bitternwall::entry::core::tables::RequestId;
use bitternwall::wire::frame;

use super::agent::AgentProcess;
use super::callers;
use super::entry::EntryProcess;
use super::rows::Step;
use super::simulation::Simulation;

/// Milliseconds after which an agent notices a broken connection to its target; a health probe may
/// notice earlier.
const BREAK_DETECTION_MS: u64 = 40;

impl Simulation {
    /// Ends an agent's process and with it the exchanges at its target.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents_down[index] += 1;
        if let Some(agent) = self.agents[index].take() {
            self.targets[index].drop_agent(agent.incarnation);
        }
    }

    /// Starts an agent's process unless another fault keeps it down.
    pub fn restart_agent(&mut self, index: usize) {
        self.agents_down[index] -= 1;
        if self.agents_down[index] == 0 {
            let incarnation = self.next_incarnation();
            self.agents[index] = Some(AgentProcess::new(incarnation, &self.mechanisms));
        }
    }

    /// Ends a target's process; its agent notices the broken connections later.
    pub fn kill_target(&mut self, index: usize) {
        self.targets_down[index] += 1;
        let at = self.now + BREAK_DETECTION_MS;
        let broken = self.targets[index].kill();
        self.broken_connections.extend(broken.into_iter().map(|exchange| (at, index, exchange)));
    }

    /// Starts a target's process unless another fault keeps it down.
    pub fn restart_target(&mut self, index: usize) {
        self.targets_down[index] -= 1;
        self.targets[index].alive = self.targets_down[index] == 0;
    }

    /// Ends an entry's process; its callers and the agents notice the broken connections.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries_down[index] += 1;
        if self.entries[index].take().is_some() {
            self.callers.disconnect(self.now, index);
            self.break_links(|pair| pair.entry == index);
        }
    }

    /// Starts an entry's process unless another fault keeps it down.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries_down[index] -= 1;
        if self.entries_down[index] == 0 {
            let (incarnation, now) = (self.next_incarnation(), Duration::from_millis(self.now));
            let view = Arc::clone(&self.view);
            self.entries[index] = Some(EntryProcess::new(incarnation, now, view, &self.mechanisms));
        }
    }

    /// Records the agent that the row's request is sent to.
    pub fn record_start(&mut self, agent: usize, kind: &frame::Kind) {
        if self.is_main(kind) && !self.trace.reached.contains_key(&Step::Routed) {
            self.trace.victim = agent;
            self.record_step(Step::Routed);
        }
    }

    /// Records that the row's request arrived at an agent.
    pub fn record_arrival(&mut self, kind: &frame::Kind) {
        if self.is_main(kind) {
            self.record_step(Step::Queued);
        }
    }

    /// Records that an agent saves the claim of the row's request.
    pub fn record_store_call(&mut self, agent: usize, effect: &Effect) {
        let queued = self.trace.reached.contains_key(&Step::Queued);
        let awaits_claim = queued && !self.trace.reached.contains_key(&Step::Dispatched);
        if awaits_claim && agent == self.trace.victim && matches!(effect, Effect::Commit { .. }) {
            self.record_step(Step::Claimed);
        }
    }

    /// Records that a submission of the row's request ended, if this piece of the answer ended it.
    pub fn record_piece(&mut self, id: RequestId) {
        let submission = callers::index_of(id);
        if !self.callers.is_submission_of(submission, self.main) {
            return;
        }
        if !self.callers.submissions[submission].ends.is_empty() {
            self.record_step(Step::Answered);
        }
    }

    /// Records when the row's request reached a step for the first time.
    pub fn record_step(&mut self, step: Step) {
        self.trace.reached.entry(step).or_insert(self.now);
    }

    fn is_main(&self, kind: &frame::Kind) -> bool {
        let frame::Kind::StartAttempt(request) = kind else { return false };
        request.fingerprint == self.main
    }

    fn next_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }
}
