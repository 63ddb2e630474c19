//! A fault matrix over the pure cores: two entries and three agents joined by plain queues.
//!
//! Nothing here decides anything: the parts carry out what the cores ask for, as the actors do,
//! and count what ran. Time is simulated and every choice is fixed, so that a row gives the same
//! verdict every time.

#![allow(dead_code, reason = "the rows and the proofs use different parts")]

pub mod agent;
pub mod callers;
pub mod entry;
pub mod faults;
pub mod ledger;
pub mod links;
pub mod lives;
pub mod rows;
pub mod site;
pub mod store;
pub mod target;
pub mod traffic;

use bitternwall::agent::world::ClaimCheck;

/// Entries of the model.
pub const ENTRIES: usize = 2;
/// Agents of the model, each before one target.
pub const AGENTS: usize = 3;
/// Milliseconds between two ticks.
pub const TICK_MS: u64 = 10;
/// Milliseconds between two heartbeats.
pub const BEAT_MS: u64 = 100;
/// Milliseconds of silence after which a link is given up.
pub const SILENCE_MS: u64 = 400;
/// Milliseconds for which a fault lasts; longer than a link may be silent.
pub const FAULT_MS: u64 = 800;

/// Mechanisms are the ways in which the promises are kept, each to be switched off by a proof.
#[derive(Clone, Debug)]
pub struct Mechanisms {
    /// Whether claims are saved before requests are handed on.
    pub claims: ClaimCheck,
    /// Whether entries remember that an earlier attempt may have run.
    pub remember_runs: bool,
    /// Whether entries refuse a body after its second crash.
    pub refuse_crashing: bool,
    /// Whether agents drop the second copy of an attempt.
    pub drop_duplicates: bool,
    /// Whether the numbers of an answer's pieces are believed; where they are not, pieces count
    /// in the order of their arrival.
    pub piece_numbers: bool,
    /// Whether agents are told that they are to drain.
    pub tell_drain: bool,
    /// Whether the retry budget is as small as the check says.
    pub retry_budget: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            claims: ClaimCheck::Saved,
            remember_runs: true,
            refuse_crashing: true,
            drop_duplicates: true,
            piece_numbers: true,
            tell_drain: true,
            retry_budget: true,
        }
    }
}
