//! What can happen to agents that save claims, and how it is drawn.

use proptest::collection::vec;
use proptest::prelude::*;

/// Fate is what happens to one call to the key-value service.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    /// It is made and answered after so many milliseconds each.
    Done(u64, u64),
    /// It is made, but its answer is lost.
    Lost(u64),
    /// Its answer times out before it is made.
    Late(u64),
    /// It is not made, and the caller knows.
    Refused,
}

/// Run is what the target does with one request.
#[derive(Clone, Copy, Debug)]
pub enum Run {
    /// It answers after so many milliseconds.
    Answers(u64),
    /// It is not reached.
    Unreachable,
    /// It runs the request and breaks off.
    Breaks(u64),
    /// It runs the request and dies.
    Dies(u64),
}

/// Step is one thing that happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends a key by an agent, under a new attempt.
    Send(u8, usize),
    /// An entry sends its last attempt again, by a new connection.
    SendAgain(usize),
    /// The caller of the last attempt is gone.
    Cancel,
    /// A connection drops.
    LinkDown(usize),
    /// An agent dies and comes back without memory.
    Restart(usize),
    /// An agent stands still for so many milliseconds.
    Pause(usize, u64),
    /// Time passes.
    Advance(u64),
    /// The fates of the next calls.
    Store(Vec<Fate>),
    /// What the target does with the next requests.
    Target(Vec<Run>),
}

/// Seen counts what the steps led to, so that a test can tell that they reached it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
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

impl Seen {
    /// Adds up the counts of two runs.
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

/// Draws the fate of a call.
pub fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => (1_u64..6, 1_u64..6).prop_map(|(made, answered)| Fate::Done(made, answered)),
        2 => (1_u64..6).prop_map(Fate::Lost),
        2 => (2_u64..60).prop_map(Fate::Late),
        1 => Just(Fate::Refused),
    ]
}

/// Draws what the target does.
pub fn run() -> impl Strategy<Value = Run> {
    prop_oneof![
        4 => (1_u64..40).prop_map(Run::Answers),
        1 => Just(Run::Unreachable),
        1 => (1_u64..20).prop_map(Run::Breaks),
        1 => (1_u64..20).prop_map(Run::Dies),
    ]
}

/// Draws one step.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_u8..8, 0_usize..3).prop_map(|(key, agent)| Step::Send(key, agent)),
        2 => (0_usize..3).prop_map(Step::SendAgain),
        1 => Just(Step::Cancel),
        1 => (0_usize..3).prop_map(Step::LinkDown),
        1 => (0_usize..3).prop_map(Step::Restart),
        1 => (0_usize..3, 1_u64..80).prop_map(|(agent, ms)| Step::Pause(agent, ms)),
        5 => (1_u64..60).prop_map(Step::Advance),
        3 => vec(fate(), 1..8).prop_map(Step::Store),
        2 => vec(run(), 1..4).prop_map(Step::Target),
    ]
}
