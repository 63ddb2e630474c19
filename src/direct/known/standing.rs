//! Which data centres the operator is emptying, as an entry replicates it.
//!
//! The position tells up to which moment of the store's history the changes are known. It moves only
//! with a change, so entries that read the store at different times agree on it.

use crate::collections::Map;
use crate::direct::known::store::Position;

/// Bytes of the longest list of data centres in a heartbeat. Entries fetch a longer one.
const MAX_BRIEF_BYTES: usize = 200;

/// Bytes of one data centre in a heartbeat beside its name.
const NAME_OVERHEAD: usize = 16;

/// The data centres that are being emptied. Their targets get no requests until the operator takes
/// that back.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// The data centres, with the store's revisions of the operator's requests.
    emptied: Map<String, u64>,
    position: Option<Position>,
}

impl Standing {
    /// Returns true once it is known which data centres are being emptied, also if none is.
    pub fn is_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns the position up to which changes are known; the lowest one while none is known.
    pub fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Returns the data centres that are being emptied, with the revisions of the requests.
    pub fn emptied(&self) -> impl Iterator<Item = (&str, u64)> {
        self.emptied.iter().map(|(name, revision)| (name.as_str(), *revision))
    }

    /// Replaces all by a complete list read at a position, unless that is older. Returns true if
    /// anything has changed. A later era replaces the list also where it is shorter: the operator
    /// finds no request in the store then that it could take back.
    pub fn replace(&mut self, emptied: Map<String, u64>, at: Position) -> bool {
        if self.position.is_some_and(|known| at < known) {
            return false;
        }
        let same_era = self.position.is_some_and(|known| known.era == at.era);
        if same_era && self.emptied == emptied {
            return false;
        }
        (self.emptied, self.position) = (emptied, Some(at));
        true
    }

    /// Applies one change at a position: the data centre is being emptied, or no longer. Returns
    /// true if it is later than what is known.
    pub fn change(&mut self, data_centre: &str, is_emptied: bool, at: Position) -> bool {
        if self.position.is_none_or(|known| at <= known || at.era != known.era) {
            return false;
        }
        self.position = Some(at);
        match is_emptied {
            true => self.emptied.insert(data_centre.to_owned(), at.revision),
            false => self.emptied.remove(data_centre),
        };
        true
    }
}

/// Which data centres are being emptied, as entries send it to each other.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StandingMessage {
    #[prost(message, repeated, tag = "1")]
    emptied: Vec<EmptiedMessage>,
    /// The store's era of what is known.
    #[prost(uint64, tag = "2")]
    era: u64,
    /// The store's revision of that.
    #[prost(uint64, tag = "3")]
    revision: u64,
}

/// A data centre that is being emptied.
#[derive(Clone, PartialEq, prost::Message)]
struct EmptiedMessage {
    #[prost(string, tag = "1")]
    name: String,
    /// The store's revision of the operator's request.
    #[prost(uint64, tag = "2")]
    revision: u64,
}

impl StandingMessage {
    /// Returns the message if the standing is newer than a position.
    pub fn newer(standing: &Standing, known: Position) -> Option<Self> {
        let Position { era, revision } = standing.position();
        let emptied = standing
            .emptied()
            .map(|(name, revision)| EmptiedMessage { name: name.to_owned(), revision });
        let message = || Self { emptied: emptied.collect(), era, revision };
        (standing.position() > known).then(message)
    }
    /// Returns the message for a heartbeat; `None` if it is too long for that.
    pub fn brief(standing: &Standing) -> Option<Self> {
        let bytes: usize = standing.emptied.keys().map(|name| name.len() + NAME_OVERHEAD).sum();
        (bytes <= MAX_BRIEF_BYTES).then(|| Self::newer(standing, Position::default())).flatten()
    }

    /// Returns the position up to which changes are known.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    /// Returns the data centres that are being emptied, and the position.
    pub fn content(self) -> (Map<String, u64>, Position) {
        let position = self.position();
        let emptied = self.emptied.into_iter().map(|emptied| (emptied.name, emptied.revision));
        (emptied.collect(), position)
    }
}
