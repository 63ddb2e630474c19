//! The rows of the matrix: each fault at each step for each kind of request, and pairs of faults.

use xxhash_rust::xxh3;

pub use crate::entry_model::{KINDS, Kind};

/// Fault is a failure that lasts for [`super::FAULT_DURATION_MS`]. The steps in [`pairs`] are drawn
/// from the names of the variants, so that a renamed variant changes the rows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The target's process ends and is restarted.
    KillTarget,
    /// The agent's process ends and is restarted without its state.
    KillAgent,
    /// The entry's process ends and is restarted without its state.
    KillEntry,
    /// The agent, which holds the claims, is paused for longer than its peers wait for it.
    PauseAgent,
    /// The link between entry and agent breaks, and both ends are notified.
    CutLink,
    /// The link drops every frame, and neither end is notified.
    BlackHole,
    /// Frames to and from the agent arrive late.
    Delay,
    /// Every frame arrives twice.
    Duplicate,
    /// Frames overtake each other.
    Reorder,
    /// The key-value service refuses every call.
    StoreDown,
    /// The key-value service performs writes after their caller's call timed out.
    StoreSlow,
    /// The key-value service performs writes, but its answers are lost.
    LostAnswer,
    /// The host disappears without closing its connections, while the list of hosts still names it.
    HostGone,
    /// The agent is to leave, and its heartbeats do not tell the entries.
    Drain,
    /// The request's body kills every target that runs it.
    CrashingBody,
}

pub const FAULTS: [Fault; 15] = [
    Fault::KillTarget,
    Fault::KillAgent,
    Fault::KillEntry,
    Fault::PauseAgent,
    Fault::CutLink,
    Fault::BlackHole,
    Fault::Delay,
    Fault::Duplicate,
    Fault::Reorder,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::LostAnswer,
    Fault::HostGone,
    Fault::Drain,
    Fault::CrashingBody,
];

/// Step is a stage in the course of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// The entry is about to receive it.
    Accepted,
    /// The entry sent an attempt.
    Routed,
    /// The agent received the attempt.
    Queued,
    /// Its claim is being saved, if it needs one; otherwise the time of [`Step::Dispatched`].
    Claimed,
    /// The target received it.
    Dispatched,
    /// The target runs it.
    Running,
    /// The target sent the first piece of the answer.
    Answering,
    /// The end of the answer is about to arrive.
    Answered,
}

pub const STEPS: [Step; 8] = [
    Step::Accepted,
    Step::Routed,
    Step::Queued,
    Step::Claimed,
    Step::Dispatched,
    Step::Running,
    Step::Answering,
    Step::Answered,
];

/// Row is one case of the matrix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    pub kind: Kind,
    pub faults: Vec<(Fault, Step)>,
}

/// Number of crashes after which a body is refused.
pub const MAX_CRASHES: u64 = 2;

impl Row {
    /// Returns how many targets a crashing body may take down. A crash that is not reported, since
    /// the agent is paused or gone, does not count against the body.
    pub fn max_crashes(&self) -> u64 {
        let hiding = [Fault::PauseAgent, Fault::KillAgent, Fault::HostGone];
        let unreported = self.faults.iter().any(|(fault, _)| hiding.contains(fault));
        MAX_CRASHES + u64::from(unreported)
    }
}

/// Returns every fault at every step.
pub fn singles(kind: Kind) -> Vec<Row> {
    let row = |fault, step| Row { kind, faults: vec![(fault, step)] };
    FAULTS.iter().flat_map(|fault| STEPS.iter().map(move |step| row(*fault, *step))).collect()
}

/// Returns every pair of faults, including each fault with itself, at steps drawn with a fixed
/// seed.
pub fn pairs(kind: Kind) -> Vec<Row> {
    let mut rows = Vec::new();
    for (index, first) in FAULTS.iter().enumerate() {
        for second in &FAULTS[index..] {
            for draw in 0..PAIR_DRAWS {
                let steps = drawn_steps(kind, *first, *second, draw);
                rows.push(Row { kind, faults: vec![(*first, steps.0), (*second, steps.1)] });
            }
        }
    }
    rows
}

/// Returns rows that broke a guarantee before the defect was fixed.
pub fn regressions(kind: Kind) -> Vec<Row> {
    let crash = |fault, at, crash| vec![(fault, at), (Fault::CrashingBody, crash)];
    let rows = [
        crash(Fault::Reorder, Step::Routed, Step::Routed),
        crash(Fault::KillEntry, Step::Answering, Step::Accepted),
        crash(Fault::KillEntry, Step::Answering, Step::Running),
        crash(Fault::KillEntry, Step::Answered, Step::Running),
        crash(Fault::KillEntry, Step::Dispatched, Step::Running),
    ];
    rows.into_iter().map(|faults| Row { kind, faults }).collect()
}

/// Returns the rows in which a link is lost while a body crashes targets, at every pair of steps.
pub fn lost_link_crashes(kind: Kind) -> Vec<Row> {
    let links = [Fault::BlackHole, Fault::CutLink];
    let steps = STEPS.iter().flat_map(|lost| STEPS.iter().map(move |crash| (*lost, *crash)));
    let row = |link, (lost, crash)| {
        let faults = vec![(link, lost), (Fault::CrashingBody, crash)];
        Row { kind, faults }
    };
    steps.flat_map(|steps| links.map(|link| row(link, steps))).collect()
}

/// Number of pairs of steps drawn for each pair of faults.
const PAIR_DRAWS: u64 = 2;

fn drawn_steps(kind: Kind, first: Fault, second: Fault, draw: u64) -> (Step, Step) {
    let hash = xxh3::xxh3_64_with_seed(format!("{kind:?} {first:?} {second:?}").as_bytes(), draw);
    let step = |bits: u64| STEPS[usize::try_from(bits % 8).expect("eight steps")];
    (step(hash), step(hash >> 8))
}
