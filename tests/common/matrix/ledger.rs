//! What really ran, and the rules that it must keep.

use std::collections::{BTreeMap, HashSet};

use bitternwall::entry::core::events::Executed;
use bitternwall::wire;

use super::callers::{self, End, Submission};
use crate::entry_model::Kind;

/// Ledger counts runs at all targets.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<u64, u64>,
    ran: HashSet<wire::AttemptId>,
    /// Targets that the crashing body killed.
    pub crashes: u64,
}

impl Ledger {
    /// Notes that a target began to run a request.
    pub fn run(&mut self, number: u64) {
        *self.runs.entry(number).or_default() += 1;
    }

    /// Notes that an attempt got its answer from a run.
    pub fn attempt_ran(&mut self, id: wire::AttemptId) {
        self.ran.insert(id);
    }

    /// Returns how often a request ran.
    pub fn runs_of(&self, number: u64) -> u64 {
        self.runs.get(&number).copied().unwrap_or_default()
    }

    /// Checks the runs and final answers of every caller.
    pub fn check(&self, callers: &callers::Callers) -> Result<(), String> {
        for caller in &callers.rows {
            let runs = self.runs_of(caller.number);
            if caller.kind == Kind::NotRepeatable && runs > 1 {
                return Err(format!("request {} ran {runs} times", caller.number));
            }
            let sent = callers.of(caller).map(|sent| sent.attempts.len()).sum::<usize>();
            if runs > u64::try_from(sent).unwrap_or(u64::MAX) {
                return Err(format!(
                    "request {} ran {runs} times in {sent} attempts",
                    caller.number
                ));
            }
            callers.of(caller).try_for_each(|sent| self.check_answer(caller, sent))?;
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
            Some(End::Whole) if submission.body != callers::expected(caller.kind, number) => {
                let body = String::from_utf8_lossy(&submission.body);
                Err(format!("request {number} got another answer than its own: {body}"))
            }
            Some(End::Refused(refusal) | End::Broken(refusal))
                if refusal.executed == Executed::No
                    && submission.attempts.iter().any(|id| self.ran.contains(id)) =>
            {
                Err(format!("request {number} ran, but {refusal:?}"))
            }
            _ => Ok(()),
        }
    }
}
