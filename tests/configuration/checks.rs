//! The invariants that must hold at each step, and the conditions for convergence.

use std::sync::Arc;

use bitternwall::config::progress::InForce;

use super::{Fleet, time};
use crate::model;

impl Fleet {
    /// Checks the state that a process has just moved to.
    pub(super) fn check_state(&mut self, index: usize, revision: u64) {
        let process = &mut self.processes[index];
        let state = Arc::clone(process.replica.state());
        let name = Arc::clone(&process.name);
        if revision < process.last_revision {
            self.violations.push(format!("{name} went back to revision {revision}"));
        }
        process.last_revision = revision;
        if model::table_of(&state) != *self.store.table_at(revision) {
            self.violations.push(format!("{name} holds another state at revision {revision}"));
        }
    }

    /// Records what an entry reports to be in force.
    pub(super) fn record_reports(&mut self, index: usize) {
        let now = self.now(index);
        let process = &self.processes[index];
        if !process.entry {
            return;
        }
        let held = process.progress.data_centre_revision(&process.replica, now);
        let data_centre = process.data_centre;
        let newest = self.store.head;
        let all = process.progress.in_force(&process.replica, newest, now);
        self.reported_in_force[data_centre] = self.reported_in_force[data_centre].max(held);
        if all == InForce::Everywhere {
            self.reported_everywhere = self.reported_everywhere.max(newest);
        }
    }

    /// Checks that no serving process holds an older state than the one reported as in force.
    pub(super) fn check(&mut self) {
        for index in 0..self.processes.len() {
            let serves = self.may_serve(index);
            self.check_isolated(index, serves);
            let process = &self.processes[index];
            let floor = self.reported_in_force[process.data_centre].max(self.reported_everywhere);
            let (name, held) = (&process.name, process.replica.revision());
            if serves && self.store.table_at(held) != self.store.table_at(floor.max(held)) {
                let violation = format!("{name} serves {held} though {floor} is in force");
                self.violations.push(violation);
            }
        }
    }

    /// Checks that a process which is cut off from everyone stops serving within the silence limit.
    fn check_isolated(&mut self, index: usize, serves: bool) {
        let others = 0..=self.processes.len();
        let is_isolated =
            others.into_iter().all(|other| other == index || self.is_cut(index, other));
        let limit = self.timing.silence_limit() + time(2);
        let process = &mut self.processes[index];
        let since = *process.isolated_since.get_or_insert(self.step);
        if !is_isolated {
            process.isolated_since = None;
        } else if serves && time(self.step - since) > limit {
            self.violations.push(format!("{} serves though it is cut off", process.name));
        }
    }

    /// Returns true if a running entry reports that the newest change is in force everywhere.
    pub fn reports_in_force(&self) -> bool {
        (0..self.processes.len()).filter(|&index| self.is_running(index)).any(|index| {
            let process = &self.processes[index];
            let reported =
                process.progress.in_force(&process.replica, self.store.head, self.now(index));
            process.entry && reported == InForce::Everywhere
        })
    }

    /// Returns what a process reports about the newest change.
    pub fn reported_by(&self, index: usize) -> InForce {
        let process = &self.processes[index];
        process.progress.in_force(&process.replica, self.store.head, self.now(index))
    }

    pub fn has_converged(&self) -> bool {
        (0..self.processes.len()).all(|index| {
            let process = &self.processes[index];
            let now = self.now(index);
            let newest = self.store.head;
            let reported = process.progress.in_force(&process.replica, newest, now);
            let held = process.replica.revision() >= newest;
            held && self.may_serve(index) && (!process.entry || reported == InForce::Everywhere)
        })
    }
}
