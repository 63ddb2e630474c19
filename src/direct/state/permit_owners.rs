//! Who hands out the permits of a target, and which targets are cold.

use std::net::SocketAddr;

use crate::direct::decisions::rate_limits::{Fleet, Rate};
use crate::direct::known::permit::Grant;
use crate::direct::state::entry::{Entry, Options};
use crate::telemetry::events;

impl Entry {
    /// Returns the address of the entry that hands out a target's permits; `None` if this one does.
    pub fn permit_owner(&self, target: &str) -> Option<SocketAddr> {
        let Options { name, heartbeat_interval, .. } = &self.options;
        let peers = self.peers.borrow();
        peers.permit_owner(target, name, self.is_stopping(), *heartbeat_interval, self.now())
    }

    /// Hands out permits for a target to an entry that knows its rate as this.
    pub fn grant_permits(&self, target: &str, rate: Rate) -> Grant {
        let (fleet, now) = (self.fleet_of(target), self.now());
        let limits = &mut self.targets.borrow_mut().limits;
        match rate.cold || limits.in_force(target, now).is_some_and(|known| known.cold) {
            true => limits.grant_cold(target, rate.per_s, &fleet, now),
            false => limits.grant(target, rate.per_s, now),
        }
    }

    fn fleet_of(&self, target: &str) -> Fleet {
        let is_owner = self.permit_owner(target).is_none();
        let peers = self.peers.borrow();
        Fleet { is_owner, changed_at: peers.changed_at(), share: peers.permit_share() }
    }

    /// Logs which targets have become cold or warm, and keeps track of who hands out their permits.
    pub fn track_cold_targets(&self) {
        let now = self.now();
        let changes = self.targets.borrow_mut().limits.warmth_changes(now);
        for (target, cold) in changes {
            match cold {
                Some((per_s, left)) => {
                    let left_ms = left.as_millis();
                    events::log(
                        events::TARGET_COLD,
                        format_args!("target={target} per_s={per_s} left_ms={left_ms}"),
                    );
                }
                None => events::log(events::TARGET_WARM, format_args!("target={target}")),
            }
        }
        let cold = self.targets.borrow().limits.cold_targets(now);
        self.metrics.cold_targets(cold.len());
        for target in cold {
            let fleet = self.fleet_of(&target);
            self.targets.borrow_mut().limits.record_owner(&target, &fleet, now);
        }
    }
}
