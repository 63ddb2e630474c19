//! Parts of prompts that were in every crash together.
//!
//! Load pattern: requests that crash targets share a sound part that no answer has cleared yet, as just
//! after the start of a fleet. Both parts are in the same crashes, and nothing tells which one is at
//! fault. So each record keeps the parts without an answer that were in all of its crashes, and only
//! requests with all of them are refused. A crash without one of them, or an answer to it, ends that.

/// Limit of the companions of a part. One that is left out makes the part be blamed sooner.
const MAX_COMPANIONS: usize = 4;

/// Returns the companions of a part after its first crash beside these other parts.
pub fn first(others: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut companions: Vec<u64> = others.collect();
    companions.sort_unstable();
    companions.dedup();
    companions.truncate(MAX_COMPANIONS);
    companions
}

/// Returns the companions after another crash, of which `others` were in the prompt.
pub fn common(known: &[u64], others: &[u64]) -> Vec<u64> {
    known.iter().copied().filter(|part| others.contains(part)).collect()
}
