//! The table: every fault at every step for every kind of request, and pairs of faults.

use xxhash_rust::xxh3;

pub use crate::entry_model::{KINDS, Kind};

/// Fault is something that goes wrong for [`super::FAULT_MS`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The target's process dies and comes back.
    KillTarget,
    /// The agent's process dies and comes back without memory.
    KillAgent,
    /// The entry's process dies and comes back without memory.
    KillEntry,
    /// The claims' holder is paused for longer than its peers wait for it.
    PauseAgent,
    /// The link between entry and agent breaks, and both ends learn of it.
    CutLink,
    /// The link swallows everything, and nobody is told.
    BlackHole,
    /// Frames to and from the agent arrive late.
    Delay,
    /// Every frame arrives twice.
    Duplicate,
    /// Frames overtake each other.
    Reorder,
    /// The key-value service refuses every call.
    StoreDown,
    /// The key-value service makes writes after their caller gave up waiting.
    StoreSlow,
    /// The key-value service makes writes and their answers are lost.
    LostAnswer,
    /// The host is gone without a word, while the list of hosts still names it.
    HostGone,
    /// The agent is to leave, and the entries do not hear of it.
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

/// Step is how far a request has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// The entry is about to get it.
    Accepted,
    /// The entry sent an attempt.
    Routed,
    /// The agent has the attempt.
    Queued,
    /// Its claim is being saved, where it needs one.
    Claimed,
    /// The target got it.
    HandedOn,
    /// The target works on it.
    Running,
    /// The first part of the answer is out.
    Answering,
    /// The end of the answer is about to arrive.
    Answered,
}

pub const STEPS: [Step; 8] = [
    Step::Accepted,
    Step::Routed,
    Step::Queued,
    Step::Claimed,
    Step::HandedOn,
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

/// Deaths after which a body is refused.
pub const MAX_CRASHES: u64 = 2;

impl Row {
    /// Returns how many targets a crashing body may take down. A death that nobody hears of, since
    /// the agent is paused or gone, does not count against the body.
    pub fn max_crashes(&self) -> u64 {
        let hides = [Fault::PauseAgent, Fault::KillAgent, Fault::HostGone];
        let unheard = self.faults.iter().any(|(fault, _)| hides.contains(fault));
        MAX_CRASHES + u64::from(unheard)
    }
}

/// Returns every fault at every step.
pub fn singles(kind: Kind) -> Vec<Row> {
    let row = |fault, step| Row { kind, faults: vec![(fault, step)] };
    FAULTS.iter().flat_map(|fault| STEPS.iter().map(move |step| row(*fault, *step))).collect()
}

/// Returns every pair of faults, each fault with itself too, at steps drawn with a fixed seed.
pub fn pairs(kind: Kind) -> Vec<Row> {
    let mut rows = Vec::new();
    for (index, first) in FAULTS.iter().enumerate() {
        for second in &FAULTS[index..] {
            for draw in 0..PAIR_DRAWS {
                let steps = drawn(kind, *first, *second, draw);
                rows.push(Row { kind, faults: vec![(*first, steps.0), (*second, steps.1)] });
            }
        }
    }
    rows
}

/// Returns rows that broke a promise before its fault was mended.
pub fn mended(kind: Kind) -> Vec<Row> {
    let crash = |fault, at, crash| vec![(fault, at), (Fault::CrashingBody, crash)];
    let rows = [
        crash(Fault::Reorder, Step::Routed, Step::Routed),
        crash(Fault::KillEntry, Step::Answering, Step::Accepted),
        crash(Fault::KillEntry, Step::Answering, Step::Running),
        crash(Fault::KillEntry, Step::Answered, Step::Running),
        crash(Fault::KillEntry, Step::HandedOn, Step::Running),
    ];
    rows.into_iter().map(|faults| Row { kind, faults }).collect()
}

/// Returns a link that is lost while a body crashes targets, at every pair of steps.
pub fn unheard_crashes(kind: Kind) -> Vec<Row> {
    let links = [Fault::BlackHole, Fault::CutLink];
    let steps = STEPS.iter().flat_map(|lost| STEPS.iter().map(move |crash| (*lost, *crash)));
    let row = |link, (lost, crash)| {
        let faults = vec![(link, lost), (Fault::CrashingBody, crash)];
        Row { kind, faults }
    };
    steps.flat_map(|steps| links.map(|link| row(link, steps))).collect()
}

/// Pairs of steps drawn for each pair of faults.
const PAIR_DRAWS: u64 = 2;

fn drawn(kind: Kind, first: Fault, second: Fault, draw: u64) -> (Step, Step) {
    let hash = xxh3::xxh3_64_with_seed(format!("{kind:?} {first:?} {second:?}").as_bytes(), draw);
    let step = |bits: u64| STEPS[usize::try_from(bits % 8).expect("eight steps")];
    (step(hash), step(hash >> 8))
}
