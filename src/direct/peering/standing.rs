//! Applies what the operator asks of data centres and of cold targets to an entry.

use crate::collections::{Map, Set};
use crate::direct::known::standing::Standing;
use crate::direct::known::store::{Change, OperatorItem, Position};
use crate::direct::peering::sync::StateSync;
use crate::telemetry::events;

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
}

impl StateSync {
    /// Applies a change of what the operator asks for, in an era of the store.
    pub(super) fn apply_operator_item(&self, change: &Change, era: u64) {
        let (key, revision) = match change {
            Change::Put(item) => (&item.key, item.revision),
            Change::Removed { key, revision } => (key, *revision),
        };
        let is_put = matches!(change, Change::Put(_));
        match ((self.formats.operator_item)(key), change) {
            (OperatorItem::Configuration, Change::Put(item)) => {
                self.apply_configuration(&item.value, "store");
            }
            (OperatorItem::Emptied(data_centre), _) => {
                let at = Position { era, revision };
                let before = self.emptied();
                let mut state = self.entry.cluster_state.borrow_mut();
                let changed = state.standing_mut().change(data_centre, is_put, at);
                drop(state);
                if changed {
                    self.apply_standing(&before, "store");
                }
            }
            (OperatorItem::Configuration | OperatorItem::Other, _) => {}
        }
    }

    /// Replaces what is known of data centres that are being emptied by a complete list read at a
    /// position, unless that is older. `source` is `store` or the name of the entry that sent it.
    pub fn replace_standing(&self, emptied: Map<String, u64>, at: Position, source: &str) {
        if !self.entry.options.empties_data_centres {
            return;
        }
        let before = self.emptied();
        if self.entry.cluster_state.borrow_mut().standing_mut().replace(emptied, at) {
            self.apply_standing(&before, source);
        }
    }

    /// Applies what another entry knows of data centres that are being emptied.
    pub(super) fn apply_standing_message(&self, message: StandingMessage, source: &str) {
        let at = Position { era: message.era, revision: message.revision };
        let emptied = message.emptied.into_iter().map(|emptied| (emptied.name, emptied.revision));
        self.replace_standing(emptied.collect(), at, source);
    }

    fn emptied(&self) -> Set<String> {
        let state = self.entry.cluster_state.borrow();
        state.standing().emptied().map(|(name, _)| name.to_owned()).collect()
    }

    fn apply_standing(&self, before: &Set<String>, source: &str) {
        let entry = &self.entry;
        let after = self.emptied();
        let position = entry.cluster_state.borrow().standing().position();
        for (name, emptied) in before
            .difference(&after)
            .map(|name| (name, false))
            .chain(after.difference(before).map(|name| (name, true)))
        {
            let targets = entry.targets.borrow();
            let targets = targets.iter().filter(|target| target.data_centre == *name).count();
            events::log(
                events::STANDING_CHANGED,
                format_args!(
                    "data_centre={name:?} emptied={emptied} targets={targets} at={position} \
                     from={source}"
                ),
            );
        }
        entry.metrics.emptied_data_centres(after.len());
        entry.targets.borrow_mut().set_emptied(after, entry.now());
        entry.slots_changed.notify_waiters();
        self.notify_changed();
    }

    /// Applies what the configuration says of cold targets.
    pub(super) fn apply_cold_starts(&self) {
        let entry = &self.entry;
        let (Some(tolerance), Some(configuration)) =
            (entry.options.cold_tolerance, entry.configuration())
        else {
            return;
        };
        let mut starts = Map::default();
        for service in configuration.services() {
            match &service.cold {
                Ok(Some(start)) => {
                    starts.insert(service.name.clone(), *start);
                }
                Ok(None) => {}
                Err(error) => self.record_unreadable("configuration", &service.name, error),
            }
        }
        entry.targets.borrow_mut().set_cold_starts(starts, tolerance, entry.now());
    }
}
