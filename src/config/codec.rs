//! Heartbeats of the wire, to and from what the replica hears and says.

use std::sync::Arc;
use std::time::Duration;

use crate::config::contacts::Heard;
use crate::config::replica::Beat;
use crate::wire;

/// Returns what a heartbeat says of its sender's configuration.
pub fn heard(member: &wire::Member, heartbeat: &wire::Heartbeat) -> Heard {
    Heard {
        peer: Arc::from(member.name.as_str()),
        incarnation: member.incarnation,
        data_centre: Arc::from(member.data_centre.as_str()),
        entry: member.role() == wire::Role::Entry,
        sequence: heartbeat.sequence,
        revision: heartbeat.config_revision,
        age: heartbeat.config_age_ms.map(Duration::from_millis),
        echo: heartbeat.heard_sequence,
    }
}

/// Writes the own beat into a heartbeat to a peer, with the number to echo to it.
pub fn stamp(heartbeat: &mut wire::Heartbeat, beat: &Beat, echo: u64) {
    heartbeat.sequence = beat.sequence;
    heartbeat.config_revision = beat.revision;
    // An age is rounded up, for it must never be too low.
    let age_ms =
        |age: Duration| u64::try_from(age.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1));
    heartbeat.config_age_ms = beat.age.map(age_ms);
    heartbeat.heard_sequence = echo;
}
