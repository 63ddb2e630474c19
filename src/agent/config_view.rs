//! What an agent needs of the configuration.

use std::time::Duration;

use crate::config::{history, view};
use crate::resources::kinds;
use crate::wire;

/// ConfigView is the part of the configuration in force that concerns one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigView {
    /// The revision in force; zero where none is known.
    pub revision: u64,
    /// True where the agent's own target is declared as draining.
    pub drain: bool,
    /// The kind of its service, where it is declared.
    pub kind: Option<kinds::ServiceKind>,
    /// The claim shards of its service; zero where it is not declared.
    pub claim_shards: u32,
    /// When the revision was last heard to be current, on the agent's own clock.
    pub heard_at: Duration,
}

/// ConfigHolder holds the configuration that entries offered and reduces it to a view.
pub struct ConfigHolder {
    history: history::History,
    target: String,
    service: String,
}

impl ConfigHolder {
    /// Returns a holder without a configuration, for one target of a service.
    pub fn new(target: &str, service: &str) -> Self {
        let history = history::History::default();
        Self { history, target: target.to_owned(), service: service.to_owned() }
    }

    /// Returns the revision in force; zero where there is none.
    pub fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Takes what an entry offers, and returns whether it was newer.
    pub fn apply(&mut self, offer: &wire::ConfigState) -> bool {
        self.history.apply_answer(offer).is_ok()
    }

    /// Returns what brings a peer up to date, or nothing where it is.
    pub fn answer(&self, have: u64) -> Option<wire::ConfigState> {
        self.history.answer(have)
    }

    /// Returns what concerns the agent; `heard_at` is when the state was current.
    pub fn view(&self, heard_at: Duration) -> ConfigView {
        let tables = view::View::new(self.history.state());
        let service = tables.service_by_name(&self.service).map(|(_, service)| &service.spec);
        let target = tables.target_by_name(&self.target).map(|(_, target)| &target.spec);
        ConfigView {
            revision: self.revision(),
            drain: target.is_some_and(|target| target.drain),
            kind: service.map(|service| service.kind),
            claim_shards: service.map_or(0, |service| service.claim_shards),
            heard_at,
        }
    }
}
