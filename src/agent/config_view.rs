//! What an agent needs of the configuration.

use std::time::Duration;

use crate::config::{options, replica, view};
use crate::resources::kinds;

/// ConfigView is the part of the configuration in force that concerns one agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigView {
    /// The revision in force; zero where none is known.
    pub revision: u64,
    /// True where the agent's own target is declared as draining.
    pub drain: bool,
    /// The kind of its service, where it is declared.
    pub kind: Option<kinds::ServiceKind>,
    /// The claim shards of its service; zero where it is not declared.
    pub claim_shards: u32,
    /// When the revision was last known to allow serving, on the agent's own clock.
    pub confirmed_at: Duration,
}

/// ConfigHolder is the agent's replica of the configuration, reduced to a view.
pub struct ConfigHolder {
    replica: replica::Replica,
    target: String,
    service: String,
    tables: ConfigView,
}

impl ConfigHolder {
    /// Returns a holder without a configuration, for one target of a service.
    pub fn new(options: options::Options, target: &str, service: &str, now: Duration) -> Self {
        Self {
            replica: replica::Replica::new(options, now),
            target: target.to_owned(),
            service: service.to_owned(),
            tables: ConfigView::default(),
        }
    }

    /// Returns the replica.
    pub fn replica(&self) -> &replica::Replica {
        &self.replica
    }

    /// Returns the revision in force; zero where there is none.
    pub fn revision(&self) -> u64 {
        self.replica.revision()
    }

    /// Numbers the heartbeat that goes to all entries now.
    pub fn beat(&mut self, now: Duration) -> replica::LocalHeartbeat {
        self.replica.next_heartbeat(now)
    }

    /// Takes what an entry said; returns what to send.
    pub fn handle(&mut self, event: replica::Event, now: Duration) -> Vec<replica::Effect> {
        let mut effects = Vec::new();
        self.replica.handle(event, now, &mut effects);
        effects
    }

    /// Does what time calls for; returns what to send.
    pub fn tick(&mut self, now: Duration) -> Vec<replica::Effect> {
        let mut effects = Vec::new();
        self.replica.tick(now, &mut effects);
        effects
    }

    /// Returns what concerns the agent, unless the configuration is too old to serve on.
    pub fn view(&mut self, now: Duration) -> Option<ConfigView> {
        let confirmed_at = self.replica.confirmed_at(now).ok()?;
        if self.tables.revision != self.replica.revision() {
            self.tables = self.derive();
        }
        Some(ConfigView { confirmed_at, ..self.tables })
    }

    fn derive(&self) -> ConfigView {
        let tables = view::View::new(self.replica.state());
        let service = tables.service_by_name(&self.service).map(|(_, service)| &service.spec);
        let target = tables.target_by_name(&self.target).map(|(_, target)| &target.spec);
        ConfigView {
            revision: self.replica.revision(),
            drain: target.is_some_and(|target| target.drain),
            kind: service.map(|service| service.kind),
            claim_shards: service.map_or(0, |service| service.claim_shards),
            confirmed_at: Duration::ZERO,
        }
    }
}
