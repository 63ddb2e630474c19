//! Which entries of a data centre watch the store.
//!
//! Each entry ranks the live ones by a hash of their names and so comes to the same choice
//! without a lease. Two views that differ for a moment cost one watch more or, for the peer
//! timeout, one fewer: see docs/CONFIGURATION.md.

use std::time::Duration;

use xxhash_rust::xxh3;

/// Entries of a data centre that watch the store.
pub const PER_DATA_CENTRE: usize = 2;

/// Further entries that try the store while the readers hear nothing from it.
const RELIEF: usize = 2;

/// How long the same further entries try.
const RELIEF_SHIFT: Duration = Duration::from_secs(10);

/// Tells whether an entry watches the store.
///
/// `unheard` is how long the store has not been heard of beyond the freshness time, through
/// anyone: the readers may then be the ones that are cut off, so others take turns beside them.
pub fn is_reader<'a>(
    own: &str,
    data_centre: &str,
    live: impl Iterator<Item = &'a str>,
    readers: usize,
    unheard: Duration,
) -> bool {
    let own_score = score(data_centre, own);
    let (mut rank, mut count) = (0, 1);
    for other in live.filter(|other| *other != own) {
        count += 1;
        if (score(data_centre, other), other) > (own_score, own) {
            rank += 1;
        }
    }
    rank < readers
        || (!unheard.is_zero() && has_relief_turn(rank - readers, count - readers, unheard))
}

fn has_relief_turn(rank: usize, others: usize, unheard: Duration) -> bool {
    let shift = unheard.as_secs() / RELIEF_SHIFT.as_secs();
    let turns = others.div_ceil(RELIEF).max(1);
    let turn = usize::try_from(shift).unwrap_or(usize::MAX) % turns;
    rank / RELIEF == turn
}

fn score(data_centre: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(data_centre.as_bytes()))
}
