//! Selects the store readers: the entries of a data centre that watch the store.
//!
//! Each entry sorts the live ones by a hash of their names, so that all make the same choice
//! without a lease. While two entries disagree on who is live there may be one watch too many or,
//! for up to the peer timeout, one too few: see docs/CONFIGURATION.md.

use std::time::Duration;

use xxhash_rust::xxh3;

/// Number of store readers in each data centre.
pub const PER_DATA_CENTRE: usize = 2;

/// Number of entries that try the store in addition while no reader gets a response from it.
const EXTRA_READERS: usize = 2;

/// How long each set of extra readers tries before the next set takes over.
const EXTRA_READER_TURN: Duration = Duration::from_secs(10);

/// Returns true if the entry named `local` watches the store.
///
/// `live` are the other live entries of the data centre and `readers` is the number of regular
/// readers. `store_silence` is the time, beyond the freshness time, since which nobody has
/// confirmed the state with the store. While it is not zero the regular readers may be the only
/// ones that are cut off, so the other entries take turns reading as well.
pub fn is_reader<'a>(
    local: &str,
    data_centre: &str,
    live: impl Iterator<Item = &'a str>,
    readers: usize,
    store_silence: Duration,
) -> bool {
    let local_score = score(data_centre, local);
    let (mut position, mut count) = (0, 1);
    for other in live.filter(|other| *other != local) {
        count += 1;
        if (score(data_centre, other), other) > (local_score, local) {
            position += 1;
        }
    }
    position < readers
        || (!store_silence.is_zero()
            && is_extra_reader(position - readers, count - readers, store_silence))
}

/// Returns true if it is the turn of the entry at `position` among those that are not regular
/// readers.
fn is_extra_reader(position: usize, others: usize, store_silence: Duration) -> bool {
    let elapsed_turns = store_silence.as_secs() / EXTRA_READER_TURN.as_secs();
    let turns = others.div_ceil(EXTRA_READERS).max(1);
    let turn = usize::try_from(elapsed_turns).unwrap_or(usize::MAX) % turns;
    position / EXTRA_READERS == turn
}

fn score(data_centre: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(data_centre.as_bytes()))
}
