//! Applies what the operator asks of data centres and of cold targets to an entry.

use crate::collections::{Map, Set};
use crate::direct::known::standing::StandingMessage;
use crate::direct::known::store::{Change, OperatorItem, Position};
use crate::direct::peering::sync::StateSync;
use crate::telemetry::events;

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
        let (emptied, at) = message.content();
        self.replace_standing(emptied, at, source);
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
