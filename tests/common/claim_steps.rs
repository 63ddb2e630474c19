//! The steps of the simulation of agents that save claims, and the strategies that generate them.

use proptest::collection::vec;
use proptest::prelude::*;

/// CallOutcome is what happens to one call to the key-value service.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    /// It is executed after the first number of milliseconds and answered after the second.
    Done(u64, u64),
    /// It is executed after this number of milliseconds, but its answer is lost.
    Lost(u64),
    /// It times out at the caller and is executed only after this number of milliseconds.
    Late(u64),
    /// It is not executed, and the caller is told so.
    Refused,
}

/// Run is what the target does with one request.
#[derive(Clone, Copy, Debug)]
pub enum Run {
    /// It answers after this number of milliseconds.
    Answers(u64),
    /// It accepts no connection.
    Unreachable,
    /// It runs the request and closes the connection after this number of milliseconds.
    Breaks(u64),
    /// It runs the request and crashes after this number of milliseconds.
    Crashes(u64),
}

/// Step is one step of a simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends a request with a claim key to an agent, as a new attempt.
    Send(u8, usize),
    /// An entry sends the last attempt again, to an agent on a new connection.
    SendAgain(usize),
    /// The caller of the last attempt leaves.
    Cancel,
    /// The connection to an agent closes.
    LinkDown(usize),
    /// An agent crashes and restarts without state.
    Restart(usize),
    /// An agent's process is paused for a number of milliseconds.
    Pause(usize, u64),
    /// A number of milliseconds pass.
    Advance(u64),
    /// Sets the outcomes of the next calls to the key-value service, the last one first.
    Store(Vec<CallOutcome>),
    /// Sets what the target does with the next requests, the last one first.
    Target(Vec<Run>),
}

/// Coverage counts the situations that a simulation reached, so that a test can check that its
/// steps exercise them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub runs: u64,
    pub conflicts: u64,
    pub lost_answers: u64,
    pub late_writes: u64,
    pub unknown_outcomes: u64,
    pub joined: u64,
    pub kept_answers: u64,
    pub rolled_segments: u64,
    pub dropped_segments: u64,
}

impl Coverage {
    /// Adds the counts of another simulation.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.conflicts += other.conflicts;
        self.lost_answers += other.lost_answers;
        self.late_writes += other.late_writes;
        self.unknown_outcomes += other.unknown_outcomes;
        self.joined += other.joined;
        self.kept_answers += other.kept_answers;
        self.rolled_segments += other.rolled_segments;
        self.dropped_segments += other.dropped_segments;
    }
}

/// Generates the outcome of a call.
pub fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => (1_u64..6, 1_u64..6).prop_map(|(delay, answered)| CallOutcome::Done(delay, answered)),
        2 => (1_u64..6).prop_map(CallOutcome::Lost),
        2 => (2_u64..60).prop_map(CallOutcome::Late),
        1 => Just(CallOutcome::Refused),
    ]
}

/// Generates what the target does with a request.
pub fn run() -> impl Strategy<Value = Run> {
    prop_oneof![
        4 => (1_u64..40).prop_map(Run::Answers),
        1 => Just(Run::Unreachable),
        1 => (1_u64..20).prop_map(Run::Breaks),
        1 => (1_u64..20).prop_map(Run::Crashes),
    ]
}

/// Generates one step.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_u8..8, 0_usize..3).prop_map(|(key, agent)| Step::Send(key, agent)),
        2 => (0_usize..3).prop_map(Step::SendAgain),
        1 => Just(Step::Cancel),
        1 => (0_usize..3).prop_map(Step::LinkDown),
        1 => (0_usize..3).prop_map(Step::Restart),
        1 => (0_usize..3, 1_u64..80).prop_map(|(agent, ms)| Step::Pause(agent, ms)),
        5 => (1_u64..60).prop_map(Step::Advance),
        3 => vec(call_outcome(), 1..8).prop_map(Step::Store),
        2 => vec(run(), 1..4).prop_map(Step::Target),
    ]
}
