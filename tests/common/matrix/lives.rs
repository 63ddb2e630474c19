//! Processes that die and come back, and the steps that a request reaches.

use std::sync::Arc;
use std::time::Duration;

use bitternwall::agent::events::Effect;
use bitternwall::entry::core::tables::RequestId;
use bitternwall::wire::frame;

use super::agent::AgentSide;
use super::callers;
use super::entry::EntrySide;
use super::rows::Step;
use super::site::Site;

/// Milliseconds after which an agent sees that a connection to its target broke; a probe may be
/// faster.
const BREAK_MS: u64 = 40;

impl Site {
    /// Ends an agent's process; its target's exchanges with it end too.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents_down[index] += 1;
        if let Some(agent) = self.agents[index].take() {
            self.targets[index].drop_agent(agent.life);
        }
    }

    /// Starts an agent's process where nothing else holds it down.
    pub fn revive_agent(&mut self, index: usize) {
        self.agents_down[index] -= 1;
        if self.agents_down[index] == 0 {
            let life = self.next_life();
            self.agents[index] = Some(AgentSide::new(life, &self.mechanisms));
        }
    }

    /// Ends a target's process; its agent sees the connections break.
    pub fn kill_target(&mut self, index: usize) {
        self.targets_down[index] += 1;
        let at = self.now + BREAK_MS;
        let broken = self.targets[index].kill();
        self.broken.extend(broken.into_iter().map(|exchange| (at, index, exchange)));
    }

    /// Starts a target's process where nothing else holds it down.
    pub fn revive_target(&mut self, index: usize) {
        self.targets_down[index] -= 1;
        self.targets[index].alive = self.targets_down[index] == 0;
    }

    /// Ends an entry's process; its callers and its agents see the connections break.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries_down[index] += 1;
        if self.entries[index].take().is_some() {
            self.callers.cut(self.now, index);
            self.break_links(|pair| pair.entry == index);
        }
    }

    /// Starts an entry's process where nothing else holds it down.
    pub fn revive_entry(&mut self, index: usize) {
        self.entries_down[index] -= 1;
        if self.entries_down[index] == 0 {
            let (life, now) = (self.next_life(), Duration::from_millis(self.now));
            let view = Arc::clone(&self.view);
            self.entries[index] = Some(EntrySide::new(life, now, view, &self.mechanisms));
        }
    }

    /// Notes the agent that the row's request is sent to.
    pub fn note_start(&mut self, agent: usize, kind: &frame::Kind) {
        if self.is_main(kind) && !self.trace.reached.contains_key(&Step::Routed) {
            self.trace.victim = agent;
            self.reach(Step::Routed);
        }
    }

    /// Notes that the row's request arrived at an agent.
    pub fn note_arrival(&mut self, kind: &frame::Kind) {
        if self.is_main(kind) {
            self.reach(Step::Queued);
        }
    }

    /// Notes that an agent saves the claim of the row's request.
    pub fn note_call(&mut self, agent: usize, effect: &Effect) {
        let queued = self.trace.reached.contains_key(&Step::Queued);
        let waits = queued && !self.trace.reached.contains_key(&Step::HandedOn);
        if waits && agent == self.trace.victim && matches!(effect, Effect::Commit { .. }) {
            self.reach(Step::Claimed);
        }
    }

    /// Notes that the caller of the row's request got a piece of its answer.
    pub fn note_piece(&mut self, id: RequestId) {
        let call = callers::index_of(id);
        if !self.callers.is_of(call, self.main) {
            return;
        }
        if !self.callers.submissions[call].ends.is_empty() {
            self.reach(Step::Answered);
        }
    }

    /// Notes when the row's request first came so far.
    pub fn reach(&mut self, step: Step) {
        self.trace.reached.entry(step).or_insert(self.now);
    }

    fn is_main(&self, kind: &frame::Kind) -> bool {
        let frame::Kind::StartAttempt(request) = kind else { return false };
        request.fingerprint == self.main
    }

    fn next_life(&mut self) -> u64 {
        self.lives += 1;
        self.lives
    }
}
