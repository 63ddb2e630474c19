//! Records what really ran at the targets and checks it against the answers of the callers.

use std::collections::{BTreeMap, HashSet};

use bitternwall::entry::core::events::Executed;
use bitternwall::wire;

use super::callers::{self, End, Submission};
use crate::entry_model::Kind;

/// Ledger counts the runs of each request over all targets.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<u64, u64>,
    attempts_run: HashSet<wire::AttemptId>,
    /// Number of targets that the crashing body killed.
    pub crashes: u64,
}

impl Ledger {
    /// Records that a target began to run a request.
    pub fn record_run(&mut self, number: u64) {
        *self.runs.entry(number).or_default() += 1;
    }

    /// Records that an attempt is answered from a run.
    pub fn record_attempt(&mut self, id: wire::AttemptId) {
        self.attempts_run.insert(id);
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, number: u64) -> u64 {
        self.runs.get(&number).copied().unwrap_or_default()
    }

    /// Checks the runs and answers of every caller's request: at most one run if it must not be
    /// repeated, no more runs than attempts, one outcome for each submission, its own answer, and
    /// no report of "not executed" for an attempt that ran.
    pub fn check(&self, callers: &callers::Callers) -> Result<(), String> {
        for caller in &callers.all {
            let runs = self.run_count(caller.number);
            if caller.kind == Kind::NotRepeatable && runs > 1 {
                return Err(format!("request {} ran {runs} times", caller.number));
            }
            let sent =
                callers.submissions_of(caller).map(|sent| sent.attempts.len()).sum::<usize>();
            if runs > u64::try_from(sent).unwrap_or(u64::MAX) {
                return Err(format!(
                    "request {} ran {runs} times in {sent} attempts",
                    caller.number
                ));
            }
            callers.submissions_of(caller).try_for_each(|sent| self.check_answer(caller, sent))?;
        }
        Ok(())
    }

    fn check_answer(
        &self,
        caller: &callers::Caller,
        submission: &Submission,
    ) -> Result<(), String> {
        let number = caller.number;
        if submission.ends.len() > 1 {
            return Err(format!("request {number} ended more than once: {:?}", submission.ends));
        }
        match submission.ends.first() {
            Some(End::Complete) if submission.body != callers::expected(caller.kind, number) => {
                let body = String::from_utf8_lossy(&submission.body);
                Err(format!("request {number} got another answer than its own: {body}"))
            }
            Some(End::Refused(refusal) | End::Aborted(refusal))
                if refusal.executed == Executed::No
                    && submission.attempts.iter().any(|id| self.attempts_run.contains(id)) =>
            {
                Err(format!("request {number} ran, but {refusal:?}"))
            }
            _ => Ok(()),
        }
    }
}
