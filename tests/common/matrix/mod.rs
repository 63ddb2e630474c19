//! A fault matrix over the pure cores: two entries and three agents connected by in-memory queues.
//!
//! All decisions are made by the real cores. The models here perform the effects of the cores, as
//! the actors do, and count what ran. Time is simulated and every choice is fixed, so that a row
//! gives the same verdict every time.

#![allow(dead_code, reason = "the tests use different parts")]

pub mod agent;
pub mod callers;
pub mod entry;
pub mod faults;
pub mod ledger;
pub mod links;
pub mod processes;
pub mod rows;
pub mod simulation;
pub mod store;
pub mod target;
pub mod traffic;

use bitternwall::agent::world::ClaimCheck;

/// Number of entries of the model.
pub const ENTRIES: usize = 2;
/// Number of agents of the model, each in front of one target.
pub const AGENTS: usize = 3;
/// Milliseconds between two ticks.
pub const TICK_MS: u64 = 10;
/// Milliseconds between two heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Milliseconds without a frame after which a link is closed.
pub const LINK_TIMEOUT_MS: u64 = 400;
/// Milliseconds for which a fault lasts; longer than [`LINK_TIMEOUT_MS`], so that links time out.
pub const FAULT_DURATION_MS: u64 = 800;

/// Mechanisms are the safeguards behind the guarantees. Each can be switched off by a test that
/// shows that the matrix detects its absence.
#[derive(Clone, Debug)]
pub struct Mechanisms {
    /// Whether claims are saved before requests are dispatched.
    pub claims: ClaimCheck,
    /// Whether entries remember that an earlier attempt may have run.
    pub remember_runs: bool,
    /// Whether entries refuse a body after its second crash.
    pub refuse_crashing: bool,
    /// Whether agents drop the second copy of an attempt.
    pub drop_duplicates: bool,
    /// Whether an entry checks the numbers of an answer's pieces; otherwise pieces are numbered in
    /// the order of their arrival.
    pub piece_numbers: bool,
    /// Whether agents are notified that they are to drain.
    pub notify_drain: bool,
    /// Whether the retry budget is as small as the check requires; otherwise it never runs out.
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
            notify_drain: true,
            retry_budget: true,
        }
    }
}
