//! The part of the configuration that an agent needs.

use std::time::Duration;

use crate::config::{options, replica, view};
use crate::resources::kinds;

/// ConfigView is the part of the configuration in force that applies to one agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigView {
    /// The revision in force; zero if none is known.
    pub revision: u64,
    /// True if the resource of the agent's target requests a drain, or that of its data centre an
    /// evacuation.
    pub drain: bool,
    /// The kind of the target's service; `None` if the service is not declared.
    pub kind: Option<kinds::ServiceKind>,
    /// The number of claim shards of the service; zero if the service is not declared.
    pub claim_shards: u32,
    /// When the revision was last confirmed to allow serving, on the agent's monotonic clock.
    pub confirmed_at: Duration,
}

/// ConfigHolder holds the agent's replica of the configuration and the view derived from it.
pub struct ConfigHolder {
    replica: replica::Replica,
    target: String,
    service: String,
    /// The view of the replica's revision as of the last call of [`Self::view`].
    view: ConfigView,
}

impl ConfigHolder {
    /// Creates a holder without a configuration, for one target of a service.
    pub fn new(options: options::Options, target: &str, service: &str, now: Duration) -> Self {
        Self {
            replica: replica::Replica::new(options, now),
            target: target.to_owned(),
            service: service.to_owned(),
            view: ConfigView::default(),
        }
    }

    /// Returns the replica of the configuration.
    pub fn replica(&self) -> &replica::Replica {
        &self.replica
    }

    /// Returns the revision in force; zero if there is none.
    pub fn revision(&self) -> u64 {
        self.replica.revision()
    }

    /// Returns the number and configuration state of the heartbeat that is sent to all entries now.
    pub fn next_heartbeat(&mut self, now: Duration) -> replica::LocalHeartbeat {
        self.replica.next_heartbeat(now)
    }

    /// Handles an event of the replica and returns its effects.
    pub fn handle(&mut self, event: replica::Event, now: Duration) -> Vec<replica::Effect> {
        let mut effects = Vec::new();
        self.replica.handle(event, now, &mut effects);
        effects
    }

    /// Runs the replica's timers and returns its effects.
    pub fn tick(&mut self, now: Duration) -> Vec<replica::Effect> {
        let mut effects = Vec::new();
        self.replica.tick(now, &mut effects);
        effects
    }

    /// Returns the view, or `None` if the configuration is too old to serve on.
    pub fn view(&mut self, now: Duration) -> Option<ConfigView> {
        let confirmed_at = self.replica.confirmed_at(now).ok()?;
        if self.view.revision != self.replica.revision() {
            self.view = self.derive();
        }
        Some(ConfigView { confirmed_at, ..self.view })
    }

    fn derive(&self) -> ConfigView {
        let config = view::View::new(self.replica.state());
        let service = config.service_by_name(&self.service).map(|(_, service)| &service.spec);
        let target = config.target_by_name(&self.target).map(|(_, target)| &target.spec);
        ConfigView {
            revision: self.replica.revision(),
            drain: target
                .is_some_and(|target| target.drain || config.is_evacuated(&target.data_centre)),
            kind: service.map(|service| service.kind),
            claim_shards: service.map_or(0, |service| service.claim_shards),
            confirmed_at: Duration::ZERO,
        }
    }
}
